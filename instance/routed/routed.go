// Package routed wires an instance that serves routed requests: callers' door, what
// it follows of the platform's store, and what it tells the other instances.
package routed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/hub"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/follow"
	"github.com/cairnworks/cairnworks/gateway"
	"github.com/cairnworks/cairnworks/httpconn"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/settings"
	"github.com/cairnworks/cairnworks/upstream"
)

// Outside is what an instance meets through a platform's adapter.
type Outside struct {
	Log       port.KeyedLog
	Codec     gateway.Codec
	Upstreams gateway.Upstreams
	Engines   gateway.EngineController
	Pool      *httpconn.Pool
	// Configuration reads a record; ok is false where it holds no configuration.
	Configuration func(port.KeyedRecord) (c Configuration, ok bool, err error)
	// Evacuation reads a record of the same topic that empties a data centre or gives it back;
	// ok is false for others.
	Evacuation func(port.KeyedRecord) (dataCentre string, evacuated, ok bool)
	Entry      func(port.KeyedRecord) (upstream.Entry, error)
	// ReadyPath is where the balancer asks.
	ReadyPath string
}

// Configuration is a published configuration.
type Configuration struct {
	Version uint64
	Set     object.Set
	Intake  Intake
}

// Intake bounds what callers may send.
type Intake struct {
	HeaderBytes          int
	HeaderTime, IdleTime time.Duration
}

// Figures of an instance.
const (
	// memoryShare is the part of the process's memory from which the runtime collects
	// garbage harder; the rest is for what it does not count: sockets' buffers, stacks,
	// and what is allocated while it collects.
	memoryShare = 0.5
	// bodyShare is the part of the memory that request bodies may take.
	bodyShare = 0.2
	// proofShare is the part of the bound on withdrawn keys after which an instance
	// that has not reached the store refuses requests with a key. The rest covers the
	// way of a request to its engine.
	proofShare = 0.85
	// readyAge is the age of the configuration's proof up to which an instance calls
	// itself ready: requests that reach it then still find it certain of its keys.
	readyShare = 0.6
	// lingerShare is the part of the grace after SIGTERM in which new connections are
	// still taken: the balancer notices after two questions, a second apart, and a stream
	// that begins later may not end within the grace.
	lingerShare = 0.33
	// exitMargin is left of the grace for the end of the process.
	exitMargin = 600 * time.Millisecond
	// millicores is the unit of what machines tell of their processors.
	millicores = 1000
	// sweepInterval is how often idle connections to upstreams are looked over, and gauges
	// set.
	sweepInterval = time.Second
)

// defaultIntake holds until the configuration says otherwise.
var defaultIntake = Intake{HeaderBytes: 16 << 10, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}

// Instance is one running instance.
type Instance struct {
	settings settings.Routed
	outside  Outside
	log      *zap.Logger
	metrics  *observe.Metrics
	state    *gateway.State
	quotas   *gateway.Quotas
	gateway  *gateway.Gateway
	members  *fleet.Members
	exchange *fleet.Exchange
	fleet    *fleetid.Keeper
	// shared are the topics that a few instances read for all.
	shared []*follow.Follower
	began  time.Time
	// hubs are those that were logged last.
	hubs []string

	mu       sync.Mutex
	intake   Intake
	draining bool
}

