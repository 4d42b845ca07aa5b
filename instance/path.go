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

// buildRequestPath creates and connects the stages that process a request.
func (i *Instance) buildRequestPath() error {
	i.scheduler = scheduler.NewServer(scheduler.Config{
		Self: i.self(), Catalogue: i.catalogue, Home: i.schedulerHome, IsDead: i.isDeadRun,
		Engines: i.engines, System: i.actors, Log: i.log, Metrics: i.metrics,
	})
	i.schedulerClient = scheduler.NewClient(scheduler.ClientConfig{
		Self: i.self, DataCentre: i.settings.DataCentre, Home: i.schedulerHome, Dial: i.dialScheduler,
		Log: i.log, Metrics: i.metrics,
	})
	if err := i.buildSharedServices(); err != nil {
		return err
	}
	retrier := retry.New(retry.DefaultConfig(), rand.Float64)
	models := &route.ModelRunner{
		Self: i.self, Scheduler: i.schedulerClient, Engines: i.engines, Address: i.upstreamAddress,
		Retrier: retrier, Log: i.log, Metrics: i.metrics,
	}
	plain := &route.PlainRunner{
		Scheduler: i.schedulerClient, Guard: i.guard, Services: i.services, Address: i.upstreamAddress,
		Retrier: retrier, Log: i.log, Metrics: i.metrics,
	}
	i.callerHandler = caller.NewServer(caller.Config{
		Index: i.index, Rate: i.rate, Models: models, Plain: plain,
		Watch: i.openRequests.add, Log: i.log, Metrics: i.metrics,
	})
	return nil
}

// dialScheduler returns a client of the scheduler at a peer's address. This instance's own
// scheduler is called directly, without the network.
func (i *Instance) dialScheduler(address string) peerv1connect.SchedulerServiceClient {
	if address == i.self().Address {
		return i.scheduler
	}
	return peerv1connect.NewSchedulerServiceClient(i.peers, i.peers.URL(address), peer.ClientOptions())
}

// peerHandler returns the handler of the services that instances provide to each other.
func (i *Instance) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewSchedulerServiceHandler(i.scheduler, peer.HandlerOptions()))
	mux.Handle(i.follower.Handler())
	i.mountSharedServices(mux)
	return mux
}
