package once

import (
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
)

// Partitions is the number of streams over which guarded calls are distributed. It is part of the
// protocol between instances: instances with different values would look for a key in different
// streams.
const Partitions = 16

// Default values of Config.
const (
	// DefaultWindow is how long a key is kept. It covers a caller that retries within the same
	// working day.
	DefaultWindow = 12 * time.Hour
	// DefaultLogRetention is the assumed retention of the log.
	DefaultLogRetention = 24 * time.Hour
	// DefaultAppendInterval is the minimum time between two appends to one partition. It
	// limits them to 10 per second, or 160 for all partitions, which leaves most of the log's
	// several hundred appends per second to other uses.
	DefaultAppendInterval = 100 * time.Millisecond
	// DefaultClaimTimeout limits how long Begin waits for the decision of the log. It is
	// shorter than the first-byte target of 1.7 s, so that the caller can retry before it
	// gives up.
	DefaultClaimTimeout = 1500 * time.Millisecond
	// DefaultMaxKeys is the maximum number of keys of a partition. They take 48 MB at 241 bytes
	// per key; all partitions together hold 3.2 million keys.
	DefaultMaxKeys = 200_000
	// DefaultMaxCallDuration is how long a call is reported as in progress. Calls time out after
	// 30 s; after DefaultMaxCallDuration the outcome is reported as unknown even if the
	// instance is alive.
	DefaultMaxCallDuration = time.Minute
)

// retentionMargin is how much the log's retention must exceed the window. It allows for readers
// that lag and for early truncation of the log.
const retentionMargin = time.Hour

// Config configures a Service.
type Config struct {
	// Self identifies this run of this instance.
	Self request.Holder
	Log  port.Log
	// Members returns the live instances, including this one. The list may lag: it only
	// determines which instance batches appends and whether a call is reported as in progress.
	Members func() []request.Holder
	// Dial returns the client for the service of another instance. If it is nil, the instance
	// serves all partitions itself.
	Dial Dialer
	// System runs the actors of the partitions. If it is nil, the service creates its own.
	System  *actor.ActorSystem
	Logger  *zap.Logger
	Metrics *observe.Metrics
	// Clock defaults to time.Now.
	Clock func() time.Time

	// Window is how long a key is kept after its first use.
	Window time.Duration
	// LogRetention is the retention of the log as stated by its operators. It must exceed Window
	// by at least one hour.
	LogRetention time.Duration
	// AppendInterval is the minimum time between two appends to one partition.
	AppendInterval time.Duration
	// ClaimTimeout limits how long Begin waits for the decision of the log.
	ClaimTimeout time.Duration
	// MaxCallDuration is how long a call is reported as in progress.
	MaxCallDuration time.Duration
	// MaxKeys is the maximum number of keys of one partition. Further keys are refused: if an
	// owner ran out of memory, the instances that take over from it would fail the same way.
	MaxKeys int
}

func (c Config) withDefaults() (Config, error) {
	if c.Log == nil {
		return c, fmt.Errorf("once: no log")
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Members == nil {
		self := c.Self
		c.Members = func() []request.Holder { return []request.Holder{self} }
	}
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.LogRetention, DefaultLogRetention)
	setDefault(&c.AppendInterval, DefaultAppendInterval)
	setDefault(&c.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&c.MaxCallDuration, DefaultMaxCallDuration)
	if c.MaxKeys == 0 {
		c.MaxKeys = DefaultMaxKeys
	}
	// If the log dropped an intent within the window, a new instance would not know its key and
	// would run the call again.
	if c.Window+retentionMargin > c.LogRetention {
		return c, fmt.Errorf("once: window %v plus margin %v exceeds the log retention %v", c.Window, retentionMargin, c.LogRetention)
	}
	return c, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
