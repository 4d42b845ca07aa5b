// Package room decides on which engine a request claims its memory. A claim is counted by
// the instances only; the engine itself does not know of it.
//
// Load pattern: a decode engine runs about ten long requests at once. The memory of
// each grows to twice the size of its prompt while it runs, and bursts bring two to
// four times the usual load. All instances place requests on the same engines.
//
// Without claims, requests go to the engines that run the fewest, and an engine
// runs out of memory as they grow. It then preempts its newest request in the middle of
// the stream and recomputes the prompt, or refuses a request whose prompt has just been
// prefilled; either way a prefill is wasted. TestClaimsPreventOverflow counts the
// overflows with and without full claims.
//
// Rules:
//   - A request claims its maximum memory when it is placed, and holds the claim until it
//     ends.
//   - Requests on one engine start and end at different times, so they never use all of
//     their claimed memory at once. For requests placed through this allocator the start
//     time is known: their predicted peak usage must stay below the engine's memory (see
//     peak, after the Past-Future scheduler, ASPLOS 2025). Requests placed by other
//     instances count with their full claims.
//   - Of the engines with enough capacity, the one with the lowest load is chosen. Load is
//     the used share of memory or of slots, whichever is higher. At nearly equal load,
//     engines in the same data centre are preferred, because a transfer between data
//     centres takes twice as long.
//   - Where the loads reported by other instances are outdated, the less loaded of two
//     randomly sampled engines is chosen (SetSampler). All instances would otherwise choose
//     the same engine from the same old loads and overload it (TestSampledClaimsSpread).
//   - Where the speeds of engines are known and differ (SetSpeeds), the engine with the lowest
//     expected time is chosen instead; see expectedTime. Which engines have enough capacity
//     does not depend on their speeds.
package room

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Engine is an engine that accepts requests.
type Engine struct {
	ID string
	// Memory is the size of the KV cache in tokens, Slots the maximum number of concurrent
	// requests.
	Memory, Slots int
	// SameDataCentre reports whether the engine is in the data centre of this instance.
	SameDataCentre bool
}

// Load is the number of requests placed on an engine and the tokens they claim.
type Load struct {
	Requests, Tokens int
}

// Allocator tracks the engines of one pool and the claims on them. It is not safe for
// concurrent use.
type Allocator struct {
	engines  []Engine
	ownLoads map[string]Load
	// peerLoads is indexed by instance and engine id.
	peerLoads map[string]map[string]Load
	// peerTotals is the sum of peerLoads over all instances, by engine id.
	peerTotals map[string]Load
	// sample returns a random number below its argument. If nil, all engines are compared.
	sample func(n int) int
	// disabled engines refused a request although its claim should have fitted. They get
	// no claims until they are enabled again.
	disabled map[string]bool
	// running lists the requests that were placed through this allocator and have not
	// ended, by engine id.
	running    map[string][]runningRequest
	growthRate growthRate
	speeds     Speeds
	// slowness is speeds.Slowness by index of engines, or nil.
	slowness []float64
	now      time.Duration
}

// New returns an allocator without engines.
func New() *Allocator {
	return &Allocator{
		ownLoads: make(map[string]Load), peerLoads: make(map[string]map[string]Load), peerTotals: make(map[string]Load),
		disabled: make(map[string]bool), running: make(map[string][]runningRequest),
	}
}

// SetEngines replaces the engines that accept requests.
func (a *Allocator) SetEngines(engines []Engine) {
	a.engines = slices.Clone(engines)
	a.SetSpeeds(a.speeds)
}

// Engines lists the engines that accept requests.
func (a *Allocator) Engines() []Engine { return a.engines }

// SetSampler makes claims compare two engines that are chosen with sample, which returns
// a random number below n. With nil, claims compare all engines.
func (a *Allocator) SetSampler(sample func(n int) int) { a.sample = sample }

