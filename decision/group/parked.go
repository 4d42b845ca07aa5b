package group

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/decision/queue"
)

// park keeps a request that fits nowhere now, if memory can be claimed for it or
// it only waits for a link. Others go back to the queue, where their key is passed
// over until something is released.
func (g *Group) park(now time.Time, it *queue.Item[*waiter]) {
	w := it.Value
	if len(g.parked) < g.cfg.tune.maxParked {
		short := g.claim(now, w)
		if !short || w.claim != nil {
			g.parked = append(g.parked, w)
			return
		}
	}
	g.queue.Requeue(it)
}

// retryParked tries requests that were taken from the queue but did not fit.
// Without a change since the last try that can only help when a link came free
// with time.
func (g *Group) retryParked(now time.Time) {
	if !g.changed && now.Before(g.triedParked.Add(parkedRetry)) {
		return
	}
	g.changed = false
	g.triedParked = now
	for i := 0; i < len(g.parked); {
		w := g.parked[i]
		claimed := w.claim
		g.unclaim(w)
		if r := g.place(now, w); r != nil {
			g.unpark(i)
			g.grant(now, w, r)
			continue
		}
		if g.claimAgain(now, w, claimed) && w.claim == nil {
			g.unpark(i)
			g.queue.Requeue(w.item)
			continue
		}
		i++
	}
}

// claimAgain keeps a claim that can still be met and seeks another otherwise.
func (g *Group) claimAgain(now time.Time, w *waiter, claimed *upstream) (short bool) {
	if claimed != nil && claimed.usable() {
		pieces := claimed.account.PiecesFor(w.PromptTokens, w.MaxTokens)
		if at, ok := claimed.memoryAt(now, pieces); ok && at.Before(w.latest) {
			g.claimOn(w, claimed)
			return true
		}
	}
	return g.claim(now, w)
}

func (g *Group) unpark(i int) {
	g.unclaim(g.parked[i])
	g.parked = append(g.parked[:i], g.parked[i+1:]...)
	g.resume()
}

// resume gives keys that were passed over another turn.
func (g *Group) resume() {
	for range g.cfg.tune.maxResumed {
		if !g.queue.Resume() {
			return
		}
	}
}

// drop takes out a parked request that is not granted and gives its charge back.
func (g *Group) drop(i int) {
	w := g.parked[i]
	g.unpark(i)
	g.queue.AdjustCharge(w.Class, w.Organisation, w.KeyID, -w.cost)
}

// claim makes the memory of one upstream gather for a request that fits nowhere:
// the one that is expected to have it first, if that is in time; memory that
// gathers in vain would be lost to requests that fit. At most half of the
// upstreams gather at a time, so that the others stay open. It reports false for a
// request that waits for a link only, or for an upstream that it need not avoid.
func (g *Group) claim(now time.Time, w *waiter) (short bool) {
	if g.fitsMemory(now, w) {
		return false
	}
	if g.cfg.tune.noClaims || now.Before(w.claimAfter) || g.claims() >= max(1, len(g.sinks)/2) || !g.mayClaim(w) {
		return true
	}
	w.claimAfter = now.Add(claimRetry)
	var best *upstream
	bestAt := w.latest
	for _, u := range g.sinks {
		if !u.usable() || u.claimed || u.account.Pieces == 0 || avoided(w, u, g.sinks) {
			continue
		}
		pieces := u.account.PiecesFor(w.PromptTokens, w.MaxTokens)
		if at, ok := u.memoryAt(now, pieces); ok && at.Before(bestAt) {
			best, bestAt = u, at
		}
	}
	if best != nil {
		g.claimOn(w, best)
	}
	return true
}

// fitsMemory reports whether some upstream has the memory, though perhaps no slot
// or no link.
func (g *Group) fitsMemory(now time.Time, w *waiter) bool {
	return slices.ContainsFunc(g.sinks, func(u *upstream) bool {
		return u.usable() && !avoided(w, u, g.sinks) &&
			u.account.PiecesFor(w.PromptTokens, w.MaxTokens) <= max(0, u.account.FreePieces(now))
	})
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
	u.account.ReservePieces(w.claimPieces)
}

func (g *Group) unclaim(w *waiter) {
	if w.claim == nil {
		return
	}
	w.claim.account.UnreservePieces(w.claimPieces)
	w.claim.claimed = false
	w.claim, w.claimPieces = nil, 0
}
