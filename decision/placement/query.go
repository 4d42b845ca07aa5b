package placement

import "time"

// Used returns the usage of grants and of external load, as far as it still counts.
func (u *Upstream) Used(now time.Time) Usage {
	used := Usage{Requests: u.running, Pieces: u.pieces}
	if now.Before(u.externalUntil) {
		used.Requests += u.external.Requests
		used.Pieces += u.external.Pieces
	}
	return used
}

// Running returns the number of grants.
func (u *Upstream) Running() int { return u.running }

// Allowed returns the number of concurrent requests that the upstream is given: its slots, or
// fewer while its answers are slower than the target.
func (u *Upstream) Allowed() int { return u.limit.allowed(u.Slots) }

// FreeSlots returns the number of requests that can be added.
func (u *Upstream) FreeSlots(now time.Time) int {
	return max(0, u.Allowed()-u.Used(now).Requests)
}

// FreePieces returns the number of pieces that can be added. It may be negative while pieces
// are reserved.
func (u *Upstream) FreePieces(now time.Time) int {
	return u.Pieces - u.reserved - u.Used(now).Pieces
}

// Fits reports whether a request with the given number of pieces can be added now.
func (u *Upstream) Fits(now time.Time, pieces int) bool {
	if u.FreeSlots(now) == 0 {
		return false
	}
	return u.Pieces == 0 || pieces <= u.FreePieces(now)
}

// Utilisation returns the used share of slots or of memory, whichever is higher, with one
// more request; it is 1 when the upstream is full. Decode steps take longer in larger
// batches, so the least utilised upstream has the shortest time between tokens.
func (u *Upstream) Utilisation(now time.Time, pieces int) float64 {
	used := u.Used(now)
	utilisation := float64(used.Requests+1) / float64(max(1, u.Allowed()))
	if u.Pieces > 0 {
		utilisation = max(utilisation, float64(used.Pieces+pieces)/float64(u.Pieces))
	}
	return utilisation
}
