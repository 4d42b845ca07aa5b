// Package routed assembles an instance that serves routed requests: the server for callers, the
// followers of the platform's store, and the exchange of reports with other instances.
package routed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
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
	"github.com/cairnworks/cairnworks/relay"
	"github.com/cairnworks/cairnworks/settings"
	"github.com/cairnworks/cairnworks/upstream"
)

// Adapters contains the adapters for the platform on which an instance runs.
type Adapters struct {
	Log       port.KeyedLog
	Codec     gateway.Codec
	Upstreams gateway.Upstreams
	Engines   gateway.EngineController
	// Pool and StorePool hold the connections to upstreams and to the platform's store.
	Pool, StorePool *httpconn.Pool
	Transport       *relay.Transport
	// Configuration decodes a record. ok is false if the record contains no configuration.
	Configuration func(port.KeyedRecord) (c Configuration, ok bool, err error)
	// Evacuation decodes a record of the same topic that starts or ends the evacuation of a data
	// centre. ok is false for other records.
	Evacuation func(port.KeyedRecord) (dataCentre string, evacuated, ok bool)
	// Lift decodes a record of the same topic that ends the quarantine of an attribute. ok is false for other records.
	Lift func(port.KeyedRecord) (attribute string, ok bool)
	// Entry decodes the entry of an upstream.
	Entry func(port.KeyedRecord) (upstream.Entry, error)
	// ReadyPath is the path of the load balancer's readiness probe.
	ReadyPath string
}

// Configuration is a published configuration.
type Configuration struct {
	Version uint64
	Set     object.Set
	Limits  RequestLimits
}

const (
	// memoryLimitFraction is the fraction of the process's memory that is set as the memory limit
	// of the Go runtime. The rest is for memory that the limit does not cover: socket buffers,
	// stacks, and allocations during a garbage collection.
	memoryLimitFraction = 0.5
	// bodyMemoryFraction is the fraction of the memory that request bodies may use.
	bodyMemoryFraction = 0.2
	// refuseAgeFraction is the fraction of the time within which a withdrawn key must be refused,
	// after which an instance that has not reached the store refuses requests with a key. The rest
	// covers the time that a request takes to reach its engine.
	refuseAgeFraction = 0.85
	// readyAgeFraction is the fraction of the same time up to which an instance reports that it is
	// ready. Requests that arrive in response can then still be authenticated.
	readyAgeFraction = 0.6
	// lingerFraction is the fraction of the grace period after SIGTERM in which new connections are
	// still accepted. The load balancer detects the change after two probes, one second apart, and
	// a stream that starts later may not complete within the grace period.
	lingerFraction = 0.33
	// exitMargin is the part of the grace period that is reserved for the exit of the process.
	exitMargin = 600 * time.Millisecond
	// answerMargin is the part of the grace period, before exitMargin, that is reserved for the error responses to
	// requests that are still open.
	answerMargin      = 200 * time.Millisecond
	millicoresPerCore = 1000
	// sweepInterval is the interval of runSweep.
	sweepInterval = time.Second
)

// Instance is one running instance.
type Instance struct {
	settings settings.Routed
	adapters Adapters
	log      *zap.Logger
	metrics  *observe.Metrics
	state    *gateway.State
	quotas   *gateway.Quotas
	gateway  *gateway.Gateway
	members  *fleet.Members
	exchange *fleet.Exchange
	fleetID  *fleetid.Verifier
	idStore  *fleetid.KeyedStore
	// storeEra is the highest era of the store that was seen.
	storeEra atomic.Uint64
	// sharedFollowers follow the topics that a few instances read on behalf of all.
	sharedFollowers []*follow.Follower
	createdAt       time.Time
	// loggedHubs are the names of the hubs that were logged last.
	loggedHubs []string

	// callers holds the connections of callers.
	callers *callerConns

	mu       sync.Mutex
	draining bool
}

