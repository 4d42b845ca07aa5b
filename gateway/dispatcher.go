package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/length"
	"github.com/cairnworks/cairnworks/decision/room"
	"github.com/cairnworks/cairnworks/decision/split"
	"github.com/cairnworks/cairnworks/decision/waiting"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Limits and timings of dispatchers.
const (
	// dispatchInterval is how often the queue is checked in the absence of other events.
	dispatchInterval = 25 * time.Millisecond
	// claimDeviations is the number of standard deviations by which a claim exceeds the centre of
	// the estimated output length.
	claimDeviations = 0.25
	// fullEngineBackoff is how long a decode engine gets no claims after it refused a reservation
	// that should have fitted: either another instance was faster and its report has not arrived
	// yet, or an answer exceeded its claim.
	fullEngineBackoff = 60 * time.Millisecond
)

// Messages to a dispatcher.
type (
	// enqueueMessage queues a request for a place at a decode engine or plain upstream.
	enqueueMessage struct{ request *queuedRequest }
	// cancelMessage removes a request from the queue.
	cancelMessage struct{ request *queuedRequest }
	// recheckMessage triggers a check of the queue because capacity may have become free.
	recheckMessage struct{}
	// tickMessage triggers a check after dispatchInterval without other events.
	tickMessage struct{}
)

// queuedRequest is a request that waits for a decode engine or a plain upstream.
type queuedRequest struct {
	item *waiting.Item
	// demand is what the request claims.
	demand room.Demand
	// result receives the engine, or a refusal when the wait is over.
	result chan placementResult
	// except holds engines that refused the request.
	except map[string]bool
	// avoid holds upstreams that the request gets only if no others are left for it.
	avoid map[string]bool
	// repeatable is set if the request may run more than once.
	repeatable bool
	// refusal returns a refusal once the request must not be sent any more. It is nil for claims of others.
	refusal func() *verdict.Verdict
	// remote is the claim of another instance, nil for a request of this instance.
	remote *remoteClaim
}

func (q *queuedRequest) resolve(result placementResult) {
	if q.remote != nil {
		q.remote.resolve(result)
		return
	}
	q.result <- result
}

// claim claims a place for the request.
func (q *queuedRequest) claim(p *pool, except map[string]bool) (upstream.Entry, bool) {
	except = union(except, q.except)
	if q.remote != nil {
		return p.claimFor(q.remote.instance, q.remote.toConfirm(), q.demand, except)
	}
	return p.claim(q.demand, except)
}

// placementResult is the outcome of a queuedRequest.
type placementResult struct {
	entry   upstream.Entry
	refusal *verdict.Verdict
}

// dispatcher is the actor that assigns a service's queued requests to decode engines, or to the upstreams of a
// plain service.
type dispatcher struct {
	gateway *Gateway
	service string
	// role is that of the upstreams in decode: upstream.Plain for a plain service, which has no prefill.
	role        upstream.Role
	pid         *actor.PID
	decode      *pool
	prefill     *pool
	serviceTime serviceTime
	// setQueueLength, if set, updates the metric of the queue's length.
	setQueueLength func(int)
	reachChecks    reachChecks
	// reporting is held while a load is read and sent to the home.
	reporting sync.Mutex

	mu              sync.Mutex
	poolSettings    object.Pool
	lengthEstimator *length.Estimator
	splitAdvisor    *split.Advisor
	// lastHome is the instance that was last asked for a place of a plain service.
	lastHome string

	// The fields below are accessed only by the actor.
	queue         *waiting.Queue
	requests      map[*waiting.Item]*queuedRequest
	tickScheduled bool
	// counted and overloaded are the state of the queue that was last reported.
	counted    waiting.Counts
	overloaded bool
}

