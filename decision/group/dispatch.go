package group

import (
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/verdict"
)

// Advance handles timeouts and retries that are due at now. It also returns the time
// of the next call that is needed; the zero time means that none is.
func (g *Group) Advance(now time.Time) ([]Decision, time.Time) {
	for _, u := range g.byName {
		u.capacity.RaiseLimit(now)
	}
	decisions := g.dispatch(now)
	next := g.queue.NextExpiry()
	for _, w := range g.parked {
		next = earliest(next, w.latestStart)
		if w.reservedOn == nil {
			next = earliest(next, now.Add(parkedRetryInterval))
		}
	}
	if g.queueUnfinished {
		next = earliest(next, now.Add(parkedRetryInterval))
	}
	if !g.prefillDoneReported && g.queueLength()+len(g.parked) > 0 {
		for _, rec := range g.timedPrefills {
			next = earliest(next, rec.prefillTimeout())
		}
	}
	return decisions, next
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// dispatch schedules requests and returns the decisions since the last call.
func (g *Group) dispatch(now time.Time) []Decision {
	g.schedule(now)
	decisions := g.decisions
	g.decisions = nil
	return decisions
}

// schedule refuses requests that can no longer meet their deadline and issues grants
// while there is capacity.
func (g *Group) schedule(now time.Time) {
	g.freeTimedOutPrefills(now)
	g.expire(now)
	g.retryParked(now)
	g.placeQueued(now)
}

// placeQueued places queued requests in order while slots are free. The number of
// failed placements is limited, so that a decision stays short even if the next
// request of every organisation is too large for the free capacity.
func (g *Group) placeQueued(now time.Time) {
	g.queueUnfinished = false
	for failed := 0; g.hasFreeSlots(now); {
		it := g.queue.Pop()
		if it == nil {
			return
		}
		w := it.Value
		if plan := g.place(now, w); plan != nil {
			g.issueGrant(now, w, plan)
			// A request whose key was suspended may fit now that this one did.
			g.queue.Resume()
			continue
		}
		g.park(now, it)
		if failed++; failed >= g.cfg.tuning.maxFailedPlacements {
			g.queueUnfinished = true
			return
		}
	}
}

// expire refuses waiting requests that can no longer meet their deadline, so that no
// prefill is spent on an answer that would be too late.
func (g *Group) expire(now time.Time) {
	for it := g.queue.PopExpired(now); it != nil; it = g.queue.PopExpired(now) {
		g.refuseExpired(now, it.Value)
	}
	for i := 0; i < len(g.parked); {
		w := g.parked[i]
		if w.latestStart.After(now) {
			i++
			continue
		}
		g.removeParked(i)
		g.refuseExpired(now, w)
	}
}

func (g *Group) refuseExpired(now time.Time, w *waiter) {
	g.refuse(w, verdict.Refuse(verdict.ReasonQueueTimeout, g.retryAfter(now, w),
		"no capacity became free within %s", now.Sub(w.submitted).Round(time.Millisecond)))
}

// hasFreeSlots reports whether every role that a request needs has a free slot.
func (g *Group) hasFreeSlots(now time.Time) bool {
	return anyHasFreeSlot(now, g.servingUpstreams) && (g.cfg.Kind == object.KindPlain || anyHasFreeSlot(now, g.prefillUpstreams))
}

func anyHasFreeSlot(now time.Time, ups []*upstream) bool {
	for _, u := range ups {
		if u.hasFreeSlot(now) {
			return true
		}
	}
	return false
}
