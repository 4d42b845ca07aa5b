package instance

import (
	"time"

	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

// newRetrier returns the policy for further attempts.
func (i *Instance) newRetrier() route.Retrier { return thinRetrier{} }

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
