package gateway

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/advertised"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// upstreamStatements acts on what upstreams say of themselves in their answers. It sees every answer, also those
// that this instance relays, and admits everything that is sent. It is safe for concurrent use.
type upstreamStatements struct {
	now       boottime.Clock
	quotas    *Quotas
	directory *upstream.Directory
	log       *zap.Logger
	// onLeaving, if set, is called when an upstream has said that it leaves.
	onLeaving func()

	mu    sync.Mutex
	table *advertised.Table
}

func newUpstreamStatements(now boottime.Clock, quotas *Quotas, directory *upstream.Directory, log *zap.Logger) *upstreamStatements {
	return &upstreamStatements{now: now, quotas: quotas, directory: directory, log: log, table: advertised.NewTable()}
}

// runKey identifies a run of an upstream.
func runKey(e upstream.Entry) advertised.Key {
	return advertised.Key(fleet.HashOf(e.ID + "@" + strconv.FormatInt(e.Started, 10)))
}

// record records what an answer of an upstream says.
func (s *upstreamStatements) record(from upstream.Entry, said upstream.Statement) {
	if said.Limit != nil {
		s.recordLimit(from, *said.Limit)
	}
	if said.Leaving {
		s.recordLeaving(from)
	}
	if said.Backoff > 0 {
		s.recordBackoff(from, said.Backoff)
	}
}

func (s *upstreamStatements) recordLimit(from upstream.Entry, limit upstream.RequestLimit) {
	if !limit.Named && s.isEmpty() {
		return
	}
	said := advertised.Statement{Limited: limit.Named, PerSecond: limit.PerSecond, At: s.now()}
	s.mu.Lock()
	changed := s.table.Record(runKey(from), said)
	s.mu.Unlock()
	if changed {
		s.log.Info("upstream limit changed", zap.String("upstream", from.ID), zap.Bool("limited", said.Limited), zap.Float64("per_second", said.PerSecond))
	}
}

func (s *upstreamStatements) recordLeaving(from upstream.Entry) {
	s.mu.Lock()
	isNew := s.table.RecordLeaving(s.now(), runKey(from))
	s.mu.Unlock()
	s.directory.MarkLeaving(from)
	if !isNew {
		return
	}
	s.log.Info("upstream says that it leaves", zap.String("upstream", from.ID), zap.String("address", from.Address))
	if s.onLeaving != nil {
		s.onLeaving()
	}
}

func (s *upstreamStatements) recordBackoff(from upstream.Entry, backoff time.Duration) {
	s.mu.Lock()
	isNew := s.table.RecordBackoff(s.now(), runKey(from), backoff)
	s.mu.Unlock()
	if isNew {
		s.log.Info("upstream requests a backoff", zap.String("upstream", from.ID), zap.String("address", from.Address), zap.Duration("backoff", backoff))
	}
}

// isEmpty reports whether no upstream has said anything, which is the usual case.
func (s *upstreamStatements) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.IsEmpty()
}

// errNotSent is the cause of a verdict on a request that was not sent to an upstream, because of what that has
// said meanwhile.
var errNotSent = errors.New("the upstream takes no requests")

func (s *upstreamStatements) check(to upstream.Entry, use upstream.Use) *verdict.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.IsEmpty() {
		return nil
	}
	key := runKey(to)
	if left, backingOff := s.table.Backoff(s.now(), key); backingOff {
		return verdict.Fail(verdict.NotRun, verdict.ReasonUpstreamBackoff, errNotSent, "the upstream has requested a backoff for another %v", left.Round(time.Millisecond))
	}
	if use == upstream.Work && s.table.IsLeaving(key) {
		return verdict.Fail(verdict.NotRun, verdict.ReasonUpstreamLeaving, errNotSent, "the upstream is shutting down")
	}
	return nil
}

