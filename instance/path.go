package instance

import (
	"context"
	"net/http"

	"golang.org/x/sync/errgroup"

	"github.com/cairnworks/cairnworks/caller"
	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/scheduler"
)

// stages are the parts of the path that instances share: rate and guard.
type stages struct {
	rate  route.RateLimiter
	guard route.Guard
	runs  []func(context.Context) error
	// drains hand over what this instance holds for the fleet.
	drains []func(context.Context) error
}

func (s *stages) run(ctx context.Context, group *errgroup.Group) {
	for _, run := range s.runs {
		group.Go(func() error { return ignoreEnd(ctx, run(ctx)) })
	}
}

func (s *stages) drain(ctx context.Context) error {
	for _, drain := range s.drains {
		if err := drain(ctx); err != nil {
			return err
		}
	}
	return nil
}

// buildPath joins the stages of a request.
func (i *Instance) buildPath() error {
	i.sched = scheduler.NewServer(scheduler.Config{
		Self: i.self(), Catalogue: i.catalogue, Home: i.schedulerHome, Engines: i.engines, Log: i.log, Metrics: i.metrics,
	})
	i.placer = scheduler.NewClient(scheduler.ClientConfig{
		Self: i.self, DataCentre: i.settings.DataCentre, Home: i.schedulerHome, Dial: i.dialScheduler,
		Log: i.log, Metrics: i.metrics,
	})
	if err := i.buildStages(); err != nil {
		return err
	}
	retrier := newRetrier()
	models := &route.ModelRunner{
		Self: i.self, Placer: i.placer, Engines: i.engines, Address: i.upstreamAddress,
		Retrier: retrier, Log: i.log, Metrics: i.metrics,
	}
	plain := &route.PlainRunner{
		Placer: i.placer, Guard: i.stages.guard, Services: i.services, Address: i.upstreamAddress,
		Retrier: retrier, Log: i.log, Metrics: i.metrics,
	}
	i.door = caller.NewServer(caller.Config{
		Directory: i.index, Rate: i.stages.rate, Models: models, Plain: plain,
		Watch: i.open.watch, Log: i.log, Metrics: i.metrics,
	})
	return nil
}

func (i *Instance) catalogue() scheduler.Catalogue {
	if index := i.index(); index != nil {
		return index
	}
	return nil
}

// dialScheduler returns the scheduler at a peer's address; this instance's own is
// called without the network.
func (i *Instance) dialScheduler(address string) peerv1connect.SchedulerServiceClient {
	if address == i.self().Address {
		return i.sched
	}
	return peerv1connect.NewSchedulerServiceClient(i.peers, i.peers.URL(address))
}

// peerHandler serves every service that instances offer one another.
func (i *Instance) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewSchedulerServiceHandler(i.sched))
	mux.Handle(i.follower.Handler())
	i.mountStages(mux)
	return mux
}
