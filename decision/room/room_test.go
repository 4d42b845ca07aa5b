package room

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func engines(n int) []Engine {
	var out []Engine
	for i := range n {
		out = append(out, Engine{ID: fmt.Sprint("e", i), Memory: 100, Slots: 16, Near: i == 0})
	}
	return out
}

// Requests grow from 40 to 60 tokens of memory while they run. Sent where few run,
// engines run out of memory as they grow, and prompts are read in vain.
func TestClaimsPreventOverflow(t *testing.T) {
	overflows := func(claim int) int {
		r := New()
		r.SetEngines(engines(4))
		rng := rand.New(rand.NewPCG(1, 1))
		type run struct {
			id   string
			size int
			left int
		}
		var runs []*run
		count := 0
		for range 2000 {
			if id, ok := r.Claim(claim, nil); ok && rng.IntN(3) > 0 {
				runs = append(runs, &run{id, 20, 20})
			} else if ok {
				r.Release(id, claim)
			}
			used := map[string]int{}
			kept := runs[:0]
			for _, x := range runs {
				x.size++
				if x.left--; x.left == 0 {
					r.Release(x.id, claim)
					continue
				}
				used[x.id] += x.size
				kept = append(kept, x)
			}
			runs = kept
			for _, tokens := range used {
				if tokens > 100 {
					count++
				}
			}
		}
		return count
	}
	assert.Equal(t, overflows(40), 0)
	assert.Assert(t, overflows(20) > 100, "without whole claims nothing overflows: the load is too low")
}

// Two instances place at the same engines. Without what the other has placed, both
// fill the same hole.
func TestPeersPlacesCount(t *testing.T) {
	r := New()
	r.SetEngines(engines(2))
	r.SetPeer("other", map[string]Load{"e0": {Requests: 2, Tokens: 90}})
	id, ok := r.Claim(50, nil)
	assert.Assert(t, ok)
	assert.Equal(t, id, "e1")
	_, ok = r.Claim(60, nil)
	assert.Assert(t, !ok)
	r.SetPeer("other", nil)
	id, _ = r.Claim(60, nil)
	assert.Equal(t, id, "e0")
}

// Between engines with equal load the near one spares the transfer a detour.
func TestNearEngineGoesFirst(t *testing.T) {
	r := New()
	r.SetEngines(engines(3))
	id, _ := r.Claim(2, nil)
	assert.Equal(t, id, "e0")
	r.Release(id, 2)
	assert.Equal(t, len(r.Own()), 0)
	id, _ = r.Claim(2, map[string]bool{"e0": true})
	assert.Assert(t, id != "e0")
}

// An engine refuses what should have fitted, or is about to change: it gets nothing
// until it is opened, and all that it holds can be claimed at once.
func TestShutAndFilledEnginesGetNothing(t *testing.T) {
	r := New()
	r.SetEngines(engines(1))
	r.Shut("e0")
	_, ok := r.Claim(1, nil)
	assert.Assert(t, !ok)
	r.Open("e0")
	size := r.Fill("e0")
	_, ok = r.Claim(1, nil)
	assert.Assert(t, !ok)
	assert.Equal(t, r.Free(), 0.0)
	r.Release("e0", size)
	_, ok = r.Claim(1, nil)
	assert.Assert(t, ok)
	idle, ok := r.Idlest()
	assert.Assert(t, ok)
	assert.Equal(t, idle, "e0")
}

// A request that is larger than an engine's memory would otherwise never be placed.
func TestRequestLargerThanAnEngineGetsAnIdleOne(t *testing.T) {
	r := New()
	r.SetEngines(engines(1))
	_, ok := r.Claim(500, nil)
	assert.Assert(t, ok)
	_, ok = r.Claim(1, nil)
	assert.Assert(t, !ok)
}