// New creates an instance, which Run starts.
func New(s settings.Routed, adapters Adapters, log *zap.Logger) (*Instance, error) {
	metrics := observe.NewMetrics()
	adapters.Log = &instrumentedLog{adapters.Log, metrics}
	i := &Instance{settings: s, adapters: adapters, log: log, metrics: metrics, createdAt: time.Now(), callers: newCallerConns()}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitFraction * 1e6))
	}
	adapters.Pool.OnMalformed = i.malformedReporter("upstream")
	adapters.StorePool.OnMalformed = i.malformedReporter("store")
	i.state = gateway.NewState(boottime.Now, time.Duration(float64(s.RevokeMS)*refuseAgeFraction)*time.Millisecond)
	self := fleet.Member{
		Name: s.Instance, Incarnation: fleet.NewIncarnation(i.createdAt), Address: s.Reports,
		Machine: fleet.Machine{DataCentre: s.DataCentre, Millicores: int(s.Cores * millicoresPerCore)},
	}
	bound := gateway.QuotaBound{Window: seconds(s.QuotaWindowS), Over: s.QuotaOver, Slack: s.QuotaSlack}
	i.quotas = gateway.NewQuotas(boottime.Now, self, bound)
	i.gateway = gateway.New(gateway.Options{
		Codec: adapters.Codec, Upstreams: adapters.Upstreams, State: i.state, Quotas: i.quotas, Log: log, Metrics: i.metrics,
		ApplyTimeout: time.Duration(s.ApplyMS) * time.Millisecond, DataCentre: s.DataCentre, TriggerReport: i.triggerReport, Announce: i.announce, Instance: s.Instance, MaxBufferedBodyBytes: i.maxBufferedBodyBytes(),
		MaxReadAheadBytes: i.memoryBytes(s.ReadAheadShare),
		RetryBudget:       gateway.RetryBudget{Ratio: s.RetryRatio, Window: seconds(s.RetryWindowS), Slack: s.RetrySlack, FirstStart: s.FirstStart},
		FleetSize:         i.fleetSize,
		FleetView:         i.fleetView,
		Features: gateway.Features{
			PlainQueue: s.PlainQueue, EjectFailing: s.EjectFailing, QuotaOrder: s.QuotaOrder, LateAnswers: s.LateAnswers, UpstreamSpeed: s.UpstreamSpeed,
		},
	})
	i.sharedFollowers = []*follow.Follower{
		i.newSharedFollower(port.TopicConfiguration, time.Duration(s.ApplyMS)*time.Millisecond, &configReader{instance: i}),
		i.newSharedFollower(port.TopicUpstreams, time.Duration(s.LeaveMS)*time.Millisecond, newUpstreamReader(i)),
	}
	exchange, err := fleet.Listen(self, i, log)
	if err != nil {
		return nil, err
	}
	i.exchange = exchange
	for _, f := range i.sharedFollowers {
		f.Fetcher = exchange
	}
	i.quotas.Connect(exchange)
	i.gateway.Connect(exchange)
	i.members = fleet.NewMembers(self, adapters.Log, log, i.setMembers)
	i.members.SkipEntry, i.members.ReadFirst = i.skipsEntry, !s.FirstStart
	i.members.RemovalLogger = i.changeLogger
	exchange.OnReport(i.members.RecordReport)
	exchange.OnMention(i.members.RecordMention)
	exchange.OnExpire(i.members.Expire)
	exchange.SetRunFilter(i.members.IsCurrent)
	exchange.SetHasSynced(i.members.HasSynced)
	i.idStore = fleetid.NewKeyedStore(adapters.Log, idFoundDelay(s.FirstStart))
	i.fleetID = fleetid.NewVerifier(fleetid.VerifierConfig{
		Store: i.idStore, Spread: idReadSpread(s.FirstStart), Name: s.FleetName(), Logger: log, Metrics: metrics.Scope,
	})
	exchange.SetFleet(i.fleetID)
	i.connectRelay()
	return i, nil
}

// idReadSpread returns the time over which the instances of a fleet that starts for the first time
// spread their reads of the fleet ID. The store contains no ID yet, and the spread lets one
// instance create it and the others find it.
func idReadSpread(firstStart bool) time.Duration {
	if firstStart {
		return time.Second
	}
	return 0
}

