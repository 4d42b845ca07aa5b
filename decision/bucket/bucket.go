// Package bucket implements a token bucket with exact refunds: after any sequence of
// charges, refunds and limit changes its level is the most that can be spent without
// the true spend in any window of length w exceeding rate*w + burst.
//
// Load pattern: a request is charged its upper bound (prompt and longest answer) when
// it is admitted and settled seconds later, when it usually turns out to have used a
// fraction of it. Without a refund an organisation would get only that fraction of
// its rate. With the usual refund ("add what was not used, capped at the burst") it
// would get too much: a bucket of 100 is charged 100 at second 0, refills to 50, is
// charged 50 that are all used, and then receives the first 100 back; 150 tokens are
// spent at once although the burst is 100. The refund restores tokens that would have
// overflowed the bucket had they never been taken.
//
// The level of a token bucket is the minimum over s <= t of burst + rate*(t-s) -
// spent(s, t]. A refund of r for a charge at time a lowers spent(s, t] only for the
// windows with s < a. So for each open charge the bucket keeps a refund cap: the
// minimum over the windows that begin at or after the charge, which is the level of
// a bucket that was full right after it. A refund sets the level to
// min(level + r, cap), and the older caps likewise. By induction over events the
// level equals the minimum above over the true spend, where an unsettled charge
// counts as its upper bound; a differential test compares it with that definition.
//
// Caps never decrease from an older to a newer charge. Two that have become equal
// stay equal (a later refund raises the older at most to the newer), so they are
// merged. Beyond maxRefundCaps, neighbours are merged at the lower value, which can
// only make a refund smaller.
package bucket

import (
	"math"
	"math/bits"
	"time"
)

// maxRefundCaps bounds the memory and time per bucket. 256 caps take 4 KiB, and one
// charge updates them in about 0.3 microseconds.
const maxRefundCaps = 256

// Limit is the rate and burst of a bucket in thousandths of a token.
type Limit struct {
	MilliPerSecond int64
	BurstMilli     int64
}

// ChargeID identifies a charge of one bucket for its refund. Zero identifies none.
type ChargeID uint64

// refundCap is the level allowed by the windows that begin at or after a charge. It
// applies to every charge after the last one of the preceding cap, up to and including
// last.
type refundCap struct {
	last  ChargeID
	level int64
}

// Bucket is a token bucket. Times are readings of a monotonic clock; a reading below
// an earlier one counts as the earlier one. It is not safe for concurrent use.
type Bucket struct {
	limit   Limit
	updated time.Duration
	// remainder is the part of the last fill below one thousandth of a token, in
	// thousandths times nanoseconds per second.
	remainder uint64
	level     int64
	caps      []refundCap
	last      ChargeID
}

// New returns a bucket that holds level thousandths at time now. The level is capped
// at the burst; a negative level is a debt.
func New(limit Limit, level int64, now time.Duration) *Bucket {
	return &Bucket{limit: limit, level: min(level, limit.BurstMilli), updated: now}
}

// Charge takes exactly milli thousandths or nothing. The id identifies the charge in
// a refund.
func (b *Bucket) Charge(now time.Duration, milli int64) (ChargeID, bool) {
	b.fill(now)
	if milli <= 0 || milli > b.level {
		return 0, false
	}
	b.deduct(milli)
	b.last++
	b.caps = append(b.caps, refundCap{last: b.last, level: b.limit.BurstMilli})
	if len(b.caps) > maxRefundCaps {
		b.halveCaps()
	}
	return b.last, true
}

// Overdraw takes milli thousandths even if the level becomes negative. It accounts
// for a request that used more than it was charged.
func (b *Bucket) Overdraw(now time.Duration, milli int64) {
	b.fill(now)
	if milli > 0 {
		b.deduct(milli)
	}
}

