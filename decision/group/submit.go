package group

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/decision/queue"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

// Submit adds a request. The request is refused immediately if it cannot meet its
// target or deadline after the requests that already wait. The decisions may include
// those of other requests.
func (g *Group) Submit(now time.Time, req Request) []Decision {
	g.removeWaiting(req.ID)
	// Capacity that became free with time is granted to waiting requests before the
	// admission check; otherwise the new request could be refused although a slot is
	// free.
	g.schedule(now)
	w := g.newWaiter(now, req)
	if refusal := g.checkAdmission(now, w); refusal != nil {
		g.refuse(w, refusal)
		return g.dispatch(now)
	}
	w.item = &queue.Item[*waiter]{
		ID: w.ID, Organisation: w.Organisation, Key: w.KeyID, Class: w.Class,
		Cost: w.cost, LatestStart: w.latestStart, Value: w,
	}
	g.queue.Push(w.item)
	return g.dispatch(now)
}

// Withdraw removes a waiting request whose caller has disconnected, without a
// decision for it.
func (g *Group) Withdraw(now time.Time, requestID string) []Decision {
	g.removeWaiting(requestID)
	return g.dispatch(now)
}

func (g *Group) removeWaiting(requestID string) {
	if g.queue.Remove(requestID) {
		return
	}
	for i, w := range g.parked {
		if w.ID == requestID {
			g.removeParked(i)
			return
		}
	}
}

func (g *Group) newWaiter(now time.Time, req Request) *waiter {
	if req.Class != request.Deferrable {
		req.Class = request.Interactive
	}
	if req.Arrived.IsZero() {
		req.Arrived = now
	}
	if req.Deadline.IsZero() {
		req.Deadline = req.Arrived.Add(g.cfg.FirstToken)
	}
	w := &waiter{Request: req, submitted: now}
	w.cost = g.estimates.cost(w, g.engineShare(w))
	w.latestStart = g.latestStart(w)
	return w
}

// firstTokenDeadline is when the first token is due. The target applies to the first
// attempt of interactive requests. A later attempt has lost time to a failure and may
// use its whole deadline, as deferrable requests may.
func (g *Group) firstTokenDeadline(w *waiter) time.Time {
	target := w.Arrived.Add(g.cfg.FirstToken)
	if w.Class == request.Interactive && w.Attempt <= 1 && target.Before(w.Deadline) {
		return target
	}
	return w.Deadline
}

// latestStart is the latest time at which a grant still lets the request meet its
// deadline.
func (g *Group) latestStart(w *waiter) time.Time {
	deadline := g.firstTokenDeadline(w)
	needed := g.estimates.timeToFirstToken(w)
	maxReserve := time.Duration((1 - g.cfg.tuning.minWaitShare) * float64(deadline.Sub(w.submitted)))
	return deadline.Add(-max(0, min(needed, maxReserve)))
}

// checkAdmission returns the refusal of a request that must not be queued, or nil.
func (g *Group) checkAdmission(now time.Time, w *waiter) *verdict.Verdict {
	if !g.anyUsable() {
		return verdict.Refuse(verdict.ReasonNoUpstream, noUpstreamRetryAfter, "no upstream of the service accepts requests")
	}
	if !g.canEverFit(w) {
		return verdict.Refuse(verdict.ReasonPromptTooLong, 0, "prompt and answer exceed the memory of every upstream")
	}
	wait := g.expectedWait(now, w)
	if !now.Before(g.firstTokenDeadline(w)) {
		return verdict.Refuse(verdict.ReasonDeadlineUnmeetable, g.retryAfter(now, w), "the deadline has passed")
	}
	if g.estimates.hasEnoughOutcomes() && now.Add(wait).After(w.latestStart) {
		return verdict.Refuse(verdict.ReasonDeadlineUnmeetable, g.retryAfter(now, w),
			"expected wait of %s is too long for the deadline", wait.Round(time.Millisecond))
	}
	return nil
}

func (g *Group) anyUsable() bool {
	return anyUsable(g.servingUpstreams) && (g.cfg.Kind == object.KindPlain || anyUsable(g.prefillUpstreams))
}

func anyUsable(ups []*upstream) bool { return slices.ContainsFunc(ups, (*upstream).usable) }

// canEverFit reports whether a usable upstream has enough memory for the request
// when it is empty.
func (g *Group) canEverFit(w *waiter) bool {
	if g.cfg.Kind == object.KindPlain {
		return true
	}
	for _, u := range g.servingUpstreams {
		if !u.usable() {
			continue
		}
		if u.capacity.PiecesFor(w.PromptTokens, w.MaxTokens) <= u.capacity.Pieces {
			return true
		}
	}
	return false
}

// expectedWait estimates how long a new request waits for its grant.
func (g *Group) expectedWait(now time.Time, w *waiter) time.Duration {
	// Parked requests and suspended keys wait for memory or a link that this request
	// may not need.
	if !g.queue.Ready() && g.hasFreeSlots(now) {
		return 0
	}
	ahead := g.queue.WorkAhead(w.Class, w.Organisation, w.KeyID, w.cost)
	for _, parked := range g.parked {
		// A large parked request reserves memory on an upstream of its own, so it
		// delays this one by no more than a request of the same size.
		ahead += min(parked.cost, w.cost)
	}
	share := g.cfg.DeferrableShare
	interval := g.grantInterval(now)
	if w.Class == request.Deferrable {
		ahead += g.queue.Cost(request.Interactive)
		ahead /= max(share, 1-g.estimates.interactiveLoad(now, interval))
		return min(g.estimates.drainTime(ahead, interval), g.fairShareWait(w))
	}
	ahead += min(g.queue.Cost(request.Deferrable), ahead*share/(1-share))
	return g.estimates.drainTime(ahead, interval)
}

func (g *Group) queueLength() int {
	return g.queue.Len(request.Interactive) + g.queue.Len(request.Deferrable)
}

func (g *Group) refuse(w *waiter, refusal *verdict.Verdict) {
	g.decisions = append(g.decisions, Decision{RequestID: w.ID, Refusal: refusal})
}
