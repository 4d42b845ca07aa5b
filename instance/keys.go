package instance

import (
	"context"
	"sync"

	"github.com/cairnworks/cairnworks/caller"
	"github.com/cairnworks/cairnworks/object"
)

// openRequests knows which requests are open under which key, so that those of a
// withdrawn key end within the time the withdrawal takes to arrive. Checking keys
// at the door only would let a stream begun before go on to its end.
type openRequests struct {
	mu    sync.Mutex
	next  uint64
	byKey map[string]map[uint64]context.CancelCauseFunc
}

func newOpenRequests() *openRequests {
	return &openRequests{byKey: make(map[string]map[uint64]context.CancelCauseFunc)}
}

// watch registers an open request; the returned function unregisters it.
func (o *openRequests) watch(keyID string, cancel context.CancelCauseFunc) func() {
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

// apply ends the open requests of every key that the set no longer honours. It
// returns how many it ended.
func (o *openRequests) apply(index *object.Index) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended := 0
	for keyID, requests := range o.byKey {
		if index.KeyUsable(keyID) {
			continue
		}
		for _, cancel := range requests {
			cancel(caller.WithdrawnVerdict(keyID))
			ended++
		}
	}
	return ended
}