// idFoundDelay returns the time for which the fleet ID must be missing in the store before a new one is generated. In a
// fleet that has run before, the others write it again if the store has lost it.
func idFoundDelay(firstStart bool) time.Duration {
	if firstStart {
		return 0
	}
	return 4 * time.Second
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// defaultMemoryMB is the memory assumed for request bodies if the settings contain no limit.
const defaultMemoryMB = 1024

func (i *Instance) maxBufferedBodyBytes() int64 { return i.memoryBytes(bodyMemoryFraction) }

// memoryBytes returns a fraction of the memory that the instance may use.
func (i *Instance) memoryBytes(fraction float64) int64 {
	mb := i.settings.MemoryMB
	if mb <= 0 {
		mb = defaultMemoryMB
	}
	return int64(float64(mb) * fraction * 1e6)
}

// malformedReporter returns the function that records malformed responses of a sender.
func (i *Instance) malformedReporter(sender string) func(*httpconn.MalformedError) {
	return func(e *httpconn.MalformedError) {
		i.metrics.CountMalformedResponse(sender, string(e.Fault))
		i.log.Warn("malformed response", zap.String("sender", sender), zap.String("address", e.Address), zap.String("fault", string(e.Fault)),
			zap.Int64("bytes", e.Bytes))
	}
}

func (i *Instance) triggerReport() {
	if i.exchange != nil {
		i.exchange.TriggerReport()
	}
}

func (i *Instance) announce() {
	if i.exchange != nil {
		i.exchange.Announce()
	}
}

// changeLogger returns the log function for changes that all instances observe. In a large fleet,
// only hubs log them at the info level.
func (i *Instance) changeLogger() func(string, ...zap.Field) {
	if i.fleetSize().Large() && !i.exchange.IsHub() {
		return i.log.Debug
	}
	return i.log.Info
}

func (i *Instance) fleetSize() fleet.Size { return i.exchange.Size() }

// fleetView returns the size of the fleet with the time as of which it is known. In a large fleet it is known by the
// reports of hubs.
func (i *Instance) fleetView() gateway.FleetView {
	n, known := i.fleetSize().Instances()
	switch {
	case !known:
		return gateway.FleetView{}
	case !i.fleetSize().Large():
		return gateway.FleetView{Instances: n, AsOf: i.members.AsOf()}
	case i.exchange.Isolated():
		return gateway.FleetView{}
	default:
		return gateway.FleetView{Instances: n, AsOf: boottime.Now()}
	}
}

// setMembers applies a changed list of other instances.
func (i *Instance) setMembers(members []fleet.Member) {
	i.exchange.SetMembers(members)
	if i.members.HasSynced() {
		i.state.InstancesRead()
	}
}

// Run serves until ctx is done and then drains the instance: requests that were read are answered,
// new requests are accepted while the load balancer still sends them, and the process exits within
// its grace period.
func (i *Instance) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	callers, err := net.Listen("tcp4", i.settings.Callers)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp4", i.settings.Readiness)
	if err != nil {
		return err
	}
	i.startBackground(runCtx, group)
	readiness := &http.Server{Handler: http.HandlerFunc(i.serveReady), ReadHeaderTimeout: defaultRequestLimits.HeaderTimeout}
	group.Go(func() error { return ignoreServerClosed(readiness.Serve(ready)) })
	i.serveMetrics(group)
	i.log.Info("started", zap.String("instance", i.settings.Instance), zap.String("data_centre", i.settings.DataCentre),
		zap.String("callers", i.settings.Callers), zap.Bool("first_start", i.settings.FirstStart))
	i.awaitState(ctx)
	server := i.callers.server(i.gateway)
	server.ErrorLog = zap.NewStdLog(i.log.WithOptions(zap.IncreaseLevel(zap.WarnLevel)))
	gated := newGatedListener(callers, i.settings.MaxRefusedShare, i.metrics.CountRefusedConnection)
	go gated.watchLoad(runCtx, i.log)
	group.Go(func() error { return ignoreServerClosed(server.Serve(i.callers.listener(gated))) })
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		return group.Wait()
	}
	i.shutDown(server)
	stop()
	_ = readiness.Close()
	i.gateway.Close()
	i.log.Info("stopped", zap.Duration("ran", time.Since(i.createdAt)))
	return nil
}

// awaitState waits up to completeTimeout for the state that is required to handle requests.
func (i *Instance) awaitState(ctx context.Context) {
	const completeTimeout = 2 * time.Second
	select {
	case <-i.state.Complete():
	case <-ctx.Done():
	case <-time.After(completeTimeout):
	}
}

// startBackground starts the goroutines that maintain the instance's state and report it.
func (i *Instance) startBackground(ctx context.Context, group *errgroup.Group) {
	members := follow.NewFollower(port.TopicInstances, follow.PollTiming{Gap: memberReadGap}, i.members)
	members.GapFactor = i.memberGapFactor
	for _, f := range append(i.sharedFollowers[:len(i.sharedFollowers):len(i.sharedFollowers)], members) {
		f.Log, f.Logger = i.adapters.Log, i.log
		group.Go(func() error {
			// Without the fleet ID, reports of other instances are ignored, and this instance would
			// spend every quota as if it were alone.
			select {
			case <-i.fleetID.Known():
				return ignoreCancelled(ctx, f.Run(ctx))
			case <-ctx.Done():
				return nil
			}
		})
	}
	group.Go(func() error { return ignoreCancelled(ctx, i.fleetID.Run(ctx)) })
	group.Go(func() error { return ignoreCancelled(ctx, i.members.Run(ctx)) })
	group.Go(func() error { return ignoreCancelled(ctx, i.exchange.Run(ctx)) })
	group.Go(func() error { return i.runSweep(ctx) })
	group.Go(func() error {
		return ignoreCancelled(ctx, i.gateway.RunQuarantines(ctx, gateway.QuarantineStore{
			Log: i.adapters.Log, Restore: !i.settings.FirstStart, Era: i.storeEra.Load, IsWriter: func() bool { return i.exchange.Rank(port.TopicQuarantines.String()) == 0 },
		}))
	})
	group.Go(func() error {
		return ignoreCancelled(ctx, i.gateway.RunRoles(ctx, gateway.RoleOptions{
			Engines: i.adapters.Engines, Log: i.adapters.Log, Holder: i.settings.Instance, IsLeader: func(service string) bool { return i.exchange.Rank(service) == 0 },
			Lease: time.Duration(i.settings.LeaseMS) * time.Millisecond, MayLead: i.exchange.IsHub, FirstStart: i.settings.FirstStart,
		}))
	})
}

