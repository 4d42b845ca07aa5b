package rate

import (
	"context"
	"slices"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/request"
)

// VouchStopped records an operator's word that runs of instances have ended. A
// successor that waits for one of them begins at once. If the operator is wrong and the
// run still spends, the organisation can get a share twice until that run reads the
// record, at most for the lease; it then stops for good. Calling it again is harmless.
func (s *Service) VouchStopped(ctx context.Context, runs ...request.Holder) error {
	if slices.ContainsFunc(runs, func(r request.Holder) bool { return r.Instance == "" }) {
		return oops.Errorf("rate: a run needs an instance and an incarnation")
	}
	return s.vouch(ctx, lease.Record{Holder: s.cfg.Self, Stopped: runs})
}

// VouchAllStopped records an operator's word that no run which claimed a shard so far is
// running, as after the whole fleet was stopped for longer than the log's retention.
func (s *Service) VouchAllStopped(ctx context.Context) error {
	return s.vouch(ctx, lease.Record{Holder: s.cfg.Self, AllStopped: true})
}

func (s *Service) vouch(ctx context.Context, rec lease.Record) error {
	data, err := rec.Encode()
	if err != nil {
		return err
	}
	s.count.appends.Inc(1)
	_, err = s.cfg.Log.Append(ctx, Stream, port.Entry{ID: s.entryID(), Data: data})
	return oops.Wrapf(err, "rate: record the operator's word")
}
