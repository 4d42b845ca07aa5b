package protocol

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// referenceIndex stores all records and recomputes the state of a key on each lookup.
type referenceIndex []Record

func (r referenceIndex) lookup(key Key) (State, IntentID) {
	type intentState struct{ intent, void, done bool }
	states := map[IntentID]intentState{}
	var order []IntentID
	for _, rec := range r {
		if rec.Key != key {
			continue
		}
		f, known := states[rec.ID]
		if !known {
			order = append(order, rec.ID)
		}
		switch rec.Kind {
		case KindIntent:
			f.intent = !f.void || f.intent
		case KindOutcome:
			f.done = true
		case KindVoid:
			f.void = true
		}
		states[rec.ID] = f
	}
	for _, id := range order {
		switch f := states[id]; {
		case f.done:
			return StateDone, id
		case f.intent && !f.void:
			return StateClaimed, id
		}
	}
	return StateFree, IntentID{}
}

// Compares the index with a reference implementation on random streams, which contain copies,
// voids before their intents, and outcomes without an intent.
func TestIndexMatchesReference(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		x := NewIndex(1)
		var reference referenceIndex
		for offset := range uint64(60) {
			id := byte(rng.IntN(12))
			rec := Record{Kind: Kind(1 + rng.IntN(3)), Key: Key{id % 3}, ID: IntentID{id}}
			x.Apply(offset+1, rec, time.Time{}, true)
			reference = append(reference, rec)
			for key := range byte(3) {
				wantState, wantID := reference.lookup(Key{key})
				state, holder := x.Lookup(Key{key})
				assert.Equal(t, state, wantState)
				assert.Equal(t, holder.ID, wantID)
			}
		}
	}
}

// A key must expire one window after it was read or, if it was read while catching up, when the
// log drops it. Earlier expiry would let its call run twice; without expiry, memory usage would
// grow without limit.
func TestExpire(t *testing.T) {
	start := time.Unix(0, 0)
	x := NewIndex(1)
	intent := func(id byte) Record { return Record{Kind: KindIntent, Key: Key{id}, ID: IntentID{id}} }
	x.Apply(1, intent(1), start, false)
	x.Apply(2, intent(2), start, true)
	x.Apply(3, intent(3), start.Add(time.Hour), true)
	assert.Equal(t, x.Expire(start, 1), 0)
	assert.Equal(t, x.Len(), 3)
	assert.Equal(t, x.Expire(start, 2), 0)
	assert.Equal(t, x.Len(), 2)
	// Records that were read at the end of the stream within the window and dropped by the log
	// are kept and reported.
	assert.Equal(t, x.Expire(start, 4), 2)
	assert.Equal(t, x.Len(), 2)
	assert.Equal(t, x.Expire(start.Add(time.Minute), 4), 1)
	state, _ := x.Lookup(Key{2})
	assert.Equal(t, state, StateFree)
	state, _ = x.Lookup(Key{3})
	assert.Equal(t, state, StateClaimed)
}
