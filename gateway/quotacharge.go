package gateway

import (
	"github.com/cairnworks/cairnworks/decision/escrow"
	"github.com/cairnworks/cairnworks/fleet"
)

// chargeUnchecked charges a small request to its organisation's home without asking.
func (q *Quotas) chargeUnchecked(org fleet.Hash, tokens int64) (fleet.Hub, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit, known := q.limits[org]
	if !known {
		return fleet.Hub{}, false
	}
	if limit.Rate <= 0 {
		return q.self, true
	}
	home, known := q.homeOf(org)
	if !known || !limit.IsSmall(tokens) || q.mustAsk(home, org, limit, tokens) {
		return fleet.Hub{}, false
	}
	q.addToBill(home, org, tokens)
	return home, true
}

// mustAsk reports whether the home must be asked even for a small request. The caller must hold the lock.
func (q *Quotas) mustAsk(home fleet.Hub, org fleet.Hash, limit escrow.Limit, tokens int64) bool {
	if home == q.self {
		return q.home.Short(uint64(org))
	}
	now := q.now()
	instances, _ := q.network.Size().Instances()
	return now < q.emptyUntil[org] || !q.unchecked.Take(now, uint64(org), limit, tokens, instances)
}

// addToBill charges tokens to a bucket. The caller must hold the lock.
func (q *Quotas) addToBill(home fleet.Hub, org fleet.Hash, tokens int64) {
	at, known := q.bills[home.Run]
	if !known {
		at = make(map[fleet.Hash]*bill)
		q.bills[home.Run] = at
	}
	b, known := at[org]
	if !known {
		b = &bill{}
		at[org] = b
	}
	b.tokens += tokens
	b.reports = 0
	if home == q.self {
		q.home.Charge(escrow.Run(q.self.Run), uint64(org), b.tokens)
	}
}

// Refund returns the tokens of a request that did not run.
func (q *Quotas) Refund(organisation string, tokens int64) {
	org := fleet.HashOf(organisation)
	q.mu.Lock()
	defer q.mu.Unlock()
	if limit, known := q.limits[org]; !known || limit.Rate <= 0 {
		return
	}
	if home, known := q.homeOf(org); known {
		q.addToBill(home, org, -tokens)
	}
}
