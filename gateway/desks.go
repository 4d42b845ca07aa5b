package gateway

import (
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
)

// desks hold one desk for each model service.
type desks struct {
	gateway *Gateway
	system  *actor.ActorSystem
	mu      sync.Mutex
	byName  map[string]*desk
	// claims are those of other instances, by id.
	claims map[uint64]*remoteClaim
}

func newDesks(g *Gateway) *desks {
	return &desks{gateway: g, system: observe.NewActorSystem(), byName: make(map[string]*desk), claims: make(map[uint64]*remoteClaim)}
}

func (d *desks) get(service *object.Service) *desk {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, known := d.byName[service.Name]
	if !known {
		k = newDesk(d.gateway, service.Name)
		k.pid = d.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return k }))
		d.byName[service.Name] = k
	}
	k.setPool(service.Pool)
	return k
}

func (d *desks) all() []*desk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*desk, 0, len(d.byName))
	for _, k := range d.byName {
		out = append(out, k)
	}
	return out
}

func (d *desks) fill(r *fleet.Report) {
	r.Works = make(map[fleet.Hash]fleet.Work)
	for _, k := range d.all() {
		k.decode.fill(r.Loads)
		k.prefill.fill(r.Loads)
		if own := k.ownWork(); own.Split.Samples > 0 {
			r.Works[fleet.HashOf(k.service)] = own
		}
	}
}

// fillAll adds what all instances but one have placed, and what all have seen.
func (d *desks) fillAll(but string, r *fleet.Report) {
	r.Works = make(map[fleet.Hash]fleet.Work)
	for _, k := range d.all() {
		k.decode.fillAll(but, r.Loads)
		k.prefill.fillAll(but, r.Loads)
		if all := k.allWork(but); all.Lengths.N > 0 {
			r.Works[fleet.HashOf(k.service)] = all
		}
	}
}

func (d *desks) take(r *fleet.Report) {
	now := boottime.Now()
	for _, k := range d.all() {
		k.decode.take(now, r)
		k.prefill.take(now, r)
		work := r.Works[fleet.HashOf(k.service)]
		if r.Answer {
			k.othersLengths(work.Lengths)
		} else {
			k.peerWork(r.Instance, work)
		}
		k.look()
	}
}

func (d *desks) takeLoads(now time.Duration, instance string, loads map[fleet.Hash]fleet.Load) {
	for _, k := range d.all() {
		k.decode.takeLoads(now, instance, loads)
		k.prefill.takeLoads(now, instance, loads)
		k.look()
	}
}

func (d *desks) close() {
	for _, k := range d.all() {
		d.system.Root.Stop(k.pid)
	}
	d.system.Shutdown()
}
