// Package room decides at which engine a request's memory is claimed.
//
// Load pattern: a decode engine holds some ten long requests, each of which grows
// from its prompt to twice that while it runs, and bursts bring two to four times
// the usual load. All instances place work on the same engines.
//
// Without it: requests are sent where few run, and as they grow the engine's memory
// runs out. It then throws the newest run out in the middle of its stream and reads
// its prompt again, or refuses a request whose prompt was just prefilled; either
// way the prompt was read in vain. TestClaimsPreventOverflow measures both.
//
// Rules:
//   - A request claims the memory of its whole course when it is placed, and the
//     claim ends with it.
//   - Requests at one engine begin and end at different times, so that they never hold all that they
//     claim together. Of those that were placed here it is known since when they run:
//     the most that they will hold together stays below the engine's memory (peak, after the
//     Past-Future scheduler, ASPLOS 2025). What others have placed counts whole.
//   - Among the engines with room the one with the lowest load is taken, load being
//     the higher of the used shares of memory and slots; equal ones in the own data
//     centre go first, since a transfer between data centres takes twice as long.
//   - Where what others have placed is known late, the lower of two that are drawn is
//     taken instead (Sample): the lowest by old figures is the same for all instances,
//     who would all fill it (TestSampledClaimsSpread).
package room

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Engine is one engine that may be given work.
type Engine struct {
	ID string
	// Memory is its memory for KV cache and Slots the requests that it runs at once.
	Memory, Slots int
	// SameDataCentre engines are in the own data centre.
	SameDataCentre bool
}

// Load is what one instance has placed at an engine.
type Load struct {
	Requests, Tokens int
}

// Allocator knows the engines of one pool and what is claimed there. It is not safe for
// concurrent use.
type Allocator struct {
	engines []Engine
	own     map[string]Load
	peers   map[string]map[string]Load
	// others is the sum of what peers have placed.
	others map[string]Load
	// draw returns a number below its argument, nil where all engines are compared.
	draw func(n int) int
	// shut engines refused a claim that should have fitted; they get none until
	// they are opened again.
	shut map[string]bool
	// running are the requests that were placed here and still run, by engine id.
	running    map[string][]runningRequest
	growthRate growthRate
	now        time.Duration
}

// New returns a room without engines.
func New() *Allocator {
	return &Allocator{
		own: make(map[string]Load), peers: make(map[string]map[string]Load), others: make(map[string]Load), shut: make(map[string]bool),
		running: make(map[string][]runningRequest),
	}
}

// SetEngines replaces the engines that may be given work.
func (r *Allocator) SetEngines(engines []Engine) { r.engines = slices.Clone(engines) }

// Engines lists the engines that may be given work.
func (r *Allocator) Engines() []Engine { return r.engines }

// SetSampler makes claims compare two engines that are drawn. nil compares all.
func (r *Allocator) SetSampler(draw func(n int) int) { r.draw = draw }

// SetPeer replaces what another instance has placed, by engine id. nil forgets it.
func (r *Allocator) SetPeer(instance string, loads map[string]Load) {
	for id, l := range r.peers[instance] {
		r.addOther(id, -l.Requests, -l.Tokens)
	}
	for id, l := range loads {
		r.addOther(id, l.Requests, l.Tokens)
	}
	if loads == nil {
		delete(r.peers, instance)
		r.forget(instance)
		return
	}
	for id := range r.running {
		r.trim(instance, id, loads[id].Requests)
	}
	r.peers[instance] = loads
}

func (r *Allocator) addOther(id string, requests, tokens int) {
	sum := r.others[id]
	sum.Requests += requests
	sum.Tokens += tokens
	if sum == (Load{}) {
		delete(r.others, id)
		return
	}
	r.others[id] = sum
}

// OwnLoads returns what this instance has placed, by engine id.
func (r *Allocator) OwnLoads() map[string]Load { return r.own }

// PeerLoad is what another instance has placed at an engine.
func (r *Allocator) PeerLoad(instance, id string) Load { return r.peers[instance][id] }

// Load is what all instances have placed at an engine.
func (r *Allocator) Load(id string) Load {
	own, others := r.own[id], r.others[id]
	return Load{Requests: own.Requests + others.Requests, Tokens: own.Tokens + others.Tokens}
}

// Disable keeps claims away from an engine until Open.
func (r *Allocator) Disable(id string) { r.shut[id] = true }

// Enable lets an engine have claims again.
func (r *Allocator) Enable(id string) { delete(r.shut, id) }

// nearBonus is the difference of load up to which an engine of the own data centre
// goes before one with less: a twentieth, about half of one request's share.
const nearBonus = 0.05

// candidate is an engine that a request fits at, with its used share thereafter.
type candidate struct {
	id   string
	used float64
}

// Claim places a request and returns the engine. Engines in except are left out.
func (r *Allocator) Claim(n Demand, except map[string]bool) (string, bool) {
	fits := r.fitting(n, except)
	if len(fits) == 0 {
		return "", false
	}
	id := r.lowest(fits).id
	r.RecordClaim(id, n)
	return id, true
}

