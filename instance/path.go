package instance

import (
	"math/rand/v2"
	"net/http"

	"github.com/cairnworks/cairnworks/caller"
	"github.com/cairnworks/cairnworks/decision/retry"
	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/peer"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/scheduler"
)

// buildPath joins the stages of a request.
func (i *Instance) buildPath() error {
	i.sched = scheduler.NewServer(scheduler.Config{
		Self: i.self(), Catalogue: i.catalogue, Home: i.schedulerHome, Dead: i.givenUp,
		Engines: i.engines, System: i.actors, Log: i.log, Metrics: i.metrics,
	})
	i.placer = scheduler.NewClient(scheduler.ClientConfig{
		Self: i.self, DataCentre: i.settings.DataCentre, Home: i.schedulerHome, Dial: i.dialScheduler,
		Log: i.log, Metrics: i.metrics,
	})
	if err := i.buildStages(); err != nil {
		return err
	}
	retrier := retry.New(retry.DefaultConfig(), rand.Float64)
	models := &route.ModelRunner{
		Self: i.self, Placer: i.placer, Engines: i.engines, Address: i.upstreamAddress,
		Retrier: retrier, Log: i.log, Metrics: i.metrics,
	}
	plain := &route.PlainRunner{
		Placer: i.placer, Guard: i.guard, Services: i.services, Address: i.upstreamAddress,
		Retrier: retrier, Log: i.log, Metrics: i.metrics,
	}
	i.door = caller.NewServer(caller.Config{
		Index: i.index, Rate: i.rate, Models: models, Plain: plain,
		Watch: i.open.watch, Log: i.log, Metrics: i.metrics,
	})
	return nil
}

// dialScheduler returns the scheduler at a peer's address; this instance's own is
// called without the network.
func (i *Instance) dialScheduler(address string) peerv1connect.SchedulerServiceClient {
	if address == i.self().Address {
		return i.sched
	}
	return peerv1connect.NewSchedulerServiceClient(i.peers, i.peers.URL(address), peer.ClientOptions())
}

// peerHandler serves every service that instances offer one another.
func (i *Instance) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewSchedulerServiceHandler(i.sched, peer.HandlerOptions()))
	mux.Handle(i.follower.Handler())
	i.mountStages(mux)
	return mux
}
