package group

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/decision/queue"
)

// park keeps a request that no upstream can serve now, if memory was claimed for it
// or it does not need more memory. Other requests return to the queue, which skips
// their key until a grant is released.
func (g *Group) park(now time.Time, it *queue.Item[*waiter]) {
	w := it.Value
	if len(g.parked) < g.cfg.tuning.maxParked {
		needsMemory := g.claim(now, w)
		if !needsMemory || w.claimedOn != nil {
			g.parked = append(g.parked, w)
			return
		}
	}
	g.queue.Requeue(it)
}

// retryParked tries to place the parked requests. If no capacity was freed since the
// last attempt, it tries only every parkedRetryInterval, because then only the end
// of a link booking can make a difference.
func (g *Group) retryParked(now time.Time) {
	if !g.capacityChanged && now.Before(g.parkedTriedAt.Add(parkedRetryInterval)) {
		return
	}
	g.capacityChanged = false
	g.parkedTriedAt = now
	for i := 0; i < len(g.parked); {
		w := g.parked[i]
		previousClaim := w.claimedOn
		g.unclaim(w)
		if plan := g.place(now, w); plan != nil {
			g.unpark(i)
			g.issueGrant(now, w, plan)
			continue
		}
		if g.renewClaim(now, w, previousClaim) && w.claimedOn == nil {
			g.unpark(i)
			g.queue.Requeue(w.item)
			continue
		}
		i++
	}
}

// renewClaim restores the previous claim if its memory is still expected in time and
// looks for another one otherwise. The result is that of claim.
func (g *Group) renewClaim(now time.Time, w *waiter, previousClaim *upstream) (needsMemory bool) {
	if previousClaim != nil && previousClaim.usable() {
		pieces := previousClaim.capacity.PiecesFor(w.PromptTokens, w.MaxTokens)
		if at, ok := previousClaim.memoryFreeAt(now, pieces); ok && at.Before(w.latestStart) {
			g.claimOn(w, previousClaim)
			return true
		}
	}
	return g.claim(now, w)
}

func (g *Group) unpark(i int) {
	g.unclaim(g.parked[i])
	g.parked = append(g.parked[:i], g.parked[i+1:]...)
	g.resumeKeys()
}

// resumeKeys makes up to maxResumedKeys skipped keys of the queue eligible again.
func (g *Group) resumeKeys() {
	for range g.cfg.tuning.maxResumedKeys {
		if !g.queue.Resume() {
			return
		}
	}
}

// removeParked removes a parked request without a grant and refunds its cost to the
// organisation's account in the queue.
func (g *Group) removeParked(i int) {
	w := g.parked[i]
	g.unpark(i)
	g.queue.AdjustCharge(w.Class, w.Organisation, w.KeyID, -w.cost)
}

// claim reserves memory, as it becomes free, on one upstream for a request that fits
// on none. It chooses the upstream that is expected to have enough first, and none
// if that is too late for the request: smaller requests could not use the reserved
// memory meanwhile. At most half of the upstreams have a claim at a time, so that
// the others remain available. needsMemory is false if an upstream that the request
// does not avoid has enough memory, so that only a slot or a link is missing.
func (g *Group) claim(now time.Time, w *waiter) (needsMemory bool) {
	if g.fitsMemory(now, w) {
		return false
	}
	if g.cfg.tuning.disableClaims || now.Before(w.nextClaimAt) || g.countClaims() >= max(1, len(g.servingUpstreams)/2) || !g.withinFairShare(w) {
		return true
	}
	w.nextClaimAt = now.Add(claimRetryInterval)
	var best *upstream
	bestAt := w.latestStart
	for _, u := range g.servingUpstreams {
		if !u.usable() || u.hasClaim || u.capacity.Pieces == 0 || avoided(w, u, g.servingUpstreams) {
			continue
		}
		pieces := u.capacity.PiecesFor(w.PromptTokens, w.MaxTokens)
		if at, ok := u.memoryFreeAt(now, pieces); ok && at.Before(bestAt) {
			best, bestAt = u, at
		}
	}
	if best != nil {
		g.claimOn(w, best)
	}
	return true
}

// fitsMemory reports whether an upstream has enough free memory for the request. Its
// slots and links are not considered.
func (g *Group) fitsMemory(now time.Time, w *waiter) bool {
	return slices.ContainsFunc(g.servingUpstreams, func(u *upstream) bool {
		return u.usable() && !avoided(w, u, g.servingUpstreams) &&
			u.capacity.PiecesFor(w.PromptTokens, w.MaxTokens) <= max(0, u.capacity.FreePieces(now))
	})
}

func (g *Group) countClaims() int {
	claims := 0
	for _, w := range g.parked {
		if w.claimedOn != nil {
			claims++
		}
	}
	return claims
}

func (g *Group) claimOn(w *waiter, u *upstream) {
	w.claimedOn = u
	w.claimedPieces = u.capacity.PiecesFor(w.PromptTokens, w.MaxTokens)
	u.hasClaim = true
	u.capacity.ReservePieces(w.claimedPieces)
}

func (g *Group) unclaim(w *waiter) {
	if w.claimedOn == nil {
		return
	}
	w.claimedOn.capacity.UnreservePieces(w.claimedPieces)
	w.claimedOn.hasClaim = false
	w.claimedOn, w.claimedPieces = nil, 0
}
