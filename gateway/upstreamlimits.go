package gateway

import (
	"context"
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

// upstreamLimits enforces the limits that upstreams name, together with the other instances. It is safe
// for concurrent use.
type upstreamLimits struct {
	now    boottime.Clock
	quotas *Quotas
	log    *zap.Logger

	mu    sync.Mutex
	table *advertised.Table
}

func newUpstreamLimits(now boottime.Clock, quotas *Quotas, log *zap.Logger) *upstreamLimits {
	return &upstreamLimits{now: now, quotas: quotas, log: log, table: advertised.NewTable()}
}

// limitKey identifies a run of an upstream.
func limitKey(e upstream.Entry) advertised.Key {
	return advertised.Key(fleet.HashOf(e.ID + "@" + strconv.FormatInt(e.Started, 10)))
}

// record records what an answer of an upstream says about the requests that it takes.
func (l *upstreamLimits) record(from upstream.Entry, limit upstream.RequestLimit) {
	if !limit.Named && l.isEmpty() {
		return
	}
	s := advertised.Statement{Limited: limit.Named, PerSecond: limit.PerSecond, At: l.now()}
	l.mu.Lock()
	changed := l.table.Record(limitKey(from), s)
	l.mu.Unlock()
	if changed {
		l.log.Info("upstream limit changed", zap.String("upstream", from.ID), zap.Bool("limited", s.Limited), zap.Float64("per_second", s.PerSecond))
	}
}

// isEmpty reports whether no upstream has named a limit, which is the usual case.
func (l *upstreamLimits) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Len() == 0
}

// take takes one request from an upstream's limit. If there is none left, it returns the time after
// which there is, and the upstream counts as spent until then.
func (l *upstreamLimits) take(ctx context.Context, to upstream.Entry) (retry time.Duration, ok bool) {
	if l.isEmpty() {
		return 0, true
	}
	key := limitKey(to)
	l.mu.Lock()
	s, limited := l.table.Limit(key)
	retry, spent := l.table.Spent(l.now(), key)
	l.mu.Unlock()
	if !limited {
		return 0, true
	}
	if spent {
		return retry, false
	}
	d := l.quotas.TakeRequest(ctx, key, s.PerSecond)
	if d.Admitted {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.MarkSpent(l.now(), key, d.Retry)
	return d.Retry, false
}

// spent returns which of the entries get no requests because their limits are reached, and the
// shortest time after which one of them does.
func (l *upstreamLimits) spent(entries []upstream.Entry) (ids map[string]bool, retry time.Duration) {
	if l.isEmpty() {
		return nil, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, e := range entries {
		left, isSpent := l.table.Spent(now, limitKey(e))
		if !isSpent {
			continue
		}
		if ids == nil {
			ids = make(map[string]bool)
		}
		ids[e.ID] = true
		if retry == 0 || left < retry {
			retry = left
		}
	}
	return ids, retry
}

// spentUpstreams returns the upstreams of a service that get no requests because their limits are reached.
func (g *Gateway) spentUpstreams(service string) map[string]bool {
	ids, _ := g.limits.spent(g.state.Directory.Service(service))
	return ids
}

// refuseIfAllSpent refuses a request if all upstreams of a role have reached their limits.
func (g *Gateway) refuseIfAllSpent(service string, role upstream.Role) *verdict.Verdict {
	entries := g.state.Directory.Service(service)
	spent, retry := g.limits.spent(entries)
	if len(spent) == 0 {
		return nil
	}
	for _, e := range entries {
		if e.Role == role && !e.Leaving && !spent[e.ID] {
			return nil
		}
	}
	return verdict.Refuse(verdict.ReasonUpstreamLimited, retry, "all upstreams of %s have reached the rates that they take", service)
}

// fillReport adds the limits to a report.
func (l *upstreamLimits) fillReport(now time.Duration, r *fleet.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range l.table.Keys() {
		s := l.table.Statement(key)
		r.Limits = append(r.Limits, fleet.UpstreamLimit{Upstream: fleet.Hash(key), Limited: s.Limited, PerSecond: s.PerSecond, Age: now - s.At})
	}
}

// applyReport records the limits that another instance reports.
func (l *upstreamLimits) applyReport(now time.Duration, r *fleet.Report) {
	made := now
	if r.Earliest > 0 {
		made = r.Earliest
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range r.Limits {
		l.table.Record(advertised.Key(limit.Upstream), advertised.Statement{Limited: limit.Limited, PerSecond: limit.PerSecond, At: made - limit.Age})
	}
}

// sweep drops the limits of upstreams that are not in the directory.
func (l *upstreamLimits) sweep(directory *upstream.Directory) {
	if l.isEmpty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[advertised.Key]bool)
	for _, e := range directory.All() {
		listed[limitKey(e)] = true
	}
	l.table.Sweep(l.now(), func(key advertised.Key) bool { return listed[key] })
}
