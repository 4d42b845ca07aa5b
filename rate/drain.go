package rate

import (
	"context"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/rate/lease"
)

// Drain releases this instance's shards. Other instances claim them, because this instance
// no longer treats itself as a member and its membership entry says draining. It sends the
// levels to each successor, which then continues without a wait. Drain returns when no
// shard is held or no other instance is alive to take over. It returns an error if ctx ends
// first, as it does while the log is unavailable: no instance can take over then, and
// terminating this one would leave its shards without a home until the log is back.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	for {
		status, ok := s.queryStatus(ctx)
		if !ok {
			return oops.Errorf("rate: drain interrupted: %w", context.Cause(ctx))
		}
		if len(status.Held) == 0 || !s.othersAlive() {
			return nil
		}
		sleep(ctx, homeRetryInterval)
		if ctx.Err() != nil {
			return oops.Errorf("rate: drain ended with %d shards still held: %w", len(status.Held), ctx.Err())
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
