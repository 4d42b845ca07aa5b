package rate

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/rate/share"
	"github.com/cairnworks/cairnworks/request"
)

// Status is what an operator sees of the rate homes from one instance.
type Status struct {
	// Held are the shards that this instance holds or waits for.
	Held []lease.HeldStatus
	// Holders is the holder of every shard as far as this instance knows; an empty
	// Instance is unknown.
	Holders []request.Holder
	// Buckets is the number of buckets held here.
	Buckets int
}

// ShareHome says where one share of an organisation is.
type ShareHome struct {
	Share, Shard uint32
	// Home is empty if it is not known.
	Home request.Holder
	// InDoubt says that the home did not answer this instance's last request.
	InDoubt bool
}

// Status describes the instance's homes. It is empty when the service has ended.
func (s *Service) Status() Status {
	status, _ := s.query(s.ctx)
	return status
}

// HomesOf says where an organisation's shares are, as this instance's requests find them.
func (s *Service) HomesOf(organisation string) []ShareHome {
	r := s.routes.Load()
	homes := make([]ShareHome, 0, share.Count)
	for i := range uint32(share.Count) {
		shard := shardOf(organisation, i)
		homes = append(homes, ShareHome{
			Share: i, Shard: shard, Home: r.holders[shard], InDoubt: s.doubts.isDoubtful(shard),
		})
	}
	return homes
}

func (s *Service) query(ctx context.Context) (Status, bool) {
	return ask(ctx, s, func(reply chan Status) any { return statusQuery{reply: reply} })
}

func (h *home) status() Status {
	st := Status{Held: h.node.Held(h.s.now())}
	r := h.s.routes.Load()
	st.Holders = append(st.Holders, r.holders[:]...)
	for _, held := range h.held {
		st.Buckets += held.buckets.Len()
	}
	return st
}

// gauge reports the held shards by phase and the age of the last read of the log. An
// operator's alert belongs on the age: at lease.Timing.Outage all spending stops.
func (h *home) gauge(now time.Duration) {
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
