package rate

import (
	"context"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/rate/lease"
)

// Drain gives up this instance's shards. Others claim them, because this instance no
// longer counts itself a member and its membership entry says draining; each claim is
// answered with the levels, and the successor goes on without a wait. Drain returns
// when nothing is held or nobody else is there to take it, and with an error when ctx
// ends first, as it does while the log is down: nobody can take over then, and ending
// the instance would leave its shards without a home until the log is back.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	for {
		status, ok := s.query(ctx)
		if !ok {
			return oops.Errorf("rate: drain ended early: %w", context.Cause(ctx))
		}
		if len(status.Held) == 0 || !s.othersAlive() {
			return nil
		}
		pause(ctx, homeRetry)
		if ctx.Err() != nil {
			return oops.Errorf("rate: drain ended with %d shards held: %w", len(status.Held), ctx.Err())
		}
	}
}

func (s *Service) othersAlive() bool {
	for _, m := range s.cfg.Members() {
		if !lease.SameRun(m, s.cfg.Self) {
			return true
		}
	}
	return false
}
