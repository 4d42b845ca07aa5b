package escrow

import (
	"math"
	"time"
)

// Limit is an organisation's quota. A Rate of 0 means no limit.
type Limit struct {
	// Rate in tokens a second, Burst in tokens.
	Rate, Burst float64
}

// Figures of buckets.
const (
	// partTime is over what time the part of the rate that flows in is taken.
	partTime = 2 * time.Second
	// fadeTime is over what time a bucket loses what is above the part of the burst that it
	// may hold: twice what the part takes to follow a change of homes.
	fadeTime = 2 * partTime
	// evenness allows for parts that arrive unevenly: a bucket that all give to would lose a
	// part of its burst with each lost report.
	evenness = 1.15
	// mostDebt bounds what a bucket falls below nothing by what is spent without asking, in
	// seconds of the rate. Callers would be refused for longer than they wait.
	mostDebt = 4.0
)

// Home holds the buckets of the organisations that others hand their parts to. It is not safe
// for concurrent use.
type Home struct {
	shards  [Shards]intake
	buckets map[uint64]*bucket
	// seen is what each run has handed on, and bills what it has spent here by itself.
	seen  map[Run]*[Shards]time.Duration
	bills map[Run]map[uint64]int64
}

// intake is what flows into the buckets of a shard.
type intake struct {
	at time.Duration
	// room is how much time the shard may still take in.
	room time.Duration
	// inflow is the part of the rate that flowed in lately.
	inflow float64
}

type bucket struct {
	limit Limit
	level float64
}

// NewHome returns a home without buckets.
func NewHome(now time.Duration) *Home {
	h := &Home{buckets: make(map[uint64]*bucket), seen: make(map[Run]*[Shards]time.Duration), bills: make(map[Run]map[uint64]int64)}
	for s := range h.shards {
		h.shards[s].at = now
	}
	return h
}

// SetLimits replaces the limits of all organisations, by the hashes of their names. What is
// left in a bucket stays, cut to the new burst.
func (h *Home) SetLimits(limits map[uint64]Limit) {
	for org := range h.buckets {
		if _, kept := limits[org]; !kept {
			delete(h.buckets, org)
		}
	}
	for org, limit := range limits {
		b, known := h.buckets[org]
		if !known {
			b = &bucket{}
			h.buckets[org] = b
		}
		b.limit = limit
		b.level = min(b.level, limit.Burst)
	}
}

// Receive takes in what a run has handed on in total.
func (h *Home) Receive(now time.Duration, from Run, totals map[int]time.Duration) {
	seen, known := h.seen[from]
	if !known {
		seen = new([Shards]time.Duration)
		h.seen[from] = seen
	}
	for s, total := range totals {
		if s < 0 || s >= Shards || total <= seen[s] {
			continue
		}
		given := total - seen[s]
		seen[s] = total
		h.flow(now, s, min(given, MaxCredit))
	}
}

// flow lets some time of the rates flow into a shard's buckets.
func (h *Home) flow(now time.Duration, shard int, given time.Duration) {
	in := &h.shards[shard]
	elapsed := max(now-in.at, 0)
	in.at = now
	in.room = min(in.room+elapsed, MaxCredit)
	given = min(given, in.room)
	in.room -= given
	in.inflow = in.inflow*math.Exp(-elapsed.Seconds()/partTime.Seconds()) + given.Seconds()/partTime.Seconds()
	for org, b := range h.buckets {
		if ShardOf(org) == shard {
			b.flow(given.Seconds(), in.part(), elapsed)
		}
	}
}

// part is the part of the rate that flows in, 0 to 1.
func (in *intake) part() float64 { return min(in.inflow*evenness, 1) }

// flow lets time of the rate flow in, up to the part of the burst that the part of the rate
// allows. What is above that, since others have turned away or it was handed over, fades.
func (b *bucket) flow(seconds, part float64, elapsed time.Duration) {
	most := b.limit.Burst * part
	if above := b.level - most; above > 0 {
		b.level -= above * (1 - math.Exp(-elapsed.Seconds()/fadeTime.Seconds()))
		return
	}
	b.level = min(b.level+seconds*b.limit.Rate, most)
}

