package upstream

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an engine that leaves and gets requests again because its entry was rewritten, expired while
// the store was away, or came back late.
func TestLeavingHoldsForTheRun(t *testing.T) {
	d := NewDirectory()
	first := entry("a", 1, 1)
	assert.Assert(t, d.Put(first))
	assert.Assert(t, d.MarkLeaving(first) && !d.MarkLeaving(first))
	accepts := func() bool {
		_, ok := d.Current("a")
		for _, e := range d.Service("s") {
			assert.Equal(t, e.Leaving, !ok)
		}
		return ok
	}
	assert.Assert(t, !accepts())
	rewritten := entry("a", 1, 2)
	rewritten.Slots, rewritten.Role = 7, Prefill
	assert.Assert(t, d.Put(rewritten))
	assert.Assert(t, !accepts(), "the entry was rewritten")
	d.Remove("a")
	d.Put(entry("a", 1, 3))
	assert.Assert(t, !accepts(), "the entry was away")
	d.Put(entry("a", 2, 1))
	assert.Assert(t, accepts(), "another run has said nothing")
	assert.Assert(t, !d.MarkLeaving(first), "a late answer of the earlier run")
	assert.Assert(t, accepts())
	d.MarkLeaving(entry("a", 2, 1))
	assert.Assert(t, !accepts())
	d.RetainLeaving(func(id string, started int64) bool { return id == "a" && started == 2 })
	assert.Assert(t, !accepts())
	d.RetainLeaving(func(string, int64) bool { return false })
	assert.Assert(t, accepts())
}
