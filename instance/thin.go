package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

// thinRetrier allows two more attempts.
type thinRetrier struct{}

func (thinRetrier) Next(_ string, attempt int, v *verdict.Verdict, now, deadline time.Time) (time.Duration, verdict.Reason, bool) {
	const backoff = 20 * time.Millisecond
	if attempt >= 3 || !v.Reason.Retryable() || now.Add(backoff).After(deadline) {
		return 0, v.Reason, false
	}
	return backoff, "", true
}

func (thinRetrier) Succeeded(string) {}

// thinRate admits everything.
type thinRate struct{}

func (thinRate) Admit(_ context.Context, organisation string, cost uint64) (route.Charge, error) {
	return route.Charge{Organisation: organisation, Tokens: cost}, nil
}

func (thinRate) Settle(route.Charge, uint64) {}

// thinGuard refuses every call that needs a guard.
type thinGuard struct{}

func (thinGuard) Begin(context.Context, route.GuardedCall) (*route.Ticket, *route.RecordedAnswer, error) {
	return nil, nil, verdict.Refuse(verdict.ReasonLogUnavailable, time.Second, "the at-most-once guard is not running")
}

func (thinGuard) Finish(context.Context, *route.Ticket, route.RecordedAnswer) error { return nil }

func (thinGuard) Abandon(context.Context, *route.Ticket) error { return nil }

func (i *Instance) buildStages() error {
	i.stages.rate, i.stages.guard = thinRate{}, thinGuard{}
	return nil
}

func (i *Instance) mountStages(*http.ServeMux) {}

func newRetrier() route.Retrier { return thinRetrier{} }
