package gateway

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/decision/advertised"
	"github.com/cairnworks/cairnworks/decision/escrow"
	"github.com/cairnworks/cairnworks/fleet"
)

// Buckets of upstreams that name the rate of requests that they take. They are shared by all instances
// like those of organisations.
const (
	// requestUnits is the number of tokens of one request in an upstream's bucket. Rates may be
	// fractions.
	requestUnits = 1000
	// upstreamBucketTTL is how long an upstream's bucket is kept without a request.
	upstreamBucketTTL = time.Minute
)

// upstreamBucket is the limit of an upstream's bucket and when it was last asked for.
type upstreamBucket struct {
	limit  escrow.Limit
	usedAt time.Duration
}

// bucketLimit returns the limit of the bucket of an upstream that takes a number of requests per second.
func bucketLimit(perSecond float64) escrow.Limit {
	s := advertised.Statement{PerSecond: perSecond}
	return escrow.Limit{Rate: requestUnits * s.Rate(), Burst: requestUnits * s.Burst()}
}

// TakeRequest takes one request from the bucket of an upstream that takes a number of requests per
// second from all instances.
func (q *Quotas) TakeRequest(ctx context.Context, key advertised.Key, perSecond float64) QuotaDecision {
	q.mu.Lock()
	q.setUpstreamBucket(q.now(), fleet.Hash(key), perSecond)
	q.mu.Unlock()
	return q.askHome(ctx, fleet.Ask{Organisation: fleet.Hash(key), Tokens: requestUnits, Upstream: true, PerSecond: perSecond})
}

// setUpstreamBucket sets the limit of an upstream's bucket. The caller must hold the lock.
func (q *Quotas) setUpstreamBucket(now time.Duration, key fleet.Hash, perSecond float64) {
	limit := bucketLimit(perSecond)
	old, known := q.upstreams[key]
	q.upstreams[key] = upstreamBucket{limit, now}
	if !known || old.limit != limit {
		q.home.SetLimit(uint64(key), limit)
	}
}

// dropUnusedUpstreams drops the buckets of upstreams that get no requests. The caller must hold the lock.
func (q *Quotas) dropUnusedUpstreams(now time.Duration) {
	for key, b := range q.upstreams {
		if now-b.usedAt > upstreamBucketTTL {
			delete(q.upstreams, key)
			q.home.DropLimit(uint64(key))
		}
	}
}
