package rate

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/rate/share"
	"github.com/cairnworks/cairnworks/request"
)

// Status describes the rate homes as seen by one instance, for operators.
type Status struct {
	// Held are the shards that this instance holds or waits for.
	Held []lease.HeldStatus
	// Holders is the holder of every shard as known to this instance. An empty Instance
	// means that the holder is unknown.
	Holders []request.Holder
	// Buckets is the number of buckets held here.
	Buckets int
}

// ShareHome is the location of one share of an organisation.
type ShareHome struct {
	Share, Shard uint32
	// Home is empty if it is unknown.
	Home request.Holder
	// Unreachable reports that the home did not respond to this instance's latest request.
	Unreachable bool
}

// Status returns the status of the service. It is empty when the service has ended.
func (s *Service) Status() Status {
	status, _ := s.queryStatus(s.ctx)
	return status
}

// ShareHomes returns the homes of an organisation's shares as used by this instance's
// requests.
func (s *Service) ShareHomes(organisation string) []ShareHome {
	r := s.routes.Load()
	homes := make([]ShareHome, 0, share.Count)
	for i := range uint32(share.Count) {
		shard := shardOf(organisation, i)
		homes = append(homes, ShareHome{
			Share: i, Shard: shard, Home: r.holders[shard], Unreachable: s.failures.shouldSkip(shard),
		})
	}
	return homes
}

func (s *Service) queryStatus(ctx context.Context) (Status, bool) {
	return ask(ctx, s, func(reply chan Status) any { return statusQuery{reply: reply} })
}

func (h *homeActor) status() Status {
	st := Status{Held: h.node.Held(h.s.now())}
	r := h.s.routes.Load()
	st.Holders = append(st.Holders, r.holders[:]...)
	for _, held := range h.held {
		st.Buckets += held.buckets.Len()
	}
	return st
}

// updateGauges updates the gauges of the held shards by phase and of the age of the latest
// full read of the log. Operators should alert on the age: at lease.Timing.Outage all spending
// stops.
func (h *homeActor) updateGauges(now time.Duration) {
	byPhase := map[lease.Phase]int{
		lease.PhaseWaiting: 0, lease.PhaseSpending: 0, lease.PhaseExtended: 0, lease.PhaseLapsed: 0,
	}
	for _, held := range h.node.Held(now) {
		byPhase[held.Phase]++
	}
	for phase, n := range byPhase {
		h.s.count.held[phase].Update(float64(n))
	}
	h.s.count.logAge.Update(h.node.LogAge(now).Seconds())
}
