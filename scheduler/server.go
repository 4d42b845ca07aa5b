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

// Catalogue provides access to the services and upstreams of the active configuration.
type Catalogue interface {
	Service(name string) (*object.Service, bool)
	Upstreams(service string) []*object.Upstream
}

// Config holds the dependencies of a Server.
type Config struct {
	Self request.Holder
	// Catalogue returns the active configuration, or nil if none has been loaded.
	Catalogue func() Catalogue
	// Home returns the instance that should schedule a service according to this instance's view
	// of the fleet.
	Home func(service string) (request.Holder, bool)
	// IsDead reports whether the fleet has declared this incarnation of an instance dead.
	IsDead  func(request.Holder) bool
	Engines port.EngineDialer
	// System runs the actors. It is shut down by the caller, not by Server.Close.
	System  *actor.ActorSystem
	Log     *zap.Logger
	Metrics *observe.Metrics
}

// Server implements SchedulerService for every service that it receives requests for. Each client
// selects the instance according to its own view of the fleet. Clients with an outdated view are
// served as well: two schedulers at the same time violate no guarantee, whereas redirecting clients
// until the views converge would make them miss their deadlines.
type Server struct {
	cfg    Config
	system *actor.ActorSystem

	// pending is the number of reservations that have not been answered yet.
	pending atomic.Int64

	mu       sync.Mutex
	services map[string]*runningService
}

// runningService is the actor of a service and the pollers of its upstreams.
type runningService struct {
	pid           *actor.PID
	stopPollers   context.CancelFunc
	lastConfigure configureMsg
}

// NewServer returns a server that runs no services yet.
func NewServer(cfg Config) *Server {
	return &Server{cfg: cfg, system: cfg.System, services: make(map[string]*runningService)}
}

// Close stops the actors of all services. Pending reservations are refused.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, r := range s.services {
		s.stopService(name, r)
	}
}

func (s *Server) stopService(name string, r *runningService) {
	r.stopPollers()
	s.system.Root.Stop(r.pid)
	delete(s.services, name)
}

// actorFor returns the actor of a service, starting it on first use.
func (s *Server) actorFor(name string) (*actor.PID, error) {
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
	r := &runningService{pid: pid, stopPollers: func() {}}
	s.services[name] = r
	s.configure(r, service, catalogue.Upstreams(name))
	return pid, nil
}

func (s *Server) newActor(service *object.Service) *serviceActor {
	return &serviceActor{
		service: service.Name,
		group: group.New(group.Config{
			Kind: service.Kind, FirstGrantID: uint64(time.Now().UnixMilli()) << 20,
			// The maximum wait configured by the operators, which defaults to the target. A service
			// whose callers may wait longer must not refuse requests at the target.
			FirstToken: time.Duration(service.MaxWaitMS) * time.Millisecond,
		}),
		pending:      make(map[attemptKey]reserveMsg),
		leases:       make(map[attemptKey]*lease),
		endedAt:      make(map[attemptKey]time.Time),
		crashTracker: quarantine.New(quarantine.DefaultConfig()), processes: make(map[string]string),
		excessReports: make(map[string]int),
		health:        newUpstreamHealth(),
		addresses:     make(map[string]string),
		isHome:        func() bool { return s.isHome(service.Name) },
		isDead:        s.cfg.IsDead,
		engines:       s.cfg.Engines,
		log:           s.cfg.Log.With(zap.String("service", service.Name)),
		metrics:       s.cfg.Metrics,
	}
}

func (s *Server) isHome(service string) bool {
	home, ok := s.cfg.Home(service)
	return ok && home.Instance == s.cfg.Self.Instance
}

