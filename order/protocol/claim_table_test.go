package protocol

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Instances start at different times, when the log has dropped different records. If
// one of them determined a status that differs from that of a reader of the whole
// stream, two of them could send at the same time.
func TestReadersNeverDisagreeOnDeterminedClaims(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	determined := 0
	for range 2000 {
		complete, partial := NewClaimTable(), NewClaimTable()
		partial.SkipTo(uint64(2 + rng.IntN(8)))
		start := partial.Next()
		for offset := uint64(1); offset < 24; offset++ {
			claim := Claim{Upstream: "u", BaseOffset: offset - 1 - min(offset-1, uint64(rng.IntN(8))), Lease: time.Second}
			now := time.Unix(int64(offset*uint64(rng.IntN(5))), 0)
			want := complete.ApplyClaim(offset, claim, now)
			assert.Assert(t, want != Undetermined)
			if offset < start {
				continue
			}
			if got := partial.ApplyClaim(offset, claim, now); got != Undetermined {
				assert.Equal(t, got, want)
				determined++
			}
		}
	}
	assert.Assert(t, determined > 2000)
}
