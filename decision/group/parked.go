package group

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/decision/queue"
)

// park keeps a request that no upstream can serve now, if memory was reserved for it
// or it does not need more memory. Other requests return to the queue, which suspends
// their key until a grant is released.
func (g *Group) park(now time.Time, it *queue.Item[*waiter]) {
	w := it.Value
	if len(g.parked) < g.cfg.tuning.maxParked {
		needsMemory := g.reserve(now, w)
		if !needsMemory || w.reservedOn != nil {
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
		previousReservation := w.reservedOn
		g.unreserve(w)
		if plan := g.place(now, w); plan != nil {
			g.unpark(i)
			g.issueGrant(now, w, plan)
			continue
		}
		if g.renewReservation(now, w, previousReservation) && w.reservedOn == nil {
			g.unpark(i)
			g.queue.Requeue(w.item)
			continue
		}
		i++
	}
}

// renewReservation restores the previous reservation if its memory is still expected in
// time and looks for another one otherwise. The result is that of reserve.
func (g *Group) renewReservation(now time.Time, w *waiter, previousReservation *upstream) (needsMemory bool) {
	if previousReservation != nil && previousReservation.usable() {
		pieces := previousReservation.capacity.PiecesFor(w.PromptTokens, w.MaxTokens)
		if at, ok := previousReservation.memoryFreeAt(now, pieces); ok && at.Before(w.latestStart) {
			g.reserveOn(w, previousReservation)
			return true
		}
	}
	return g.reserve(now, w)
}

func (g *Group) unpark(i int) {
	g.unreserve(g.parked[i])
	g.parked = append(g.parked[:i], g.parked[i+1:]...)
	g.resumeKeys()
}

// resumeKeys makes up to maxResumedKeys suspended keys of the queue eligible again.
func (g *Group) resumeKeys() {
	for range g.cfg.tuning.maxResumedKeys {
		if !g.queue.Resume() {
			return
		}
	}
}

// removeParked removes a parked request without a grant and refunds its cost to its
// organisation in the queue.
func (g *Group) removeParked(i int) {
	w := g.parked[i]
	g.unpark(i)
	g.queue.AdjustCharge(w.Class, w.Organisation, w.KeyID, -w.cost)
}

// reserve reserves memory, as it becomes free, on one upstream for a request that fits
// on none. It chooses the upstream that is expected to have enough first, and none
// if that is too late for the request: smaller requests could not use the reserved
// memory meanwhile. At most half of the upstreams have a reservation at a time, so that
// the others remain available. needsMemory is false if an upstream that the request
// does not avoid has enough memory, so that only a slot or a link is missing.
func (g *Group) reserve(now time.Time, w *waiter) (needsMemory bool) {
	if g.fitsMemory(now, w) {
		return false
	}
	if g.cfg.tuning.disableReservations || now.Before(w.nextReserveAt) || g.countReservations() >= max(1, len(g.servingUpstreams)/2) || !g.withinFairShare(w) {
		return true
	}
	w.nextReserveAt = now.Add(reserveRetryInterval)
	var best *upstream
	bestAt := w.latestStart
	for _, u := range g.servingUpstreams {
		if !u.usable() || u.hasReservation || u.capacity.Pieces == 0 || avoided(w, u, g.servingUpstreams) {
			continue
		}
		pieces := u.capacity.PiecesFor(w.PromptTokens, w.MaxTokens)
		if at, ok := u.memoryFreeAt(now, pieces); ok && at.Before(bestAt) {
			best, bestAt = u, at
		}
	}
	if best != nil {
		g.reserveOn(w, best)
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

func (g *Group) countReservations() int {
	reservations := 0
	for _, w := range g.parked {
		if w.reservedOn != nil {
			reservations++
		}
	}
	return reservations
}

func (g *Group) reserveOn(w *waiter, u *upstream) {
	w.reservedOn = u
	w.reservedPieces = u.capacity.PiecesFor(w.PromptTokens, w.MaxTokens)
	u.hasReservation = true
	u.capacity.ReservePieces(w.reservedPieces)
}

func (g *Group) unreserve(w *waiter) {
	if w.reservedOn == nil {
		return
	}
	w.reservedOn.capacity.UnreservePieces(w.reservedPieces)
	w.reservedOn.hasReservation = false
	w.reservedOn, w.reservedPieces = nil, 0
}
