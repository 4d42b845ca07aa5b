package upstream

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func entry(id string, started, seq int64) Entry {
	return Entry{ID: id, Started: started, Sequence: seq, Service: "s", Address: "1.2.3.4:5", Role: Decode}
}

// Guards against requests that are sent to an engine that has ended: the entry that says it is
// leaving is followed by an older one whose write was delayed.
func TestOlderEntryChangesNothing(t *testing.T) {
	d := NewDirectory()
	leaving := entry("a", 1, 5)
	leaving.Leaving = true
	assert.Assert(t, d.Put(leaving))
	assert.Assert(t, !d.Put(entry("a", 1, 4)))
	_, ok := d.Current("a")
	assert.Assert(t, !ok)
	assert.Assert(t, d.Put(entry("a", 2, 0)), "a new run restarts its sequence")
	_, ok = d.Current("a")
	assert.Assert(t, ok)
}

// Guards against an upstream that has ended and is back in the directory because the store came back from a copy.
func TestRemovedEntryDoesNotComeBack(t *testing.T) {
	d := NewDirectory()
	d.Put(entry("a", 1, 5))
	d.Remove("a")
	assert.Assert(t, !d.Put(entry("a", 1, 4)))
	assert.Assert(t, !d.Put(entry("a", 1, 5)))
	assert.Equal(t, d.Len(), 0)
	assert.Assert(t, d.Put(entry("a", 1, 6)), "it has published a newer entry")
	d.Remove("a")
	assert.Assert(t, d.Put(entry("a", 2, 0)), "a new run restarts its sequence")
	for n := range int64(2 * maxRemoved) {
		d.Put(entry(fmt.Sprint(n), 1, 1))
		d.Remove(fmt.Sprint(n))
	}
	assert.Equal(t, len(d.removed), maxRemoved)
}

// Guards against further requests to an address that now belongs to another engine, which refuses
// them. The old entry remains in the directory until its upstream publishes a change.
func TestGoneUntilTheEntryChanges(t *testing.T) {
	d := NewDirectory()
	d.Put(entry("a", 1, 1))
	d.MarkGone(entry("a", 1, 1))
	d.Put(entry("a", 1, 2))
	_, ok := d.Current("a")
	assert.Assert(t, !ok)
	assert.Equal(t, len(d.Service("s")), 0)
	changed := entry("a", 1, 3)
	changed.Role = Prefill
	d.Put(changed)
	assert.Equal(t, len(d.Service("s")), 1)
}

// Guards against renewals that count as changes: each would cause the lists to be rebuilt.
func TestRenewalsAreNoChanges(t *testing.T) {
	d := NewDirectory()
	assert.Assert(t, d.Put(entry("a", 1, 1)))
	v := d.Version()
	assert.Assert(t, !d.Put(entry("a", 1, 2)))
	assert.Equal(t, d.Version(), v)
	assert.Assert(t, d.Put(entry("b", 1, 1)))
	assert.DeepEqual(t, d.Missing(map[string]bool{"a": true}), []string{"b"})
	assert.Assert(t, d.Remove("b"))
	assert.Assert(t, d.Remove("a") && !d.Remove("a"))
	assert.Equal(t, d.Len(), 0)
}

// Guards against requests that are lost in a data centre that is shut down: operators evacuate it
// before, but its upstreams still report that they are ready.
func TestEvacuatedUpstreamsTakeNoWork(t *testing.T) {
	d := NewDirectory()
	here, there := entry("a", 1, 1), entry("b", 1, 1)
	here.DataCentre, there.DataCentre = "here", "there"
	d.Put(here)
	assert.Assert(t, d.Evacuate("there", true) && !d.Evacuate("there", true))
	d.Put(there)
	_, ok := d.Current("b")
	assert.Assert(t, !ok)
	_, ok = d.Current("a")
	assert.Assert(t, ok)
	for _, e := range d.Service("s") {
		assert.Equal(t, e.Leaving, e.ID == "b")
	}
	assert.DeepEqual(t, d.Evacuated(), []string{"there"})
	there.Sequence = 2
	assert.Assert(t, !d.Put(there), "a renewal is not a change")
	assert.Assert(t, d.Evacuate("there", false))
	_, ok = d.Current("b")
	assert.Assert(t, ok)
}

// Guards against sorting the list again for each new entry: at 3,000 upstreams this took seconds of
// CPU time at each start.
func TestEntriesAreSortedOnceForAll(t *testing.T) {
	d := NewDirectory()
	const upstreams = 3000
	for i := range upstreams {
		d.Put(entry(fmt.Sprint("u", i), 1, 1))
	}
	assert.Equal(t, len(d.Service("s")), upstreams)
	next := 0
	allocated := testing.AllocsPerRun(100, func() {
		next++
		d.Put(entry(fmt.Sprint("u", next), 2, 1))
	})
	assert.Assert(t, allocated < 10, "%.0f allocations for one of %d entries", allocated, upstreams)
	list := d.Service("s")
	assert.Equal(t, len(list), upstreams)
	assert.Assert(t, slices.IsSortedFunc(list, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) }))
}
