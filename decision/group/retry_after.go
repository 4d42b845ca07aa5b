package group

import "time"

const (
	// minRetryAfter is the shortest delay: a caller that retries sooner finds the
	// state unchanged.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter limits the delay. Under continuous overload the refused work
	// grows without bound, and callers give up when told to wait more than a minute.
	maxRetryAfter = time.Minute
	// retryCapacityShare is the share of the capacity that is expected to be
	// available for retries; new requests use the rest. After a burst, 7 in 10
	// retries were answered with the whole capacity and 9 in 10 with half of it
	// (TestRetryAfterFollowingBurst).
	retryCapacityShare = 0.5
	// minRefusedWorkLimit is the smallest number of organisations at which
	// pruneRefusedWork looks for old entries.
	minRefusedWorkLimit = 64
)

// refusedWork is the work of one organisation that was refused with a retry delay.
type refusedWork struct {
	// cost in engine-seconds at the time at.
	cost float64
	at   time.Time
}

// retryAfter returns the delay after which a refused request should be retried: the
// time to serve the requests that wait now and the work that the organisation was
// refused before. Without the refused work, all requests refused during a burst
// would be retried together, find the service still full and be refused again. The
// refused work of other organisations is not included.
func (g *Group) retryAfter(now time.Time, w *waiter) time.Duration {
	rate := retryCapacityShare * g.estimates.meanCost / g.grantInterval(now) / float64(max(1, len(g.usage)))
	r := g.refusedWork[w.Organisation]
	r.cost = max(0, r.cost-now.Sub(r.at).Seconds()*rate)
	after := g.expectedWait(now, w) + min(maxRetryAfter, seconds(r.cost/rate))
	r.cost = min(r.cost+w.cost, maxRetryAfter.Seconds()*rate)
	r.at = now
	g.refusedWork[w.Organisation] = r
	g.pruneRefusedWork(now)
	return min(max(minRetryAfter, after), maxRetryAfter)
}

// pruneRefusedWork deletes organisations without a refusal in the last
// maxRetryAfter. It does so when their number has doubled since the last pruning.
func (g *Group) pruneRefusedWork(now time.Time) {
	if len(g.refusedWork) < g.refusedWorkLimit {
		return
	}
	for name, r := range g.refusedWork {
		if now.Sub(r.at) > maxRetryAfter {
			delete(g.refusedWork, name)
		}
	}
	g.refusedWorkLimit = max(minRefusedWorkLimit, 2*len(g.refusedWork))
}
