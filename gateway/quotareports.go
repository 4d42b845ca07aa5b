package gateway

import (
	"time"

	"github.com/cairnworks/cairnworks/decision/escrow"
	"github.com/cairnworks/cairnworks/fleet"
)

// FillReportFor adds the receiver's shares of the rates and its bills to a report.
func (q *Quotas) FillReportFor(now time.Duration, to fleet.Run, r *fleet.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.distributeOwn(now)
	if shards := q.shardsOf(to); len(shards) > 0 {
		r.Shares = q.distributor.Transfer(escrow.Run(to), shards)
	}
	for org, b := range q.bills[to] {
		if b.reports < billReports {
			b.reports++
			r.Bills = append(r.Bills, fleet.Bill{Organisation: org, Tokens: b.tokens})
		}
	}
}

// FillReport adds the organisations whose buckets are empty at this instance, unless that was reported
// lately.
func (q *Quotas) FillReport(now time.Duration, r *fleet.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.distributeOwn(now)
	for _, exhausted := range q.home.Exhausted() {
		org := fleet.Hash(exhausted)
		if last, reported := q.emptyReported[org]; !reported || now-last >= emptyReportInterval {
			q.emptyReported[org] = now
			r.Short = append(r.Short, org)
		}
	}
}

// FillPollAnswer adds the organisations whose buckets are empty at this instance.
func (q *Quotas) FillPollAnswer(r *fleet.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, org := range q.home.Exhausted() {
		r.Short = append(r.Short, fleet.Hash(org))
	}
}

// ApplyReport applies another instance's shares, bills and list of empty buckets.
func (q *Quotas) ApplyReport(now time.Duration, r *fleet.Report) {
	from := escrow.Run(fleet.RunOf(r.Instance, r.Incarnation))
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.isFor(r) {
		q.home.Receive(now, from, r.Shares)
		for _, b := range r.Bills {
			q.home.Charge(from, uint64(b.Organisation), b.Tokens)
		}
	}
	for _, org := range r.Short {
		q.emptyUntil[org] = now + emptyBucketTTL
	}
}

// isFor reports whether the shares and bills of a report are for this run. Until an instance has heard of a new run, its
// reports arrive here with the totals of the earlier one.
func (q *Quotas) isFor(r *fleet.Report) bool {
	to := r.To
	if to == 0 {
		to = r.Heard.Run
	}
	return to == 0 || to == q.self.Run
}
