package scheduler

import (
	"time"

	"github.com/cairnworks/cairnworks/object"
)

// warmupTimeout is the maximum time that a new scheduler waits for reports before it grants
// reservations. Polls of responsive upstreams take a few milliseconds; an upstream that does not
// respond within this time must not delay the service.
const warmupTimeout = 500 * time.Millisecond

// warmup defers reservations until a new scheduler has read the upstreams' stream lists. Granting
// immediately would assign slots that are still used by requests granted by the previous scheduler:
// the upstream would refuse the import, and the preceding prefill would be wasted.
type warmup struct {
	// unreported is the set of upstreams that have neither reported nor been found unreachable yet.
	unreported map[string]bool
	deadline   time.Time
	deferred   []reserveMsg
}

// start begins the warm-up on the first call. Further calls have no effect.
func (w *warmup) start(now time.Time, upstreams []*object.Upstream) {
	if w.unreported != nil {
		return
	}
	w.deadline = now.Add(warmupTimeout)
	w.unreported = make(map[string]bool)
	for _, u := range upstreams {
		if u.Role != object.RolePlain {
			w.unreported[u.Name] = true
		}
	}
}

func (w *warmup) markReported(upstream string) { delete(w.unreported, upstream) }

func (w *warmup) done(now time.Time) bool { return len(w.unreported) == 0 || !now.Before(w.deadline) }

// takeDeferred returns the deferred reservations once the warm-up is done.
func (w *warmup) takeDeferred(now time.Time) []reserveMsg {
	if len(w.deferred) == 0 || !w.done(now) {
		return nil
	}
	deferred := w.deferred
	w.deferred = nil
	return deferred
}

// removeDeferred removes a deferred reservation whose client has disconnected.
func (w *warmup) removeDeferred(key attemptKey) {
	for i, msg := range w.deferred {
		if msg.key == key {
			w.deferred = append(w.deferred[:i], w.deferred[i+1:]...)
			return
		}
	}
}
