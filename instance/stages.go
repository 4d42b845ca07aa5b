package instance

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/once"
	"github.com/cairnworks/cairnworks/order"
	"github.com/cairnworks/cairnworks/peer"
	"github.com/cairnworks/cairnworks/rate"
	"github.com/cairnworks/cairnworks/request"
)

// buildStages prepares the parts whose state the fleet shares through the log: the
// token rate, the at-most-once guard, and orders to upstreams.
func (i *Instance) buildStages() error {
	var err error
	i.rate, err = rate.New(rate.Config{
		Self: i.started, Log: i.platform.log, Members: i.placedHolders, Limit: i.limit,
		Dial: i.dialRate, System: i.actors, Logger: i.log, Metrics: i.metrics,
	})
	if err != nil {
		return err
	}
	i.guard, err = once.New(once.Config{
		Self: i.started, Log: i.platform.log, Members: i.liveHolders, Dial: i.dialOnce, System: i.actors, Logger: i.log, Metrics: i.metrics,
		LogRetention: i.logRetention(),
		Window:       i.logRetention() / 2,
	})
	if err != nil {
		return err
	}
	i.orders, err = order.New(order.Config{
		Self: i.self(), Log: i.platform.log, Engines: i.engines, Logger: i.log, Metrics: i.metrics,
	})
	return err
}

// limit returns the rate and burst of an organisation in the set in force.
func (i *Instance) limit(organisation string) (object.Limit, bool) {
	index := i.index()
	if index == nil {
		return object.Limit{}, false
	}
	limit, ok := index.Limit(organisation)
	if !ok {
		return object.Limit{}, false
	}
	return *limit, true
}

func (i *Instance) dialRate(address string) peerv1connect.RateServiceClient {
	return peerv1connect.NewRateServiceClient(i.peers, i.peers.URL(address), peer.ClientOptions())
}

func (i *Instance) dialOnce(holder request.Holder) (connect.HTTPClient, string) {
	return i.peers, i.peers.URL(holder.Address)
}

func (i *Instance) logRetention() time.Duration {
	return time.Duration(i.settings.Platform.LogRetentionSeconds) * time.Second
}

// mountStages adds the stages' services to the peers' address.
func (i *Instance) mountStages(mux *http.ServeMux) {
	mux.Handle(peerv1connect.NewRateServiceHandler(i.rate.Handler(), peer.HandlerOptions()))
	path, guard := i.guard.Handler()
	mux.Handle(path, peer.RequireSameLog(guard))
}

// loggedAddresses are the addresses of the instances that the log names as homes of rates. Two
// groups of instances that were given no address of each other's would otherwise share one log
// and never meet: each would take all homes from the other, without end, and callers of both
// would be refused for as long as it lasts.
func (i *Instance) loggedAddresses() []string {
	if i.rate == nil {
		return nil
	}
	var addresses []string
	for _, holder := range i.rate.Holders() {
		addresses = append(addresses, holder.Address)
	}
	return addresses
}

// placedHolders are the instances that may be given homes: alive, not draining.
func (i *Instance) placedHolders() []request.Holder {
	return i.holders(func(draining bool) bool { return !draining })
}

// liveHolders are the instances that are alive.
func (i *Instance) liveHolders() []request.Holder {
	return i.holders(func(bool) bool { return true })
}

// holders lists members for the rate and the guard, this instance as the run that
// these were started as. Membership gives it a new incarnation when it was declared
// dead in a pause; the rate, which keeps the identity that its terms in the log
// have, would not find itself among the members and claim nothing any more.
func (i *Instance) holders(take func(draining bool) bool) []request.Holder {
	members := i.members.Members()
	holders := make([]request.Holder, 0, len(members))
	for _, m := range members {
		switch {
		case !take(m.Draining):
		case m.Instance == i.started.Instance:
			holders = append(holders, i.started)
		default:
			holders = append(holders, m.Holder)
		}
	}
	return holders
}
