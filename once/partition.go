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

// expiryInterval is how often expired keys are removed. Keys are kept for hours, so an extra
// minute does not matter.
const expiryInterval = time.Minute

// partition is the actor that follows one stream and batches the appends of all calls in it. The
// fields from index on are accessed only by the actor; reads and appends run in goroutines that
// report their results to the actor as messages.
type partition struct {
	cfg        *Config
	stream     string
	logger     *zap.Logger
	metrics    metrics
	system     *actor.ActorSystem
	pid        *actor.PID
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// sendMu guards closed, which prevents sending to a stopped actor. The actor library counts
	// such messages in a goroutine that never ends.
	sendMu sync.RWMutex
	closed bool
	// appendsFailing reports that the last append failed.
	appendsFailing atomic.Bool
	// lastUsed is when the partition was last requested; guarded by Service.mu.
	lastUsed time.Time

	index *protocol.Index
	// ready is set when the stream has been read to its end.
	ready bool
	// readErr is the error of the last read, or nil if it succeeded.
	readErr error
	// firstRetained is the lowest offset retained by the log.
	firstRetained uint64
	// endReachedAt is when the end of the stream was last reached.
	endReachedAt time.Time
	// incompleteUntil is the time until which the index may lack records of the window because
	// the log dropped them unread. Unknown keys are refused until then.
	incompleteUntil time.Time
	// deferredClaims are the claims that wait until the partition is ready.
	deferredClaims []claimMsg
	// pending are the claims whose intents wait for the decision of the log.
	pending   map[protocol.IntentID]*pendingClaim
	committer committer
}

// pendingClaim is an intent that is not decided yet.
type pendingClaim struct {
	rec     protocol.Record
	replies []chan claimReply
}

func startPartition(parent context.Context, system *actor.ActorSystem, cfg *Config, scope tally.Scope, number int) *partition {
	p := &partition{
		cfg:     cfg,
		stream:  streamName(number),
		system:  system,
		metrics: newMetrics(scope, streamName(number)),
		index:   protocol.NewIndex(1),
		pending: make(map[protocol.IntentID]*pendingClaim),
	}
	p.logger = cfg.Logger.With(zap.String("stream", p.stream))
	p.ctx, p.cancel = context.WithCancel(parent)
	p.pid = system.Root.Spawn(actor.PropsFromFunc(p.receive))
	p.goroutines.Go(p.follow)
	p.goroutines.Go(p.expireLoop)
	return p
}

// stop stops the actor and then waits for the goroutines. After the actor has stopped, no new
// ones are started.
func (p *partition) stop() {
	p.cancel()
	p.sendMu.Lock()
	p.closed = true
	p.sendMu.Unlock()
	_ = p.system.Root.StopFuture(p.pid).Wait()
	p.goroutines.Wait()
}

// tell sends a message to the actor unless it has been stopped. It may be called from any
// goroutine.
func (p *partition) tell(msg any) {
	p.sendMu.RLock()
	defer p.sendMu.RUnlock()
	if !p.closed {
		p.system.Root.Send(p.pid, msg)
	}
}

func (p *partition) receive(c actor.Context) {
	switch msg := c.Message().(type) {
	case claimMsg:
		p.claim(msg)
	case appendMsg:
		p.enqueueRecord(msg)
	case pageMsg:
		p.handlePage(msg)
	case appendResultMsg:
		p.handleAppendResult(msg)
	case readBackMsg:
		p.handleReadBack(msg)
	case appendTimerMsg:
		p.committer.timerSet = false
		p.startNextAppend()
	case expireMsg:
		p.expireKeys()
	case flushMsg:
		p.committer.flushWaiters = append(p.committer.flushWaiters, msg.done)
		p.notifyIfFlushed()
	}
}

func (p *partition) now() time.Time { return p.cfg.Clock() }

func (p *partition) expireLoop() {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
			p.tell(expireMsg{})
		}
	}
}

func (p *partition) expireKeys() {
	droppedEarly := p.index.Expire(p.now().Add(-p.cfg.Window), p.firstRetained)
	p.metrics.keys.Update(float64(p.index.Len()))
	if droppedEarly > 0 {
		p.metrics.retentionShort.Inc(int64(droppedEarly))
		p.logger.Error("log drops records within the window; increase its retention or reduce the window",
			zap.String("event", "once_retention_short"), zap.Int("records", droppedEarly), zap.Duration("window", p.cfg.Window))
	}
}
