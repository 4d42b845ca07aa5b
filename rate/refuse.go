package rate

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/rate/share"
	"github.com/cairnworks/cairnworks/verdict"
)

// homeRetryAfter is the retry delay for callers when a share has no home: a failed instance
// is detected in about 2 s, and its successor waits 3 s.
const homeRetryAfter = 5 * time.Second

// maxRetryAfter is the upper bound of the search for the time of admission.
const maxRetryAfter = 24 * time.Hour

// refusal returns the reason why the collected tokens are less than the cost, and when to
// retry.
func (a *admission) refusal(ctx context.Context) error {
	if ctx.Err() != nil {
		return verdict.Refuse(verdict.ReasonCancelled, 0, "the caller cancelled the request")
	}
	after, ok := a.timeUntilAvailable()
	missing := a.cost - a.got
	if missing <= a.maxTokens(func(sh *admissionShare) bool { return sh.unavailable }) {
		if !ok || after > homeRetryAfter {
			after = homeRetryAfter
		}
		return verdict.Refuse(verdict.ReasonRateHomeUnavailable, after,
			"%d of %d tokens are available; the rest may be in shares whose home is unreachable", a.got, a.cost)
	}
	if !ok {
		after = homeRetryAfter
	}
	return verdict.Refuse(verdict.ReasonRateLimited, after, "%d of %d tokens are available now", a.got, a.cost)
}

// timeUntilAvailable returns the time, to a millisecond, until the reachable shares together
// hold the cost if no other request takes from them.
func (a *admission) timeUntilAvailable() (time.Duration, bool) {
	if a.tokensAfter(maxRetryAfter) < a.cost {
		return 0, false
	}
	low, high := time.Duration(0), maxRetryAfter
	for high-low > time.Millisecond {
		mid := low + (high-low)/2
		if a.tokensAfter(mid) >= a.cost {
			high = mid
		} else {
			low = mid
		}
	}
	return high, true
}

// tokensAfter returns the number of whole tokens in the reachable shares after a time d, if
// the grants are refunded. Each share granted all it had, so its level is the sum of its
// grants.
func (a *admission) tokensAfter(d time.Duration) uint64 {
	sum := uint64(0)
	for i := range a.shares {
		sh := &a.shares[i]
		if sh.unavailable {
			continue
		}
		level := uint64(0)
		for _, p := range sh.parts {
			level += p.Tokens
		}
		sum += share.TokensAfter(share.LimitOf(a.limit, uint32(i)), level, d)
	}
	return sum
}
