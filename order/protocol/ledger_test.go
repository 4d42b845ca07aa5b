package protocol

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Instances start at different times and the log has dropped different records by
// then. What one of them takes for certain must be what a reader of the whole stream
// takes for certain, or two of them would send at the same time.
func TestReadersAgreeOnWhatIsCertain(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	certain := 0
	for range 2000 {
		whole, late := NewLedger(), NewLedger()
		late.Skip(uint64(2 + rng.IntN(8)))
		start := late.Next()
		for offset := uint64(1); offset < 24; offset++ {
			claim := Claim{Upstream: "u", From: offset - 1 - min(offset-1, uint64(rng.IntN(8))), Lease: time.Second}
			now := time.Unix(int64(offset*uint64(rng.IntN(5))), 0)
			want := whole.ApplyClaim(offset, claim, now)
			assert.Assert(t, want != Unjudged)
			if offset < start {
				continue
			}
			if got := late.ApplyClaim(offset, claim, now); got != Unjudged {
				assert.Equal(t, got, want)
				certain++
			}
		}
	}
	assert.Assert(t, certain > 2000)
}
