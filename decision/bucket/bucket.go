// Package bucket is a token bucket whose refunds are exact: after any mix of
// charges, refunds and limit changes its level is the most that can be spent
// without any window of length w holding more than rate*w + burst of true spend.
//
// Load pattern: requests are charged their upper bound (prompt and longest
// answer) when they are admitted and settled seconds later, when most turn out
// to have used a fraction of it. Without a refund an organisation would get that
// fraction of its rate. With the usual refund ("add what was not used, capped at
// the burst") it would get too much: a bucket of 100 is charged 100 at second 0,
// refills to 50, is charged 50 which are all used, and then gets the first 100
// back; 150 tokens are spent at once where the burst is 100. The refund brings
// back tokens that, had they never been taken, would have overflowed.
//
// The level of a token bucket is min over s <= t of burst + rate*(t-s) -
// spent(s, t]. A refund of r for a charge at time a lowers spent(s, t] for the
// windows with s < a only. So for each open charge the bucket keeps a mark: the
// minimum over the windows that begin at or after the charge, which is the level
// of a bucket that was full right after it. A refund sets the level to
// min(level + r, mark), and the older marks likewise. By induction over events
// the level is the minimum above over the true spend, an unsettled charge counting
// as its upper bound; the differential test compares it with that definition.
//
// Marks never decrease from an older to a newer charge; two that have become
// equal stay equal (a later refund raises the older at most to the newer), so
// they are merged. Above maxMarks neighbours are merged at the lower value, which
// can only make a refund smaller.
package bucket

import (
	"math"
	"math/bits"
	"time"
)

// maxMarks bounds memory and time per bucket. 256 marks are 4 KiB, and one charge
// walks them in about 0.3 microseconds.
const maxMarks = 256

// Limit is the rate and the burst of a bucket in thousandths of a token.
type Limit struct {
	MilliPerSecond int64
	BurstMilli     int64
}

// ChargeID names a charge of one bucket, for its refund. The zero value names none.
type ChargeID uint64

// mark is the level that the windows since a charge allow. It stands for every
// charge after the previous mark's last one, up to and including last.
type mark struct {
	last  ChargeID
	level int64
}

// Bucket is a token bucket. Time is a monotonic clock's reading; a reading below
// an earlier one counts as the earlier one. It is not safe for concurrent use.
type Bucket struct {
	limit Limit
	at    time.Duration
	// rest is what the last fill left below one thousandth of a token, in
	// thousandths times nanoseconds per second.
	rest  uint64
	level int64
	marks []mark
	last  ChargeID
}

// New returns a bucket that holds level thousandths at time now. A level above the
// burst is cut to it; a negative level is a debt.
func New(limit Limit, level int64, now time.Duration) *Bucket {
	return &Bucket{limit: limit, level: min(level, limit.BurstMilli), at: now}
}

// Charge takes exactly milli thousandths or nothing. The id names the charge in a
// refund.
func (b *Bucket) Charge(now time.Duration, milli int64) (ChargeID, bool) {
	b.fill(now)
	if milli <= 0 || milli > b.level {
		return 0, false
	}
	b.take(milli)
	b.last++
	b.marks = append(b.marks, mark{last: b.last, level: b.limit.BurstMilli})
	if len(b.marks) > maxMarks {
		b.halveMarks()
	}
	return b.last, true
}

// Overdraw takes milli thousandths even if the level becomes negative. It pays
// for a request that used more than it was charged.
func (b *Bucket) Overdraw(now time.Duration, milli int64) {
	b.fill(now)
	if milli > 0 {
		b.take(milli)
	}
}

// Refund gives back what a charge did not use. A charge must be refunded at most
// once and by no more than it took. An unknown charge is ignored.
func (b *Bucket) Refund(now time.Duration, id ChargeID, milli int64) {
	b.fill(now)
	if id == 0 || id > b.last || milli <= 0 {
		return
	}
	i := 0
	for i < len(b.marks) && b.marks[i].last < id {
		i++
	}
	bound := b.limit.BurstMilli
	if i < len(b.marks) {
		bound = b.marks[i].level
	}
	b.level = min(b.level+milli, bound)
	for j := range b.marks[:i] {
		b.marks[j].level = min(b.marks[j].level+milli, bound)
	}
	b.mergeEqual()
}

// SetLimit changes rate and burst. What is in the bucket stays, cut to the new
// burst: a change creates no tokens.
func (b *Bucket) SetLimit(now time.Duration, limit Limit) {
	if limit == b.limit {
		return
	}
	b.fill(now)
	b.limit = limit
	b.rest = 0
	b.level = min(b.level, limit.BurstMilli)
	for i := range b.marks {
		b.marks[i].level = min(b.marks[i].level, limit.BurstMilli)
	}
	b.mergeEqual()
}

// Level returns the thousandths that can be spent at time now.
func (b *Bucket) Level(now time.Duration) int64 {
	b.fill(now)
	return b.level
}

// Full reports whether the bucket holds its whole burst at time now.
func (b *Bucket) Full(now time.Duration) bool {
	return b.Level(now) >= b.limit.BurstMilli
}

// Filled returns what a bucket that was empty holds after it has filled for d.
func Filled(limit Limit, d time.Duration) int64 {
	gained, _ := gain(limit.MilliPerSecond, d, 0)
	return min(gained, limit.BurstMilli)
}

func (b *Bucket) take(milli int64) {
	b.level -= milli
	for i := range b.marks {
		b.marks[i].level -= milli
	}
}

func (b *Bucket) fill(now time.Duration) {
	if now <= b.at {
		return
	}
	var gained int64
	gained, b.rest = gain(b.limit.MilliPerSecond, now-b.at, b.rest)
	b.at = now
	b.level = addCapped(b.level, gained, b.limit.BurstMilli)
	for i := range b.marks {
		b.marks[i].level = addCapped(b.marks[i].level, gained, b.limit.BurstMilli)
	}
	b.mergeEqual()
}

// mergeEqual joins neighbouring marks of one level.
func (b *Bucket) mergeEqual() {
	kept := b.marks[:0]
	for _, m := range b.marks {
		if n := len(kept); n > 0 && kept[n-1].level == m.level {
			kept[n-1].last = m.last
			continue
		}
		kept = append(kept, m)
	}
	b.marks = kept
}

// halveMarks merges neighbours in pairs at the lower level.
func (b *Bucket) halveMarks() {
	kept := b.marks[:0]
	for i := 0; i < len(b.marks); i += 2 {
		m := b.marks[i]
		if i+1 < len(b.marks) {
			m.last = b.marks[i+1].last
		}
		kept = append(kept, m)
	}
	b.marks = kept
}

// gain returns the thousandths that a rate yields in d, and the remainder to
// carry to the next call.
func gain(milliPerSecond int64, d time.Duration, rest uint64) (int64, uint64) {
	if milliPerSecond <= 0 || d <= 0 {
		return 0, rest
	}
	hi, lo := bits.Mul64(uint64(milliPerSecond), uint64(d))
	lo, carry := bits.Add64(lo, rest, 0)
	hi += carry
	if hi >= uint64(time.Second)/2 {
		return math.MaxInt64, 0
	}
	quotient, remainder := bits.Div64(hi, lo, uint64(time.Second))
	return int64(quotient), remainder
}

// addCapped adds without overflow up to a cap.
func addCapped(level, gained, limit int64) int64 {
	if gained >= limit-level {
		return limit
	}
	return level + gained
}
