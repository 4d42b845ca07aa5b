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
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Figures of the desks.
const (
	// deskTick is how often waiting requests are looked at when nothing else happens.
	deskTick = 25 * time.Millisecond
	// claimDeviations is how far above the middle of what is known of an answer's length
	// its claim lies.
	claimDeviations = 0.25
	// shutTime is how long a decode engine gets no claims after it refused a
	// reservation that should have fitted: another instance was faster and its report
	// is on the way, or a run grew beyond its claim.
	shutTime = 60 * time.Millisecond
)

// Messages to a desk.
type (
	// submit asks for a place at a decode engine.
	submit struct{ ticket *ticket }
	// withdraw ends a request's wait.
	withdraw struct{ ticket *ticket }
	// look asks to look at the waiting requests, since room may have come free.
	look struct{}
	// tick asks the same after a while in which nothing else happened.
	tick struct{}
)

// ticket is one request that waits for a place.
type ticket struct {
	item *waiting.Item
	// grant receives the place, or nothing when the wait is over.
	grant chan grant
	// except are engines that refused the request.
	except map[string]bool
	// remote is the claim of another instance, nil for a request of this one.
	remote *remoteClaim
}

func (t *ticket) give(g grant) {
	if t.remote != nil {
		t.remote.give(g)
		return
	}
	t.grant <- g
}

// claim claims memory for the request.
func (t *ticket) claim(p *pool, suspects map[string]bool) (upstream.Entry, bool) {
	except := union(suspects, t.except)
	need := room.Demand{Tokens: t.item.Tokens, Output: t.item.Output}
	if t.remote != nil {
		return p.claimFor(t.remote.instance, need, except)
	}
	return p.claim(need, except)
}

// grant is the answer to a ticket.
type grant struct {
	entry   upstream.Entry
	refused *verdict.Verdict
}

// desk is the actor that decides which of a service's waiting requests gets which
// decode engine. Requests submit tickets and wait for their grants.
type desk struct {
	gateway *Gateway
	service string
	pid     *actor.PID
	decode  *pool
	prefill *pool
	doubts  doubts

	mu      sync.Mutex
	pool    object.Pool
	lengths *length.Estimator
	work    *split.Advisor

	// What follows belongs to the actor.
	queue   *waiting.Queue
	tickets map[*waiting.Item]*ticket
	ticking bool
}

func newDesk(g *Gateway, service string) *desk {
	return &desk{
		gateway: g, service: service, decode: newPool(), prefill: newPool(), doubts: doubts{checked: make(map[string]time.Duration)},
		lengths: length.New(length.DefaultConfig()), work: split.New(split.DefaultConfig()),
		queue: waiting.New(waiting.DefaultConfig()), tickets: make(map[*waiting.Item]*ticket),
	}
}

func (k *desk) setPool(p *object.Pool) {
	if p == nil {
		return
	}
	k.mu.Lock()
	k.pool = *p
	k.mu.Unlock()
}

func (k *desk) shape() object.Pool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pool
}

// look asks the actor to look at the waiting requests.
func (k *desk) look() { k.gateway.desks.system.Root.Send(k.pid, look{}) }

// Receive implements actor.Actor.
func (k *desk) Receive(ctx actor.Context) {
	switch message := ctx.Message().(type) {
	case submit:
		k.queue.Add(message.ticket.item)
		k.tickets[message.ticket.item] = message.ticket
		if remote := message.ticket.remote; remote != nil {
			defer remote.wait()
		}
	case withdraw:
		k.queue.Remove(message.ticket.item)
		delete(k.tickets, message.ticket.item)
		return
	case look:
	case tick:
		k.ticking = false
	default:
		return
	}
	if k.queue.Len() == 0 {
		return
	}
	k.serve()
	k.lookLater(ctx.Self())
}

// lookLater looks again soon while requests wait.
func (k *desk) lookLater(self *actor.PID) {
	if k.ticking || k.queue.Len() == 0 {
		return
	}
	k.ticking = true
	system := k.gateway.desks.system
	time.AfterFunc(deskTick, func() { system.Root.Send(self, tick{}) })
}

// serve gives places to waiting requests and refuses those whose wait is over.
func (k *desk) serve() {
	k.sync()
	k.dropStale()
	entries := k.gateway.state.Directory.Service(k.service)
	suspects := k.gateway.suspects.among(entries)
	now := time.Now()
	k.queue.Dispatch(now, func(item *waiting.Item) bool {
		t := k.tickets[item]
		entry, ok := t.claim(k.decode, suspects)
		if !ok {
			return false
		}
		delete(k.tickets, item)
		t.give(grant{entry: entry})
		return true
	}, func(item *waiting.Item, retry time.Duration) {
		t := k.tickets[item]
		delete(k.tickets, item)
		t.give(grant{refused: noRoom(item, retry)})
	})
	k.gateway.changed()
}

