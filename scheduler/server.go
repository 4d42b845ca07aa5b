package scheduler

import (
	"context"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/group"
	"github.com/cairnworks/cairnworks/decision/quarantine"
	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
)

// Catalogue gives the services and upstreams in force.
type Catalogue interface {
	Service(name string) (*object.Service, bool)
	Upstreams(service string) []*object.Upstream
}

// Config is what a scheduler server needs from its instance.
type Config struct {
	Self request.Holder
	// Catalogue returns the set in force, or nil while there is none.
	Catalogue func() Catalogue
	// Home returns the instance that should schedule a service by this
	// instance's view of the fleet.
	Home func(service string) (request.Holder, bool)
	// Dead reports whether the fleet has given up this run of an instance.
	Dead    func(request.Holder) bool
	Engines port.EngineDialer
	// System runs the actors. Its owner shuts it down.
	System  *actor.ActorSystem
	Log     *zap.Logger
	Metrics *observe.Metrics
}

// Server serves SchedulerService for every service that askers bring to it.
// Which instance that is follows from each asker's view; an asker with an old
// view is served all the same, since two schedulers break no promise and sending
// askers to and fro while views settle would cost their deadlines.
type Server struct {
	cfg    Config
	system *actor.ActorSystem

	// waiting counts reservations that have no answer yet.
	waiting atomic.Int64

	mu       sync.Mutex
	services map[string]*running
}

// running is one service's actor and the watch over its upstreams.
type running struct {
	pid        *actor.PID
	stop       context.CancelFunc
	configured configureMsg
}

// NewServer returns a server without any running service.
func NewServer(cfg Config) *Server {
	return &Server{cfg: cfg, system: cfg.System, services: make(map[string]*running)}
}

// Close stops every service's actor. Waiting reservations are refused.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, r := range s.services {
		s.stopService(name, r)
	}
}

func (s *Server) stopService(name string, r *running) {
	r.stop()
	s.system.Root.Stop(r.pid)
	delete(s.services, name)
}

// actorOf returns the actor of a service, started at its first use.
func (s *Server) actorOf(name string) (*actor.PID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.services[name]; r != nil {
		return r.pid, nil
	}
	catalogue := s.cfg.Catalogue()
	if catalogue == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfiguration)
	}
	service, ok := catalogue.Service(name)
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errUnknownService)
	}
	a := s.newActor(service)
	pid := s.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return a }))
	r := &running{pid: pid, stop: func() {}}
	s.services[name] = r
	s.configure(r, service, catalogue.Upstreams(name))
	return pid, nil
}

func (s *Server) newActor(service *object.Service) *serviceActor {
	return &serviceActor{
		service: service.Name,
		group: group.New(group.Config{
			Kind: service.Kind, FirstGrantID: uint64(time.Now().UnixMilli()) << 20,
			// The operators' bound on the wait, which is the target unless they say
			// otherwise: a service whose callers may wait longer must not refuse at it.
			FirstToken: time.Duration(service.MaxWaitMS) * time.Millisecond,
		}),
		waiting: make(map[attemptKey]reserveMsg),
		byKey:   make(map[attemptKey]*lease),
		ended:   make(map[attemptKey]time.Time),
		crashes: quarantine.New(quarantine.DefaultConfig()), processes: make(map[string]string),
		excess:  make(map[string]int),
		health:  newUpstreamHealth(),
		addrs:   make(map[string]string),
		home:    func() bool { return s.isHome(service.Name) },
		dead:    s.cfg.Dead,
		engines: s.cfg.Engines,
		log:     s.cfg.Log.With(zap.String("service", service.Name)),
		metrics: s.cfg.Metrics,
	}
}

func (s *Server) isHome(service string) bool {
	home, ok := s.cfg.Home(service)
	return ok && home.Instance == s.cfg.Self.Instance
}

