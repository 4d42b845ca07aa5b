package escrow

import (
	"math"
	"time"
)

// Limit is an organisation's quota. A Rate of 0 means no limit.
type Limit struct {
	// Rate is in tokens per second, Burst in tokens.
	Rate, Burst float64
}

const (
	// inflowWindow is the time constant over which a shard's share of the rate is averaged.
	inflowWindow = 2 * time.Second
	// decayTime is the time constant with which a bucket loses tokens above its share of the
	// burst: twice the time that the share takes to follow a change of homes.
	decayTime = 2 * inflowWindow
	// inflowTolerance allows for credit that arrives unevenly. Without it, a bucket that
	// receives the whole rate would lose some of its burst with each lost report.
	inflowTolerance = 1.15
	// maxDebtSeconds bounds how far tokens spent without asking can take a bucket below zero,
	// in seconds of the rate. With a larger debt, callers would be refused for longer than they
	// wait.
	maxDebtSeconds = 4.0
)

// Home holds the token buckets that credit from all instances flows into. It is not safe for
// concurrent use.
type Home struct {
	shards  [Shards]shardInflow
	buckets map[uint64]*bucket
	// received is the total credit that each run has transferred, and charges the total tokens
	// that it has spent without asking.
	received map[Run]*[Shards]time.Duration
	charges  map[Run]map[uint64]int64
	stats    ReservationStats
}

// shardInflow tracks the credit that flows into the buckets of a shard.
type shardInflow struct {
	updated time.Duration
	// allowance is how much credit the shard may still accept.
	allowance time.Duration
	// recent is the moving average of the share of the rate that flows in.
	recent float64
}

type bucket struct {
	limit Limit
	level float64
	// queue is set if requests have asked in order lately.
	queue *queue
}

// NewHome returns a home without buckets.
func NewHome(now time.Duration) *Home {
	h := &Home{
		buckets:  make(map[uint64]*bucket),
		received: make(map[Run]*[Shards]time.Duration),
		charges:  make(map[Run]map[uint64]int64),
	}
	for s := range h.shards {
		h.shards[s].updated = now
	}
	return h
}

// SetLimits replaces the limits of all organisations, keyed by the hashes of their names. A
// bucket keeps its level, capped at the new burst.
func (h *Home) SetLimits(limits map[uint64]Limit) {
	for org := range h.buckets {
		if _, kept := limits[org]; !kept {
			h.DropLimit(org)
		}
	}
	for org, limit := range limits {
		h.SetLimit(org, limit)
	}
}

// SetLimit sets the limit of one bucket, which is empty at first.
func (h *Home) SetLimit(key uint64, limit Limit) {
	b, known := h.buckets[key]
	if !known {
		b = &bucket{}
		h.buckets[key] = b
	}
	if b.limit != limit {
		h.dropReservations(b)
	}
	b.limit = limit
	b.level = min(b.level, limit.Burst)
}

// DropLimit removes a bucket.
func (h *Home) DropLimit(key uint64) {
	if b, known := h.buckets[key]; known {
		h.dropReservations(b)
		delete(h.buckets, key)
	}
}

// Receive adds the credit that a run has transferred, given as cumulative totals by shard.
func (h *Home) Receive(now time.Duration, from Run, totals map[int]time.Duration) {
	received, known := h.received[from]
	if !known {
		received = new([Shards]time.Duration)
		h.received[from] = received
	}
	for s, total := range totals {
		if s < 0 || s >= Shards || total <= received[s] {
			continue
		}
		credit := total - received[s]
		received[s] = total
		h.refill(now, s, min(credit, MaxCredit))
	}
}

// refill advances a shard to now and adds credit to its buckets.
func (h *Home) refill(now time.Duration, shard int, credit time.Duration) {
	in := &h.shards[shard]
	elapsed := max(now-in.updated, 0)
	in.updated = now
	in.allowance = min(in.allowance+elapsed, MaxCredit)
	credit = min(credit, in.allowance)
	in.allowance -= credit
	in.recent = in.recent*math.Exp(-elapsed.Seconds()/inflowWindow.Seconds()) + credit.Seconds()/inflowWindow.Seconds()
	for org, b := range h.buckets {
		if ShardOf(org) == shard {
			b.refill(credit.Seconds(), in.share(), elapsed)
		}
	}
}

