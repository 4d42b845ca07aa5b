package instance

import (
	"context"
	"sync"

	"github.com/cairnworks/cairnworks/caller"
	"github.com/cairnworks/cairnworks/object"
)

// openRequests tracks the open requests by key, so that requests are cancelled as soon as the
// withdrawal of their key arrives. If keys were checked only when a request arrives, a stream that
// started before the withdrawal would run to its end.
type openRequests struct {
	mu    sync.Mutex
	next  uint64
	byKey map[string]map[uint64]context.CancelCauseFunc
}

func newOpenRequests() *openRequests {
	return &openRequests{byKey: make(map[string]map[uint64]context.CancelCauseFunc)}
}

// add registers an open request. The returned function unregisters it.
func (o *openRequests) add(keyID string, cancel context.CancelCauseFunc) func() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	id := o.next
	if o.byKey[keyID] == nil {
		o.byKey[keyID] = make(map[uint64]context.CancelCauseFunc)
	}
	o.byKey[keyID][id] = cancel
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.byKey[keyID], id)
		if len(o.byKey[keyID]) == 0 {
			delete(o.byKey, keyID)
		}
	}
}

// cancelAll cancels all open requests and returns their number.
func (o *openRequests) cancelAll(cause error) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	cancelled := 0
	for _, requests := range o.byKey {
		for _, cancel := range requests {
			cancel(cause)
			cancelled++
		}
	}
	return cancelled
}

// cancelUnusable cancels the open requests of all keys that are no longer usable in the object set.
// It returns the number of cancelled requests.
func (o *openRequests) cancelUnusable(index *object.Index) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	cancelled := 0
	for keyID, requests := range o.byKey {
		if index.KeyUsable(keyID) {
			continue
		}
		for _, cancel := range requests {
			cancel(caller.WithdrawnVerdict(keyID))
			cancelled++
		}
	}
	return cancelled
}
