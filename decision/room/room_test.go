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
		out = append(out, Engine{ID: fmt.Sprint("e", i), Memory: 100, Slots: 16, SameDataCentre: i == 0})
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
			if id, ok := r.Claim(Demand{Tokens: claim}, nil); ok && rng.IntN(3) > 0 {
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
	id, ok := r.Claim(Demand{Tokens: 50}, nil)
	assert.Assert(t, ok)
	assert.Equal(t, id, "e1")
	_, ok = r.Claim(Demand{Tokens: 60}, nil)
	assert.Assert(t, !ok)
	r.SetPeer("other", nil)
	id, _ = r.Claim(Demand{Tokens: 60}, nil)
	assert.Equal(t, id, "e0")
}

// Between engines with equal load the near one spares the transfer a detour.
func TestNearEngineGoesFirst(t *testing.T) {
	r := New()
	r.SetEngines(engines(3))
	id, _ := r.Claim(Demand{Tokens: 2}, nil)
	assert.Equal(t, id, "e0")
	r.Release(id, 2)
	assert.Equal(t, len(r.OwnLoads()), 0)
	id, _ = r.Claim(Demand{Tokens: 2}, map[string]bool{"e0": true})
	assert.Assert(t, id != "e0")
}

// An engine refuses what should have fitted, or is about to change: it gets nothing
// until it is opened, and all that it holds can be claimed at once.
func TestShutAndFilledEnginesGetNothing(t *testing.T) {
	r := New()
	r.SetEngines(engines(1))
	r.Disable("e0")
	_, ok := r.Claim(Demand{Tokens: 1}, nil)
	assert.Assert(t, !ok)
	r.Enable("e0")
	size := r.ClaimEngine("e0")
	_, ok = r.Claim(Demand{Tokens: 1}, nil)
	assert.Assert(t, !ok)
	assert.Equal(t, r.FreeShare(), 0.0)
	r.Release("e0", size)
	_, ok = r.Claim(Demand{Tokens: 1}, nil)
	assert.Assert(t, ok)
	idle, ok := r.LeastLoaded(nil)
	assert.Assert(t, ok)
	assert.Equal(t, idle, "e0")
}

// A request that is larger than an engine's memory would otherwise never be placed.
func TestRequestLargerThanAnEngineGetsAnIdleOne(t *testing.T) {
	r := New()
	r.SetEngines(engines(1))
	_, ok := r.Claim(Demand{Tokens: 500}, nil)
	assert.Assert(t, ok)
	_, ok = r.Claim(Demand{Tokens: 1}, nil)
	assert.Assert(t, !ok)
}

// Sixty instances place short calls on six engines and hear of one another's a second
// late. All believe the same engine to be the least used, and fill it while the others
// idle; its callers are refused, or wait. The lower of two drawn spreads them.
func TestSampledClaimsSpread(t *testing.T) {
	const (
		instances = 60
		late      = 100 // ticks of 10 ms
		length    = 6
		slots     = 6
	)
	refused := func(sample bool) float64 {
		rng := rand.New(rand.NewPCG(7, 7))
		rooms := make([]*Allocator, instances)
		for i := range rooms {
			rooms[i] = New()
			var list []Engine
			for e := range 6 {
				list = append(list, Engine{ID: fmt.Sprint("e", e), Slots: slots})
			}
			rooms[i].SetEngines(list)
			if sample {
				rooms[i].SetSampler(rng.IntN)
			}
		}
		type call struct {
			instance int
			id       string
			end      int
		}
		var calls []call
		asked, full := 0, 0
		for tick := range 3000 {
			// Each instance reports once in the time by which reports are late.
			i := tick % late
			if i < instances {
				loads := make(map[string]Load)
				for id, l := range rooms[i].OwnLoads() {
					loads[id] = l
				}
				for j := range rooms {
					if j != i {
						rooms[j].SetPeer(fmt.Sprint(i), loads)
					}
				}
			}
			busy := map[string]int{}
			kept := calls[:0]
			for _, c := range calls {
				if c.end <= tick {
					rooms[c.instance].Release(c.id, 0)
					continue
				}
				busy[c.id]++
				kept = append(kept, c)
			}
			calls = kept
			// Four a tick are two thirds of the slots.
			for range 4 {
				from := rng.IntN(instances)
				asked++
				id, ok := rooms[from].Claim(Demand{Tokens: 0}, nil)
				if !ok || busy[id] >= slots {
					full++
					if ok {
						rooms[from].Release(id, 0)
					}
					continue
				}
				busy[id]++
				calls = append(calls, call{from, id, tick + length})
			}
		}
		return float64(full) / float64(asked)
	}
	lowest, sampled := refused(false), refused(true)
	t.Logf("full: %.3f by the lowest, %.3f by two drawn", lowest, sampled)
	assert.Assert(t, sampled < lowest/3, "full: %.3f by the lowest, %.3f by two drawn", lowest, sampled)
}

// Claims are compared by sums that follow each report, since adding up sixty instances'
// reports for each of forty engines costs more than the rest of a request.
func BenchmarkClaim(b *testing.B) {
	r := New()
	r.SetEngines(engines(44))
	for i := range 400 {
		r.SetPeer(fmt.Sprint(i), map[string]Load{fmt.Sprint("e", i%44): {Requests: 1, Tokens: 2}})
	}
	for b.Loop() {
		if id, ok := r.Claim(Demand{Tokens: 1}, nil); ok {
			r.Release(id, 1)
		}
	}
}
