package prefill

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Cache events are delayed and some are lost. An index that requires every block of a
// prefix would then miss long prefixes, and one that keeps evicted entries would send
// requests to upstreams where no time is saved.
func TestIndexWithLostEvents(t *testing.T) {
	x := NewIndex()
	now := time.Unix(0, 0)
	longestMatches := func(at time.Time) map[int]int {
		found := map[int]int{}
		x.Match(at, []uint64{1, 2, 3}, func(upstream, matched int) {
			found[upstream] = max(found[upstream], matched)
		})
		return found
	}
	x.Store(now, 7, 1)
	x.Store(now, 7, 3) // the event of block 2 was lost
	x.Store(now, 8, 2)
	assert.DeepEqual(t, longestMatches(now), map[int]int{7: 3, 8: 2})
	x.Remove(7, 3)
	assert.DeepEqual(t, longestMatches(now), map[int]int{7: 1, 8: 2})
	x.ResetUpstream(8)
	assert.DeepEqual(t, longestMatches(now), map[int]int{7: 1})
	assert.Equal(t, len(longestMatches(now.Add(entryTTL+1))), 0)
}