// Refresh applies the active configuration and starts the schedulers of the services for which this
// instance is the home, so that the streams of requests that a failed instance scheduled are found
// even if no new grant is requested.
func (s *Server) Refresh(services []object.Service) {
	for _, service := range services {
		if !s.isHome(service.Name) {
			continue
		}
		if _, err := s.actorFor(service.Name); err != nil {
			s.cfg.Log.Info("cannot start scheduler", zap.String("service", service.Name), zap.Error(err))
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

// configure sends a service's configuration to its actor and restarts the pollers of its upstreams.
// It does nothing if the configuration has not changed, because a new poller loses the position in
// the upstream's cache events.
func (s *Server) configure(r *runningService, service *object.Service, upstreams []*object.Upstream) {
	msg := configureMsg{service, upstreams}
	if reflect.DeepEqual(msg, r.lastConfigure) {
		return
	}
	r.lastConfigure = msg
	r.stopPollers()
	ctx, cancel := context.WithCancel(context.Background())
	r.stopPollers = cancel
	s.system.Root.Send(r.pid, msg)
	s.startPollers(ctx, r.pid, service, upstreams)
}

// Reserve implements peerv1connect.SchedulerServiceHandler.
func (s *Server) Reserve(ctx context.Context, req *connect.Request[peerv1.ReserveRequest]) (*connect.Response[peerv1.ReserveResponse], error) {
	m := req.Msg
	pid, err := s.actorFor(m.Service)
	if err != nil {
		return nil, err
	}
	s.pending.Add(1)
	defer s.pending.Add(-1)
	now := time.Now()
	key := attemptKey{m.RequestId, m.Attempt}
	replyTo := make(chan reserveReply, 1)
	s.system.Root.Send(pid, reserveMsg{
		key: key, holder: holderFromProto(m.Holder), replyTo: replyTo,
		req: group.Request{
			ID: key.String(), Organisation: m.Organisation, KeyID: m.KeyId, Class: request.Class(m.Class),
			PromptTokens: int(m.PromptTokens), MaxTokens: int(m.MaxTokens), PrefixHashes: m.PrefixHashes,
			Fingerprint: m.Fingerprint, Arrived: now, Deadline: now.Add(time.Duration(m.BudgetMs) * time.Millisecond),
			Attempt: int(m.Attempt), Avoid: m.Avoid, DataCentre: m.DataCentre,
		},
	})
	select {
	case r := <-replyTo:
		return connect.NewResponse(reserveResponse(r, time.Now())), nil
	case <-ctx.Done():
		s.system.Root.Send(pid, withdrawMsg{key})
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

// PrefillDone implements peerv1connect.SchedulerServiceHandler.
func (s *Server) PrefillDone(_ context.Context, req *connect.Request[peerv1.PrefillDoneRequest]) (*connect.Response[peerv1.PrefillDoneResponse], error) {
	pid, err := s.actorFor(req.Msg.Service)
	if err != nil {
		return nil, err
	}
	s.system.Root.Send(pid, prefillDoneMsg{attemptKey{req.Msg.RequestId, req.Msg.Attempt}})
	return connect.NewResponse(&peerv1.PrefillDoneResponse{}), nil
}

// Release implements peerv1connect.SchedulerServiceHandler.
func (s *Server) Release(_ context.Context, req *connect.Request[peerv1.ReleaseRequest]) (*connect.Response[peerv1.ReleaseResponse], error) {
	pid, err := s.actorFor(req.Msg.Service)
	if err != nil {
		return nil, err
	}
	key := attemptKey{req.Msg.RequestId, req.Msg.Attempt}
	s.system.Root.Send(pid, releaseMsg{key, outcomeFromProto(req.Msg.Outcome)})
	return connect.NewResponse(&peerv1.ReleaseResponse{}), nil
}

// Renew implements peerv1connect.SchedulerServiceHandler.
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
		pid, err := s.actorFor(service)
		if err != nil {
			continue
		}
		lost := make(chan []uint64, 1)
		s.system.Root.Send(pid, renewMsg{holderFromProto(req.Msg.Holder), grants, lost})
		select {
		case ids := <-lost:
			response.Lost = append(response.Lost, ids...)
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
	return connect.NewResponse(response), nil
}
