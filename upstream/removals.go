package upstream

import "time"

const (
	// reregistrationTime is how long entries of running upstreams may still be missing after an outage
	// of the store.
	reregistrationTime = 2200 * time.Millisecond
	// minOutageRenewals is the shortest outage in which an entry can expire, in renewal intervals. An
	// entry expires after three without renewal, and the last one may precede the outage by one.
	minOutageRenewals = 2
)

// Removals decides when an upstream whose entry was removed is dropped. Entries of running upstreams
// expire during an outage of the store and are registered again after it, so removals are postponed
// then, but not after a failed call: an upstream that leaves must get no requests after a short time. All times are of one clock.
type Removals struct {
	// RenewInterval is the interval at which upstreams renew their entries.
	RenewInterval time.Duration
	// unavailable is set if the last call to the store failed.
	unavailable bool
	// asOf is the latest time as of which all entries were known, or 0 if there was none.
	asOf time.Duration
	// keepUntil is the time until which removed entries are kept; pending are those entries.
	keepUntil time.Duration
	pending   map[string]bool
}

// ReadFailed records a failed call to the store.
func (r *Removals) ReadFailed() { r.unavailable = true }

// Reachable records that a record of the store has arrived.
func (r *Removals) Reachable(now time.Duration) {
	if r.unavailable && r.asOf > 0 && now-r.asOf >= minOutageRenewals*r.RenewInterval {
		r.keepUntil = now + reregistrationTime
	}
	r.unavailable = false
}

// StoreReplaced records that the store has come back from a copy, which may lack entries of running upstreams.
func (r *Removals) StoreReplaced(now time.Duration) {
	r.keepUntil = max(r.keepUntil, now+reregistrationTime)
	r.unavailable = false
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
func (r *Removals) CaughtUp(now, asOf time.Duration) (due []string) {
	r.Reachable(now)
	r.asOf = max(r.asOf, asOf)
	if now < r.keepUntil {
		return nil
	}
	for id := range r.pending {
		due = append(due, id)
	}
	r.pending = nil
	return due
}
