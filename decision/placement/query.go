package placement

import "time"

// Used is what grants and believed foreign requests hold.
func (u *Upstream) Used(now time.Time) Usage {
	used := Usage{Requests: u.running, Pieces: u.pieces}
	if now.Before(u.foreignUntil) {
		used.Requests += u.foreign.Requests
		used.Pieces += u.foreign.Pieces
	}
	return used
}

// Running is the number of grants.
func (u *Upstream) Running() int { return u.running }

// Allowed is the number of requests that the upstream is given at once: its
// slots, or fewer while its answers are slower than the target.
func (u *Upstream) Allowed() int { return u.limit.allowed(u.Slots) }

// FreeSlots is the number of requests that can be added.
func (u *Upstream) FreeSlots(now time.Time) int {
	return max(0, u.Allowed()-u.Used(now).Requests)
}

// FreePieces is the memory that can be added; negative while a claim gathers.
func (u *Upstream) FreePieces(now time.Time) int {
	return u.Pieces - u.claimed - u.Used(now).Pieces
}

// Fits reports whether a request with so many pieces can be added now.
func (u *Upstream) Fits(now time.Time, pieces int) bool {
	if u.FreeSlots(now) == 0 {
		return false
	}
	return u.Pieces == 0 || pieces <= u.FreePieces(now)
}

// Utilisation is how full the upstream is with one more request, from 0 to 1: the
// larger of its slots' and its memory's part. Decode steps slow down with the
// batch, so that the emptiest upstream gives the shortest time between tokens.
func (u *Upstream) Utilisation(now time.Time, pieces int) float64 {
	used := u.Used(now)
	fill := float64(used.Requests+1) / float64(max(1, u.Allowed()))
	if u.Pieces > 0 {
		fill = max(fill, float64(used.Pieces+pieces)/float64(u.Pieces))
	}
	return fill
}
