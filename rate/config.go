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

// Stream is the log stream that names the holders of shards.
const Stream = "rate"

const (
	// tickEvery advances waits and claims.
	tickEvery = 200 * time.Millisecond
	// homePoll and idlePoll are the long polls of the log for an instance that holds
	// shards and for one that does not. Each read to the end proves the right to spend.
	homePoll = 600 * time.Millisecond
	idlePoll = 2 * time.Second
	// readTimeout bounds a read beyond its long poll.
	readTimeout = time.Second
	// readBackoff is the pause after a failed read.
	readBackoff = 250 * time.Millisecond
	// readPage is the most records in one read.
	readPage = 1000
	// appendTimeout bounds an append; its outcome is read back from the stream.
	appendTimeout = 3 * time.Second
	// peerTimeout bounds Extend, Fence and HandOver.
	peerTimeout = time.Second
	// handOverTries is how often levels are sent to a successor that does not answer.
	handOverTries = 3
	// acquireTimeout bounds one Acquire. Instances are about a millisecond apart; a
	// home that does not answer within a hundred of them is passed over.
	acquireTimeout = 100 * time.Millisecond
	// homeWait is how long a request waits for a share whose home has just been lost
	// from sight; a planned move takes a few milliseconds.
	homeWait = 300 * time.Millisecond
	// homeRetry is the pause between two tries during homeWait.
	homeRetry = 20 * time.Millisecond
	// doubtFor is how long a share whose home failed to answer is passed over at once.
	doubtFor = 500 * time.Millisecond
	// freshDoubt is the age up to which a doubt is worth waiting for.
	freshDoubt = time.Second
	// maxGather is the age above which a gathered grant is given back: a paused asker
	// would otherwise start work long after its tokens were counted.
	maxGather = time.Second
	// settleEvery is how long refunds of finished requests are gathered into one call to
	// each home. It is short beside the seconds that a request runs.
	settleEvery = 200 * time.Millisecond
	// refundTimeout bounds a refund; a lost one costs tokens and creates none.
	refundTimeout = time.Second
	// gaugeEvery is how often gauges are brought up to date.
	gaugeEvery = time.Second
	// pruneEvery is how often unused buckets and clients are dropped.
	pruneEvery = time.Minute
)

// Config is what a Service needs.
type Config struct {
	// Self names this run. Its Incarnation must be above that of every earlier run of
	// the instance.
	Self request.Holder
	Log  port.Log
	// Members returns the runs that are alive and not draining, this one included. A run
	// that is missing from it loses its shards to others, so Run should begin once the
	// list is complete.
	Members func() []request.Holder
	// Limit returns an organisation's limit in force, false if it has none.
	Limit func(organisation string) (object.Limit, bool)
	// Dial returns the client for a peer's address (IP:port). It is called once for
	// each address while that is in use.
	Dial func(address string) peerv1connect.RateServiceClient
	// System runs the home's actor. Without it the service has one of its own.
	System  *actor.ActorSystem
	Logger  *zap.Logger
	Metrics *observe.Metrics
	// Clock defaults to time.Now; its readings must be monotonic.
	Clock func() time.Time
	// Timing defaults to lease.DefaultTiming.
	Timing lease.Timing
}

func (c *Config) check() error {
	if c.Self.Instance == "" || c.Self.Address == "" {
		return oops.Errorf("rate: the instance needs a name and an address")
	}
	if c.Log == nil || c.Members == nil || c.Limit == nil || c.Dial == nil {
		return oops.Errorf("rate: log, members, limit and dial are needed")
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
