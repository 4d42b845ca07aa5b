package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/room"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/upstream"
)

// peerLoadTTL is how long another instance's loads count without a new report. Reports arrive at
// least every 500 ms; a dead instance holds no capacity once upstreams have seen its connections
// close.
const peerLoadTTL = 1200 * time.Millisecond

// allPeers is the name under which the sum of all other instances' loads, as reported by a hub, is
// stored.
const allPeers = ""

// pool holds the upstreams of one service and role with the loads of all instances. It is safe for
// concurrent use.
type pool struct {
	mu        sync.Mutex
	allocator *room.Allocator
	// entries are keyed by ID; ids maps the short hashes used in reports to IDs.
	entries    map[string]upstream.Entry
	ids        map[fleet.Hash]string
	lastReport map[string]time.Duration
	// fullReport holds the instances that have reported all of their own loads.
	fullReport map[string]bool
	version    uint64
	shape      poolShape
	// withdrawn holds engines that get no requests, with the size of the claim that fills each.
	withdrawn map[string]int
	outcomes  outcomes
	// assigned are places that were assigned to other instances and not confirmed by them yet, and confirmed those that
	// this instance was assigned lately.
	assigned  assignedPlaces
	confirmed confirmedPlaces
	// failing is nil unless failing upstreams are ejected.
	failing *failingPool
	// speeds is nil if requests are not placed by the speeds of upstreams.
	speeds *poolSpeeds
}

func newPool() *pool {
	return &pool{allocator: room.New(), entries: make(map[string]upstream.Entry), ids: make(map[fleet.Hash]string), lastReport: make(map[string]time.Duration), fullReport: make(map[string]bool), withdrawn: make(map[string]int), outcomes: newOutcomes(), assigned: make(assignedPlaces), confirmed: make(confirmedPlaces)}
}

// poolShape holds the inputs of sync besides the directory: the data centre to prefer, the memory of each
// engine, and the requests placed ahead at each plain upstream; see serviceTime.ahead.
type poolShape struct {
	near   string
	memory int
	ahead  int
}

// sync updates the upstreams from the directory, if it or the shape has changed. toEngine returns
// the capacity of an entry.
func (p *pool) sync(directory *upstream.Directory, service string, role upstream.Role, shape poolShape, toEngine func(upstream.Entry) room.Engine) {
	version := directory.Version()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == version && p.shape == shape {
		return
	}
	p.version, p.shape = version, shape
	var engines []room.Engine
	before := p.entries
	p.entries = make(map[string]upstream.Entry)
	p.ids = make(map[fleet.Hash]string)
	for _, e := range directory.Service(service) {
		if e.Role != role {
			continue
		}
		p.entries[e.ID] = e
		if last, known := before[e.ID]; known && last.Started != e.Started && p.failing != nil {
			p.failing.forget(e.ID)
		}
		p.ids[fleet.ShortHashOf(e.ID)] = e.ID
		if !e.Leaving {
			engines = append(engines, toEngine(e))
		}
	}
	p.allocator.SetEngines(engines)
	listed := func(id string) bool { _, is := p.entries[id]; return is }
	p.outcomes.retain(listed)
	if p.failing != nil {
		p.failing.retain(listed)
	}
	p.speeds.retain(boottime.Now(), before, p.entries)
	for id := range p.withdrawn {
		if _, still := p.entries[id]; !still {
			p.restoreLocked(id)
		}
	}
}

// setSampling sets whether claims choose among randomly sampled engines, as is needed if other
// instances' loads are known with a delay.
func (p *pool) setSampling(sample bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sample {
		p.allocator.SetSampler(rand.IntN)
		return
	}
	p.allocator.SetSampler(nil)
}

// claim places a request; see room.Allocator.Claim.
func (p *pool) claim(n room.Demand, except map[string]bool) (upstream.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expirePeers()
	p.applySpeeds(boottime.Now())
	id, ok := p.allocator.Claim(n, except)
	p.recordPlaced(id, ok)
	return p.entries[id], ok
}

// claimFor places a request of another instance; see room.Allocator.ClaimFor.
func (p *pool) claimFor(instance string, claim uint64, n room.Demand, except map[string]bool) (upstream.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expirePeers()
	p.applySpeeds(boottime.Now())
	id, ok := p.allocator.ClaimFor(instance, n, except)
	if ok && claim != 0 {
		p.assigned.add(boottime.Now(), instance, claim, id, n.Tokens)
	}
	p.recordPlaced(id, ok)
	if _, known := p.lastReport[instance]; ok && !known {
		p.lastReport[instance] = boottime.Now()
	}
	return p.entries[id], ok
}

