package rate

import (
	"context"
	"slices"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/request"
)

// DeclareStopped records an operator's declaration that runs of instances have stopped. A
// successor that waits for one of them begins to spend at once. If the operator is wrong
// and the run still spends, the organisation can get a share twice until that run reads the
// record, at most for the duration of the lease; the run then stops for good. Calls are
// idempotent.
func (s *Service) DeclareStopped(ctx context.Context, runs ...request.Holder) error {
	if slices.ContainsFunc(runs, func(r request.Holder) bool { return r.Instance == "" }) {
		return oops.Errorf("rate: a run needs an instance and an incarnation")
	}
	return s.declare(ctx, lease.Record{Holder: s.cfg.Self, Stopped: runs})
}

// DeclareAllStopped records an operator's declaration that no run that has claimed a shard
// so far is still running, for example after the whole fleet was stopped for longer than the
// log's retention.
func (s *Service) DeclareAllStopped(ctx context.Context) error {
	return s.declare(ctx, lease.Record{Holder: s.cfg.Self, AllStopped: true})
}

func (s *Service) declare(ctx context.Context, rec lease.Record) error {
	data, err := rec.Encode()
	if err != nil {
		return err
	}
	s.count.appends.Inc(1)
	_, err = s.cfg.Log.Append(ctx, Stream, port.Entry{ID: s.entryID(), Data: data})
	return oops.Wrapf(err, "rate: append the operator's declaration")
}
