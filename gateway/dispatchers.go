package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/upstream"
)

// dispatcherSet holds a dispatcher per model service and, with PlainQueue, per plain service.
type dispatcherSet struct {
	gateway   *Gateway
	system    *actor.ActorSystem
	mu        sync.Mutex
	byService map[serviceRole]*dispatcher
	// claims holds the claims of other instances by ID.
	claims map[uint64]*remoteClaim
}

func newDispatcherSet(g *Gateway) *dispatcherSet {
	return &dispatcherSet{gateway: g, system: observe.NewActorSystem(), byService: make(map[serviceRole]*dispatcher), claims: make(map[uint64]*remoteClaim)}
}

func (s *dispatcherSet) get(service *object.Service) *dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := serviceRole{service.Name, upstream.Decode}
	if service.Kind == object.KindPlain {
		key.role = upstream.Plain
	}
	d, known := s.byService[key]
	if !known {
		if key.role == upstream.Plain {
			d = newPlainDispatcher(s.gateway, service.Name)
		} else {
			d = newDispatcher(s.gateway, service.Name)
		}
		d.pid = s.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return d }))
		s.byService[key] = d
	}
	d.setPoolSettings(service.Pool)
	return d
}

func (s *dispatcherSet) all() []*dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*dispatcher, 0, len(s.byService))
	for _, d := range s.byService {
		out = append(out, d)
	}
	return out
}

// ofModels returns the dispatchers of model services. The pools of plain services are reported by plainPools.
func (s *dispatcherSet) ofModels() []*dispatcher {
	return slices.DeleteFunc(s.all(), (*dispatcher).isPlain)
}

func (s *dispatcherSet) addReport(r *fleet.Report) {
	r.Works = make(map[fleet.Hash]fleet.Work)
	for _, d := range s.ofModels() {
		d.decode.addOwnLoads(r.Loads)
		d.prefill.addOwnLoads(r.Loads)
		if own := d.ownWork(); own.Split.Samples > 0 {
			r.Works[fleet.HashOf(d.service)] = own
		}
	}
}

// addPollAnswer adds the loads of all instances but one, and the aggregated output lengths.
func (s *dispatcherSet) addPollAnswer(except string, r *fleet.Report) {
	r.Works = make(map[fleet.Hash]fleet.Work)
	for _, d := range s.ofModels() {
		d.decode.addLoadsExcept(except, r.Loads)
		d.prefill.addLoadsExcept(except, r.Loads)
		if all := d.workWithout(except); all.Lengths.N > 0 {
			r.Works[fleet.HashOf(d.service)] = all
		}
	}
}

func (s *dispatcherSet) applyReport(r *fleet.Report) {
	now := boottime.Now()
	for _, d := range s.all() {
		if d.isPlain() {
			d.recheck()
			continue
		}
		d.decode.applyReport(now, r)
		d.prefill.applyReport(now, r)
		work := r.Works[fleet.HashOf(d.service)]
		if r.Answer {
			d.setOtherLengths(work.Lengths)
		} else {
			d.setPeerWork(r.Instance, work)
		}
		d.recheck()
	}
}

func (s *dispatcherSet) applyLoads(now time.Duration, instance string, loads map[fleet.Hash]fleet.Load) {
	for _, d := range s.all() {
		if d.isPlain() {
			// plainPools has applied them.
			if d.decode.lists(loads) {
				d.recheck()
			}
			continue
		}
		atDecode, atPrefill := d.decode.applyLoads(now, instance, loads), d.prefill.applyLoads(now, instance, loads)
		if atDecode || atPrefill {
			d.recheck()
		}
	}
}

func (s *dispatcherSet) close() {
	for _, d := range s.all() {
		s.system.Root.Stop(d.pid)
	}
	s.system.Shutdown()
}
