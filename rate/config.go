package rate

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/request"
)

// Stream is the log stream that records the holders of the shards.
const Stream = "rate"

const (
	// tickInterval is the interval at which waits and claims advance.
	tickInterval = 200 * time.Millisecond
	// holderPoll and idlePoll are the long poll durations of the log for an instance that
	// holds shards and for one that does not. Each read to the end of the log proves that
	// the holder may spend.
	holderPoll = 600 * time.Millisecond
	idlePoll   = 2 * time.Second
	// readTimeout is the timeout of a read, in addition to its long poll.
	readTimeout = time.Second
	// readBackoff is the delay after a failed read.
	readBackoff = 250 * time.Millisecond
	// maxReadRecords is the maximum number of records in one read.
	maxReadRecords = 1000
	// appendTimeout is the timeout of an append. Its outcome is read back from the stream.
	appendTimeout = 3 * time.Second
	// peerTimeout is the timeout of Extend, Fence and HandOver.
	peerTimeout = time.Second
	// maxHandOverAttempts is the maximum number of attempts to send the levels to a
	// successor.
	maxHandOverAttempts = 3
	// acquireTimeout is the timeout of one Acquire. The latency between instances is about
	// a millisecond; a home that does not respond within a hundred times that is skipped.
	acquireTimeout = 100 * time.Millisecond
	// homeWait is how long a request waits for a share whose home became unreachable
	// recently. A planned move takes a few milliseconds.
	homeWait = 300 * time.Millisecond
	// homeRetryInterval is the delay between two attempts during homeWait.
	homeRetryInterval = 20 * time.Millisecond
	// skipFailedFor is how long requests skip a share after its home failed to respond.
	skipFailedFor = 500 * time.Millisecond
	// recentFailureWindow is how long after the first failure of a home requests still
	// wait for it.
	recentFailureWindow = time.Second
	// maxCollectTime is the time limit for collecting tokens. After it the grants are
	// refunded; otherwise an instance that was paused would start work long after its
	// tokens were charged.
	maxCollectTime = time.Second
	// refundInterval is how long refunds of finished requests are batched into one call to
	// each home. It is short compared to the seconds that a request runs.
	refundInterval = 200 * time.Millisecond
	// refundTimeout is the timeout of a refund. A lost refund costs tokens and creates none.
	refundTimeout = time.Second
	// gaugeInterval is the interval at which gauges are updated.
	gaugeInterval = time.Second
	// pruneInterval is the interval at which unused buckets and clients are dropped.
	pruneInterval = time.Minute
)

// Config configures a Service.
type Config struct {
	// Self identifies this run. Its Incarnation must be higher than that of every earlier
	// run of the instance.
	Self request.Holder
	Log  port.Log
	// Members returns the runs that are alive and not draining, this run included. A run
	// that is not in the list loses its shards to others, so Run should be called only once
	// the list is complete.
	Members func() []request.Holder
	// Limit returns the current limit of an organisation, false if it has none.
	Limit func(organisation string) (object.Limit, bool)
	// Dial returns the client for the address (IP:port) of a peer. It is called once for
	// each address as long as the address is in use.
	Dial func(address string) peerv1connect.RateServiceClient
	// System runs the home actor. If it is nil, the service creates its own system.
	System  *actor.ActorSystem
	Logger  *zap.Logger
	Metrics *observe.Metrics
	// Clock defaults to time.Now. Its readings must be monotonic.
	Clock func() time.Time
	// Timing defaults to lease.DefaultTiming.
	Timing lease.Timing
}

func (c *Config) check() error {
	if c.Self.Instance == "" || c.Self.Address == "" {
		return oops.Errorf("rate: Self needs an instance name and an address")
	}
	if c.Log == nil || c.Members == nil || c.Limit == nil || c.Dial == nil {
		return oops.Errorf("rate: Log, Members, Limit and Dial are required")
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Timing == (lease.Timing{}) {
		c.Timing = lease.DefaultTiming()
	}
	return nil
}