// runSweep periodically closes idle connections to upstreams, removes expired state, logs changed hubs
// and updates the gauges.
func (i *Instance) runSweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			i.adapters.Pool.CloseExpired()
			i.adapters.Transport.Sweep()
			i.quotas.Sweep(i.exchange.Knows)
			i.gateway.Sweep()
			i.logHubChange()
			i.metrics.SetInstanceState(i.gaugeValues())
		}
	}
}

// logHubChange logs the hubs to which this instance reports if they have changed.
func (i *Instance) logHubChange() {
	var names []string
	for _, h := range i.exchange.Hubs() {
		names = append(names, h.Name)
	}
	if !slices.Equal(names, i.loggedHubs) {
		i.loggedHubs = names
		i.log.Info("hubs changed", zap.Strings("hubs", names[:min(len(names), hub.Hubs)]), zap.Bool("hub", i.exchange.IsHub()), zap.Stringer("instances", i.fleetSize()))
	}
}

func (i *Instance) gaugeValues() observe.InstanceState {
	instances, _ := i.fleetSize().Instances()
	b := observe.InstanceState{
		Ready: i.notReadyReason() == "", Upstreams: i.state.Directory.Len(), Instances: instances, Hubs: len(i.exchange.Hubs()), IsHub: i.exchange.IsHub(),
		CutLinks: i.adapters.Transport.CutLinks(), Quarantines: i.gateway.Quarantines(),
	}
	if index := i.state.Index(); index != nil {
		b.ConfigurationVersion, b.ConfigurationAge = index.Version(), i.state.Age()
	}
	return b
}

// ignoreCancelled drops an error that a component returns because ctx is done.
func ignoreCancelled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// ignoreServerClosed drops the error of a server that was closed.
func ignoreServerClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// serveReady answers the load balancer's readiness probe.
func (i *Instance) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != i.adapters.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if reason := i.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReadyReason returns the reason why the instance is not ready, or an empty string if it is
// ready.
func (i *Instance) notReadyReason() string {
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
	case i.state.Age() > time.Duration(float64(i.settings.RevokeMS)*readyAgeFraction)*time.Millisecond:
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
	server := &http.Server{Addr: i.settings.Metrics, Handler: mux, ReadHeaderTimeout: defaultRequestLimits.HeaderTimeout}
	group.Go(func() error {
		if err := ignoreServerClosed(server.ListenAndServe()); err != nil {
			i.log.Error("metrics server failed", zap.Error(err))
		}
		return nil
	})
}

// shutDown drains the instance without losing a request.
func (i *Instance) shutDown(server *http.Server) {
	i.mu.Lock()
	i.draining = true
	i.mu.Unlock()
	grace := seconds(i.settings.GraceS)
	i.log.Info("draining", zap.Duration("grace", grace))
	i.gateway.Drain(time.Now().Add(grace - exitMargin - answerMargin))
	i.exchange.Leave()
	i.adapters.Transport.Drain()
	linger := time.Duration(float64(grace) * lingerFraction)
	time.Sleep(linger)
	i.gateway.RefuseLate()
	ctx, cancel := context.WithTimeout(context.Background(), grace-linger-exitMargin)
	defer cancel()
	err := server.Shutdown(ctx)
	if open := i.gateway.OpenCalls(); err != nil && open > 0 {
		i.log.Warn("requests cut off at the end of the grace period", zap.Int64("open", open), zap.Error(err))
	}
	i.adapters.Transport.Wait(ctx)
	leave, done := context.WithTimeout(context.Background(), exitMargin/2)
	defer done()
	i.members.Leave(leave)
}