// New prepares an instance; Run starts it.
func New(s settings.Routed, outside Outside, log *zap.Logger) (*Instance, error) {
	metrics := observe.NewMetrics()
	outside.Log = &countedLog{outside.Log, metrics}
	i := &Instance{settings: s, outside: outside, log: log, metrics: metrics, began: time.Now(), intake: defaultIntake}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * 1e6))
	}
	i.state = gateway.NewState(boottime.Now, time.Duration(float64(s.RevokeMS)*proofShare)*time.Millisecond)
	self := fleet.Member{
		Name: s.Instance, Incarnation: fleet.NewIncarnation(i.began), Address: s.Reports,
		Machine: fleet.Machine{DataCentre: s.DataCentre, Millicores: int(s.Cores * millicores)},
	}
	bound := gateway.QuotaBound{Window: seconds(s.QuotaS), Over: s.QuotaOver, Slack: s.QuotaSlack}
	i.quotas = gateway.NewQuotas(boottime.Now, self, bound)
	i.gateway = gateway.New(gateway.Options{
		Codec: outside.Codec, Upstreams: outside.Upstreams, State: i.state, Quotas: i.quotas, Log: log, Metrics: i.metrics,
		ApplyTimeout: time.Duration(s.ApplyMS) * time.Millisecond, DataCentre: s.DataCentre, TriggerReport: i.kick, MaxBufferedBodyBytes: i.bodyLimit(),
		RetryBudget: gateway.RetryBudget{Ratio: s.RetryRatio, Window: seconds(s.RetryS), Slack: s.RetrySlack, FirstStart: s.FirstStart},
		FleetSize:   i.fleetSize,
	})
	i.shared = []*follow.Follower{
		i.follower(port.TopicConfiguration, time.Duration(s.ApplyMS)*time.Millisecond, &configReader{instance: i}),
		i.follower(port.TopicUpstreams, time.Duration(s.LeaveMS)*time.Millisecond, &upstreamReader{instance: i}),
	}
	exchange, err := fleet.Listen(self, i, log)
	if err != nil {
		return nil, err
	}
	i.exchange = exchange
	i.quotas.Connect(exchange)
	i.gateway.Connect(exchange)
	i.members = fleet.NewMembers(self, outside.Log, log, i.setMembers)
	i.members.Unlisted, i.members.ReadFirst = i.unlisted, !s.FirstStart
	i.members.Informs = i.informs
	exchange.OnReport(i.members.Introduce)
	exchange.OnVouched(i.members.Vouch)
	exchange.OnExpire(i.members.Expire)
	exchange.OnlyFrom(i.members.Current)
	exchange.OnceListed(i.members.Settled)
	i.fleet = fleetid.NewKeeper(fleetid.KeeperConfig{
		Store: fleetid.NewKeyedStore(outside.Log), Spread: idSpread(s.FirstStart), Name: s.FleetName(), Logger: log, Metrics: metrics.Scope,
	})
	exchange.Of(i.fleet)
	return i, nil
}

// idSpread is over what time instances read the fleet's id that start for the first time, when
// there is none yet: one of them is to draw it, and the rest to find it.
func idSpread(firstStart bool) time.Duration {
	if firstStart {
		return time.Second
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// noMemoryBound stands for settings without one, in MB.
const noMemoryBound = 1024

func (i *Instance) bodyLimit() int64 {
	mb := i.settings.MemoryMB
	if mb <= 0 {
		mb = noMemoryBound
	}
	return int64(float64(mb) * bodyShare * 1e6)
}

func (i *Instance) kick() {
	if i.exchange != nil {
		i.exchange.Kick()
	}
}

// informs returns what tells of changes that all instances learn of: in a large fleet the hubs'
// lines are enough.
func (i *Instance) informs() func(string, ...zap.Field) {
	if i.fleetSize().Large() && !i.exchange.IsHub() {
		return i.log.Debug
	}
	return i.log.Info
}

func (i *Instance) fleetSize() fleet.Size { return i.exchange.Size() }

// setMembers takes over the list of other instances.
func (i *Instance) setMembers(members []fleet.Member) {
	i.exchange.SetMembers(members)
	if i.members.Settled() {
		i.state.InstancesRead()
	}
}

// Run serves until ctx ends, then drains: what was read is answered, new requests
// are taken while the balancer still sends them, and the process ends within its
// grace.
func (i *Instance) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, work := errgroup.WithContext(work)
	callers, err := net.Listen("tcp4", i.settings.Callers)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp4", i.settings.Readiness)
	if err != nil {
		return err
	}
	i.startFollowing(work, group)
	readiness := &http.Server{Handler: http.HandlerFunc(i.serveReady), ReadHeaderTimeout: defaultIntake.HeaderTime}
	group.Go(func() error { return ended(readiness.Serve(ready)) })
	i.serveMetrics(group)
	i.log.Info("started", zap.String("instance", i.settings.Instance), zap.String("data_centre", i.settings.DataCentre),
		zap.String("callers", i.settings.Callers), zap.Bool("first_start", i.settings.FirstStart))
	server := i.callersServer(ctx)
	group.Go(func() error { return ended(server.Serve(callers)) })
	select {
	case <-ctx.Done():
	case <-work.Done():
		return group.Wait()
	}
	i.drain(server)
	stop()
	_ = readiness.Close()
	i.gateway.Close()
	i.log.Info("stopped", zap.Duration("ran", time.Since(i.began)))
	return nil
}

// callersServer waits a moment for what requests are decided by, the configuration with what
// callers may send among it, and returns the server for them.
func (i *Instance) callersServer(ctx context.Context) *http.Server {
	const patience = 2 * time.Second
	select {
	case <-i.state.Complete():
	case <-ctx.Done():
	case <-time.After(patience):
	}
	i.mu.Lock()
	intake := i.intake
	i.mu.Unlock()
	return &http.Server{
		Handler: i.gateway, ReadHeaderTimeout: intake.HeaderTime, IdleTimeout: intake.IdleTime, MaxHeaderBytes: intake.HeaderBytes,
		ErrorLog: zap.NewStdLog(i.log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))),
	}
}