func newDispatcher(g *Gateway, service string) *dispatcher {
	d := &dispatcher{
		gateway: g, service: service, role: upstream.Decode, decode: newPool(), prefill: newPool(), reachChecks: reachChecks{lastChecked: make(map[string]time.Duration)},
		lengthEstimator: length.New(length.DefaultConfig()), splitAdvisor: split.New(split.DefaultConfig()),
		queue: waiting.New(waitingConfig(g.Features.LateAnswers)), requests: make(map[*waiting.Item]*queuedRequest),
	}
	g.watchFailures(d.decode, service, upstream.Decode)
	g.watchFailures(d.prefill, service, upstream.Prefill)
	g.enableSpeeds(service, upstream.Decode, d.decode)
	g.enableSpeeds(service, upstream.Prefill, d.prefill)
	return d
}

// waitingConfig returns the parameters of a queue.
func waitingConfig(lateAnswers bool) waiting.Config {
	cfg := waiting.DefaultConfig()
	cfg.LateAnswers = lateAnswers
	return cfg
}

func (d *dispatcher) setPoolSettings(p *object.Pool) {
	if p == nil {
		return
	}
	d.mu.Lock()
	d.poolSettings = *p
	d.mu.Unlock()
}

func (d *dispatcher) settings() object.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.poolSettings
}

// pool returns the engines of a role.
func (d *dispatcher) pool(role upstream.Role) *pool {
	if role == upstream.Prefill {
		return d.prefill
	}
	return d.decode
}

// recheck makes the actor check the queue.
func (d *dispatcher) recheck() { d.gateway.dispatchers.system.Root.Send(d.pid, recheckMessage{}) }

// Receive implements actor.Actor.
func (d *dispatcher) Receive(ctx actor.Context) {
	switch message := ctx.Message().(type) {
	case enqueueMessage:
		d.queue.Add(message.request.item)
		d.requests[message.request.item] = message.request
		if remote := message.request.remote; remote != nil {
			defer remote.answerWaiting()
		}
	case cancelMessage:
		d.queue.Remove(message.request.item)
		delete(d.requests, message.request.item)
		d.recordQueueLength()
		return
	case recheckMessage:
	case tickMessage:
		d.tickScheduled = false
	default:
		return
	}
	if d.queue.Len() == 0 {
		return
	}
	d.dispatch()
	d.recordQueueLength()
	d.scheduleTick(ctx.Self())
}

// scheduleTick schedules the next tick while requests are queued.
func (d *dispatcher) scheduleTick(self *actor.PID) {
	if d.tickScheduled || d.queue.Len() == 0 {
		return
	}
	d.tickScheduled = true
	system := d.gateway.dispatchers.system
	time.AfterFunc(dispatchInterval, func() { system.Root.Send(self, tickMessage{}) })
}

// dispatch assigns engines to queued requests and refuses those that have waited too long.
func (d *dispatcher) dispatch() {
	d.sync()
	d.dropExpired()
	entries := d.gateway.state.Directory.Service(d.service)
	unavailable := d.gateway.statements.unavailable(entries)
	d.refuseIfNoneAvailable()
	d.refuseQuarantined()
	var claim func(queued *queuedRequest) (upstream.Entry, bool)
	if d.isPlain() {
		exclusions := d.plainExclusions(entries, unavailable)
		claim = func(queued *queuedRequest) (upstream.Entry, bool) { return d.claimPlain(queued, exclusions) }
	} else {
		claim = d.claimDecode(entries, unavailable)
	}
	now := time.Now()
	d.queue.Dispatch(now, func(item *waiting.Item) bool {
		queued := d.requests[item]
		entry, ok := claim(queued)
		if !ok {
			return false
		}
		delete(d.requests, item)
		queued.resolve(placementResult{entry: entry})
		return true
	}, func(item *waiting.Item, retry time.Duration) {
		queued := d.requests[item]
		delete(d.requests, item)
		queued.resolve(placementResult{refusal: d.queueTimeout(item, retry)})
	})
	d.recordQueue(now)
	d.gateway.triggerReport()
}

// claimDecode returns the function that claims a decode engine for a queued request.
func (d *dispatcher) claimDecode(entries []upstream.Entry, u unavailable) func(*queuedRequest) (upstream.Entry, bool) {
	ejected := union(d.gateway.outliers.ejected(entries), u.spentIDs())
	// A requested backoff binds the instance that was told only.
	ejectedHere := union(ejected, u.backoffIDs())
	return func(queued *queuedRequest) (upstream.Entry, bool) {
		if queued.remote != nil {
			return queued.claim(d.decode, ejected)
		}
		return queued.claim(d.decode, ejectedHere)
	}
}

