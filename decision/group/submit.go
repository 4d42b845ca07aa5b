package group

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/decision/queue"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

// Submit adds a request. It is refused at once when it cannot meet its target or
// deadline behind what already waits. The decisions may concern other requests too.
func (g *Group) Submit(now time.Time, req Request) []Decision {
	g.unqueue(req.ID)
	// Places that came free with time are given to those that wait before the new
	// request is judged; else it could be refused beside a free place.
	g.serve(now)
	w := g.newWaiter(now, req)
	if refusal := g.refusal(now, w); refusal != nil {
		g.refuse(w, refusal)
		return g.dispatch(now)
	}
	w.item = &queue.Item[*waiter]{
		ID: w.ID, Organisation: w.Organisation, Key: w.KeyID, Class: w.Class,
		Cost: w.cost, LatestStart: w.latest, Value: w,
	}
	g.queue.Push(w.item)
	return g.dispatch(now)
}

// Withdraw removes a waiting request whose caller is gone. It gets no decision.
func (g *Group) Withdraw(now time.Time, requestID string) []Decision {
	g.unqueue(requestID)
	return g.dispatch(now)
}

func (g *Group) unqueue(requestID string) {
	if g.queue.Remove(requestID) {
		return
	}
	for i, w := range g.parked {
		if w.ID == requestID {
			g.drop(i)
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
	w.cost = g.estimate.cost(w, g.engineShare(w))
	w.latest = g.latestStart(w)
	return w
}

// bound is when the first token is due. The target binds interactive first
// attempts; a later attempt has lost time to a fault and may use all of its
// deadline, and so may deferrable requests.
func (g *Group) bound(w *waiter) time.Time {
	target := w.Arrived.Add(g.cfg.FirstToken)
	if w.Class == request.Interactive && w.Attempt <= 1 && target.Before(w.Deadline) {
		return target
	}
	return w.Deadline
}

func (g *Group) latestStart(w *waiter) time.Time {
	bound := g.bound(w)
	need := g.estimate.needed(w)
	most := time.Duration((1 - g.cfg.tune.waitPart) * float64(bound.Sub(w.submitted)))
	return bound.Add(-max(0, min(need, most)))
}

// refusal returns the verdict of a request that is not let into the queue, or nil.
func (g *Group) refusal(now time.Time, w *waiter) *verdict.Verdict {
	if !g.anyUsable() {
		return verdict.Refuse(verdict.ReasonNoUpstream, noUpstreamRetry, "no upstream of the service takes work")
	}
	if !g.everFits(w) {
		return verdict.Refuse(verdict.ReasonPromptTooLong, 0, "prompt and answer pass the memory of every upstream")
	}
	wait := g.wait(now, w)
	if !now.Before(g.bound(w)) {
		return verdict.Refuse(verdict.ReasonDeadlineUnmeetable, g.advice(now, w), "the deadline has passed")
	}
	if g.estimate.learnt() && now.Add(wait).After(w.latest) {
		return verdict.Refuse(verdict.ReasonDeadlineUnmeetable, g.advice(now, w),
			"expected wait of %s is too long for the deadline", wait.Round(time.Millisecond))
	}
	return nil
}

func (g *Group) anyUsable() bool {
	return anyUsable(g.sinks) && (g.cfg.Kind == object.KindPlain || anyUsable(g.entries))
}

func anyUsable(ups []*upstream) bool { return slices.ContainsFunc(ups, (*upstream).usable) }

func (g *Group) everFits(w *waiter) bool {
	if g.cfg.Kind == object.KindPlain {
		return true
	}
	for _, u := range g.sinks {
		if !u.usable() {
			continue
		}
		if u.account.PiecesFor(w.PromptTokens, w.MaxTokens) <= u.account.Pieces {
			return true
		}
	}
	return false
}

// wait estimates how long a new request waits for its grant.
func (g *Group) wait(now time.Time, w *waiter) time.Duration {
	// What is parked or suspended waits for memory or a link that this request may
	// not need.
	if !g.queue.Ready() && g.hasPlace(now) {
		return 0
	}
	ahead := g.queue.WorkAhead(w.Class, w.Organisation, w.KeyID, w.cost)
	for _, p := range g.parked {
		// Large parked requests gather memory on upstreams of their own.
		ahead += min(p.cost, w.cost)
	}
	share := g.cfg.DeferrableShare
	interval := g.interval(now)
	if w.Class == request.Deferrable {
		ahead += g.queue.Cost(request.Interactive)
		ahead /= max(share, 1-g.estimate.interactiveLoad(now, interval))
		return min(g.estimate.drainTime(ahead, interval), g.fairWait(w))
	}
	ahead += min(g.queue.Cost(request.Deferrable), ahead*share/(1-share))
	return g.estimate.drainTime(ahead, interval)
}

func (g *Group) queued() int {
	return g.queue.Len(request.Interactive) + g.queue.Len(request.Deferrable)
}

func (g *Group) refuse(w *waiter, v *verdict.Verdict) {
	g.out = append(g.out, Decision{RequestID: w.ID, Refusal: v})
}
