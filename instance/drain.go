package instance

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// drainPoll is how often a drain looks whether the last request has ended.
	drainPoll = 20 * time.Millisecond
	// leaveTimeout bounds the hand-over of homes and the farewell to the fleet.
	leaveTimeout = 10 * time.Second
)

// drainState is how far a graceful shutdown has come.
type drainState struct {
	once sync.Once
	// begun is closed when the instance stops being ready.
	begun chan struct{}
	// finished is closed when nothing is left to do.
	finished chan struct{}
}

func newDrainState() *drainState {
	return &drainState{begun: make(chan struct{}), finished: make(chan struct{})}
}

func (d *drainState) draining() bool {
	select {
	case <-d.begun:
		return true
	default:
		return false
	}
}

// Drain shuts the instance down gracefully and returns at once; Run returns when
// it is done. Readiness goes first and requests are still taken for a while: the
// platform's balancer learns late that the instance is leaving, and a connection
// refused in that time would be a request lost.
func (i *Instance) Drain() {
	i.drain.once.Do(func() {
		close(i.drain.begun)
		go i.runDrain()
	})
}

func (i *Instance) runDrain() {
	ctx := context.Background()
	if i.settings.DrainSeconds > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, time.Duration(i.settings.DrainSeconds)*time.Second)
		defer stop()
	}
	i.log.Info("draining", zap.Int64("open", i.door.OpenRequests()))
	i.members.SetDraining(true)
	i.door.CloseConnections()
	i.handOver(ctx)
	sleep(ctx, time.Duration(i.settings.DrainGraceSeconds)*time.Second)
	// What is idle now has been idle since the balancer stopped sending here.
	if err := i.listeners.callers.server.Shutdown(ctx); err != nil {
		i.log.Warn("drain cut short", zap.Int64("open", i.door.OpenRequests()), zap.Error(err))
	}
	i.waitUnused(ctx)
	leaveCtx, stop := context.WithTimeout(context.Background(), leaveTimeout)
	defer stop()
	if err := i.members.Leave(leaveCtx); err != nil {
		i.log.Warn("left without farewell", zap.Error(err))
	}
	i.log.Info("drained")
	close(i.drain.finished)
}

// handOver gives the rate homes to other instances.
func (i *Instance) handOver(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, leaveTimeout)
	defer stop()
	if err := i.rate.Drain(ctx); err != nil {
		i.log.Warn("homes not handed over", zap.Error(err))
	}
}

// waitUnused waits until no request is open and none of this instance's
// schedulers has askers waiting.
func (i *Instance) waitUnused(ctx context.Context) {
	for i.door.OpenRequests() > 0 || i.sched.Waiting() > 0 {
		if !sleep(ctx, drainPoll) {
			return
		}
	}
}

// sleep waits and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
