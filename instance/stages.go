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

// buildSharedServices creates the services whose state the fleet shares through the log: the token
// rate, the at-most-once guard, and orders to upstreams.
func (i *Instance) buildSharedServices() error {
	var err error
	i.rate, err = rate.New(rate.Config{
		Self: i.initialRun, Log: i.platform.log, Members: i.eligibleHolders, Limit: i.limit,
		Dial: i.dialRate, System: i.actors, Logger: i.log, Metrics: i.metrics,
	})
	if err != nil {
		return err
	}
	i.guard, err = once.New(once.Config{
		Self: i.initialRun, Log: i.platform.log, Members: i.liveHolders, Dial: i.dialOnce, System: i.actors, Logger: i.log, Metrics: i.metrics,
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

// limit returns the rate and burst of an organisation in the current object set.
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

// mountSharedServices adds the handlers of the token rate and the at-most-once guard to the peers'
// address.
func (i *Instance) mountSharedServices(mux *http.ServeMux) {
	mux.Handle(peerv1connect.NewRateServiceHandler(i.rate.Handler(), peer.HandlerOptions()))
	path, guard := i.guard.Handler()
	mux.Handle(path, peer.RequireSameLog(guard))
}

// rateHomeAddresses returns the addresses of the instances that hold rate homes according to the
// log. Membership uses them to discover instances. Otherwise, two groups of instances that share a
// log but are not configured with addresses of each other would never discover each other: each
// group would take over all homes from the other repeatedly, and callers of both would be refused.
func (i *Instance) rateHomeAddresses() []string {
	if i.rate == nil {
		return nil
	}
	var addresses []string
	for _, holder := range i.rate.Holders() {
		addresses = append(addresses, holder.Address)
	}
	return addresses
}

// eligibleHolders returns the instances that may be assigned rate homes: those that are alive and
// not draining.
func (i *Instance) eligibleHolders() []request.Holder {
	return i.holders(func(draining bool) bool { return !draining })
}

// liveHolders returns the instances that are alive, including draining ones.
func (i *Instance) liveHolders() []request.Holder {
	return i.holders(func(bool) bool { return true })
}

// holders returns members for the token rate and the at-most-once guard, with this instance's
// initial run in place of its current one. Membership assigns a new incarnation if this instance
// was declared dead while its process was paused. The rate service keeps the identity that its
// terms in the log refer to; with the new incarnation, it would not find itself among the members
// and would claim no homes.
func (i *Instance) holders(include func(draining bool) bool) []request.Holder {
	members := i.members.Members()
	holders := make([]request.Holder, 0, len(members))
	for _, m := range members {
		switch {
		case !include(m.Draining):
		case m.Instance == i.initialRun.Instance:
			holders = append(holders, i.initialRun)
		default:
			holders = append(holders, m.Holder)
		}
	}
	return holders
}
