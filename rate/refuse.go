package rate

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/rate/share"
	"github.com/cairnworks/cairnworks/verdict"
)

// homeRetryAfter is when a caller should come back after a share had no home: a death
// is noticed in about 2 s, and the successor waits 3 s.
const homeRetryAfter = 5 * time.Second

// maxRetryAfter bounds the search for the time of admission.
const maxRetryAfter = 24 * time.Hour

// refusal says why a gather came to less than the cost, and when to come back.
func (g *gather) refusal(ctx context.Context) error {
	if ctx.Err() != nil {
		return verdict.Refuse(verdict.ReasonCancelled, 0, "the caller has gone")
	}
	after, ok := g.timeUntilEnough()
	missing := g.cost - g.got
	if missing <= g.mayHold(func(sh *gatherShare) bool { return sh.doubtful }) {
		if !ok || after > homeRetryAfter {
			after = homeRetryAfter
		}
		return verdict.Refuse(verdict.ReasonRateHomeUnavailable, after,
			"%d of %d tokens are there, and the rest may lie where nobody can be asked now", g.got, g.cost)
	}
	if !ok {
		after = homeRetryAfter
	}
	return verdict.Refuse(verdict.ReasonRateLimited, after, "%d of %d tokens are there now", g.got, g.cost)
}

// timeUntilEnough returns when the reachable shares will together hold the cost if
// nobody else takes from them, to a millisecond.
func (g *gather) timeUntilEnough() (time.Duration, bool) {
	if g.heldAfter(maxRetryAfter) < g.cost {
		return 0, false
	}
	low, high := time.Duration(0), maxRetryAfter
	for high-low > time.Millisecond {
		mid := low + (high-low)/2
		if g.heldAfter(mid) >= g.cost {
			high = mid
		} else {
			low = mid
		}
	}
	return high, true
}

// heldAfter returns the whole tokens in the reachable shares after a time. Each gave
// all it had, so its level is what it gave.
func (g *gather) heldAfter(d time.Duration) uint64 {
	sum := uint64(0)
	for i := range g.shares {
		sh := &g.shares[i]
		if sh.doubtful {
			continue
		}
		level := uint64(0)
		for _, p := range sh.parts {
			level += p.Tokens
		}
		sum += share.TokensAfter(share.LimitOf(g.limit, uint32(i)), level, d)
	}
	return sum
}