// releaseFor ends a claim that was placed for another instance and not used by it.
func (p *pool) releaseFor(instance string, claim uint64, id string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assigned.remove(instance, claim)
	if load := p.allocator.PeerLoad(instance, id); load.Requests > 0 && load.Tokens >= tokens {
		p.allocator.SetPeerLoad(instance, id, room.Load{Requests: load.Requests - 1, Tokens: load.Tokens - tokens})
	}
}

// recordPlacement records a request that another instance has placed for this one.
func (p *pool) recordPlacement(place fleet.Place, n room.Demand) (upstream.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boottime.Now()
	p.allocator.Advance(now)
	entry, known := p.entries[p.ids[place.Upstream]]
	if known {
		p.allocator.RecordClaim(entry.ID, n)
		p.confirmed.add(now, entry.ID, place.ID)
		p.recordPlaced(entry.ID, true)
	}
	return entry, known
}

// ownLoad returns this instance's load at an engine.
func (p *pool) ownLoad(id string) fleet.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.allocator.OwnLoads()[id]
	return fleet.Load{Requests: l.Requests, Tokens: l.Tokens, Confirmed: p.confirmed.at(boottime.Now(), id), Totals: p.outcomes.own[id]}
}

// idsOf returns the IDs of the engines with the given short hashes.
func (p *pool) idsOf(list []fleet.Hash) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]bool, len(list))
	for _, hash := range list {
		if id, known := p.ids[hash]; known {
			out[id] = true
		}
	}
	return out
}

// applyLoads applies changes of another instance's loads and reports whether any is at an upstream of the pool.
func (p *pool) applyLoads(now time.Duration, instance string, loads map[fleet.Hash]fleet.Load) (applied bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.Advance(now)
	for hash, l := range loads {
		if id, known := p.ids[hash]; known {
			// The requests that have ended were placed while they ran.
			p.outcomes.applyTotals(now, instance, id, l.Totals)
			p.allocator.SetPeerLoad(instance, id, p.assigned.complete(now, instance, id, l))
			p.lastReport[instance] = now
			applied = true
		}
	}
	return applied
}

// lists reports whether any of the loads is at an upstream of the pool.
func (p *pool) lists(loads map[fleet.Hash]fleet.Load) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for hash := range loads {
		if _, known := p.ids[hash]; known {
			return true
		}
	}
	return false
}

// offersOther reports whether an upstream that is not in except takes requests, whatever its load.
func (p *pool) offersOther(except map[string]bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.allocator.Engines(), func(e room.Engine) bool { return !except[e.ID] })
}

// beyondShare returns the upstreams at which this instance has as many requests as it may without a home: an equal
// share, but at least one, of the places that the others leave according to their last known loads.
func (p *pool) beyondShare(instances int) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expirePeers()
	var out map[string]bool
	own := p.allocator.OwnLoads()
	for _, e := range p.allocator.Engines() {
		others := p.allocator.Load(e.ID).Requests - own[e.ID].Requests
		if share := (e.Slots - others) / max(instances, 1); own[e.ID].Requests >= max(share, 1) {
			if out == nil {
				out = make(map[string]bool)
			}
			out[e.ID] = true
		}
	}
	return out
}

// expirePeers drops the loads of instances that no longer report.
func (p *pool) expirePeers() {
	now := boottime.Now()
	p.allocator.Advance(now)
	for instance, at := range p.lastReport {
		if now-at > peerLoadTTL {
			delete(p.lastReport, instance)
			delete(p.fullReport, instance)
			p.outcomes.forgetPeer(instance)
			delete(p.assigned, instance)
			p.allocator.SetPeer(instance, nil)
		}
	}
}

func (p *pool) release(id string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.Advance(boottime.Now())
	p.allocator.Release(id, tokens)
}

func (p *pool) resize(id string, by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.Resize(id, by)
}

func (p *pool) setOpen(id string, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.allocator.Enable(id)
		return
	}
	p.allocator.Disable(id)
}

// leastLoaded returns the engine with the lowest load that is not in except.
func (p *pool) leastLoaded(except map[string]bool) (upstream.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expirePeers()
	id, ok := p.allocator.LeastLoaded(except)
	return p.entries[id], ok
}

// Time limits of withdrawals.
const (
	// roleChangeWithdrawal is how long an engine remains withdrawn if its new role never appears.
	// It finishes its running requests before it changes.
	roleChangeWithdrawal = 25 * time.Second
	// refusalWithdrawal is how long an engine remains withdrawn after it refused a request despite
	// a reservation. It is either leaving or changing its role by order of an instance that has
	// since ended; for an engine that refuses only occasionally, the loss is small.
	refusalWithdrawal = 2 * time.Second
)

