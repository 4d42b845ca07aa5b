package group

import "time"

const (
	// minRetry is the shortest advice: under it a caller would come back before
	// anything can have changed.
	minRetry = 100 * time.Millisecond
	// maxRetry bounds the advice. Under lasting overload the work that was sent
	// away grows without end, and a caller that is told more than a minute gives up.
	maxRetry = time.Minute
	// returnPart is the part of the capacity that is expected to be left for those
	// who come back beside new requests. With all of it seven in ten of those sent
	// away by a burst were answered when they came back, with half of it nine in
	// ten (TestAdviceHoldsAfterABurst).
	returnPart = 0.5
	// minReturns is the least number of organisations kept before drained ones are
	// looked for.
	minReturns = 64
)

// returns is the work of one organisation that was refused and told to come back.
type returns struct {
	// cost in engine-seconds at the time at.
	cost float64
	at   time.Time
}

// advice is when to come back: when what waits now will have been served, and what
// was sent away before as well. Without the second part all that a burst sends
// away come back together, find the service as full as before and are refused
// again. Each organisation stands behind its own refused work only.
func (g *Group) advice(now time.Time, w *waiter) time.Duration {
	rate := returnPart * g.estimate.meanCost / g.interval(now) / float64(max(1, len(g.shares)))
	r := g.returning[w.Organisation]
	r.cost = max(0, r.cost-now.Sub(r.at).Seconds()*rate)
	after := g.wait(now, w) + min(maxRetry, seconds(r.cost/rate))
	r.cost = min(r.cost+w.cost, maxRetry.Seconds()*rate)
	r.at = now
	g.returning[w.Organisation] = r
	g.forgetReturns(now)
	return min(max(minRetry, after), maxRetry)
}

// forgetReturns drops organisations that nothing was refused to for maxRetry, when
// their number has doubled since the last time.
func (g *Group) forgetReturns(now time.Time) {
	if len(g.returning) < g.returnsLimit {
		return
	}
	for name, r := range g.returning {
		if now.Sub(r.at) > maxRetry {
			delete(g.returning, name)
		}
	}
	g.returnsLimit = max(minReturns, 2*len(g.returning))
}
