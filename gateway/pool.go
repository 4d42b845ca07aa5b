package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/room"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/upstream"
)

// peerLoadAge is how long another instance's placements count without a new report.
// Reports come at least every 500 ms; an instance that died no longer holds anything once
// upstreams have seen its connections end.
const peerLoadAge = 1200 * time.Millisecond

// ofAll is the name under which the placements of all others are kept that a hub tells.
const ofAll = ""

// pool is the upstreams of one service and role with what all instances have placed
// there. It is safe for concurrent use.
type pool struct {
	mu   sync.Mutex
	room *room.Allocator
	// entries by id, and ids by their short form in reports.
	entries map[string]upstream.Entry
	ids     map[fleet.Hash]string
	heard   map[string]time.Duration
	// whole are the instances that have told all that they have placed themselves.
	whole   map[string]bool
	version uint64
	shaped  shaped
	// away are engines that get no work, with the claim that keeps it from them.
	away map[string]int
}

func newPool() *pool {
	return &pool{room: room.New(), entries: make(map[string]upstream.Entry), ids: make(map[fleet.Hash]string), heard: make(map[string]time.Duration), whole: make(map[string]bool), away: make(map[string]int)}
}

// shaped is what upstreams are taken over by, besides their entries: the data centre whose go
// first, and the memory of each.
type shaped struct {
	near   string
	memory int
}

// sync takes over the upstreams that may be given work. shape tells an entry's size by what it is
// shaped by.
func (p *pool) sync(directory *upstream.Directory, service string, role upstream.Role, by shaped, shape func(upstream.Entry) room.Engine) {
	version := directory.Version()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == version && p.shaped == by {
		return
	}
	p.version, p.shaped = version, by
	var engines []room.Engine
	p.entries = make(map[string]upstream.Entry)
	p.ids = make(map[fleet.Hash]string)
	for _, e := range directory.Service(service) {
		if e.Role != role {
			continue
		}
		p.entries[e.ID] = e
		p.ids[fleet.ShortHashOf(e.ID)] = e.ID
		if !e.Leaving {
			engines = append(engines, shape(e))
		}
	}
	p.room.SetEngines(engines)
	for id := range p.away {
		if _, still := p.entries[id]; !still {
			p.bringBack(id)
		}
	}
}

// spread tells whether what others have placed is known late, so that claims are spread
// by chance.
func (p *pool) spread(late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if late {
		p.room.SetSampler(rand.IntN)
		return
	}
	p.room.SetSampler(nil)
}

// claim places a request of a size; see room.Allocator.Claim.
func (p *pool) claim(n room.Demand, except map[string]bool) (upstream.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSilent()
	id, ok := p.room.Claim(n, except)
	return p.entries[id], ok
}

// claimFor places a request of another instance; see room.Allocator.ClaimFor.
func (p *pool) claimFor(instance string, n room.Demand, except map[string]bool) (upstream.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSilent()
	id, ok := p.room.ClaimFor(instance, n, except)
	if _, heard := p.heard[instance]; ok && !heard {
		p.heard[instance] = boottime.Now()
	}
	return p.entries[id], ok
}

// giveBack ends a claim that was placed for another instance and that it did not take.
func (p *pool) giveBack(instance, id string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if load := p.room.PeerLoad(instance, id); load.Requests > 0 && load.Tokens >= tokens {
		p.room.SetPeerLoad(instance, id, room.Load{Requests: load.Requests - 1, Tokens: load.Tokens - tokens})
	}
}

// hold notes a request that another instance has placed for this one.
func (p *pool) hold(hash fleet.Hash, n room.Demand) (upstream.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.room.Advance(boottime.Now())
	entry, known := p.entries[p.ids[hash]]
	if known {
		p.room.RecordClaim(entry.ID, n)
	}
	return entry, known
}

// own is what this instance has placed at an engine.
func (p *pool) own(id string) fleet.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.room.OwnLoads()[id]
	return fleet.Load{Requests: l.Requests, Tokens: l.Tokens}
}