// SetPeer replaces the loads of another instance, by engine id. nil removes the instance.
func (a *Allocator) SetPeer(instance string, loads map[string]Load) {
	for id, l := range a.peerLoads[instance] {
		a.addPeerTotal(id, -l.Requests, -l.Tokens)
	}
	for id, l := range loads {
		a.addPeerTotal(id, l.Requests, l.Tokens)
	}
	if loads == nil {
		delete(a.peerLoads, instance)
		a.dropRunning(instance)
		return
	}
	for id := range a.running {
		a.endOldest(instance, id, loads[id].Requests)
	}
	a.peerLoads[instance] = loads
}

// addPeerTotal adds to the load that all other instances have placed on an engine.
func (a *Allocator) addPeerTotal(id string, requests, tokens int) {
	sum := a.peerTotals[id]
	sum.Requests += requests
	sum.Tokens += tokens
	if sum == (Load{}) {
		delete(a.peerTotals, id)
		return
	}
	a.peerTotals[id] = sum
}

// OwnLoads returns the loads placed by this instance, by engine id.
func (a *Allocator) OwnLoads() map[string]Load { return a.ownLoads }

// PeerLoad returns the load that another instance has placed on an engine.
func (a *Allocator) PeerLoad(instance, id string) Load { return a.peerLoads[instance][id] }

// Load returns the load that all instances together have placed on an engine.
func (a *Allocator) Load(id string) Load {
	own, others := a.ownLoads[id], a.peerTotals[id]
	return Load{Requests: own.Requests + others.Requests, Tokens: own.Tokens + others.Tokens}
}

// Disable excludes an engine from claims until Enable is called.
func (a *Allocator) Disable(id string) { a.disabled[id] = true }

// Enable makes an engine available for claims again.
func (a *Allocator) Enable(id string) { delete(a.disabled, id) }

// sameDataCentreBonus is the load difference up to which an engine in the same data centre
// is preferred to a less loaded one. One request takes about twice this share of an engine.
const sameDataCentreBonus = 0.05

// candidate is an engine with enough capacity for a request. cost is its load with that
// request, less sameDataCentreBonus where that applies, or the expected time if speeds are known.
type candidate struct {
	id   string
	cost float64
}

// Claim places a request and returns the engine. Engines in except are not considered.
func (a *Allocator) Claim(d Demand, except map[string]bool) (string, bool) {
	fits := a.fittingEngines(d, except)
	if len(fits) == 0 {
		return "", false
	}
	id := a.pick(fits).id
	a.RecordClaim(id, d)
	return id, true
}

// ClaimFor places a request on behalf of another instance.
func (a *Allocator) ClaimFor(instance string, d Demand, except map[string]bool) (string, bool) {
	fits := a.fittingEngines(d, except)
	if len(fits) == 0 {
		return "", false
	}
	id := a.pick(fits).id
	load := a.peerLoads[instance][id]
	a.startRunning(instance, id, d)
	a.SetPeerLoad(instance, id, Load{Requests: load.Requests + 1, Tokens: load.Tokens + d.Tokens})
	return id, true
}

// SetPeerLoad replaces the load that another instance has placed on one engine.
func (a *Allocator) SetPeerLoad(instance, id string, l Load) {
	loads, known := a.peerLoads[instance]
	if !known {
		loads = make(map[string]Load)
		a.peerLoads[instance] = loads
	}
	a.endOldest(instance, id, l.Requests)
	before := loads[id]
	a.addPeerTotal(id, l.Requests-before.Requests, l.Tokens-before.Tokens)
	if l == (Load{}) {
		delete(loads, id)
		return
	}
	loads[id] = l
}

// SubtractPeer subtracts the loads of one instance from the aggregate stored under the name
// sum, so that they are not counted twice once the instance is stored by its own name.
func (a *Allocator) SubtractPeer(sum string, loads map[string]Load) {
	for id, l := range loads {
		if total := a.peerLoads[sum][id]; total != (Load{}) {
			a.SetPeerLoad(sum, id, Load{Requests: max(total.Requests-l.Requests, 0), Tokens: max(total.Tokens-l.Tokens, 0)})
		}
	}
}

