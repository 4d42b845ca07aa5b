package gateway

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/room"
	"github.com/cairnworks/cairnworks/decision/waiting"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
)

// claimRetention is how long a decided claim is kept for duplicates, which arrive within the
// lifetime of a claim.
const claimRetention = 2 * time.Second

// remoteClaim is another instance's claim that is placed by this instance.
type remoteClaim struct {
	id         uint64
	instance   string
	dispatcher *dispatcher
	pool       *pool
	tokens     int
	// confirms is set if the instance confirms places that it was assigned; see assignedPlaces.
	confirms bool
	// request waits in the dispatcher's queue; it is nil for a prefill claim, which does not wait.
	request *queuedRequest

	mu sync.Mutex
	// lastSeen is when the claim was last received.
	lastSeen time.Duration
	answer   func(fleet.Place)
	reply    fleet.Place
	// engine is the ID of the assigned engine. cancelled is set if the claim is no longer wanted.
	engine    string
	cancelled bool
}

// toConfirm returns the ID under which the instance confirms the claim's place, or 0 if it does not.
func (r *remoteClaim) toConfirm() uint64 {
	if !r.confirms {
		return 0
	}
	return r.id
}

// handleClaim handles a new, refreshed or cancelled claim of another instance.
func (s *dispatcherSet) handleClaim(now time.Duration, instance string, c fleet.Claim, answer func(fleet.Place)) {
	s.mu.Lock()
	existing := s.claims[c.ID]
	s.mu.Unlock()
	switch {
	case c.Over && existing != nil:
		s.cancelClaim(existing)
	case c.Over:
		s.recordFull(c)
	case existing != nil:
		existing.refresh(now, answer)
	default:
		s.openClaim(now, instance, c, answer)
	}
}

// openClaim starts processing a new claim.
func (s *dispatcherSet) openClaim(now time.Duration, instance string, c fleet.Claim, answer func(fleet.Place)) {
	d, known := s.byHash(c.Service)
	if !known || s.gateway.state.Missing() != NoPrerequisite {
		// There is no configuration or there are no engines yet. Without an answer, the other
		// instance places the request by its own information.
		return
	}
	if d.isPlain() && c.Prefill {
		return
	}
	r := &remoteClaim{
		id: c.ID, instance: instance, dispatcher: d, pool: d.decode, tokens: c.Tokens, lastSeen: now, answer: answer,
		reply: fleet.Place{ID: c.ID, State: fleet.PlaceWaiting},
	}
	if c.Prefill {
		r.pool = d.prefill
	}
	g := s.gateway
	r.confirms = g.Features.PlainQueue && g.placementHomes != nil && g.placementHomes.Offers(instance, fleet.PlainPlaces)
	s.mu.Lock()
	s.claims[c.ID] = r
	s.mu.Unlock()
	d.sync()
	d.checkReported(r.pool, c.Avoid)
	if c.Prefill {
		r.prefill(c)
	} else {
		r.enqueue(c)
	}
}

// recordFull stops claims at upstreams that have just refused a request as full.
func (s *dispatcherSet) recordFull(c fleet.Claim) {
	if len(c.Full) == 0 {
		return
	}
	if d, known := s.byHash(c.Service); known {
		for id := range d.decode.idsOf(c.Full) {
			d.backOff(id)
		}
	}
}

// enqueue queues a claim for a place like a request of this instance.
func (r *remoteClaim) enqueue(c fleet.Claim) {
	for id := range r.pool.idsOf(c.Full) {
		r.dispatcher.backOff(id)
	}
	now := time.Now()
	item := r.dispatcher.queueItem(waiting.Item{
		Organisation: strconv.FormatUint(uint64(c.Organisation), 16), Priority: c.Priority, Tokens: c.Tokens, Output: c.Output, Arrived: now.Add(-c.Waited),
		Objective: c.Objective, Deadline: now.Add(c.Left), RetrySeed: c.Point, RepeatKey: c.RepeatKey, Patience: r.dispatcher.patience(c.Objective),
	})
	r.request = &queuedRequest{
		item: item, demand: r.dispatcher.demand(item), except: r.pool.idsOf(c.Except), avoid: r.pool.idsOf(c.Avoid), repeatable: c.Repeatable, remote: r,
	}
	if !r.dispatcher.isPlain() {
		r.request.except = union(r.request.except, r.request.avoid)
	}
	r.dispatcher.gateway.dispatchers.system.Root.Send(r.dispatcher.pid, enqueueMessage{r.request})
}

