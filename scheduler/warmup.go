package scheduler

import (
	"time"

	"github.com/cairnworks/cairnworks/object"
)

// warmupTime bounds how long a new scheduler listens before it grants. Polls of
// upstreams that answer take a few milliseconds; one that does not answer in this
// time must not hold up the service.
const warmupTime = 500 * time.Millisecond

// warmup holds reservations back until a new scheduler has read the upstreams'
// lists. Granting at once would give away slots that the requests of its
// predecessor still use: the upstream refuses the import, and the prefill that
// went before is wasted.
type warmup struct {
	// unheard are the upstreams that have not reported yet.
	unheard map[string]bool
	ends    time.Time
	parked  []reserveMsg
}

// begin starts the wait; it has no effect once it is over.
func (w *warmup) begin(now time.Time, upstreams []*object.Upstream) {
	if w.unheard != nil {
		return
	}
	w.ends = now.Add(warmupTime)
	w.unheard = make(map[string]bool)
	for _, u := range upstreams {
		if u.Role != object.RolePlain {
			w.unheard[u.Name] = true
		}
	}
}

func (w *warmup) heard(upstream string) { delete(w.unheard, upstream) }

func (w *warmup) over(now time.Time) bool { return len(w.unheard) == 0 || !now.Before(w.ends) }

// take returns the parked reservations once the wait is over.
func (w *warmup) take(now time.Time) []reserveMsg {
	if len(w.parked) == 0 || !w.over(now) {
		return nil
	}
	parked := w.parked
	w.parked = nil
	return parked
}

// drop removes a parked reservation whose asker is gone.
func (w *warmup) drop(key attemptKey) {
	for i, msg := range w.parked {
		if msg.key == key {
			w.parked = append(w.parked[:i], w.parked[i+1:]...)
			return
		}
	}
}
