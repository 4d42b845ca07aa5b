package rate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/request"
)

// Service is the rate limiter of one instance: it is the home of some shards and a fence
// member for others, and it admits the instance's own requests.
type Service struct {
	cfg       Config
	logger    *zap.Logger
	count     counters
	startTime time.Time
	system    *actor.ActorSystem
	ownSystem bool
	homePID   *actor.PID
	routes    atomic.Pointer[routes]
	draining  atomic.Bool
	failures  homeFailures
	clients   sync.Map
	refunds   refundQueue
	// appends numbers the entries that this run appends.
	appends atomic.Uint64
	// background counts the running calls to peers and the log. They run under ctx, which
	// is cancelled when Run ends.
	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

// counters holds the metrics of the package.
type counters struct {
	admitted, sharesSkipped, homeWaits tally.Counter
	started, stopped                   tally.Counter
	// lostToUnknown counts shards lost to instances that are not members.
	lostToUnknown                          tally.Counter
	refunds, refundsDropped                tally.Counter
	extends, fences, appends, readFailures tally.Counter
	// held counts this instance's shards by phase; logAge is in seconds.
	held   map[lease.Phase]tally.Gauge
	logAge tally.Gauge
}

func newCounters(m *observe.Metrics) counters {
	scope := tally.NoopScope
	if m != nil {
		scope = m.Scope.SubScope("rate")
	}
	held := make(map[lease.Phase]tally.Gauge)
	for _, phase := range []lease.Phase{lease.PhaseWaiting, lease.PhaseSpending, lease.PhaseExtended, lease.PhaseLapsed} {
		held[phase] = scope.Tagged(map[string]string{"phase": string(phase)}).Gauge("shards_held")
	}
	return counters{
		held:           held,
		logAge:         scope.Gauge("log_age_seconds"),
		admitted:       scope.Counter("admitted"),
		sharesSkipped:  scope.Counter("shares_passed_over"),
		homeWaits:      scope.Counter("waits_for_home"),
		started:        scope.Counter("terms_started"),
		stopped:        scope.Counter("terms_stopped"),
		lostToUnknown:  scope.Counter("terms_lost_to_unknown"),
		refunds:        scope.Counter("refunds"),
		refundsDropped: scope.Counter("refunds_dropped"),
		extends:        scope.Counter("extends_asked"),
		fences:         scope.Counter("fences_asked"),
		appends:        scope.Counter("log_appends"),
		readFailures:   scope.Counter("log_read_failures"),
	}
}

// New returns a service that is idle until Run is called.
func New(cfg Config) (*Service, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	ownSystem := cfg.System == nil
	if ownSystem {
		cfg.System = observe.NewActorSystem()
	}
	s := &Service{
		ownSystem: ownSystem,
		cfg:       cfg, logger: cfg.Logger, count: newCounters(cfg.Metrics),
		startTime: cfg.Clock(), system: cfg.System,
	}
	s.failures.now = s.now
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.routes.Store(&routes{})
	h := &homeActor{
		s:       s,
		node:    lease.NewNode(cfg.Self, Shards, cfg.Timing),
		views:   viewCache{self: cfg.Self},
		held:    make(map[uint32]*heldShard),
		offered: make(map[uint32]offeredLevels),
	}
	s.homePID = s.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return h }))
	return s, nil
}

// Run follows the log and holds shards until ctx ends. An instance that closes its listener
// for peers while Run has not returned must also stop serving its open connections: a peer
// that reaches another run at the address treats this run as fenced.
func (s *Service) Run(ctx context.Context) error {
	defer s.shutdown()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.followLog(ctx) })
	g.Go(func() error { return s.runTicks(ctx) })
	g.Go(func() error { return s.runRefunds(ctx) })
	return g.Wait()
}

func (s *Service) shutdown() {
	s.cancel()
	s.background.Wait()
	_ = s.system.Root.StopFuture(s.homePID).Wait()
	if s.ownSystem {
		s.system.Shutdown()
	}
}

func (s *Service) runTicks(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.tell(tick{members: s.cfg.Members()})
		}
	}
}

// now returns the time since the service was created. It is never zero.
func (s *Service) now() time.Duration {
	return s.cfg.Clock().Sub(s.startTime) + 1
}

func (s *Service) tell(message any) {
	s.system.Root.Send(s.homePID, message)
}

// ask sends the message that build returns for a reply channel and waits for the reply.
func ask[T any](ctx context.Context, s *Service, build func(reply chan T) any) (T, bool) {
	reply := make(chan T, 1)
	s.tell(build(reply))
	select {
	case answer := <-reply:
		return answer, true
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	var zero T
	return zero, false
}

// client returns the cached client for a peer.
func (s *Service) client(holder request.Holder) peerv1connect.RateServiceClient {
	if c, ok := s.clients.Load(holder.Address); ok {
		return c.(peerv1connect.RateServiceClient)
	}
	c, _ := s.clients.LoadOrStore(holder.Address, s.cfg.Dial(holder.Address))
	return c.(peerv1connect.RateServiceClient)
}

// pruneClients drops the clients of addresses that belong neither to a member nor to a
// holder. Instances may restart at other addresses, so a long-lived instance would otherwise
// keep a client for every address it ever used.
func (s *Service) pruneClients(members []request.Holder) {
	used := make(map[string]bool)
	for _, m := range members {
		used[m.Address] = true
	}
	for _, h := range s.routes.Load().holders {
		used[h.Address] = true
	}
	s.clients.Range(func(address, _ any) bool {
		if !used[address.(string)] {
			s.clients.Delete(address)
		}
		return true
	})
}

// runInBackground runs a call that is cancelled when the service ends.
func (s *Service) runInBackground(timeout time.Duration, call func(ctx context.Context)) {
	if s.ctx.Err() != nil {
		return
	}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		call(ctx)
	}()
}
