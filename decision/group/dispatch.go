package group

import (
	"time"

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
	if !g.tellsPrefill && g.waitingCount() > 0 {
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

// dispatch refuses what can no longer be met and grants places while there are any.
func (g *Group) dispatch(now time.Time) []Decision {
	g.freeUntoldPrefills(now)
	g.expire(now)
	g.retryParked(now)
	for len(g.parked) < g.parkLimit() && g.hasPlace(now) {
		it := g.queue.Pop()
		if it == nil {
			break
		}
		g.placeOrPark(now, it.Value)
	}
	out := g.out
	g.out = nil
	return out
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
		g.unpark(i)
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

// parkLimit keeps at least half of the decode upstreams for requests that fit, so
// that large requests which gather memory do not block small ones.
func (g *Group) parkLimit() int { return min(maxParked, max(1, len(g.sinks)/2)) }

func (g *Group) placeOrPark(now time.Time, w *waiter) {
	if r := g.place(now, w); r != nil {
		g.grant(now, w, r)
		return
	}
	g.claim(now, w)
	g.parked = append(g.parked, w)
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
}

// claim makes the memory of one upstream gather for a request that fits nowhere:
// the one that has most of it free. A request that waits for a link or for an
// upstream that it need not avoid claims nothing.
func (g *Group) claim(now time.Time, w *waiter) {
	if g.cfg.Kind == object.KindPlain {
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