// Refund returns the unused part of a charge. A charge must be refunded at most once
// and by no more than it took. Unknown charges are ignored.
func (b *Bucket) Refund(now time.Duration, id ChargeID, milli int64) {
	b.fill(now)
	if id == 0 || id > b.last || milli <= 0 {
		return
	}
	i := 0
	for i < len(b.caps) && b.caps[i].last < id {
		i++
	}
	bound := b.limit.BurstMilli
	if i < len(b.caps) {
		bound = b.caps[i].level
	}
	b.level = min(b.level+milli, bound)
	for j := range b.caps[:i] {
		b.caps[j].level = min(b.caps[j].level+milli, bound)
	}
	b.mergeEqualCaps()
}

// SetLimit changes the rate and burst. The level is kept, capped at the new burst, so
// that a change creates no tokens.
func (b *Bucket) SetLimit(now time.Duration, limit Limit) {
	if limit == b.limit {
		return
	}
	b.fill(now)
	b.limit = limit
	b.remainder = 0
	b.level = min(b.level, limit.BurstMilli)
	for i := range b.caps {
		b.caps[i].level = min(b.caps[i].level, limit.BurstMilli)
	}
	b.mergeEqualCaps()
}

// Level returns the thousandths of a token that can be spent at time now.
func (b *Bucket) Level(now time.Duration) int64 {
	b.fill(now)
	return b.level
}

// Full reports whether the bucket holds its whole burst at time now.
func (b *Bucket) Full(now time.Duration) bool {
	return b.Level(now) >= b.limit.BurstMilli
}

// Filled returns the level of an initially empty bucket after it has filled for d.
func Filled(limit Limit, d time.Duration) int64 {
	gained, _ := gain(limit.MilliPerSecond, d, 0)
	return min(gained, limit.BurstMilli)
}

func (b *Bucket) deduct(milli int64) {
	b.level -= milli
	for i := range b.caps {
		b.caps[i].level -= milli
	}
}

func (b *Bucket) fill(now time.Duration) {
	if now <= b.updated {
		return
	}
	var gained int64
	gained, b.remainder = gain(b.limit.MilliPerSecond, now-b.updated, b.remainder)
	b.updated = now
	b.level = addCapped(b.level, gained, b.limit.BurstMilli)
	for i := range b.caps {
		b.caps[i].level = addCapped(b.caps[i].level, gained, b.limit.BurstMilli)
	}
	b.mergeEqualCaps()
}

// mergeEqualCaps merges neighbouring caps of equal level.
func (b *Bucket) mergeEqualCaps() {
	kept := b.caps[:0]
	for _, c := range b.caps {
		if n := len(kept); n > 0 && kept[n-1].level == c.level {
			kept[n-1].last = c.last
			continue
		}
		kept = append(kept, c)
	}
	b.caps = kept
}

// halveCaps merges neighbouring caps in pairs at the lower level, which is the older one.
func (b *Bucket) halveCaps() {
	kept := b.caps[:0]
	for i := 0; i < len(b.caps); i += 2 {
		c := b.caps[i]
		if i+1 < len(b.caps) {
			c.last = b.caps[i+1].last
		}
		kept = append(kept, c)
	}
	b.caps = kept
}

// gain returns the thousandths that a rate yields in d, and the remainder to carry
// over to the next call.
func gain(milliPerSecond int64, d time.Duration, carried uint64) (int64, uint64) {
	if milliPerSecond <= 0 || d <= 0 {
		return 0, carried
	}
	hi, lo := bits.Mul64(uint64(milliPerSecond), uint64(d))
	lo, carry := bits.Add64(lo, carried, 0)
	hi += carry
	if hi >= uint64(time.Second)/2 {
		return math.MaxInt64, 0
	}
	quotient, remainder := bits.Div64(hi, lo, uint64(time.Second))
	return int64(quotient), remainder
}

// addCapped adds without overflow, up to a maximum.
func addCapped(level, gained, maximum int64) int64 {
	if gained >= maximum-level {
		return maximum
	}
	return level + gained
}
