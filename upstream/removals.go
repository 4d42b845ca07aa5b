package upstream

import "time"

// reregistrationTime is how long entries of running upstreams may still be missing after an outage of
// the store.
const reregistrationTime = 2200 * time.Millisecond

// Removals decides when an upstream whose entry was removed is dropped. Entries of running upstreams
// expire during an outage of the store and are registered again after it, so removals are postponed
// then. All times are of one clock.
type Removals struct {
	// unavailable is set if the last call to the store failed.
	unavailable bool
	// keepUntil is the time until which removed entries are kept; pending are those entries.
	keepUntil time.Duration
	pending   map[string]bool
}

// ReadFailed records a failed call to the store.
func (r *Removals) ReadFailed() { r.unavailable = true }

// Reachable records that a record of the store has arrived.
func (r *Removals) Reachable(now time.Duration) {
	if r.unavailable {
		r.unavailable = false
		r.keepUntil = now + reregistrationTime
	}
}

// Remove records that an entry was removed. It reports whether its upstream is dropped now.
func (r *Removals) Remove(now time.Duration, id string) (drop bool) {
	if now >= r.keepUntil {
		return true
	}
	if r.pending == nil {
		r.pending = make(map[string]bool)
	}
	r.pending[id] = true
	return false
}

// Restore records that an upstream has an entry. It reports whether its removal was postponed.
func (r *Removals) Restore(id string) (wasPending bool) {
	wasPending = r.pending[id]
	delete(r.pending, id)
	return wasPending
}

// CaughtUp records that all entries written before asOf are known. It returns the upstreams whose
// postponed removal is due.
func (r *Removals) CaughtUp(now, _ time.Duration) (due []string) {
	r.Reachable(now)
	if now < r.keepUntil {
		return nil
	}
	for id := range r.pending {
		due = append(due, id)
	}
	r.pending = nil
	return due
}
