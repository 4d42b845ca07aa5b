package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cairnworks/cairnworks/verdict"
)

// stoppingRetry is the Retry-After of requests that a stopping instance refuses. Other instances can serve them at once.
const stoppingRetry = 50 * time.Millisecond

// errStopping ends the calls that are open at the end of a shutdown.
var errStopping = errors.New("the instance is stopping")

// shutdown is the progress of a graceful shutdown.
type shutdown struct {
	// end is the time at which all calls are ended; nil before the shutdown.
	end atomic.Pointer[time.Time]
	// late is set once the load balancer sends no more requests.
	late atomic.Bool
	// calls is the number of calls that are open.
	calls atomic.Int64
	// serving ends with the shutdown; its cause is errStopping.
	serving context.Context
	stop    context.CancelCauseFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.serving, s.stop = context.WithCancelCause(context.Background())
	return s
}

// started reports whether the instance is shutting down.
func (s *shutdown) started() bool { return s.end.Load() != nil }

// Drain makes all further responses close their connections, so that callers reconnect elsewhere. At end, calls that are
// still open are cancelled: callers get an error response, or a truncated one if the answer has begun.
func (g *Gateway) Drain(end time.Time) {
	g.shutdown.end.Store(&end)
	time.AfterFunc(time.Until(end), func() { g.shutdown.stop(errStopping) })
}

// RefuseLate refuses further requests whose deadlines are after the end of the shutdown. Drain must have been called.
func (g *Gateway) RefuseLate() { g.shutdown.late.Store(true) }

// OpenCalls returns the number of requests that are being handled.
func (g *Gateway) OpenCalls() int64 { return g.shutdown.calls.Load() }

// refusal refuses a call that may not be answered before the end of the shutdown. It returns nil if it may run.
func (s *shutdown) refusal(c *Call) *verdict.Verdict {
	if !s.late.Load() || !c.Deadline.After(*s.end.Load()) {
		return nil
	}
	return verdict.Refuse(verdict.ReasonStopping, stoppingRetry, "the instance is shutting down")
}

// callContext returns a context that ends at the deadline of a call or at the end of the shutdown. A call that begins during
// the shutdown gets its end as the deadline, which is sent to upstreams.
func (s *shutdown) callContext(parent context.Context, c *Call) (context.Context, context.CancelFunc) {
	if end := s.end.Load(); end != nil && end.Before(c.Deadline) {
		c.Deadline = *end
	}
	bounded, release := context.WithDeadline(parent, c.Deadline)
	ctx, cancel := context.WithCancelCause(bounded)
	forget := context.AfterFunc(s.serving, func() { cancel(errStopping) })
	return ctx, func() {
		forget()
		cancel(nil)
		release()
	}
}

// attributeCancel replaces the verdict of a cancelled call if the shutdown, and not the caller, has cancelled it.
func attributeCancel(ctx context.Context, v *verdict.Verdict) *verdict.Verdict {
	if v.Reason != verdict.ReasonCancelled || !errors.Is(context.Cause(ctx), errStopping) {
		return v
	}
	stopped := *v
	stopped.Reason, stopped.Detail = verdict.ReasonStopping, "the instance is shutting down"
	if v.Ran == verdict.NotRun {
		stopped.RetryAfter = stoppingRetry
	}
	return &stopped
}