// noRoom refuses a request that no decode engine had room for.
func noRoom(item *waiting.Item, retry time.Duration) *verdict.Verdict {
	return verdict.Refuse(verdict.ReasonQueueTimeout, retry, "no room at a decode engine within %v", time.Since(item.Arrived).Round(time.Millisecond))
}

// dropStale forgets claims of other instances that are not sent again.
func (k *desk) dropStale() {
	now := boottime.Now()
	for item, t := range k.tickets {
		if t.remote != nil && t.remote.stale(now, fleet.ClaimTTL) {
			k.queue.Remove(item)
			delete(k.tickets, item)
			k.gateway.desks.forget(t.remote)
		}
	}
}

// sync takes over the engines that may be given work.
func (k *desk) sync() {
	large := k.gateway.reportsLate()
	_, home := k.gateway.homeOf(k.service)
	k.decode.spread(large && !home)
	k.prefill.spread(large && !home)
	memory, near := k.shape().MemoryTokens, k.gateway.DataCentre
	if large {
		// Most requests that are placed here come from elsewhere.
		near = ""
	}
	k.decode.sync(k.gateway.state.Directory, k.service, upstream.Decode, shaped{near, memory}, func(e upstream.Entry) room.Engine {
		return room.Engine{ID: e.ID, Memory: memory, Slots: e.Slots, SameDataCentre: e.DataCentre == near}
	})
	k.prefill.sync(k.gateway.state.Directory, k.service, upstream.Prefill, shaped{near, prefillDepth}, func(e upstream.Entry) room.Engine {
		return room.Engine{ID: e.ID, Memory: prefillDepth, Slots: e.Slots, SameDataCentre: e.DataCentre == near}
	})
}

// union of two sets, either of which may be nil.
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

// placeHere waits for a place at a decode engine that this instance gives.
func (k *desk) placeHere(ctx context.Context, w want) (upstream.Entry, *verdict.Verdict) {
	item := w.item
	t := &ticket{item: item, grant: make(chan grant, 1), except: w.except}
	root := k.gateway.desks.system.Root
	root.Send(k.pid, submit{t})
	select {
	case g := <-t.grant:
		return g.entry, g.refused
	case <-ctx.Done():
	}
	root.Send(k.pid, withdraw{t})
	// The place may have been given in the same moment.
	select {
	case g := <-t.grant:
		if g.refused == nil {
			k.leave(g.entry, item.Tokens)
		}
	case <-time.After(deskTick):
		go k.collect(t)
	}
	return upstream.Entry{}, gone(ctx)
}

// collect gives back a place that was given after its request had left.
func (k *desk) collect(t *ticket) {
	select {
	case g := <-t.grant:
		if g.refused == nil {
			k.leave(g.entry, t.item.Tokens)
		}
	case <-time.After(time.Second):
	}
}

// leave ends a claim at a decode engine.
func (k *desk) leave(entry upstream.Entry, tokens int) {
	k.decode.release(entry.ID, tokens)
	k.tell(k.decode, entry.ID)
	k.look()
}

// shut keeps claims away from an engine for a moment.
func (k *desk) shut(id string) {
	k.decode.shut(id, false)
	time.AfterFunc(shutTime, func() {
		k.decode.shut(id, true)
		k.look()
	})
	k.gateway.log.Debug("engine full", zap.String("upstream", id), zap.Float64("pool_free", k.decode.free()))
}

// refusedBy keeps work away from an engine that refuses though it has room by all that is known
// here: it is changing its role or leaving. Each instance would send a request in vain to
// learn the same; a claim on all of the engine tells them. The last engine keeps its work: it
// may have refused for another reason, and there is nowhere else to go.
func (k *desk) refusedBy(p *pool, entry upstream.Entry) {
	if p.open() <= 1 {
		return
	}
	k.gateway.suspects.fail(entry)
	p.withdraw(entry.ID, refusedLimit)
	k.tell(p, entry.ID)
}

// gone is the verdict of a request whose context ended before it was sent.
func gone(ctx context.Context) *verdict.Verdict {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return verdict.Refuse(verdict.ReasonDeadlineUnmeetable, time.Second, "the deadline passed before the request was sent")
	}
	return verdict.Refuse(verdict.ReasonCancelled, 0, "the caller left")
}
