// Package instance wires one instance of the router together: the callers' door,
// the path of a request, the parts shared with other instances, and the
// operators' endpoints. Programs and tests use it as a library.
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
	settings settings.Settings
	log      *zap.Logger
	level    zap.AtomicLevel
	metrics  *observe.Metrics
	// began is when the instance was made; started is the run it started as.
	began   time.Time
	started request.Holder

	// actors runs the concurrent parts. They share one system, since each holds
	// about 4 MB for its registry.
	actors   *actor.ActorSystem
	members  *membership.Service
	follower *config.Follower
	sched    *scheduler.Server
	placer   *scheduler.Client
	door     *caller.Server
	open     *openRequests
	peers    *peer.Transport
	engines  port.EngineDialer
	services port.ServiceDialer
	platform platformClients
	fleet    *fleetid.Verifier
	rate     *rate.Service
	guard    *once.Service
	orders   *order.Service

	listeners listeners
	readiness readiness
	leaving   leavingList
	drain     *drainState
}

// platformClients are the adapters of the platform's systems.
type platformClients struct {
	log  port.Log
	list port.InstanceList
}

// New binds every address and prepares the parts; Run starts them. Addresses
// with port 0 are allowed and can be read back by Addresses.
func New(s settings.Settings, log *zap.Logger, level zap.AtomicLevel) (*Instance, error) {
	i := &Instance{
		settings: s, log: log.With(zap.String("instance", s.Instance)), level: level,
		metrics: observe.NewMetrics(), open: newOpenRequests(), actors: observe.NewActorSystem(), began: time.Now(), drain: newDrainState(),
	}
	secret, err := peerSecret(s)
	if err != nil {
		return nil, err
	}
	if err := i.listen(); err != nil {
		return nil, err
	}
	i.connectOutside()
	i.knowFleet()
	if err := i.joinFleet(secret); err != nil {
		i.listeners.close()
		return nil, err
	}
	if err := i.buildPath(); err != nil {
		i.listeners.close()
		return nil, err
	}
	if err := i.buildServers(secret); err != nil {
		i.listeners.close()
		return nil, err
	}
	return i, nil
}

// connectOutside makes the adapters of engines, services and the platform.
func (i *Instance) connectOutside() {
	client := httpport.NewClient()
	i.engines = func(address string) port.Engine { return httpport.NewEngine(address, client) }
	i.services = func(address string) port.PlainService { return httpport.NewPlainService(address, client) }
	i.platform.log = httpport.NewLog(i.settings.Platform.Log, client)
	if i.settings.Platform.List != "" {
		i.platform.list = httpport.NewInstanceList(i.settings.Platform.List, client)
	}
}

// index returns the object set in force, or nil while there is none.
func (i *Instance) index() *object.Index { return i.follower.Current() }

// upstreamAddress returns the address of an upstream in the set in force.
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

// Run serves until ctx ends or Drain has finished. An error means that a part
// failed and the instance ended at once.
func (i *Instance) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreEnd(ctx, i.fleet.Run(ctx)) })
	group.Go(func() error { return ignoreEnd(ctx, i.members.Run(ctx)) })
	group.Go(func() error { return ignoreEnd(ctx, i.follower.Run(ctx)) })
	group.Go(func() error { return ignoreEnd(ctx, i.placer.Run(ctx)) })
	rateEnded := make(chan struct{})
	group.Go(func() error {
		defer close(rateEnded)
		return ignoreEnd(ctx, i.rate.Run(ctx))
	})
	group.Go(func() error { return ignoreEnd(ctx, i.guard.Run(ctx)) })
	group.Go(func() error { return i.awaitRate(ctx) })
	group.Go(func() error { observe.WatchStalls(ctx, boottime.Now, i.log); return nil })
	group.Go(func() error { return i.followUpstreams(ctx) })
	for _, l := range i.listeners.all() {
		group.Go(func() error { return l.serve() })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-i.drain.finished:
		}
		stop()
		// A peer that finds another run at this address takes this run's rate homes
		// to have ended, so the address must not be free before they have.
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
	i.sched.Close()
	i.actors.Shutdown()
	i.peers.Close()
	_ = i.metrics.Close()
	i.log.Info("stopped", zap.Duration("ran", time.Since(i.began)))
}

// ignoreEnd drops the error that a part returns because ctx ended.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return oops.In("instance").Wrap(err)
}

// Addresses are what the instance listens on.
type Addresses struct {
	Callers, Peers, Operators string
}

// Addresses returns the bound addresses.
func (i *Instance) Addresses() Addresses {
	return Addresses{
		Callers:   i.listeners.callers.address(),
		Peers:     i.listeners.peers.address(),
		Operators: i.listeners.operators.address(),
	}
}
