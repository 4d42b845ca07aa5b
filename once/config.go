package once

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
)

// Partitions is the number of streams that guarded calls are spread over. It is
// part of the fleet's protocol: instances that disagree would look for a key in
// different streams.
const Partitions = 16

// Defaults of Config.
const (
	// DefaultWindow is how long a key is remembered. It covers a caller that
	// comes back within the same working day.
	DefaultWindow = 12 * time.Hour
	// DefaultLogRetention is how long the log is assumed to keep records.
	DefaultLogRetention = 24 * time.Hour
	// DefaultAppendInterval is the least time between two appends of one
	// partition: at most 10 a second, 160 for all partitions, which leaves most of
	// the log's several hundred appends a second to others.
	DefaultAppendInterval = 100 * time.Millisecond
	// DefaultClaimTimeout bounds how long Begin waits for the log's decision. It
	// is below the first-byte target of 1.7 s, so that the caller can still ask
	// another time before it gives up.
	DefaultClaimTimeout = 1500 * time.Millisecond
	// DefaultMaxKeys is how many keys a partition remembers: 48 MB at 241 bytes each,
	// 3.2 million keys in the window over all partitions.
	DefaultMaxKeys = 200_000
	// DefaultMaxRun is the longest that a call is said to be in progress; a call is
	// given up after 30 s. Later its outcome is called unknown even if its instance
	// lives.
	DefaultMaxRun = time.Minute
)

// retentionMargin is what the log must retain beyond the window: time for a
// reader to fall behind, and for the log to truncate early.
const retentionMargin = time.Hour

// Config is what a Service needs.
type Config struct {
	// Self is this run of this instance.
	Self request.Holder
	Log  port.Log
	// Members returns the live instances, this one included. It may lag; it only
	// decides who batches appends and whether a call is said to be in progress.
	Members func() []request.Holder
	// Dial returns how to reach the service of another instance. Without it the
	// instance serves every partition itself.
	Dial    Dialer
	Logger  *zap.Logger
	Metrics *observe.Metrics
	// Clock defaults to time.Now.
	Clock func() time.Time

	// Window is how long a key is remembered from its first use on.
	Window time.Duration
	// LogRetention is how long the log keeps records, as its operators state. It
	// must exceed Window by an hour.
	LogRetention   time.Duration
	AppendInterval time.Duration
	ClaimTimeout   time.Duration
	MaxRun         time.Duration
	// MaxKeys is how many keys one partition remembers. More are refused: an owner
	// that ran out of memory would take its successors with it, one after another.
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
	setDefault(&c.MaxRun, DefaultMaxRun)
	if c.MaxKeys == 0 {
		c.MaxKeys = DefaultMaxKeys
	}
	// Were the log to drop an intent within the window, a fresh instance would not
	// know its key and run the call again.
	if c.Window+retentionMargin > c.LogRetention {
		return c, fmt.Errorf("once: window %v plus %v exceeds the log's retention %v", c.Window, retentionMargin, c.LogRetention)
	}
	return c, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
