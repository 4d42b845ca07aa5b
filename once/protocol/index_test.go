package protocol

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// naive keeps every record and works a key's state out anew each time.
type naive []Record

func (n naive) lookup(key Key) (State, IntentID) {
	type fact struct{ intent, void, done bool }
	facts := map[IntentID]fact{}
	var order []IntentID
	for _, r := range n {
		if r.Key != key {
			continue
		}
		f, known := facts[r.ID]
		if !known {
			order = append(order, r.ID)
		}
		switch r.Kind {
		case KindIntent:
			f.intent = !f.void || f.intent
		case KindOutcome:
			f.done = true
		case KindVoid:
			f.void = true
		}
		facts[r.ID] = f
	}
	for _, id := range order {
		switch f := facts[id]; {
		case f.done:
			return StateDone, id
		case f.intent && !f.void:
			return StateClaimed, id
		}
	}
	return StateFree, IntentID{}
}

// TestIndexAgreesWithNaive compares the index with a naive version over random
// streams, which hold copies, voids before their intents and outcomes without one.
func TestIndexAgreesWithNaive(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		x := NewIndex(1)
		var n naive
		for offset := range uint64(60) {
			id := byte(rng.IntN(12))
			rec := Record{Kind: Kind(1 + rng.IntN(3)), Key: Key{id % 3}, ID: IntentID{id}}
			x.Apply(offset+1, rec, time.Time{}, true)
			n = append(n, rec)
			for key := range byte(3) {
				wantState, wantID := n.lookup(Key{key})
				state, holder := x.Lookup(Key{key})
				assert.Equal(t, state, wantState)
				assert.Equal(t, holder.ID, wantID)
			}
		}
	}
}

// A key is forgotten a window after it was read, or, if it was read while catching
// up, when the log drops it. Forgetting sooner would let its call run twice;
// keeping it for ever would fill the memory.
func TestForget(t *testing.T) {
	start := time.Unix(0, 0)
	x := NewIndex(1)
	intent := func(id byte) Record { return Record{Kind: KindIntent, Key: Key{id}, ID: IntentID{id}} }
	x.Apply(1, intent(1), start, false)
	x.Apply(2, intent(2), start, true)
	x.Apply(3, intent(3), start.Add(time.Hour), true)
	assert.Equal(t, x.Forget(start, 1), 0)
	assert.Equal(t, x.Len(), 3)
	assert.Equal(t, x.Forget(start, 2), 0)
	assert.Equal(t, x.Len(), 2)
	// The log drops what was seen live within the window: kept, and reported.
	assert.Equal(t, x.Forget(start, 4), 2)
	assert.Equal(t, x.Len(), 2)
	assert.Equal(t, x.Forget(start.Add(time.Minute), 4), 1)
	state, _ := x.Lookup(Key{2})
	assert.Equal(t, state, StateFree)
	state, _ = x.Lookup(Key{3})
	assert.Equal(t, state, StateClaimed)
}
