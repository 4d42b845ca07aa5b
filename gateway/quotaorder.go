package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/escrow"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/observe"
)

// queuedQuota is a quota of this instance for whose tokens callers have reservations.
type queuedQuota struct {
	organisation string
	escrow.Queued
}

// queues returns the quotas of this instance with reservations, and the counts of reservations.
func (q *Quotas) queues() (map[fleet.Hash]queuedQuota, escrow.ReservationStats) {
	q.mu.Lock()
	defer q.mu.Unlock()
	queues := make(map[fleet.Hash]queuedQuota)
	for _, b := range q.home.Queued(q.now()) {
		queues[fleet.Hash(b.Organisation)] = queuedQuota{q.names[fleet.Hash(b.Organisation)], b}
	}
	return queues, q.home.ReservationStats()
}

// quotaReporter logs and counts the reservations of tokens at this instance.
type quotaReporter struct {
	log     *zap.Logger
	metrics *observe.Metrics
	last    escrow.ReservationStats
	// exhausted holds the quotas with reservations and since when they have had some.
	exhausted map[fleet.Hash]exhaustedQuota
}

type exhaustedQuota struct {
	organisation string
	since        time.Time
}

func newQuotaReporter(log *zap.Logger, metrics *observe.Metrics) *quotaReporter {
	return &quotaReporter{log: log, metrics: metrics, exhausted: make(map[fleet.Hash]exhaustedQuota)}
}

// report logs the quotas that have become exhausted or available since the last call and updates the metrics.
func (r *quotaReporter) report(q *Quotas) {
	if q == nil || !q.inOrder {
		return
	}
	queues, stats := q.queues()
	for org, b := range queues {
		if _, known := r.exhausted[org]; known {
			continue
		}
		r.exhausted[org] = exhaustedQuota{b.organisation, time.Now()}
		r.log.Info("quota exhausted", zap.String("organisation", b.organisation), zap.Int("reservations", b.Reservations), zap.Float64("reserved", b.Tokens),
			zap.Float64("level", b.Level), zap.Float64("share", b.Share), zap.Float64s("demand", b.Demand[:]))
	}
	for org, b := range r.exhausted {
		if _, still := queues[org]; !still {
			delete(r.exhausted, org)
			r.log.Info("quota available again", zap.String("organisation", b.organisation), zap.Duration("after", time.Since(b.since)))
		}
	}
	for outcome, n := range map[string]int64{
		"made": stats.Made - r.last.Made, "used": stats.Used - r.last.Used, "moved": stats.Moved - r.last.Moved,
		"expired": stats.Expired - r.last.Expired, "dropped": stats.Dropped - r.last.Dropped,
	} {
		if n > 0 {
			r.metrics.CountQuotaReservations(outcome, n)
		}
	}
	r.last = stats
	r.metrics.SetQuotaReservations(stats.Open, len(queues))
}

// countWait counts how a wait for reserved tokens ended.
func (r *quotaReporter) countWait(d QuotaDecision) {
	switch {
	case d.Admitted:
		r.metrics.CountQuotaWait("granted")
	case d.Unanswered:
		r.metrics.CountQuotaWait("unanswered")
	default:
		r.metrics.CountQuotaWait("refused")
	}
}