// patience returns how long callers of the service's routes with an objective wait for a first event, or 0
// for until their deadline. Claims do not carry it, since all instances have the same routes.
func (d *dispatcher) patience(objective time.Duration) time.Duration {
	index := d.gateway.state.Index()
	if index == nil || !d.gateway.Features.LateAnswers {
		return 0
	}
	shortest := 0
	for _, r := range index.Set().Routes {
		if time.Duration(r.ObjectiveMS)*time.Millisecond != objective || r.PatienceMS == 0 || !slices.ContainsFunc(r.Targets, func(t object.Target) bool { return t.Service == d.service }) {
			continue
		}
		if shortest == 0 || r.PatienceMS < shortest {
			shortest = r.PatienceMS
		}
	}
	return time.Duration(shortest) * time.Millisecond
}

// prefill assigns a prefill engine immediately or refuses.
func (r *remoteClaim) prefill(c fleet.Claim) {
	entries := r.dispatcher.gateway.state.Directory.Service(r.dispatcher.service)
	// A requested backoff binds the instance that was told only.
	except := union(r.pool.idsOf(c.Except), r.dispatcher.gateway.statements.unavailable(entries).spentIDs())
	avoid := r.pool.idsOf(c.Avoid)
	avoid = union(avoid, r.dispatcher.gateway.outliers.ejected(entries))
	entry, ok := r.pool.claimFor(r.instance, r.toConfirm(), room.Demand{Tokens: c.Tokens}, union(except, avoid))
	if !ok {
		except = union(except, r.dispatcher.gateway.outliers.unusable(entries))
		entry, ok = r.pool.claimFor(r.instance, r.toConfirm(), room.Demand{Tokens: c.Tokens}, except)
	}
	if !ok {
		r.decide(fleet.Place{State: fleet.PlaceRefused}, "")
		return
	}
	r.decide(fleet.Place{State: fleet.PlaceGiven, Upstream: fleet.ShortHashOf(entry.ID)}, entry.ID)
}

// resolve answers a claim that was queued.
func (r *remoteClaim) resolve(result placementResult) {
	if result.refusal != nil {
		r.decide(fleet.Place{State: fleet.PlaceRefused, Retry: result.refusal.RetryAfter}, "")
		return
	}
	r.decide(fleet.Place{State: fleet.PlaceGiven, Upstream: fleet.ShortHashOf(result.entry.ID)}, result.entry.ID)
}

func (r *remoteClaim) decide(p fleet.Place, engine string) {
	r.mu.Lock()
	p.ID = r.id
	r.reply, r.engine = p, engine
	answer, cancelled := r.answer, r.cancelled
	r.mu.Unlock()
	if !cancelled {
		answer(p)
	} else if engine != "" {
		r.release(engine)
	}
}

// answerWaiting tells the other instance that its claim is queued, unless it has been decided.
func (r *remoteClaim) answerWaiting() {
	r.mu.Lock()
	reply, answer := r.reply, r.answer
	r.mu.Unlock()
	if reply.State == fleet.PlaceWaiting {
		answer(reply)
	}
}

// refresh answers a duplicate of a claim.
func (r *remoteClaim) refresh(now time.Duration, answer func(fleet.Place)) {
	r.mu.Lock()
	r.lastSeen, r.answer = now, answer
	reply := r.reply
	r.mu.Unlock()
	answer(reply)
}

// expired reports whether the claim has not been received for longer than lifetime.
func (r *remoteClaim) expired(now time.Duration, lifetime time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now-r.lastSeen > lifetime
}

// forget drops a claim. If it is received again, it is processed as a new one.
func (s *dispatcherSet) forget(r *remoteClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.claims, r.id)
}

// cancelClaim ends a claim whose request was cancelled.
func (s *dispatcherSet) cancelClaim(r *remoteClaim) {
	s.forget(r)
	r.mu.Lock()
	r.cancelled = true
	engine := r.engine
	r.mu.Unlock()
	if engine != "" {
		r.release(engine)
	} else if r.request != nil {
		s.system.Root.Send(r.dispatcher.pid, cancelMessage{r.request})
	}
}

func (r *remoteClaim) release(engine string) {
	r.pool.releaseFor(r.instance, r.id, engine, r.tokens)
	r.dispatcher.recheck()
}

// sweep drops claims that are no longer refreshed.
func (s *dispatcherSet) sweep() {
	now := boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.claims {
		if r.expired(now, claimRetention) {
			delete(s.claims, id)
		}
	}
}

// byHash returns the dispatcher of the service whose name has the given hash. There is none for a plain service
// whose requests do not wait in a queue here.
func (s *dispatcherSet) byHash(service fleet.Hash) (*dispatcher, bool) {
	index := s.gateway.state.Index()
	if index == nil {
		return nil, false
	}
	services := index.Set().Services
	for i := range services {
		if fleet.HashOf(services[i].Name) == service {
			if services[i].Kind == object.KindPlain && !s.gateway.Features.PlainQueue {
				return nil, false
			}
			return s.get(&services[i]), true
		}
	}
	return nil, false
}