// HandOver empties the buckets of a shard and returns what was in them. Debts go along.
func (h *Home) HandOver(shard int) map[uint64]int64 {
	out := make(map[uint64]int64)
	for org, b := range h.buckets {
		if tokens := int64(b.level); ShardOf(org) == shard && tokens != 0 && b.limit.Rate > 0 {
			b.level -= float64(tokens)
			out[org] = tokens
		}
	}
	return out
}

// Decision is the answer to a request for tokens.
type Decision struct {
	Granted bool
	// Unknown tells that the organisation is not known.
	Unknown bool
	// Retry is the time until there are enough tokens, if nobody else takes them. Callers who
	// are told to wait behind others come late, and an answer in time takes no more tokens
	// than a late one.
	Retry time.Duration
	// Level is what is left in the bucket, Part the part of the rate that flows in.
	Level, Part float64
}

// Take takes tokens out of an organisation's bucket, all or none.
func (h *Home) Take(now time.Duration, org uint64, tokens int64) Decision {
	b, known := h.buckets[org]
	if !known {
		return Decision{Unknown: true, Retry: unknownRetry}
	}
	if b.limit.Rate <= 0 {
		return Decision{Granted: true, Part: 1}
	}
	h.flow(now, ShardOf(org), 0)
	part := h.shards[ShardOf(org)].part()
	need := float64(tokens)
	// A request larger than the whole burst passes when the bucket is full, since it could
	// never pass otherwise. A bucket that only a part flows into is not full with that part of
	// the burst: each of many would let such a request pass.
	enough := max(min(need, fullEnough*b.limit.Burst), 1)
	if b.level < enough {
		wait := (enough - b.level) / (b.limit.Rate * max(part, leastPart))
		return Decision{Retry: time.Duration(wait * float64(time.Second)), Level: b.level, Part: part}
	}
	b.level -= need
	return Decision{Granted: true, Level: b.level, Part: part}
}

const (
	// unknownRetry is when to ask again for an organisation that is not known yet.
	unknownRetry = 300 * time.Millisecond
	// fullEnough is the level, as a part of the burst, from which a bucket counts as full.
	fullEnough = 0.95
	// leastPart bounds the time to come back where little flows in: that soon others are the
	// home, or the rate flows again.
	leastPart = 0.25
)

// Charge takes in the total of what a run has spent of an organisation without asking. A
// bucket may so fall below nothing.
func (h *Home) Charge(from Run, org uint64, total int64) {
	b, known := h.buckets[org]
	bills, seen := h.bills[from]
	if !seen {
		bills = make(map[uint64]int64)
		h.bills[from] = bills
	}
	spent := total - bills[org]
	bills[org] = total
	if known && b.limit.Rate > 0 {
		b.level = min(max(b.level-float64(spent), -mostDebt*b.limit.Rate), b.limit.Burst)
	}
}

// Exhausted lists organisations whose buckets here are the ones in use, and empty.
func (h *Home) Exhausted() []uint64 {
	var out []uint64
	for org, b := range h.buckets {
		if b.limit.Rate > 0 && b.level <= 0 && h.shards[ShardOf(org)].part() >= leastPart {
			out = append(out, org)
		}
	}
	return out
}

// RunCount is the number of runs of which something is known.
func (h *Home) RunCount() int { return max(len(h.seen), len(h.bills)) }

// Forget drops what is known of runs that have ended. One that has not would be charged its
// total again, up to the bound on debts.
func (h *Home) Forget(ended func(Run) bool) {
	for run := range h.seen {
		if ended(run) {
			delete(h.seen, run)
		}
	}
	for run := range h.bills {
		if ended(run) {
			delete(h.bills, run)
		}
	}
}
