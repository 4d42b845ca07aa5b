package room

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulatedRequest is a running request; its memory is its prompt and the output so far.
type simulatedRequest struct {
	engine string
	demand Demand
	// output is the number of tokens generated so far, length their final number.
	output, length float64
}

// simulation runs requests whose output lengths are predicted with some error on a pool of two
// engines with memory for 55,000 tokens each, in steps of 50 ms. Each request generates 600
// output tokens per second.
type simulation struct {
	allocator       *Allocator
	rng             *rand.Rand
	now             time.Duration
	running         []*simulatedRequest
	placed, refused int
	// overflows counts steps of engines that use more memory than they have.
	overflows int
}

func newSimulation() *simulation {
	s := &simulation{allocator: New(), rng: rand.New(rand.NewPCG(4, 4)), now: time.Hour}
	var engines []Engine
	for _, id := range []string{"a", "b"} {
		engines = append(engines, Engine{ID: id, Memory: 55_000, Slots: 48})
	}
	s.allocator.SetEngines(engines)
	return s
}

const stepTime = 50 * time.Millisecond

// offer places a request if it fits. With full, it counts with its full claim from the start.
func (s *simulation) offer(full bool) {
	expected := 2000 * (0.6 + 0.8*s.rng.Float64())
	demand := Demand{Tokens: 3200 + int(expected), Output: int(expected)}
	if full {
		demand.Output = 0
	}
	id, ok := s.allocator.Claim(demand, nil)
	if !ok {
		s.refused++
		return
	}
	s.placed++
	s.running = append(s.running, &simulatedRequest{engine: id, demand: demand, length: expected * (0.6 + 0.8*s.rng.Float64())})
}

// step lets outputs grow and requests end, and counts overflows.
func (s *simulation) step() {
	s.now += stepTime
	s.allocator.Advance(s.now)
	used := make(map[string]float64)
	kept := s.running[:0]
	for _, r := range s.running {
		if r.output += 600 * stepTime.Seconds(); r.output >= r.length {
			s.allocator.Release(r.engine, r.demand.Tokens)
			continue
		}
		used[r.engine] += 3200 + r.output
		kept = append(kept, r)
	}
	s.running = kept
	for _, tokens := range used {
		if tokens > 55_000 {
			s.overflows++
		}
	}
}

// run offers requests for a minute, at twice the rate during the first three seconds of every ten.
func (s *simulation) run(full bool) {
	s.allocator.Advance(s.now)
	for i := range 1200 {
		rate := 5.5
		if i%200 < 60 {
			rate = 11
		}
		for arrivals := rate * stepTime.Seconds(); s.rng.Float64() < arrivals; arrivals-- {
			s.offer(full)
		}
		s.step()
	}
}

// Guards against requests that are refused during a burst although memory is free: other requests
// claim it but do not use it, as they have just started or are about to end.
func TestBurstUsesMemoryThatOthersWillHaveFreed(t *testing.T) {
	full, peak := newSimulation(), newSimulation()
	full.run(true)
	peak.run(false)
	t.Logf("full claims: %d placed, %d refused, %d overflows; predicted peak: %d placed, %d refused, %d overflows",
		full.placed, full.refused, full.overflows, peak.placed, peak.refused, peak.overflows)
	assert.Assert(t, full.refused > 30, "the burst is too small")
	assert.Assert(t, peak.refused < full.refused)
	assert.Assert(t, peak.overflows <= 1200*2/100, "engines overflow in %d of 2,400 steps", peak.overflows)
}

// Guards against a predicted peak that is too low: requests that start and end together use all the
// memory they claim immediately before they end.
func TestRequestsThatBeginTogetherHoldAllTheyClaim(t *testing.T) {
	together := []growth{{100, 50}, {100, 50}, {100, 50}}
	assert.Equal(t, peakOf(together), 450.0)
	staggered := []growth{{100, 50}, {125, 25}, {149, 1}}
	assert.Equal(t, peakOf(staggered), 377.0)
	assert.Equal(t, peakOf(nil), 0.0)
}

// Guards against requests that count forever because the report of their end was lost, and against
// requests that are ended by a report sent before its sender knew of them.
func TestRunningRequestsEndWithTheReportsOfTheirInstance(t *testing.T) {
	r := New()
	r.SetEngines(engines(1))
	r.Advance(time.Minute)
	for range 2 {
		_, ok := r.ClaimFor("i1", Demand{Tokens: 20, Output: 10}, nil)
		assert.Assert(t, ok)
	}
	r.SetPeer("i1", map[string]Load{"e0": {Requests: 1, Tokens: 20}})
	assert.Equal(t, len(r.running["e0"]), 2, "the instance may not know of the second request yet")
	r.Advance(time.Minute + 2*minRunTime)
	r.SetPeer("i1", map[string]Load{"e0": {Requests: 1, Tokens: 20}})
	assert.Equal(t, len(r.running["e0"]), 1)
	r.SetPeer("i1", nil)
	assert.Equal(t, len(r.running), 0)
}

// Guards against running requests that are treated as ended when the claim of a whole engine is released.
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

// Guards against memory that is allocated twice by an instance that has just become the home of a
// service: it knows no running requests, so those of other instances must count with full claims.
func TestUnknownRequestsCountFully(t *testing.T) {
	r := New()
	r.SetEngines(engines(1))
	r.growthRate = growthRate{weight: minEnded, output: 100, seconds: 1}
	r.SetPeer("i1", map[string]Load{"e0": {Requests: 3, Tokens: 90}})
	_, ok := r.Claim(Demand{Tokens: 20, Output: 10}, nil)
	assert.Assert(t, !ok)
	_, ok = r.Claim(Demand{Tokens: 10}, nil)
	assert.Assert(t, ok)
}

// BenchmarkClaimAmongRunning places one request on a pool of forty engines with ten running requests each.
func BenchmarkClaimAmongRunning(b *testing.B) {
	for name, demand := range map[string]Demand{"whole": {Tokens: 5200}, "peak": {Tokens: 5200, Output: 2000}} {
		b.Run(name, func(b *testing.B) {
			r := New()
			r.SetEngines(engines(40))
			for i := range r.engines {
				r.engines[i].Memory, r.engines[i].Slots = 100_000, 48
			}
			r.growthRate = growthRate{weight: minEnded, output: 600, seconds: 1}
			for range 400 {
				_, ok := r.Claim(demand, nil)
				assert.Assert(b, ok)
			}
			for b.Loop() {
				id, _ := r.Claim(demand, nil)
				r.Release(id, demand.Tokens)
			}
		})
	}
}
