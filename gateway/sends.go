package gateway

import (
	"context"

	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// sends are the sends of one call to upstreams.
type sends struct {
	service string
	// runs is the number of runs, and prefills that of prefills, that may have arrived.
	runs, prefills int
}

// sender sends callers' requests to upstreams. All sends of the gateway pass it: first ones, retries, resumed streams
// and prefills, directly and over other instances.
type sender struct {
	Upstreams
	metrics *observe.Metrics
}

// Run implements Upstreams.
func (s *sender) Run(ctx context.Context, to upstream.Entry, c *Call, o RunOptions) (*Answer, error) {
	answer, err := s.Upstreams.Run(ctx, to, c, o)
	if arrived(err) {
		s.metrics.CountArrival(c.sends.service, observe.SendRun, c.sends.runs > 0)
		c.sends.runs++
	}
	return answer, err
}

// Prefill implements Upstreams.
func (s *sender) Prefill(ctx context.Context, to upstream.Entry, c *Call) (string, error) {
	handle, err := s.Upstreams.Prefill(ctx, to, c)
	if arrived(err) {
		s.metrics.CountArrival(c.sends.service, observe.SendPrefill, c.sends.prefills > 0)
		c.sends.prefills++
	}
	return handle, err
}

// arrived reports whether a send with the given result may have arrived.
func arrived(err error) bool { return err == nil || !verdict.From(err).Unsent }