// recordQueue counts what became of requests with late answers, and logs the begin and the end of an overload.
func (d *dispatcher) recordQueue(now time.Time) {
	before, counts := d.counted, d.queue.Counts()
	d.counted = counts
	if counts != before {
		d.countOutcomes(before, counts)
	}
	if overloaded := d.queue.Overloaded(now); overloaded != d.overloaded {
		d.overloaded = overloaded
		o := d.queue.Overload(now)
		d.gateway.log.Info("queue overload changed", zap.String("service", d.service), zap.Bool("overloaded", overloaded), zap.Int("waiting", d.queue.Len()),
			zap.Float64("placed_per_s", o.PlacedPerSecond), zap.Float64("arriving_per_s", o.ArrivingPerSecond), zap.Int("bookings", o.Bookings))
	}
}

// countOutcomes counts what became of requests between two states of the queue.
func (d *dispatcher) countOutcomes(before, counts waiting.Counts) {
	for outcome, n := range map[string]int{
		observe.QueuePlaced: counts.Placed - before.Placed, observe.QueuePlacedLate: counts.PlacedLate - before.PlacedLate,
		observe.QueueRefused: counts.Refused - before.Refused, observe.QueueRefusedEarly: counts.RefusedEarly - before.RefusedEarly,
		observe.QueueBooked: counts.Booked - before.Booked, observe.QueueReturned: counts.Returned - before.Returned,
	} {
		if n > 0 {
			d.gateway.Metrics.CountQueueOutcome(d.service, outcome, n)
		}
	}
}

// refuseIfNoneAvailable refuses the queued requests of this instance if all engines have said that they take
// none.
func (d *dispatcher) refuseIfNoneAvailable() {
	if d.gateway.refuseIfNoneAvailable(d.service, d.role, 0) == nil {
		return
	}
	for item, queued := range d.requests {
		if queued.remote == nil {
			d.queue.Remove(item)
			delete(d.requests, item)
			queued.resolve(placementResult{refusal: d.gateway.refuseIfNoneAvailable(d.service, d.role, item.RetrySeed)})
		}
	}
}

// refuseQuarantined refuses the queued requests of this instance that must not be sent any more.
func (d *dispatcher) refuseQuarantined() {
	if !d.gateway.crashes.quarantines() {
		return
	}
	for item, queued := range d.requests {
		if queued.refusal == nil {
			continue
		}
		if v := queued.refusal(); v != nil {
			d.queue.Remove(item)
			delete(d.requests, item)
			queued.resolve(placementResult{refusal: v})
		}
	}
}

// queueTimeout returns the refusal of a request for which no upstream had capacity.
func (d *dispatcher) queueTimeout(item *waiting.Item, retry time.Duration) *verdict.Verdict {
	of := "decode engine"
	if d.isPlain() {
		of = "upstream"
	}
	v := verdict.Refuse(verdict.ReasonQueueTimeout, retry, "no %s had capacity within %v", of, time.Since(item.Arrived).Round(time.Millisecond))
	v.RetryExpected = d.gateway.Features.LateAnswers || d.isPlain()
	return v
}

// dropExpired drops claims of other instances that are no longer refreshed.
func (d *dispatcher) dropExpired() {
	now := boottime.Now()
	for item, queued := range d.requests {
		if queued.remote != nil && queued.remote.expired(now, fleet.ClaimTTL) {
			d.queue.Remove(item)
			delete(d.requests, item)
			d.gateway.dispatchers.forget(queued.remote)
		}
	}
}

