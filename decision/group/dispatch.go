package group

import (
	"time"

	"github.com/cairnworks/cairnworks/decision/queue"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/verdict"
)

// Advance handles what is due at now. It returns when it must be called next;
// the zero time means that nothing is due.
func (g *Group) Advance(now time.Time) ([]Decision, time.Time) {
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
		for _, h := range g.grants {
			if h.prefilling {
				next = earliest(next, h.prefillBy())
			}
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
			continue
		}
		g.park(now, it)
		if misses++; misses == maxMisses {
			g.triesSpent = true
			return
		}
	}
}

// park keeps a request that fits nowhere now at the front, or sends it back to
// the queue when enough are parked.
func (g *Group) park(now time.Time, it *queue.Item[*waiter]) {
	if len(g.parked) >= maxParked {
		g.queue.Return(it)
		return
	}
	g.claim(now, it.Value)
	g.parked = append(g.parked, it.Value)
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
	g.refuse(w, verdict.Refuse(verdict.ReasonQueueTimeout, advice(g.wait(now, w)),
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

// retryParked tries requests that were taken from the queue but did not fit.
func (g *Group) retryParked(now time.Time) {
	for i := 0; i < len(g.parked); {
		w := g.parked[i]
		claimed := w.claim
		g.unclaim(w)
		if r := g.place(now, w); r != nil {
			g.unpark(i)
			g.grant(now, w, r)
			continue
		}
		if claimed != nil && claimed.usable() {
			g.claimOn(w, claimed)
		} else {
			g.claim(now, w)
		}
		i++
	}
}

func (g *Group) unpark(i int) {
	g.unclaim(g.parked[i])
	g.parked = append(g.parked[:i], g.parked[i+1:]...)
	g.queue.Resume()
}

// drop takes out a parked request that is not granted and gives its charge back.
func (g *Group) drop(i int) {
	w := g.parked[i]
	g.unpark(i)
	g.queue.Settle(w.Class, w.Organisation, w.KeyID, -w.cost)
}

// claim makes the memory of one upstream gather for a request that fits nowhere:
// the one that has most of it free. A request that waits for a link or for an
// upstream that it need not avoid claims nothing. At most half of the upstreams
// gather at a time, so that the others stay open for requests that fit.
func (g *Group) claim(now time.Time, w *waiter) {
	if g.cfg.Kind == object.KindPlain || g.claims() >= max(1, len(g.sinks)/2) {
		return
	}
	var best *upstream
	for _, u := range g.sinks {
		if !u.usable() || u.claimed || u.account.Pieces == 0 || avoided(w, u, g.sinks) {
			continue
		}
		pieces := u.account.PiecesFor(w.PromptTokens, w.MaxTokens)
		free := u.account.FreePieces(now)
		if free >= pieces {
			return
		}
		if pieces <= u.account.Pieces && (best == nil || free > best.account.FreePieces(now)) {
			best = u
		}
	}
	if best != nil {
		g.claimOn(w, best)
	}
}

func (g *Group) claims() int {
	claims := 0
	for _, w := range g.parked {
		if w.claim != nil {
			claims++
		}
	}
	return claims
}

func (g *Group) claimOn(w *waiter, u *upstream) {
	w.claim = u
	w.claimPieces = u.account.PiecesFor(w.PromptTokens, w.MaxTokens)
	u.claimed = true
	u.account.Claim(w.claimPieces)
}

func (g *Group) unclaim(w *waiter) {
	if w.claim == nil {
		return
	}
	w.claim.account.Unclaim(w.claimPieces)
	w.claim.claimed = false
	w.claim, w.claimPieces = nil, 0
}
