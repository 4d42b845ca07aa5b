package room

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answering is a request in the simulation below; it holds its prompt and what has come.
type answering struct {
	engine         string
	need           Demand
	produced, ends float64
}

// simulation plays requests whose lengths are known with some error at one pool: two of memory
// 55,000 tokens, in steps of 50 ms, at 600 output tokens a second a request.
type simulation struct {
	room            *Allocator
	rng             *rand.Rand
	now             time.Duration
	running         []*answering
	onTime, refused int
	overfull        int
}

func newSimulation() *simulation {
	s := &simulation{room: New(), rng: rand.New(rand.NewPCG(4, 4)), now: time.Hour}
	var engines []Engine
	for _, id := range []string{"a", "b"} {
		engines = append(engines, Engine{ID: id, Memory: 55_000, Slots: 48})
	}
	s.room.SetEngines(engines)
	return s
}

const simulated = 50 * time.Millisecond

// offer places a request if there is room. whole tells that it claims all from the beginning.
func (s *simulation) offer(whole bool) {
	expected := 2000 * (0.6 + 0.8*s.rng.Float64())
	need := Demand{Tokens: 3200 + int(expected), Output: int(expected)}
	if whole {
		need.Output = 0
	}
	id, ok := s.room.Claim(need, nil)
	if !ok {
		s.refused++
		return
	}
	s.onTime++
	s.running = append(s.running, &answering{engine: id, need: need, ends: expected * (0.6 + 0.8*s.rng.Float64())})
}

// step lets answers grow and end, and counts engines that hold more than they can.
func (s *simulation) step() {
	s.now += simulated
	s.room.Advance(s.now)
	held := make(map[string]float64)
	kept := s.running[:0]
	for _, r := range s.running {
		if r.produced += 600 * simulated.Seconds(); r.produced >= r.ends {
			s.room.Release(r.engine, r.need.Tokens)
			continue
		}
		held[r.engine] += 3200 + r.produced
		kept = append(kept, r)
	}
	s.running = kept
	for _, tokens := range held {
		if tokens > 55_000 {
			s.overfull++
		}
	}
}

// play offers requests for a minute, and in bursts of three seconds twice as many.
func (s *simulation) play(whole bool) {
	s.room.Advance(s.now)
	for i := range 1200 {
		rate := 5.5
		if i%200 < 60 {
			rate = 11
		}
		for arrivals := rate * simulated.Seconds(); s.rng.Float64() < arrivals; arrivals-- {
			s.offer(whole)
		}
		s.step()
	}
}

// Guards against requests that are refused in a burst beside memory that is claimed by others and
// not used, as they have only begun or are about to end.
func TestBurstUsesMemoryThatOthersWillHaveFreed(t *testing.T) {
	whole, peak := newSimulation(), newSimulation()
	whole.play(true)
	peak.play(false)
	t.Logf("whole: %d placed, %d refused, %d overfull; peak: %d placed, %d refused, %d overfull",
		whole.onTime, whole.refused, whole.overfull, peak.onTime, peak.refused, peak.overfull)
	assert.Assert(t, whole.refused > 30, "the burst is too small")
	assert.Assert(t, peak.refused < whole.refused)
	assert.Assert(t, peak.overfull <= 1200*2/100, "engines are overfull in %d of 2,400 steps", peak.overfull)
}

// Guards against a peak that is told too low: requests that begin together and end together hold all
// that they claim right before their end.
func TestRequestsThatBeginTogetherHoldAllTheyClaim(t *testing.T) {
	together := []growth{{100, 50}, {100, 50}, {100, 50}}
	assert.Equal(t, peakOf(together), 450.0)
	staggered := []growth{{100, 50}, {125, 25}, {149, 1}}
	assert.Equal(t, peakOf(staggered), 377.0)
	assert.Equal(t, peakOf(nil), 0.0)
}

// Guards against requests that are counted for good since a report of their end was lost, or that are
// ended by a report made before its sender knew of them.
func TestRunningRequestsEndWithTheReportsOfTheirInstance(t *testing.T) {
	r := New()
	r.SetEngines(engines(1))
	r.Advance(time.Minute)
	for range 2 {
		_, ok := r.ClaimFor("i1", Demand{Tokens: 20, Output: 10}, nil)
		assert.Assert(t, ok)
	}
	r.SetPeer("i1", map[string]Load{"e0": {Requests: 1, Tokens: 20}})
	assert.Equal(t, len(r.running["e0"]), 2, "it may not know of the second yet")
	r.Advance(time.Minute + 2*leastRun)
	r.SetPeer("i1", map[string]Load{"e0": {Requests: 1, Tokens: 20}})
	assert.Equal(t, len(r.running["e0"]), 1)
	r.SetPeer("i1", nil)
	assert.Equal(t, len(r.running), 0)
}

// Guards against requests that are taken for ended when an engine that was claimed whole comes back.
func TestWithdrawnEngineKeepsItsRunningRequests(t *testing.T) {
	r := New()
	r.SetEngines(engines(1))
	r.Advance(time.Minute)
	_, ok := r.Claim(Demand{Tokens: 20, Output: 10}, nil)
	assert.Assert(t, ok)
	r.Release("e0", r.ClaimEngine("e0"))
	assert.Equal(t, len(r.running["e0"]), 1)
	r.Release("e0", 20)
	assert.Equal(t, len(r.running), 0)
}

// Guards against memory that is given twice where little is known: an instance that has just become the
// home knows no running requests, and others' requests count whole.
func TestUnknownRequestsCountWhole(t *testing.T) {
	r := New()
	r.SetEngines(engines(1))
	r.growthRate = growthRate{n: leastEnds, output: 100, seconds: 1}
	r.SetPeer("i1", map[string]Load{"e0": {Requests: 3, Tokens: 90}})
	_, ok := r.Claim(Demand{Tokens: 20, Output: 10}, nil)
	assert.Assert(t, !ok)
	_, ok = r.Claim(Demand{Tokens: 10}, nil)
	assert.Assert(t, ok)
}

// BenchmarkClaimAmongRunning places one request at a pool of forty engines with ten running requests each.
func BenchmarkClaimAmongRunning(b *testing.B) {
	for name, need := range map[string]Demand{"whole": {Tokens: 5200}, "peak": {Tokens: 5200, Output: 2000}} {
		b.Run(name, func(b *testing.B) {
			r := New()
			r.SetEngines(engines(40))
			for i := range r.engines {
				r.engines[i].Memory, r.engines[i].Slots = 100_000, 48
			}
			r.growthRate = growthRate{n: leastEnds, output: 600, seconds: 1}
			for range 400 {
				_, ok := r.Claim(need, nil)
				assert.Assert(b, ok)
			}
			for b.Loop() {
				id, _ := r.Claim(need, nil)
				r.Release(id, need.Tokens)
			}
		})
	}
}