// share is the share of the rate that flows in, 0 to 1.
func (in *shardInflow) share() float64 { return min(in.recent*inflowTolerance, 1) }

// refill adds tokens for some seconds of the rate, up to the given share of the burst. Tokens
// above that, left after senders changed to another home or handed over by one, decay
// exponentially.
func (b *bucket) refill(seconds, share float64, elapsed time.Duration) {
	most := b.limit.Burst * share
	if excess := b.level - most; excess > 0 {
		b.level -= excess * (1 - math.Exp(-elapsed.Seconds()/decayTime.Seconds()))
		return
	}
	b.level = min(b.level+seconds*b.limit.Rate, most)
}

// HandOver empties the buckets of a shard and returns their levels. A debt is returned as a
// negative level. Reservations end, since the next home receives the tokens that they wait for.
func (h *Home) HandOver(shard int) map[uint64]int64 {
	out := make(map[uint64]int64)
	for org, b := range h.buckets {
		if ShardOf(org) == shard {
			h.dropReservations(b)
		}
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
	// Unknown reports that the organisation has no bucket here.
	Unknown bool
	// Retry is the time until there are enough tokens. Take states the time if nobody else takes
	// any: its callers are not queued behind one another. TakeInOrder counts the reservations
	// ahead.
	Retry time.Duration
	// Reserved reports that there will be tokens for the request after Retry.
	Reserved bool
	// Level is the bucket's level after the request, Share the share of the rate that flows in.
	Level, Share float64
}

// Take removes tokens from an organisation's bucket, all or none.
func (h *Home) Take(now time.Duration, org uint64, tokens int64) Decision {
	b, known := h.buckets[org]
	if !known {
		return Decision{Unknown: true, Retry: unknownRetryAfter}
	}
	if b.limit.Rate <= 0 {
		return Decision{Granted: true, Share: 1}
	}
	h.refill(now, ShardOf(org), 0)
	share := h.shards[ShardOf(org)].share()
	need := float64(tokens)
	enough := b.enough(tokens)
	if b.level < enough {
		wait := (enough - b.level) / (b.limit.Rate * max(share, minShare))
		return Decision{Retry: time.Duration(wait * float64(time.Second)), Level: b.level, Share: share}
	}
	b.level -= need
	return Decision{Granted: true, Level: b.level, Share: share}
}

const (
	// unknownRetryAfter is the retry time for an organisation that is not known yet.
	unknownRetryAfter = 300 * time.Millisecond
	// fullThreshold is the fraction of the burst from which a bucket counts as full.
	fullThreshold = 0.95
	// minShare bounds the retry time when little credit flows in. After that time another home
	// has taken over or credit flows in again. Buckets with a smaller share do not count as in
	// use.
	minShare = 0.25
)

// Charge applies the total that a run has spent of an organisation's tokens without asking. The
// level of the bucket may become negative.
func (h *Home) Charge(from Run, org uint64, total int64) {
	b, known := h.buckets[org]
	charges, seen := h.charges[from]
	if !seen {
		charges = make(map[uint64]int64)
		h.charges[from] = charges
	}
	spent := total - charges[org]
	charges[org] = total
	if known && b.limit.Rate > 0 {
		b.level = min(max(b.level-float64(spent), -maxDebtSeconds*b.limit.Rate), b.limit.Burst)
	}
}

// Short reports whether an organisation's bucket is in use and empty, reserved, or needed by urgent requests.
func (h *Home) Short(org uint64) bool {
	b, known := h.buckets[org]
	if !known || b.limit.Rate <= 0 {
		return false
	}
	share := h.shards[ShardOf(org)].share()
	return share >= minShare && b.short(share)
}

// Exhausted returns the organisations whose buckets are short; see Short.
func (h *Home) Exhausted() []uint64 {
	var out []uint64
	for org := range h.buckets {
		if h.Short(org) {
			out = append(out, org)
		}
	}
	return out
}

// RunCount is the number of runs for which totals are kept.
func (h *Home) RunCount() int { return max(len(h.received), len(h.charges)) }

// Forget drops the totals of runs that have ended. A run that is forgotten while it still
// reports is charged its total again, up to the bound on debts.
func (h *Home) Forget(ended func(Run) bool) {
	for run := range h.received {
		if ended(run) {
			delete(h.received, run)
		}
	}
	for run := range h.charges {
		if ended(run) {
			delete(h.charges, run)
		}
	}
}
