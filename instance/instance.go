// Package instance assembles an instance of the router: the API for callers, the request path, the
// services shared with other instances, and the operators' endpoints. Programs and tests use it as
// a library.
package instance

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/caller"
	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/membership"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/once"
	"github.com/cairnworks/cairnworks/order"
	"github.com/cairnworks/cairnworks/peer"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport"
	"github.com/cairnworks/cairnworks/rate"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/scheduler"
	"github.com/cairnworks/cairnworks/settings"
)

// Instance is one running instance.
type Instance struct {
	settings  settings.Settings
	log       *zap.Logger
	level     zap.AtomicLevel
	metrics   *observe.Metrics
	createdAt time.Time
	// initialRun is the instance with the incarnation that it had at creation. Unlike self, it does
	// not change.
	initialRun request.Holder

	// actors is the actor system that all components share, because every system allocates about
	// 4 MB for its registry.
	actors          *actor.ActorSystem
	members         *membership.Service
	follower        *config.Follower
	scheduler       *scheduler.Server
	schedulerClient *scheduler.Client
	callerHandler   *caller.Server
	openRequests    *openRequests
	peers           *peer.Transport
	engines         port.EngineDialer
	services        port.ServiceDialer
	platform        platformClients
	fleetID         *fleetid.Verifier
	rate            *rate.Service
	guard           *once.Service
	orders          *order.Service

	listeners listeners
	readiness readiness
	leaving   leavingUpstreams
	drain     *drainState
}

// platformClients are the clients of the platform's services. list is nil if the platform has no
// instance list.
type platformClients struct {
	log  port.Log
	list port.InstanceList
}

// New binds all addresses and creates the components, which Run starts. If an address has port 0,
// Addresses returns the port that was selected.
func New(s settings.Settings, log *zap.Logger, level zap.AtomicLevel) (*Instance, error) {
	i := &Instance{
		settings: s, log: log.With(zap.String("instance", s.Instance)), level: level,
		metrics: observe.NewMetrics(), openRequests: newOpenRequests(), actors: observe.NewActorSystem(), createdAt: time.Now(), drain: newDrainState(),
	}
	secret, err := peerSecret(s)
	if err != nil {
		return nil, err
	}
	if err := i.listen(); err != nil {
		return nil, err
	}
	i.createAdapters()
	i.buildFleetID()
	if err := i.buildMembership(secret); err != nil {
		i.listeners.close()
		return nil, err
	}
	if err := i.buildRequestPath(); err != nil {
		i.listeners.close()
		return nil, err
	}
	if err := i.buildServers(secret); err != nil {
		i.listeners.close()
		return nil, err
	}
	return i, nil
}

// createAdapters creates the adapters for engines, plain services and the platform.
func (i *Instance) createAdapters() {
	client := httpport.NewClient()
	i.engines = func(address string) port.Engine { return httpport.NewEngine(address, client) }
	i.services = func(address string) port.PlainService { return httpport.NewPlainService(address, client) }
	i.platform.log = httpport.NewLog(i.settings.Platform.Log, client)
	if i.settings.Platform.List != "" {
		i.platform.list = httpport.NewInstanceList(i.settings.Platform.List, client)
	}
}

// index returns the current object set, or nil if there is none yet.
func (i *Instance) index() *object.Index { return i.follower.Current() }

// upstreamAddress returns the address of an upstream in the current object set.
func (i *Instance) upstreamAddress(name string) (string, bool) {
	index := i.index()
	if index == nil {
		return "", false
	}
	upstream, ok := index.Upstream(name)
	if !ok {
		return "", false
	}
	return upstream.Address, true
}

// Run serves until ctx is done or a drain has finished. It returns an error if a component failed
// and stopped the instance.
func (i *Instance) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreCancelled(ctx, i.fleetID.Run(ctx)) })
	group.Go(func() error { return ignoreCancelled(ctx, i.members.Run(ctx)) })
	group.Go(func() error { return ignoreCancelled(ctx, i.follower.Run(ctx)) })
	group.Go(func() error { return ignoreCancelled(ctx, i.schedulerClient.Run(ctx)) })
	rateEnded := make(chan struct{})
	group.Go(func() error {
		defer close(rateEnded)
		return ignoreCancelled(ctx, i.rate.Run(ctx))
	})
	group.Go(func() error { return ignoreCancelled(ctx, i.guard.Run(ctx)) })
	group.Go(func() error { return i.waitForRate(ctx) })
	group.Go(func() error { observe.WatchStalls(ctx, boottime.Now, i.log); return nil })
	group.Go(func() error { return i.pollUpstreamList(ctx) })
	for _, l := range i.listeners.all() {
		group.Go(func() error { return l.serve() })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-i.drain.finished:
		}
		stop()
		// A peer that finds another run at this address assumes that the rate homes of this run
		// have stopped. The address must therefore not be released before they have.
		<-rateEnded
		i.listeners.close()
		return nil
	})
	i.log.Info("started", zap.String("data_centre", i.settings.DataCentre),
		zap.String("callers", i.Addresses().Callers), zap.String("peers", i.Addresses().Peers),
		zap.String("operators", i.Addresses().Operators))
	err := group.Wait()
	i.close()
	return err
}

func (i *Instance) close() {
	i.scheduler.Close()
	i.actors.Shutdown()
	i.peers.Close()
	_ = i.metrics.Close()
	i.log.Info("stopped", zap.Duration("ran", time.Since(i.createdAt)))
}

// ignoreCancelled drops an error that a component returns because ctx is done.
func ignoreCancelled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return oops.In("instance").Wrap(err)
}

// Addresses are the addresses on which the instance listens.
type Addresses struct {
	Callers, Peers, Operators string
}

// Addresses returns the bound addresses, with the selected ports.
func (i *Instance) Addresses() Addresses {
	return Addresses{
		Callers:   i.listeners.callers.address(),
		Peers:     i.listeners.peers.address(),
		Operators: i.listeners.operators.address(),
	}
}