// named are the engines with some short hashes.
func (p *pool) named(list []fleet.Hash) map[string]bool {
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

// takeLoads takes over what has changed of another instance's placements.
func (p *pool) takeLoads(now time.Duration, instance string, loads map[fleet.Hash]fleet.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.room.Advance(now)
	for hash, l := range loads {
		if id, known := p.ids[hash]; known {
			p.room.SetPeerLoad(instance, id, room.Load{Requests: l.Requests, Tokens: l.Tokens})
			p.heard[instance] = now
		}
	}
}

// dropSilent forgets the placements of instances that report no more.
func (p *pool) dropSilent() {
	now := boottime.Now()
	p.room.Advance(now)
	for instance, at := range p.heard {
		if now-at > peerLoadAge {
			delete(p.heard, instance)
			delete(p.whole, instance)
			p.room.SetPeer(instance, nil)
		}
	}
}

func (p *pool) release(id string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.room.Advance(boottime.Now())
	p.room.Release(id, tokens)
}

func (p *pool) resize(id string, by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.room.Resize(id, by)
}

func (p *pool) shut(id string, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.room.Enable(id)
		return
	}
	p.room.Disable(id)
}

// idlest returns the engine with the lowest load, of those that are not in except.
func (p *pool) idlest(except map[string]bool) (upstream.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSilent()
	id, ok := p.room.LeastLoaded(except)
	return p.entries[id], ok
}

// Figures of withdrawn engines.
const (
	// awayLimit is how long an engine stays withdrawn that never shows its new role: it
	// first lets run what it has.
	awayLimit = 25 * time.Second
	// refusedLimit is how long an engine stays withdrawn that refused a request whose
	// memory it had reserved. It is changing its role, as an instance ordered that has
	// ended since, or leaving; one that only refuses now and then is missed for little.
	refusedLimit = 2 * time.Second
)

// withdraw claims a whole engine, so that no instance gives it work, until its entry
// shows another role, a limit is over or it is restored. An engine that is about to change its role
// still takes reservations, and refuses the requests that come with them.
func (p *pool) withdraw(id string, limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, already := p.away[id]; already {
		return
	}
	p.away[id] = p.room.ClaimEngine(id)
	time.AfterFunc(limit, func() { p.restore(id) })
}

// open is how many engines are not withdrawn.
func (p *pool) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.room.Engines() {
		if _, away := p.away[e.ID]; !away {
			n++
		}
	}
	return n
}

// restore ends a withdrawal.
func (p *pool) restore(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bringBack(id)
}

func (p *pool) bringBack(id string) {
	if tokens, withdrawn := p.away[id]; withdrawn {
		p.room.Release(id, tokens)
		delete(p.away, id)
	}
}

// free is the share of the pool that nobody has claimed.
func (p *pool) free() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.room.FreeShare()
}

// requests is how many requests all instances have placed at an engine.
func (p *pool) requests(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.room.Load(id).Requests
}

// running is how many requests all instances have placed.
func (p *pool) running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.room.Requests()
}

// fill adds this instance's placements to a report.
func (p *pool) fill(loads map[fleet.Hash]fleet.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.room.OwnLoads() {
		loads[fleet.ShortHashOf(id)] = fleet.Load{Requests: l.Requests, Tokens: l.Tokens}
	}
}

// forgetPeers drops what others have placed, before their sum takes its place; the lock is held.
func (p *pool) forgetPeers() {
	for instance := range p.heard {
		p.room.SetPeer(instance, nil)
	}
	clear(p.heard)
	clear(p.whole)
}

// fillAll adds the placements of all instances but one.
func (p *pool) fillAll(but string, loads map[fleet.Hash]fleet.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSilent()
	for id := range p.entries {
		l, less := p.room.Load(id), p.room.PeerLoad(but, id)
		if l.Requests > less.Requests {
			loads[fleet.ShortHashOf(id)] = fleet.Load{Requests: l.Requests - less.Requests, Tokens: l.Tokens - less.Tokens}
		}
	}
}

// take takes over another instance's placements, or those of all others.
func (p *pool) take(now time.Duration, r *fleet.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.room.Advance(now)
	from := r.Instance
	if r.Answer {
		from = ofAll
		p.forgetPeers()
	}
	loads := make(map[string]room.Load)
	for hash, l := range r.Loads {
		if id, known := p.ids[hash]; known {
			loads[id] = room.Load{Requests: l.Requests, Tokens: l.Tokens}
		}
	}
	if !r.Answer && !p.whole[from] {
		// An instance that has just become a hub holds the sum that others told it; counted
		// twice, all engines would look full until that sum is old.
		p.whole[from] = true
		p.room.SubtractPeer(ofAll, loads)
	}
	p.heard[from] = now
	p.room.SetPeer(from, loads)
}
