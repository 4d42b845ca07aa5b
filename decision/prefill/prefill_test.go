package prefill

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Cache events come late and some are lost. An index that wants every block of a
// prefix then knows nothing of long prefixes, and one that keeps what an engine
// dropped sends requests where nothing is saved.
func TestIndexWithGaps(t *testing.T) {
	x := NewIndex()
	now := time.Unix(0, 0)
	best := func(at time.Time) map[int]int {
		found := map[int]int{}
		x.Match(at, []uint64{1, 2, 3}, func(upstream, matched int) {
			found[upstream] = max(found[upstream], matched)
		})
		return found
	}
	x.Store(now, 7, 1)
	x.Store(now, 7, 3) // the event of block 2 was lost
	x.Store(now, 8, 2)
	assert.DeepEqual(t, best(now), map[int]int{7: 3, 8: 2})
	x.Remove(7, 3)
	assert.DeepEqual(t, best(now), map[int]int{7: 1, 8: 2})
	x.ResetUpstream(8)
	assert.DeepEqual(t, best(now), map[int]int{7: 1})
	assert.Equal(t, len(best(now.Add(beliefLifetime+1))), 0)
}