// RecordClaim records a claim of this instance on a given engine.
func (a *Allocator) RecordClaim(id string, d Demand) {
	a.startRunning(self, id, d)
	a.addOwn(id, 1, d.Tokens)
}

// fittingEngines lists the engines with enough capacity for a request. An idle engine
// fits any request: a request larger than any engine would otherwise never be placed.
func (a *Allocator) fittingEngines(d Demand, except map[string]bool) []candidate {
	fits := make([]candidate, 0, len(a.engines))
	for i, e := range a.engines {
		if except[e.ID] || a.disabled[e.ID] {
			continue
		}
		load := a.Load(e.ID)
		used := loadAfter(e, load, a.peak(e.ID, load, d))
		if used > 1 && load.Requests > 0 {
			continue
		}
		bonus := 0.0
		if e.SameDataCentre {
			bonus = sameDataCentreBonus
		}
		cost := used - bonus
		if a.slowness != nil {
			cost = a.expectedTime(e, a.slowness[i], load, d, used, bonus)
		}
		fits = append(fits, candidate{e.ID, cost})
	}
	return fits
}

// pick returns the candidate with the lowest cost, out of two sampled ones if a sampler is
// set.
func (a *Allocator) pick(fits []candidate) candidate {
	if a.sample == nil {
		return slices.MinFunc(fits, compareCost)
	}
	first, second := fits[a.sample(len(fits))], fits[a.sample(len(fits))]
	if compareCost(second, first) < 0 {
		return second
	}
	return first
}

func compareCost(a, b candidate) int { return cmp.Compare(a.cost, b.cost) }

// loadAfter returns the load of an engine with one more request, when all requests together
// use the given number of tokens.
func loadAfter(e Engine, load Load, tokens float64) float64 {
	slots := float64(load.Requests+1) / float64(max(e.Slots, 1))
	if e.Memory <= 0 {
		return slots
	}
	return max(slots, tokens/float64(e.Memory))
}

// LeastLoaded returns the engine with the lowest load. Engines in except are not considered.
func (a *Allocator) LeastLoaded(except map[string]bool) (string, bool) {
	best, lowest := "", math.Inf(1)
	for _, e := range a.engines {
		if except[e.ID] {
			continue
		}
		load := a.Load(e.ID)
		if used := loadAfter(e, load, float64(load.Tokens)); used < lowest {
			best, lowest = e.ID, used
		}
	}
	return best, best != ""
}

// ClaimEngine claims an engine's entire memory and returns the size of the claim.
func (a *Allocator) ClaimEngine(id string) int {
	for _, e := range a.engines {
		if e.ID == id {
			a.addOwn(id, 1, e.Memory)
			return e.Memory
		}
	}
	return 0
}

// Release ends a claim.
func (a *Allocator) Release(id string, tokens int) {
	a.addOwn(id, -1, -tokens)
	a.endNearestOwn(id, tokens)
}

// Resize changes a claim's size.
func (a *Allocator) Resize(id string, by int) { a.addOwn(id, 0, by) }

func (a *Allocator) addOwn(id string, requests, tokens int) {
	load := a.ownLoads[id]
	load.Requests += requests
	load.Tokens += tokens
	if load.Requests <= 0 {
		delete(a.ownLoads, id)
		return
	}
	a.ownLoads[id] = load
}

// Requests returns the number of requests that all instances have placed.
func (a *Allocator) Requests() int {
	sum := 0
	for _, e := range a.engines {
		sum += a.Load(e.ID).Requests
	}
	return sum
}

// FreeShare returns the unclaimed share of the pool's memory or slots, whichever is lower.
func (a *Allocator) FreeShare() float64 {
	var memory, slots, tokens, requests int
	for _, e := range a.engines {
		load := a.Load(e.ID)
		memory += e.Memory
		slots += e.Slots
		tokens += load.Tokens
		requests += load.Requests
	}
	if slots == 0 {
		return 0
	}
	free := 1 - float64(requests)/float64(slots)
	if memory > 0 {
		free = min(free, 1-float64(tokens)/float64(memory))
	}
	return max(free, 0)
}
