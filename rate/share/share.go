// Package share holds the buckets of one shard under one term, and splits an
// organisation's limit into shares. It does no I/O; time is passed in.
package share

import (
	"math"
	"time"

	"github.com/cairnworks/cairnworks/decision/bucket"
	"github.com/cairnworks/cairnworks/object"
)

// Count is the number of shares of each organisation's limit. With three, the loss of
// one home leaves two thirds of the rate; more shares would mean more calls for a
// request that needs several of them, and smaller ones.
const Count = 3

// milli is the number of bucket units in a token.
const milli = 1000

// driftInverse scales rates down by 1/1000, the stated bound on a clock's error, so
// that a home whose clock runs fast does not pass the rate.
const driftInverse = 1000

// pruneAfter is how long a full bucket is kept. A dropped bucket is rebuilt full.
const pruneAfter = 10 * time.Minute

// Portion returns one share of a limit. Bursts are split in whole tokens, so that
// the sum of what the shares can grant is the burst; rates in thousandths.
func Portion(limit object.Limit, share uint32) bucket.Limit {
	return bucket.Limit{
		MilliPerSecond: split(limit.TokensPerSecond*(milli-milli/driftInverse), share),
		BurstMilli:     split(limit.Burst, share) * milli,
	}
}

func split(total int64, share uint32) int64 {
	part := total / Count
	if int64(share) < total%Count {
		part++
	}
	return part
}

// Key names one share of one organisation.
type Key struct {
	Organisation string
	Share        uint32
}

// Level is a bucket's content in thousandths of a token.
type Level struct {
	Key   Key
	Milli int64
}

// Buckets are the buckets of one shard under one term.
type Buckets struct {
	// empty is when a bucket that is not in held was empty.
	empty time.Duration
	held  map[Key]*heldBucket
}

type heldBucket struct {
	bucket *bucket.Bucket
	used   time.Duration
}

// NewEmpty returns buckets that are all empty at time now.
func NewEmpty(now time.Duration) *Buckets {
	return &Buckets{empty: now, held: make(map[Key]*heldBucket)}
}

// NewFromLevels returns buckets with the levels that an earlier holder handed over.
// Those it does not name had been filling from empty for filling.
func NewFromLevels(now, filling time.Duration, levels []Level, limit func(Key) (bucket.Limit, bool)) *Buckets {
	b := NewEmpty(now - filling)
	for _, l := range levels {
		portion, ok := limit(l.Key)
		if !ok {
			continue
		}
		b.held[l.Key] = &heldBucket{bucket: bucket.New(portion, l.Milli, now), used: now}
	}
	return b
}

// Grant is the answer to a take.
type Grant struct {
	Tokens uint64
	// Charge names the grant in a refund; zero if nothing was granted.
	Charge bucket.ChargeID
	// Wait is the time until the tokens that were not granted will be there, as far as
	// this share can ever hold them.
	Wait time.Duration
}

// Take takes tokens from a share; with partial set, as many whole tokens as are there.
func (b *Buckets) Take(now time.Duration, key Key, portion bucket.Limit, tokens uint64, partial bool) Grant {
	held := b.get(now, key, portion)
	wanted := int64(min(tokens, math.MaxInt64/milli)) * milli
	level := held.Level(now)
	give := wanted
	if level < wanted {
		give = 0
		if partial {
			give = max(level, 0) / milli * milli
		}
	}
	g := Grant{Wait: waitFor(portion, level, wanted)}
	if id, ok := held.Charge(now, give); ok {
		g.Tokens = uint64(give / milli)
		g.Charge = id
	}
	return g
}

// Refund settles a charge: tokens were not used, or overdraft more were used than
// charged.
func (b *Buckets) Refund(now time.Duration, key Key, charge bucket.ChargeID, tokens, overdraft uint64) {
	held, ok := b.held[key]
	if !ok {
		return
	}
	held.bucket.Refund(now, charge, int64(min(tokens, math.MaxInt64/milli))*milli)
	held.bucket.Overdraw(now, int64(min(overdraft, math.MaxInt64/milli))*milli)
}

// Snapshot returns the levels to hand over and how long buckets not among them have
// been filling.
func (b *Buckets) Snapshot(now time.Duration) (levels []Level, filling time.Duration) {
	for key, held := range b.held {
		levels = append(levels, Level{Key: key, Milli: held.bucket.Level(now)})
	}
	return levels, now - b.empty
}

// Prune drops buckets that are full, have long been unused and would be rebuilt full.
func (b *Buckets) Prune(now time.Duration, limit func(Key) (bucket.Limit, bool)) {
	for key, held := range b.held {
		portion, ok := limit(key)
		idle := now >= held.used+pruneAfter
		if idle && (!ok || held.bucket.Full(now) && bucket.Filled(portion, now-b.empty) >= portion.BurstMilli) {
			delete(b.held, key)
		}
	}
}

// Len returns the number of buckets held.
func (b *Buckets) Len() int { return len(b.held) }

func (b *Buckets) get(now time.Duration, key Key, portion bucket.Limit) *bucket.Bucket {
	held, ok := b.held[key]
	if !ok {
		held = &heldBucket{bucket: bucket.New(portion, bucket.Filled(portion, now-b.empty), now)}
		b.held[key] = held
	}
	held.used = now
	held.bucket.SetLimit(now, portion)
	return held.bucket
}

// waitFor returns how long a level takes to reach wanted, or the burst if that is less.
func waitFor(portion bucket.Limit, level, wanted int64) time.Duration {
	missing := min(wanted, portion.BurstMilli) - level
	if missing <= 0 {
		return 0
	}
	if portion.MilliPerSecond <= 0 {
		return math.MaxInt64
	}
	seconds := float64(missing) / float64(portion.MilliPerSecond)
	if seconds > float64(math.MaxInt64/int64(time.Second)) {
		return math.MaxInt64
	}
	return time.Duration(seconds*float64(time.Second)) + 1
}

// TokensAfter returns the whole tokens in a share that holds tokens now, after d
// without a charge.
func TokensAfter(portion bucket.Limit, tokens uint64, d time.Duration) uint64 {
	gained := bucket.Filled(portion, d)
	level := min(int64(min(tokens, math.MaxInt64/milli))*milli, portion.BurstMilli)
	return uint64(min(level+gained, portion.BurstMilli) / milli)
}
