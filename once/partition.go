package once

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/once/protocol"
)

// forgetInterval is how often old keys are dropped. Keys live for hours, so that
// a minute more costs nothing.
const forgetInterval = time.Minute

// partition is the actor that follows one stream and batches the appends of all
// calls in it. Every field from index on belongs to the actor's goroutine; reads and
// appends of the log run in goroutines that report back by messages.
type partition struct {
	cfg    *Config
	stream string
	logger *zap.Logger
	meters meters
	system *actor.ActorSystem
	pid    *actor.PID
	ctx    context.Context
	cancel context.CancelFunc
	io     sync.WaitGroup
	// gate keeps messages from an actor that has stopped: the library would count
	// them with a goroutine that never ends.
	gate   sync.RWMutex
	closed bool
	// failing tells that the last append failed.
	failing atomic.Bool
	// used is when the partition was last asked for; the service guards it.
	used time.Time

	index *protocol.Index
	// ready is set once the stream was read to its end.
	ready bool
	// readErr is the follower's last error while it fails.
	readErr error
	// first is the lowest offset that the log retains.
	first uint64
	// endRead is when the end of the stream was last reached.
	endRead time.Time
	// vouchFrom is when unknown keys may be claimed again after records younger
	// than the window were lost.
	vouchFrom time.Time
	// unready are claims that wait for ready.
	unready []claimMsg
	// pending are the claims whose intents wait for the log's decision.
	pending map[protocol.IntentID]*pendingClaim
	commit  committer
}

// pendingClaim is an intent whose fate is not known yet.
type pendingClaim struct {
	rec     protocol.Record
	replies []chan claimReply
}

func startPartition(parent context.Context, system *actor.ActorSystem, cfg *Config, scope tally.Scope, number int) *partition {
	p := &partition{
		cfg:     cfg,
		stream:  streamName(number),
		system:  system,
		meters:  newMeters(scope, streamName(number)),
		index:   protocol.NewIndex(1),
		pending: make(map[protocol.IntentID]*pendingClaim),
	}
	p.logger = cfg.Logger.With(zap.String("stream", p.stream))
	p.ctx, p.cancel = context.WithCancel(parent)
	p.pid = system.Root.Spawn(actor.PropsFromFunc(p.receive))
	p.io.Go(p.follow)
	p.io.Go(p.forgetLoop)
	return p
}

// stop ends the partition's actor and then its goroutines, which only the actor starts.
func (p *partition) stop() {
	p.cancel()
	p.gate.Lock()
	p.closed = true
	p.gate.Unlock()
	_ = p.system.Root.StopFuture(p.pid).Wait()
	p.io.Wait()
}

// tell sends a message to the actor from any goroutine, unless it was stopped.
func (p *partition) tell(msg any) {
	p.gate.RLock()
	defer p.gate.RUnlock()
	if !p.closed {
		p.system.Root.Send(p.pid, msg)
	}
}

func (p *partition) receive(c actor.Context) {
	switch msg := c.Message().(type) {
	case claimMsg:
		p.claim(msg)
	case recordMsg:
		p.record(msg)
	case pageMsg:
		p.pageRead(msg)
	case appendedMsg:
		p.appended(msg)
	case settledMsg:
		p.settled(msg)
	case pumpMsg:
		p.commit.timer = false
		p.pump()
	case forgetMsg:
		p.forget()
	case flushMsg:
		p.commit.flushes = append(p.commit.flushes, msg.done)
		p.flushed()
	}
}

func (p *partition) now() time.Time { return p.cfg.Clock() }

func (p *partition) forgetLoop() {
	ticker := time.NewTicker(forgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
			p.tell(forgetMsg{})
		}
	}
}

func (p *partition) forget() {
	early := p.index.Expire(p.now().Add(-p.cfg.Window), p.first)
	p.meters.keys.Update(float64(p.index.Len()))
	if early > 0 {
		p.meters.retentionShort.Inc(int64(early))
		p.logger.Error("log drops records within the promised window; set its retention or the window",
			zap.String("event", "once_retention_short"), zap.Int("records", early), zap.Duration("window", p.cfg.Window))
	}
}
