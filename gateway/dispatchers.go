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

// dispatcherSet holds a dispatcher per model service.
type dispatcherSet struct {
	gateway   *Gateway
	system    *actor.ActorSystem
	mu        sync.Mutex
	byService map[string]*dispatcher
	// claims holds the claims of other instances by ID.
	claims map[uint64]*remoteClaim
}

func newDispatcherSet(g *Gateway) *dispatcherSet {
	return &dispatcherSet{gateway: g, system: observe.NewActorSystem(), byService: make(map[string]*dispatcher), claims: make(map[uint64]*remoteClaim)}
}

func (s *dispatcherSet) get(service *object.Service) *dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, known := s.byService[service.Name]
	if !known {
		d = newDispatcher(s.gateway, service.Name)
		d.pid = s.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return d }))
		s.byService[service.Name] = d
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

func (s *dispatcherSet) addReport(r *fleet.Report) {
	r.Works = make(map[fleet.Hash]fleet.Work)
	for _, d := range s.all() {
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
	for _, d := range s.all() {
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
		d.decode.applyLoads(now, instance, loads)
		d.prefill.applyLoads(now, instance, loads)
		d.recheck()
	}
}

func (s *dispatcherSet) close() {
	for _, d := range s.all() {
		s.system.Root.Stop(d.pid)
	}
	s.system.Shutdown()
}
