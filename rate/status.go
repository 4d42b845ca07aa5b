package rate

import (
	"context"

	"github.com/cairnworks/cairnworks/rate/lease"
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

// Status describes the instance's homes. It is empty when the service has ended.
func (s *Service) Status() Status {
	status, _ := s.query(s.ctx)
	return status
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