// withdraw claims a whole engine, so that no instance places requests there, until its entry shows
// another role, the limit expires or it is restored. An engine that is about to change its role
// still accepts reservations but refuses the requests that follow.
func (p *pool) withdraw(id string, limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, already := p.withdrawn[id]; already {
		return
	}
	p.withdrawn[id] = p.allocator.ClaimEngine(id)
	time.AfterFunc(limit, func() { p.restore(id) })
}

// availableEngines returns the number of engines that are not withdrawn.
func (p *pool) availableEngines() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.allocator.Engines() {
		if _, isWithdrawn := p.withdrawn[e.ID]; !isWithdrawn {
			n++
		}
	}
	return n
}

// restore ends a withdrawal.
func (p *pool) restore(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restoreLocked(id)
}

func (p *pool) restoreLocked(id string) {
	if tokens, withdrawn := p.withdrawn[id]; withdrawn {
		p.allocator.Release(id, tokens)
		delete(p.withdrawn, id)
	}
}

// freeShare returns the unclaimed fraction of the pool.
func (p *pool) freeShare() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allocator.FreeShare()
}

// engineRequests returns the number of requests placed at an engine by all instances.
func (p *pool) engineRequests(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allocator.Load(id).Requests
}

// totalRequests returns the number of requests placed by all instances.
func (p *pool) totalRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allocator.Requests()
}

// addOwnLoads adds this instance's loads to a report.
func (p *pool) addOwnLoads(loads map[fleet.Hash]fleet.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.allocator.OwnLoads() {
		loads[fleet.ShortHashOf(id)] = fleet.Load{Requests: l.Requests, Tokens: l.Tokens, Confirmed: p.confirmed.at(boottime.Now(), id), Totals: p.outcomes.own[id]}
	}
	p.outcomes.addChanged(boottime.Now(), loads)
}

// dropPeers drops the loads of all other instances before their sum replaces them. The caller must
// hold the lock.
func (p *pool) dropPeers() {
	for instance := range p.lastReport {
		p.allocator.SetPeer(instance, nil)
	}
	clear(p.lastReport)
	clear(p.fullReport)
}

// addLoadsExcept adds the loads of all instances but one, and marks the ejected upstreams.
func (p *pool) addLoadsExcept(except string, loads map[fleet.Hash]fleet.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expirePeers()
	slowness := p.speeds.recent(boottime.Now())
	idle := 0
	for id := range p.entries {
		l, excluded := p.allocator.Load(id), p.allocator.PeerLoad(except, id)
		if l.Requests > excluded.Requests {
			loads[fleet.ShortHashOf(id)] = fleet.Load{Requests: l.Requests - excluded.Requests, Tokens: l.Tokens - excluded.Tokens, Slowness: slowness[id]}
		} else if idle < maxIdleSpeeds && isUnusual(slowness[id]) {
			idle++
			loads[fleet.ShortHashOf(id)] = fleet.Load{Slowness: slowness[id]}
		}
	}
	p.addEjections(except, loads)
}

// applyReport applies another instance's loads, or a hub's sum of all others.
func (p *pool) applyReport(now time.Duration, r *fleet.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.Advance(now)
	from := r.Instance
	if r.Answer {
		from = allPeers
		p.dropPeers()
		p.applyEjections(now, r)
	}
	loads := make(map[string]room.Load)
	for hash, l := range r.Loads {
		if id, known := p.ids[hash]; known {
			load := room.Load{Requests: l.Requests, Tokens: l.Tokens}
			if !r.Answer {
				load = p.assigned.complete(now, from, id, l)
			}
			if load != (room.Load{}) {
				loads[id] = load
			}
			if r.Answer {
				p.speeds.hear(now, id, l.Slowness)
			} else {
				p.outcomes.applyTotals(now, from, id, l.Totals)
			}
		}
	}
	if !r.Answer {
		p.assigned.addMissing(now, from, loads)
	}
	if !r.Answer && !p.fullReport[from] {
		// An instance that has just become a hub still has the sum reported by another hub. If the
		// reporting instance's loads were counted both in that sum and separately, all engines
		// would look full until the sum expires.
		p.fullReport[from] = true
		p.allocator.SubtractPeer(allPeers, loads)
	}
	p.lastReport[from] = now
	p.allocator.SetPeer(from, loads)
}