// ClaimFor places a request of another instance.
func (r *Allocator) ClaimFor(instance string, n Demand, except map[string]bool) (string, bool) {
	fits := r.fitting(n, except)
	if len(fits) == 0 {
		return "", false
	}
	id := r.lowest(fits).id
	load := r.peers[instance][id]
	r.begin(instance, id, n)
	r.SetPeerLoad(instance, id, Load{Requests: load.Requests + 1, Tokens: load.Tokens + n.Tokens})
	return id, true
}

// SetPeerLoad replaces what another instance has placed at one engine.
func (r *Allocator) SetPeerLoad(instance, id string, l Load) {
	loads, known := r.peers[instance]
	if !known {
		loads = make(map[string]Load)
		r.peers[instance] = loads
	}
	r.trim(instance, id, l.Requests)
	before := loads[id]
	r.addOther(id, l.Requests-before.Requests, l.Tokens-before.Tokens)
	if l == (Load{}) {
		delete(loads, id)
		return
	}
	loads[id] = l
}

// SubtractPeer takes what one instance has placed out of a sum that holds it, before it is told by itself.
func (r *Allocator) SubtractPeer(sum string, loads map[string]Load) {
	for id, l := range loads {
		if of := r.peers[sum][id]; of != (Load{}) {
			r.SetPeerLoad(sum, id, Load{Requests: max(of.Requests-l.Requests, 0), Tokens: max(of.Tokens-l.Tokens, 0)})
		}
	}
}

// RecordClaim notes a request of this instance at an engine.
func (r *Allocator) RecordClaim(id string, n Demand) {
	r.begin(own, id, n)
	r.add(id, 1, n.Tokens)
}

// fitting lists the engines that a request fits at.
func (r *Allocator) fitting(n Demand, except map[string]bool) []candidate {
	var fits []candidate
	for _, e := range r.engines {
		if except[e.ID] || r.shut[e.ID] {
			continue
		}
		load := r.Load(e.ID)
		used := loadAfter(e, load, r.peak(e.ID, load, n))
		if used > 1 && load.Requests > 0 {
			continue
		}
		if e.SameDataCentre {
			used -= nearBonus
		}
		fits = append(fits, candidate{e.ID, used})
	}
	return fits
}

// lowest returns the candidate with the lowest load, of two that are drawn where
// figures are old.
func (r *Allocator) lowest(fits []candidate) candidate {
	if r.draw == nil {
		return slices.MinFunc(fits, compareUsed)
	}
	first, second := fits[r.draw(len(fits))], fits[r.draw(len(fits))]
	if compareUsed(second, first) < 0 {
		return second
	}
	return first
}

func compareUsed(a, b candidate) int { return cmp.Compare(a.used, b.used) }

// loadAfter is the used share of an engine once a request has been added, and all hold some
// tokens.
func loadAfter(e Engine, load Load, tokens float64) float64 {
	slots := float64(load.Requests+1) / float64(max(e.Slots, 1))
	if e.Memory <= 0 {
		return slots
	}
	return max(slots, tokens/float64(e.Memory))
}

// LeastLoaded returns the engine with the lowest load. Engines in except are left out.
func (r *Allocator) LeastLoaded(except map[string]bool) (string, bool) {
	best, lowest := "", math.Inf(1)
	for _, e := range r.engines {
		if except[e.ID] {
			continue
		}
		load := r.Load(e.ID)
		if used := loadAfter(e, load, float64(load.Tokens)); used < lowest {
			best, lowest = e.ID, used
		}
	}
	return best, best != ""
}

// ClaimEngine claims all of an engine's memory and returns the size of the claim.
func (r *Allocator) ClaimEngine(id string) int {
	for _, e := range r.engines {
		if e.ID == id {
			r.add(id, 1, e.Memory)
			return e.Memory
		}
	}
	return 0
}

// Release ends a claim.
func (r *Allocator) Release(id string, tokens int) {
	r.add(id, -1, -tokens)
	r.endOwn(id, tokens)
}

// Resize changes a claim's size.
func (r *Allocator) Resize(id string, by int) { r.add(id, 0, by) }

func (r *Allocator) add(id string, requests, tokens int) {
	load := r.own[id]
	load.Requests += requests
	load.Tokens += tokens
	if load.Requests <= 0 {
		delete(r.own, id)
		return
	}
	r.own[id] = load
}

// Requests is how many requests all instances have placed.
func (r *Allocator) Requests() int {
	sum := 0
	for _, e := range r.engines {
		sum += r.Load(e.ID).Requests
	}
	return sum
}

// FreeShare is the share of the whole pool's memory or slots, whichever is scarcer, that
// is not claimed.
func (r *Allocator) FreeShare() float64 {
	var memory, slots, tokens, requests int
	for _, e := range r.engines {
		load := r.Load(e.ID)
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
