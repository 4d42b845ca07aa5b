package group

import (
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/verdict"
)

// Advance handles what is due at now. It returns when it must be called next;
// the zero time means that nothing is due.
func (g *Group) Advance(now time.Time) ([]Decision, time.Time) {
	for _, u := range g.byName {
		u.account.RaiseLimit(now)
	}
	decisions := g.dispatch(now)
	next := g.queue.NextExpiry()
	for _, w := range g.parked {
		next = earliest(next, w.latest)
		if w.claim == nil {
			next = earliest(next, now.Add(parkedRetry))
		}
	}
	if g.triesSpent {
		next = earliest(next, now.Add(parkedRetry))
	}
	if !g.tellsPrefill && g.queued()+len(g.parked) > 0 {
		for _, h := range g.untold {
			next = earliest(next, h.prefillBy())
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

// dispatch serves and returns the decisions since the last call.
func (g *Group) dispatch(now time.Time) []Decision {
	g.serve(now)
	out := g.out
	g.out = nil
	return out
}

// serve refuses what can no longer be met and grants places while there are any.
func (g *Group) serve(now time.Time) {
	g.freeUntoldPrefills(now)
	g.expire(now)
	g.retryParked(now)
	g.grantQueued(now)
}

// grantQueued serves the queue in its order while a place is free. The number of
// tries is bounded, so that a decision is short also when the next request of
// every organisation is too large for what is free.
func (g *Group) grantQueued(now time.Time) {
	g.triesSpent = false
	for misses := 0; g.hasPlace(now); {
		it := g.queue.Pop()
		if it == nil {
			return
		}
		w := it.Value
		if r := g.place(now, w); r != nil {
			g.grant(now, w, r)
			// Where this one fitted, one that was passed over may fit too.
			g.queue.Resume()
			continue
		}
		g.park(now, it)
		if misses++; misses >= g.cfg.tune.maxMisses {
			g.triesSpent = true
			return
		}
	}
}

// expire refuses waiting requests that can no longer meet their deadline, so that
// no prefill is spent on an answer that comes too late.
func (g *Group) expire(now time.Time) {
	for it := g.queue.PopExpired(now); it != nil; it = g.queue.PopExpired(now) {
		g.refuseLate(now, it.Value)
	}
	for i := 0; i < len(g.parked); {
		w := g.parked[i]
		if w.latest.After(now) {
			i++
			continue
		}
		g.drop(i)
		g.refuseLate(now, w)
	}
}

func (g *Group) refuseLate(now time.Time, w *waiter) {
	g.refuse(w, verdict.Refuse(verdict.ReasonQueueTimeout, g.advice(now, w),
		"no place came free within %s", now.Sub(w.submitted).Round(time.Millisecond)))
}

// hasPlace reports whether some request can be granted now.
func (g *Group) hasPlace(now time.Time) bool {
	return anyFree(now, g.sinks) && (g.cfg.Kind == object.KindPlain || anyFree(now, g.entries))
}

func anyFree(now time.Time, ups []*upstream) bool {
	for _, u := range ups {
		if u.free(now) {
			return true
		}
	}
	return false
}
