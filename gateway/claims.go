package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/room"
	"github.com/cairnworks/cairnworks/decision/waiting"
	"github.com/cairnworks/cairnworks/fleet"
)

// claimsKept is how long a decided claim is kept for repetitions, which come within the life of
// a claim.
const claimsKept = 2 * time.Second

// remoteClaim is a claim of another instance that is placed here.
type remoteClaim struct {
	id       uint64
	instance string
	desk     *desk
	pool     *pool
	tokens   int
	// ticket waits at the desk; nil for a prompt, which does not wait.
	ticket *ticket

	mu sync.Mutex
	// at is when the claim was last heard of.
	at     time.Duration
	answer func(fleet.Place)
	place  fleet.Place
	// engine is the id of the engine that was given, left tells that nobody wants it.
	engine string
	left   bool
}

// claimed takes in another instance's claim.
func (d *desks) claimed(now time.Duration, instance string, c fleet.Claim, answer func(fleet.Place)) {
	d.mu.Lock()
	old := d.claims[c.ID]
	d.mu.Unlock()
	switch {
	case c.Over && old != nil:
		d.withdraw(old)
	case c.Over:
	case old != nil:
		old.refresh(now, answer)
	default:
		d.open(now, instance, c, answer)
	}
}

// open begins a claim.
func (d *desks) open(now time.Duration, instance string, c fleet.Claim, answer func(fleet.Place)) {
	k, known := d.byHash(c.Service)
	if !known || d.gateway.state.Missing() != NoPrerequisite {
		// No configuration or no engines yet. The one who asks goes by what it knows.
		return
	}
	r := &remoteClaim{
		id: c.ID, instance: instance, desk: k, pool: k.decode, tokens: c.Tokens, at: now, answer: answer,
		place: fleet.Place{ID: c.ID, State: fleet.PlaceWaiting},
	}
	if c.Prefill {
		r.pool = k.prefill
	}
	d.mu.Lock()
	d.claims[c.ID] = r
	d.mu.Unlock()
	k.sync()
	k.doubt(r.pool, c.Avoid)
	if c.Prefill {
		r.prefill(c)
	} else {
		r.enqueue(c)
	}
}

// enqueue lets a claim of memory wait like a request of this instance.
func (r *remoteClaim) enqueue(c fleet.Claim) {
	for id := range r.pool.named(c.Full) {
		r.desk.shut(id)
	}
	now := time.Now()
	r.ticket = &ticket{
		item: &waiting.Item{
			Organisation: strconv.FormatUint(uint64(c.Organisation), 16), Priority: c.Priority, Tokens: c.Tokens, Output: c.Output, Arrived: now.Add(-c.Waited),
			Objective: c.Objective, Deadline: now.Add(c.Left), Point: c.Point,
		},
		except: union(r.pool.named(c.Except), r.pool.named(c.Avoid)), remote: r,
	}
	r.desk.gateway.desks.system.Root.Send(r.desk.pid, submit{r.ticket})
}

// prefill places a prompt at once or not at all.
func (r *remoteClaim) prefill(c fleet.Claim) {
	except, avoid := r.pool.named(c.Except), r.pool.named(c.Avoid)
	entries := r.desk.gateway.state.Directory.Service(r.desk.service)
	avoid = union(avoid, r.desk.gateway.suspects.among(entries))
	entry, ok := r.pool.claimFor(r.instance, room.Need{Tokens: c.Tokens}, union(except, avoid))
	if !ok {
		entry, ok = r.pool.claimFor(r.instance, room.Need{Tokens: c.Tokens}, except)
	}
	if !ok {
		r.decide(fleet.Place{State: fleet.PlaceRefused}, "")
		return
	}
	r.decide(fleet.Place{State: fleet.PlaceGiven, Upstream: fleet.ShortHashOf(entry.ID)}, entry.ID)
}

// give answers a claim that has waited.
func (r *remoteClaim) give(g grant) {
	if g.refused != nil {
		r.decide(fleet.Place{State: fleet.PlaceRefused, Retry: g.refused.RetryAfter}, "")
		return
	}
	r.decide(fleet.Place{State: fleet.PlaceGiven, Upstream: fleet.ShortHashOf(g.entry.ID)}, g.entry.ID)
}

func (r *remoteClaim) decide(p fleet.Place, engine string) {
	r.mu.Lock()
	p.ID = r.id
	r.place, r.engine = p, engine
	answer, left := r.answer, r.left
	r.mu.Unlock()
	if !left {
		answer(p)
	} else if engine != "" {
		r.giveBack(engine)
	}
}

// wait tells the other instance that its claim waits, unless it has been decided.
func (r *remoteClaim) wait() {
	r.mu.Lock()
	place, answer := r.place, r.answer
	r.mu.Unlock()
	if place.State == fleet.PlaceWaiting {
		answer(place)
	}
}

// refresh answers a claim that is sent again.
func (r *remoteClaim) refresh(now time.Duration, answer func(fleet.Place)) {
	r.mu.Lock()
	r.at, r.answer = now, answer
	place := r.place
	r.mu.Unlock()
	answer(place)
}

// stale reports whether nobody waits for the answer.
func (r *remoteClaim) stale(now time.Duration, life time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now-r.at > life
}

// forget drops a claim. Should it be sent again after all, it begins anew.
func (d *desks) forget(r *remoteClaim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.claims, r.id)
}

// withdraw ends a claim whose request has left.
func (d *desks) withdraw(r *remoteClaim) {
	d.forget(r)
	r.mu.Lock()
	r.left = true
	engine := r.engine
	r.mu.Unlock()
	if engine != "" {
		r.giveBack(engine)
	} else if r.ticket != nil {
		d.system.Root.Send(r.desk.pid, withdraw{r.ticket})
	}
}

func (r *remoteClaim) giveBack(engine string) {
	r.pool.giveBack(r.instance, engine, r.tokens)
	r.desk.look()
}

// sweep forgets claims that are not repeated any more.
func (d *desks) sweep() {
	now := boottime.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.claims {
		if r.stale(now, claimsKept) {
			delete(d.claims, id)
		}
	}
}

// byHash is the desk of the service with a name of some hash.
func (d *desks) byHash(service fleet.Hash) (*desk, bool) {
	index := d.gateway.state.Index()
	if index == nil {
		return nil, false
	}
	services := index.Set().Services
	for i := range services {
		if fleet.HashOf(services[i].Name) == service {
			return d.get(&services[i]), true
		}
	}
	return nil, false
}
