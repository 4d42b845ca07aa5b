// Package share splits an organisation's limit into shares and implements the token
// buckets of one shard for one term. It does no I/O; callers pass in the time.
package share

import (
	"math"
	"time"

	"github.com/cairnworks/cairnworks/decision/bucket"
	"github.com/cairnworks/cairnworks/object"
)

// Count is the number of shares of each organisation's limit. With three shares, the
// loss of one home leaves two thirds of the rate. More shares would be smaller, and a
// request that needs several of them would take more calls.
const Count = 3

// milliPerToken is the number of bucket units, thousandths of a token, in a token.
const milliPerToken = 1000

// driftInverse is the inverse of the assumed bound on clock drift. Rates are scaled down
// by 1/1000 so that a home whose clock runs fast does not exceed the rate.
const driftInverse = 1000

// pruneAfter is how long an unused full bucket is kept. A bucket that was dropped is
// rebuilt full.
const pruneAfter = 10 * time.Minute

// LimitOf returns the limit of one share. Bursts are split into whole tokens, so that the
// shares can together grant the whole burst; rates are split into thousandths of a token.
func LimitOf(limit object.Limit, share uint32) bucket.Limit {
	return bucket.Limit{
		MilliPerSecond: split(limit.TokensPerSecond*(milliPerToken-milliPerToken/driftInverse), share),
		BurstMilli:     split(limit.Burst, share) * milliPerToken,
	}
}

func split(total int64, share uint32) int64 {
	part := total / Count
	if int64(share) < total%Count {
		part++
	}
	return part
}

// Key identifies one share of one organisation.
type Key struct {
	Organisation string
	Share        uint32
}

// Level is the level of a bucket in thousandths of a token.
type Level struct {
	Key   Key
	Milli int64
}

// Buckets are the buckets of one shard under one term.
type Buckets struct {
	// emptyAt is the time at which buckets without an entry were empty.
	emptyAt time.Duration
	entries map[Key]*entry
}

type entry struct {
	bucket   *bucket.Bucket
	lastUsed time.Duration
}

// NewEmpty returns buckets that are all empty at now.
func NewEmpty(now time.Duration) *Buckets {
	return &Buckets{emptyAt: now, entries: make(map[Key]*entry)}
}

// NewFromLevels returns buckets with the levels handed over by an earlier holder. Buckets
// that are not in levels have been filling from empty for the duration filling.
func NewFromLevels(now, filling time.Duration, levels []Level, limitOf func(Key) (bucket.Limit, bool)) *Buckets {
	b := NewEmpty(now - filling)
	for _, l := range levels {
		limit, ok := limitOf(l.Key)
		if !ok {
			continue
		}
		b.entries[l.Key] = &entry{bucket: bucket.New(limit, l.Milli, now), lastUsed: now}
	}
	return b
}

// Grant is the result of Take.
type Grant struct {
	Tokens uint64
	// ChargeID identifies the charge in a refund. It is zero if nothing was granted.
	ChargeID bucket.ChargeID
	// Wait is the time until the tokens that were not granted become available, capped
	// at the time to fill the share's burst.
	Wait time.Duration
}

// Take takes tokens from a share. If there are too few it takes nothing or, with partial
// set, as many whole tokens as are available.
func (b *Buckets) Take(now time.Duration, key Key, limit bucket.Limit, tokens uint64, partial bool) Grant {
	tokenBucket := b.get(now, key, limit)
	wanted := int64(min(tokens, math.MaxInt64/milliPerToken)) * milliPerToken
	level := tokenBucket.Level(now)
	granted := wanted
	if level < wanted {
		granted = 0
		if partial {
			granted = max(level, 0) / milliPerToken * milliPerToken
		}
	}
	g := Grant{Wait: timeToReach(limit, level, wanted)}
	if id, ok := tokenBucket.Charge(now, granted); ok {
		g.Tokens = uint64(granted / milliPerToken)
		g.ChargeID = id
	}
	return g
}

// Refund corrects a charge: it returns tokens that were not used and deducts overdraft
// tokens that were used beyond the charge.
func (b *Buckets) Refund(now time.Duration, key Key, charge bucket.ChargeID, tokens, overdraft uint64) {
	e, ok := b.entries[key]
	if !ok {
		return
	}
	e.bucket.Refund(now, charge, int64(min(tokens, math.MaxInt64/milliPerToken))*milliPerToken)
	e.bucket.Overdraw(now, int64(min(overdraft, math.MaxInt64/milliPerToken))*milliPerToken)
}

// Snapshot returns the levels to hand over, and for how long the buckets that are not
// among them have been filling from empty.
func (b *Buckets) Snapshot(now time.Duration) (levels []Level, filling time.Duration) {
	for key, e := range b.entries {
		levels = append(levels, Level{Key: key, Milli: e.bucket.Level(now)})
	}
	return levels, now - b.emptyAt
}

// Prune drops buckets that have been unused for pruneAfter, are full and would be rebuilt
// full, and unused buckets of organisations without a limit.
func (b *Buckets) Prune(now time.Duration, limitOf func(Key) (bucket.Limit, bool)) {
	for key, e := range b.entries {
		limit, ok := limitOf(key)
		idle := now >= e.lastUsed+pruneAfter
		if idle && (!ok || e.bucket.Full(now) && bucket.Filled(limit, now-b.emptyAt) >= limit.BurstMilli) {
			delete(b.entries, key)
		}
	}
}

// Len returns the number of buckets in memory.
func (b *Buckets) Len() int { return len(b.entries) }

func (b *Buckets) get(now time.Duration, key Key, limit bucket.Limit) *bucket.Bucket {
	e, ok := b.entries[key]
	if !ok {
		e = &entry{bucket: bucket.New(limit, bucket.Filled(limit, now-b.emptyAt), now)}
		b.entries[key] = e
	}
	e.lastUsed = now
	e.bucket.SetLimit(now, limit)
	return e.bucket
}

// timeToReach returns how long level takes to reach the smaller of wanted and the burst.
func timeToReach(limit bucket.Limit, level, wanted int64) time.Duration {
	missing := min(wanted, limit.BurstMilli) - level
	if missing <= 0 {
		return 0
	}
	if limit.MilliPerSecond <= 0 {
		return math.MaxInt64
	}
	seconds := float64(missing) / float64(limit.MilliPerSecond)
	if seconds > float64(math.MaxInt64/int64(time.Second)) {
		return math.MaxInt64
	}
	return time.Duration(seconds*float64(time.Second)) + 1
}

// TokensAfter returns the number of whole tokens in a share that now holds tokens, after a
// time d without charges.
func TokensAfter(limit bucket.Limit, tokens uint64, d time.Duration) uint64 {
	gained := bucket.Filled(limit, d)
	level := min(int64(min(tokens, math.MaxInt64/milliPerToken))*milliPerToken, limit.BurstMilli)
	return uint64(min(level+gained, limit.BurstMilli) / milliPerToken)
}