// sync updates the pools from the directory.
func (d *dispatcher) sync() {
	viaHubs := d.gateway.reportsViaHubs()
	_, isHome := d.gateway.homeOf(d.service)
	d.decode.setSampling(viaHubs && !isHome)
	d.prefill.setSampling(viaHubs && !isHome)
	memory, near := d.settings().MemoryTokens, d.gateway.DataCentre
	if viaHubs {
		// Most requests placed here come from other instances, so that proximity to this one is
		// irrelevant.
		near = ""
	}
	if d.isPlain() {
		d.syncPlain(near)
		return
	}
	d.decode.sync(d.gateway.state.Directory, d.service, upstream.Decode, poolShape{near: near, memory: memory}, func(e upstream.Entry) room.Engine {
		return room.Engine{ID: e.ID, Memory: memory, Slots: e.Slots, SameDataCentre: e.DataCentre == near}
	})
	d.prefill.sync(d.gateway.state.Directory, d.service, upstream.Prefill, poolShape{near: near, memory: maxPrefillQueueTokens}, func(e upstream.Entry) room.Engine {
		return room.Engine{ID: e.ID, Memory: maxPrefillQueueTokens, Slots: e.Slots, SameDataCentre: e.DataCentre == near}
	})
}

// union returns the union of two sets, either of which may be nil.
func union(a, b map[string]bool) map[string]bool {
	if len(a) == 0 {
		return b
	}
	out := make(map[string]bool, len(a)+len(b))
	for id := range a {
		out[id] = true
	}
	for id := range b {
		out[id] = true
	}
	return out
}

// placeLocally waits for a decode engine assigned by this instance.
func (d *dispatcher) placeLocally(ctx context.Context, request placementRequest) (upstream.Entry, *verdict.Verdict) {
	item := d.queueItem(*request.item)
	queued := &queuedRequest{item: item, demand: d.demand(item), result: make(chan placementResult, 1), except: request.except, repeatable: request.repeatable, refusal: request.refusal}
	root := d.gateway.dispatchers.system.Root
	root.Send(d.pid, enqueueMessage{queued})
	select {
	case result := <-queued.result:
		return result.entry, result.refusal
	case <-ctx.Done():
	}
	root.Send(d.pid, cancelMessage{queued})
	// The engine may have been assigned at the same moment.
	select {
	case result := <-queued.result:
		if result.refusal == nil {
			d.release(result.entry, queued.demand.Tokens)
		}
	case <-time.After(dispatchInterval):
		go d.releaseLateResult(queued)
	}
	return upstream.Entry{}, contextRefusal(ctx)
}

// releaseLateResult releases an engine that is assigned after its request was cancelled.
func (d *dispatcher) releaseLateResult(queued *queuedRequest) {
	select {
	case result := <-queued.result:
		if result.refusal == nil {
			d.release(result.entry, queued.demand.Tokens)
		}
	case <-time.After(time.Second):
	}
}

// release ends a claim at a decode engine.
func (d *dispatcher) release(entry upstream.Entry, tokens int) {
	d.decode.release(entry.ID, tokens)
	d.reportLoad(d.decode, entry.ID)
	d.recheck()
}

// backOff stops claims at an engine for fullEngineBackoff.
func (d *dispatcher) backOff(id string) {
	d.decode.setOpen(id, false)
	time.AfterFunc(fullEngineBackoff, func() {
		d.decode.setOpen(id, true)
		d.recheck()
	})
	d.gateway.log.Debug("engine full", zap.String("upstream", id), zap.Float64("pool_free", d.decode.freeShare()))
}

// withdrawRefusing withdraws an engine that refuses although it has capacity by all that is known
// here: it is changing its role or leaving. Otherwise each instance would send it a request in
// vain; the claim on the whole engine informs them. The last engine is kept: it may have refused
// for another reason, and there is no alternative.
func (d *dispatcher) withdrawRefusing(p *pool, entry upstream.Entry) {
	if p.availableEngines() <= 1 {
		return
	}
	d.gateway.outliers.recordFailure(entry)
	p.withdraw(entry.ID, refusalWithdrawal)
	d.reportLoad(p, entry.ID)
}

// contextRefusal returns the refusal of a request whose context ended before it was sent.
func contextRefusal(ctx context.Context) *verdict.Verdict {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return verdict.Refuse(verdict.ReasonDeadlineUnmeetable, time.Second, "the deadline passed before the request was sent")
	}
	return verdict.Refuse(verdict.ReasonCancelled, 0, "the caller disconnected")
}