// Refresh applies the object set in force and starts the services that this
// instance is the home of, so that streams left behind by a dead scheduler's
// callers are found even when nobody asks for a new grant.
func (s *Server) Refresh(services []object.Service) {
	for _, service := range services {
		if !s.isHome(service.Name) {
			continue
		}
		if _, err := s.actorOf(service.Name); err != nil {
			s.cfg.Log.Info("scheduler not started", zap.String("service", service.Name), zap.Error(err))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	catalogue := s.cfg.Catalogue()
	for name, r := range s.services {
		service, ok := catalogue.Service(name)
		if !ok {
			s.stopService(name, r)
			continue
		}
		s.configure(r, service, catalogue.Upstreams(name))
	}
}

// configure gives a service's actor its upstreams and watches them. Unchanged
// ones are left alone, as a new watch forgets how far it has read their events.
func (s *Server) configure(r *running, service *object.Service, upstreams []*object.Upstream) {
	msg := configureMsg{service, upstreams}
	if reflect.DeepEqual(msg, r.configured) {
		return
	}
	r.configured = msg
	r.stop()
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	s.system.Root.Send(r.pid, msg)
	s.watch(ctx, r.pid, service, upstreams)
}

// Reserve implements the connect handler.
func (s *Server) Reserve(ctx context.Context, req *connect.Request[peerv1.ReserveRequest]) (*connect.Response[peerv1.ReserveResponse], error) {
	m := req.Msg
	pid, err := s.actorOf(m.Service)
	if err != nil {
		return nil, err
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	now := time.Now()
	key := attemptKey{m.RequestId, m.Attempt}
	answer := make(chan reply, 1)
	s.system.Root.Send(pid, reserveMsg{
		key: key, holder: holderOf(m.Holder), answer: answer,
		req: group.Request{
			ID: key.String(), Organisation: m.Organisation, KeyID: m.KeyId, Class: request.Class(m.Class),
			PromptTokens: int(m.PromptTokens), MaxTokens: int(m.MaxTokens), PrefixHashes: m.PrefixHashes,
			Fingerprint: m.Fingerprint, Arrived: now, Deadline: now.Add(time.Duration(m.BudgetMs) * time.Millisecond),
			Attempt: int(m.Attempt), Avoid: m.Avoid, DataCentre: m.DataCentre,
		},
	})
	select {
	case r := <-answer:
		return connect.NewResponse(reserveResponse(r, time.Now())), nil
	case <-ctx.Done():
		s.system.Root.Send(pid, withdrawMsg{key})
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

// PrefillDone implements the connect handler.
func (s *Server) PrefillDone(_ context.Context, req *connect.Request[peerv1.PrefillDoneRequest]) (*connect.Response[peerv1.PrefillDoneResponse], error) {
	pid, err := s.actorOf(req.Msg.Service)
	if err != nil {
		return nil, err
	}
	s.system.Root.Send(pid, prefillDoneMsg{attemptKey{req.Msg.RequestId, req.Msg.Attempt}})
	return connect.NewResponse(&peerv1.PrefillDoneResponse{}), nil
}

// Release implements the connect handler.
func (s *Server) Release(_ context.Context, req *connect.Request[peerv1.ReleaseRequest]) (*connect.Response[peerv1.ReleaseResponse], error) {
	pid, err := s.actorOf(req.Msg.Service)
	if err != nil {
		return nil, err
	}
	key := attemptKey{req.Msg.RequestId, req.Msg.Attempt}
	s.system.Root.Send(pid, releaseMsg{key, groupOutcome(req.Msg.Outcome)})
	return connect.NewResponse(&peerv1.ReleaseResponse{}), nil
}

// Renew implements the connect handler.
func (s *Server) Renew(ctx context.Context, req *connect.Request[peerv1.RenewRequest]) (*connect.Response[peerv1.RenewResponse], error) {
	byService := make(map[string][]heldGrant)
	for _, g := range req.Msg.Grants {
		byService[g.Service] = append(byService[g.Service], heldGrant{
			id: g.Id, key: attemptKey{g.RequestId, g.Attempt}, organisation: g.Organisation,
			prefill: g.Prefill, decode: g.Decode, pieces: int(g.Pieces),
		})
	}
	response := &peerv1.RenewResponse{SchedulerIncarnation: s.cfg.Self.Incarnation}
	for service, grants := range byService {
		pid, err := s.actorOf(service)
		if err != nil {
			continue
		}
		lost := make(chan []uint64, 1)
		s.system.Root.Send(pid, renewMsg{holderOf(req.Msg.Holder), grants, lost})
		select {
		case ids := <-lost:
			response.Lost = append(response.Lost, ids...)
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
	return connect.NewResponse(response), nil
}
