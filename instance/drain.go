package instance

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/verdict"
)

const (
	// drainPollInterval is the interval at which a drain checks whether the last request has
	// completed.
	drainPollInterval = 20 * time.Millisecond
	// leaveTimeout limits the handover of rate homes, and the announcement that the instance leaves
	// the fleet.
	leaveTimeout = 10 * time.Second
	// answerTimeout limits the time for the error responses to requests that are cancelled at the end of a drain.
	answerTimeout = time.Second
	// stoppingRetry is the Retry-After of these responses. Other instances can serve the requests at once.
	stoppingRetry = 50 * time.Millisecond
)

// drainState is the progress of a graceful shutdown.
type drainState struct {
	once sync.Once
	// started is closed when the instance stops being ready.
	started chan struct{}
	// finished is closed when the drain is complete.
	finished chan struct{}
}

func newDrainState() *drainState {
	return &drainState{started: make(chan struct{}), finished: make(chan struct{})}
}

func (d *drainState) draining() bool {
	select {
	case <-d.started:
		return true
	default:
		return false
	}
}

// Drain starts a graceful shutdown and returns immediately; Run returns when the shutdown is
// complete. The instance first reports that it is not ready, and still accepts requests for some
// time: the platform's load balancer detects the change with a delay, and a connection refused in
// the meantime would be a lost request.
func (i *Instance) Drain() {
	i.drain.once.Do(func() {
		close(i.drain.started)
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
	i.log.Info("draining", zap.Int64("open", i.callerHandler.OpenRequests()))
	i.members.SetDraining(true)
	i.callerHandler.CloseConnections()
	i.handOverHomes(ctx)
	sleep(ctx, time.Duration(i.settings.DrainGraceSeconds)*time.Second)
	// Connections that are idle now have been idle since the load balancer stopped sending
	// requests.
	if err := i.listeners.callers.server.Shutdown(ctx); err != nil {
		i.log.Warn("drain incomplete", zap.Int64("open", i.callerHandler.OpenRequests()), zap.Error(err))
	}
	i.waitIdle(ctx)
	if ctx.Err() != nil {
		i.answerOpenRequests()
	}
	leaveCtx, stop := context.WithTimeout(context.Background(), leaveTimeout)
	defer stop()
	if err := i.members.Leave(leaveCtx); err != nil {
		i.log.Warn("could not announce leaving the fleet", zap.Error(err))
	}
	i.log.Info("drained")
	close(i.drain.finished)
}

// answerOpenRequests cancels the requests that are still open at the end of a drain, so that their callers get an error
// response instead of a closed connection.
func (i *Instance) answerOpenRequests() {
	cancelled := i.openRequests.cancelAll(verdict.Refuse(verdict.ReasonStopping, stoppingRetry, "the instance is shutting down"))
	i.log.Warn("requests cancelled at the end of the drain", zap.Int("requests", cancelled))
	ctx, stop := context.WithTimeout(context.Background(), answerTimeout)
	defer stop()
	if err := i.listeners.callers.server.Shutdown(ctx); err != nil {
		i.log.Warn("requests cut off at the end of the drain", zap.Int64("open", i.callerHandler.OpenRequests()), zap.Error(err))
	}
}

// handOverHomes transfers the rate homes to other instances.
func (i *Instance) handOverHomes(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, leaveTimeout)
	defer stop()
	if err := i.rate.Drain(ctx); err != nil {
		i.log.Warn("rate homes not handed over", zap.Error(err))
	}
}

// waitIdle waits until no request is open and none of this instance's schedulers has pending
// reservations.
func (i *Instance) waitIdle(ctx context.Context) {
	for i.callerHandler.OpenRequests() > 0 || i.scheduler.PendingReservations() > 0 {
		if !sleep(ctx, drainPollInterval) {
			return
		}
	}
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