// take takes one request from an upstream's limit. If there is none left, it returns the time after
// which there is, and the upstream counts as spent until then.
func (s *upstreamStatements) take(ctx context.Context, to upstream.Entry) (retry time.Duration, ok bool) {
	if s.isEmpty() {
		return 0, true
	}
	key := runKey(to)
	s.mu.Lock()
	said, limited := s.table.Limit(key)
	retry, spent := s.table.Spent(s.now(), key)
	s.mu.Unlock()
	if !limited {
		return 0, true
	}
	if spent {
		return retry, false
	}
	d := s.quotas.TakeRequest(ctx, key, said.PerSecond)
	if d.Admitted {
		return 0, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.MarkSpent(s.now(), key, d.Retry)
	return d.Retry, false
}

// unavailable are upstreams that get no requests because of what they have said, by ID, with the time until they
// may.
type unavailable struct {
	// spent are those whose limits are reached, for all instances. backingOff are those that have told this
	// instance to back off.
	spent, backingOff map[string]time.Duration
}

// unavailable returns which of the entries get no requests.
func (s *upstreamStatements) unavailable(entries []upstream.Entry) unavailable {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.IsEmpty() {
		return unavailable{}
	}
	out := unavailable{spent: make(map[string]time.Duration), backingOff: make(map[string]time.Duration)}
	now := s.now()
	for _, e := range entries {
		key := runKey(e)
		if left, spent := s.table.Spent(now, key); spent {
			out.spent[e.ID] = left
		}
		if left, backingOff := s.table.Backoff(now, key); backingOff {
			out.backingOff[e.ID] = left
		}
	}
	return out
}

// spentIDs returns the IDs of the upstreams whose limits are reached.
func (u unavailable) spentIDs() map[string]bool { return idSet(u.spent) }

// backoffIDs returns the IDs of the upstreams that have told this instance to back off.
func (u unavailable) backoffIDs() map[string]bool { return idSet(u.backingOff) }

// ids returns the IDs of all unavailable upstreams.
func (u unavailable) ids() map[string]bool { return union(u.spentIDs(), u.backoffIDs()) }

// idSet returns the keys of a map.
func idSet(of map[string]time.Duration) map[string]bool {
	out := make(map[string]bool, len(of))
	for id := range of {
		out[id] = true
	}
	return out
}

// left returns the time until an upstream may get requests, or 0 if it may now.
func (u unavailable) left(id string) time.Duration { return max(u.spent[id], u.backingOff[id]) }

// accepts reports whether an upstream takes requests of this instance, as far as it and the store have said.
func (g *Gateway) accepts(e upstream.Entry) bool {
	_, current := g.state.Directory.Current(e.ID)
	return current && g.statements.check(e, upstream.Work) == nil
}

// unavailableUpstreams returns the upstreams of a service that get no requests of this instance.
func (g *Gateway) unavailableUpstreams(service string) map[string]bool {
	return g.statements.unavailable(g.state.Directory.Service(service)).ids()
}

// refuseIfNoneAvailable refuses a request if all upstreams of a role have said that they
// take none now. The refusal says when the first of them does; seed spreads that time.
func (g *Gateway) refuseIfNoneAvailable(service string, role upstream.Role, seed uint64) *verdict.Verdict {
	entries := g.state.Directory.Service(service)
	u := g.statements.unavailable(entries)
	leaving, retry, reason := 0, time.Duration(0), verdict.ReasonUpstreamLeaving
	for _, e := range entries {
		switch left := u.left(e.ID); {
		case e.Role != role:
		case e.Leaving:
			leaving++
		case left == 0:
			return nil
		case retry == 0 || left < retry:
			retry, reason = left, verdict.ReasonUpstreamLimited
			if u.backingOff[e.ID] >= u.spent[e.ID] {
				reason = verdict.ReasonUpstreamBackoff
			}
		}
	}
	switch reason {
	case verdict.ReasonUpstreamBackoff:
		// Callers that return at the same moment would be turned away again.
		return verdict.Refuse(reason, retry+spreadRetry(seed), "all upstreams of %s have requested a backoff", service)
	case verdict.ReasonUpstreamLimited:
		return verdict.Refuse(reason, max(retry, spreadRetry(seed)), "all upstreams of %s have reached the rates that they take", service)
	}
	if leaving == 0 {
		return nil
	}
	return verdict.Refuse(reason, spreadRetry(seed), "all upstreams of %s are shutting down", service)
}

// setRetryAfter sets the time after which a request that has not run may come back, unless it is set: usually
// otherwise, or when an upstream takes requests again.
func (g *Gateway) setRetryAfter(a *admittedCall, role upstream.Role, v *verdict.Verdict, otherwise time.Duration) {
	if v.Ran != verdict.NotRun || !v.Reason.Retryable() || v.RetryAfter != 0 {
		return
	}
	v.RetryAfter = otherwise
	if none := g.refuseIfNoneAvailable(a.service.Name, role, hashPoint(a.call.ID)); none != nil {
		v.RetryAfter = none.RetryAfter
	}
}

// fillReport adds what other instances must know to a report.
func (s *upstreamStatements) fillReport(now time.Duration, r *fleet.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.IsEmpty() {
		return
	}
	for _, key := range s.table.Keys() {
		said := s.table.Statement(key)
		r.Limits = append(r.Limits, fleet.UpstreamLimit{Upstream: fleet.Hash(key), Limited: said.Limited, PerSecond: said.PerSecond, Age: now - said.At})
	}
	for _, key := range s.table.LeavingToReport(now) {
		r.LeavingUpstreams = append(r.LeavingUpstreams, fleet.Hash(key))
	}
}

// applyReport records what upstreams have said to another instance.
func (s *upstreamStatements) applyReport(now time.Duration, r *fleet.Report) {
	made := now
	if r.Earliest > 0 {
		made = r.Earliest
	}
	s.mu.Lock()
	for _, limit := range r.Limits {
		s.table.Record(advertised.Key(limit.Upstream), advertised.Statement{Limited: limit.Limited, PerSecond: limit.PerSecond, At: made - limit.Age})
	}
	heard := make(map[advertised.Key]bool)
	for _, hash := range r.LeavingUpstreams {
		if key := advertised.Key(hash); !s.table.IsLeaving(key) {
			s.table.RecordLeaving(now, key)
			heard[key] = true
		}
	}
	s.mu.Unlock()
	if len(heard) > 0 {
		s.markLeaving(func(key advertised.Key) bool { return heard[key] })
	}
}

// markLeaving marks the listed upstreams that leave.
func (s *upstreamStatements) markLeaving(leaving func(advertised.Key) bool) {
	for _, e := range s.directory.All() {
		if leaving(runKey(e)) && s.directory.MarkLeaving(e) {
			s.log.Info("upstream leaves according to another instance", zap.String("upstream", e.ID), zap.String("address", e.Address))
		}
	}
}

// sweep drops what was said by upstreams that no longer exist, and marks those that were listed after another
// instance reported that they leave.
func (s *upstreamStatements) sweep() {
	if s.isEmpty() {
		return
	}
	listed := make(map[advertised.Key]bool)
	for _, e := range s.directory.All() {
		listed[runKey(e)] = true
	}
	s.mu.Lock()
	s.table.Sweep(s.now(), func(key advertised.Key) bool { return listed[key] })
	leaving := make(map[advertised.Key]bool)
	for key := range listed {
		if s.table.IsLeaving(key) {
			leaving[key] = true
		}
	}
	s.mu.Unlock()
	s.directory.RetainLeaving(func(id string, started int64) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.table.IsLeaving(runKey(upstream.Entry{ID: id, Started: started}))
	})
	if len(leaving) > 0 {
		s.markLeaving(func(key advertised.Key) bool { return leaving[key] })
	}
}