// startFollowing starts what keeps this instance's beliefs.
func (i *Instance) startFollowing(ctx context.Context, group *errgroup.Group) {
	members := follow.NewFollower(port.TopicInstances, follow.Pace{Gap: memberGap}, i.members)
	members.Slow = i.readSlowly
	for _, f := range append(i.shared[:len(i.shared):len(i.shared)], members) {
		f.Log, f.Logger = i.outside.Log, i.log
		group.Go(func() error {
			// Without the id no other instance is heard, and this one would spend every quota by itself.
			select {
			case <-i.fleet.Known():
				return ignoreEnd(ctx, f.Run(ctx))
			case <-ctx.Done():
				return nil
			}
		})
	}
	group.Go(func() error { return ignoreEnd(ctx, i.fleet.Run(ctx)) })
	group.Go(func() error { return ignoreEnd(ctx, i.members.Run(ctx)) })
	group.Go(func() error { return ignoreEnd(ctx, i.exchange.Run(ctx)) })
	group.Go(func() error { return i.sweep(ctx) })
	group.Go(func() error {
		return ignoreEnd(ctx, i.gateway.RunRoles(ctx, gateway.RoleOptions{
			Engines: i.outside.Engines, Log: i.outside.Log, Holder: i.settings.Instance, IsLeader: func(service string) bool { return i.exchange.Rank(service) == 0 },
			Lease: time.Duration(i.settings.LeaseMS) * time.Millisecond, MayLead: i.exchange.IsHub,
		}))
	})
}

// sweep closes idle connections to upstreams, and shows what the instance believes.
func (i *Instance) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			i.outside.Pool.Sweep()
			i.quotas.Sweep(i.exchange.Knows)
			i.gateway.Sweep()
			i.tellHubs()
			i.metrics.SetInstanceState(i.beliefs())
		}
	}
}

// tellHubs logs whom this instance reports to when that has changed.
func (i *Instance) tellHubs() {
	var names []string
	for _, h := range i.exchange.Hubs() {
		names = append(names, h.Name)
	}
	if !slices.Equal(names, i.hubs) {
		i.hubs = names
		i.log.Info("hubs changed", zap.Strings("hubs", names[:min(len(names), hub.Hubs)]), zap.Bool("hub", i.exchange.IsHub()), zap.Stringer("instances", i.fleetSize()))
	}
}

func (i *Instance) beliefs() observe.InstanceState {
	instances, _ := i.fleetSize().Instances()
	b := observe.InstanceState{
		Ready: i.notReady() == "", Upstreams: i.state.Directory.Len(), Instances: instances, Hubs: len(i.exchange.Hubs()), IsHub: i.exchange.IsHub(),
	}
	if index := i.state.Index(); index != nil {
		b.ConfigurationVersion, b.ConfigurationAge = index.Version(), i.state.Age()
	}
	return b
}

// ignoreEnd drops the error that a part returns because ctx ended.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// ended drops the error of a server that was closed.
func ended(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// serveReady answers the balancer.
func (i *Instance) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != i.outside.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if why := i.notReady(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReady says why callers should not come, or nothing.
func (i *Instance) notReady() string {
	i.mu.Lock()
	draining := i.draining
	i.mu.Unlock()
	switch {
	case draining:
		return "draining"
	case i.state.Missing() != gateway.NoPrerequisite:
		return fmt.Sprintf("no %s yet", i.state.Missing())
	case i.state.Directory.Len() == 0:
		return "no upstreams"
	case i.state.Age() > time.Duration(float64(i.settings.RevokeMS)*readyShare)*time.Millisecond:
		return fmt.Sprintf("store not reached for %v", i.state.Age())
	}
	return ""
}

func (i *Instance) serveMetrics(group *errgroup.Group) {
	if i.settings.Metrics == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", i.metrics.Handler)
	server := &http.Server{Addr: i.settings.Metrics, Handler: mux, ReadHeaderTimeout: defaultIntake.HeaderTime}
	group.Go(func() error {
		if err := ended(server.ListenAndServe()); err != nil {
			i.log.Error("metrics not served", zap.Error(err))
		}
		return nil
	})
}

// drain ends the instance without losing a request.
func (i *Instance) drain(server *http.Server) {
	i.mu.Lock()
	i.draining = true
	i.mu.Unlock()
	grace := seconds(i.settings.GraceS)
	i.log.Info("draining", zap.Duration("grace", grace))
	i.gateway.Drain()
	i.exchange.Leave()
	linger := time.Duration(float64(grace) * lingerShare)
	time.Sleep(linger)
	ctx, cancel := context.WithTimeout(context.Background(), grace-linger-exitMargin)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		i.log.Warn("requests cut off at the end of the grace", zap.Error(err))
	}
	leave, done := context.WithTimeout(context.Background(), exitMargin/2)
	defer done()
	i.members.Leave(leave)
}
