package escrow

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Order of requests at an exhausted bucket.
//
// Load pattern: an organisation sends several times its rate for some seconds, in urgent and
// routine requests, and each refused caller comes back once, at the time that it was told.
//
// Without it: whoever asks first after a refill gets the tokens. Callers that wait longer ask more
// often, so that routine requests are served and urgent ones refused; and each caller is told the
// time until there are tokens if nobody else takes any, which is a constant small time while many
// ask (TestHotOrganisation).
//
// A request that cannot be granted gets a reservation: a time from which the tokens are there for
// it, behind all earlier reservations. Later requests are granted only what the reservations leave.
// A reservation is a claim on tokens that the bucket has yet to receive. It adds none: every grant
// still needs a level that covers it.

const (
	// priorityClasses is the number of priorities that are told apart; lower ones count as the lowest.
	priorityClasses = 4
	// demandWindow is the time constant over which demand is averaged.
	demandWindow = 2 * time.Second
	// urgentHorizon is the time for whose more urgent demand a less urgent request leaves tokens,
	// and urgentBurstRatio bounds these tokens as a fraction of the burst: with the whole burst kept,
	// a less urgent request would be granted from a full bucket only.
	urgentHorizon    = time.Second
	urgentBurstRatio = 0.5
	// reservableRatio is the fraction of the inflow that is reserved. The rest lets reservations hold
	// their times although credit arrives unevenly, and serves requests that cannot be reserved for:
	// those whose callers wait for a short time only and those of earlier versions.
	reservableRatio = 0.8
	// laterRatio is the fraction of the inflow that is reserved for callers that come back later than
	// soon. Most of them get late answers by then, and with a larger fraction they take the
	// tokens of new requests, whose answers would be in time (docs/design/quota-order.md).
	laterRatio = 0.25
	soon       = 200 * time.Millisecond
	// smallRatio is the fraction of the burst up to which a request is small. Small requests keep nothing for others while
	// they take less than smallShare of the rate: a hundred of them need what one prompt needs, and to refuse them
	// for an urgent prompt costs more callers their answers than it serves (TestSmallRequestsDoNotWaitForLargeOnes).
	smallRatio = 0.005
	smallShare = 0.15
	// leastInflowRatio is the fraction of the rate from which an expected time is calculated if more
	// urgent demand takes the whole inflow. Such a time is never reserved.
	leastInflowRatio = 0.05
	// reservableShare is the share of the rate from which tokens are reserved. A home that receives
	// less has just become one or is cut off.
	reservableShare = 0.1
	// returnTimeRatio is the largest fraction of their remaining time after which callers come back.
	// returnMargin allows for the time until they know when.
	returnTimeRatio = 1.0 / 3
	returnMargin    = 10 * time.Millisecond
	// earlyTolerance is how much earlier than told a caller still counts as on time: times are
	// rounded to milliseconds, and clocks differ in speed.
	earlyTolerance = 5 * time.Millisecond
	// reservationGrace is how long after its time a reservation is kept.
	reservationGrace = 500 * time.Millisecond
	// sameCallerTolerance distinguishes a repetition that comes early from another request with the
	// same key: the former has the same deadline, up to the time that messages take.
	sameCallerTolerance = 20 * time.Millisecond
	// maxBucketReservations and maxReservations bound the reservations of a bucket and of all buckets
	// of a home, which take 56 bytes each. At 800,000 tokens per second and 14,000 per
	// request, 213 are made within the time for which callers wait that have 14 s left.
	maxBucketReservations = 512
	maxReservations       = 8192
)

// Request is a request for tokens that takes part in the order.
type Request struct {
	Tokens int64
	// Priority 0 is the highest.
	Priority int
	// Left is how long the caller still waits. It comes back after at most a third of that.
	Left time.Duration
	// RepeatKey is shared by a request and its repetitions. Nothing is reserved for 0.
	RepeatKey uint64
}

// reservation is a claim on tokens from a time on.
type reservation struct {
	key uint64
	// tokens are taken by the grant, enough is the level that it needs. They differ for requests
	// larger than the burst.
	tokens, enough float64
	priority       int
	made, due      time.Duration
	// deadline is when the caller stops waiting.
	deadline time.Duration
}

func (r *reservation) expired(now time.Duration) bool { return now > r.due+reservationGrace }

// queue holds the reservations of a bucket, by time, and the demand on it.
type queue struct {
	reservations []reservation
	// demand is the moving average, in tokens per second, of what requests of each priority ask
	// for, without repetitions.
	demand [priorityClasses]float64
	// small is the same of the small requests that were granted.
	small     float64
	updatedAt time.Duration
	// later is the time of the last reservation of each priority that was made for later than soon.
	later [priorityClasses]time.Duration
}

// ReservationStats counts reservations since the start.
type ReservationStats struct {
	// Made counts new reservations, Used granted ones, and Expired those that were not used. Moved
	// counts the times that a caller came as told and the tokens were not there yet.
	Made, Used, Expired, Moved int64
	// Dropped counts reservations that ended with a change of the home or the limit.
	Dropped int64
	// Open is the number of current reservations.
	Open int
}

// ReservationStats returns the counts of all buckets.
func (h *Home) ReservationStats() ReservationStats { return h.stats }

// Queued describes a bucket with reservations.
type Queued struct {
	Organisation uint64
	Reservations int
	// Tokens is their total; Level is the bucket's level, Share the share of the rate that flows in.
	Tokens, Level, Share float64
	// Demand is in tokens per second, by priority.
	Demand [priorityClasses]float64
}

// Queued returns the buckets with reservations and drops what has expired.
func (h *Home) Queued(now time.Duration) []Queued {
	var out []Queued
	for org, b := range h.buckets {
		if b.queue == nil {
			continue
		}
		h.dropExpired(now, b)
		b.queue.decay(now)
		if n := len(b.queue.reservations); n > 0 {
			q := Queued{Organisation: org, Reservations: n, Level: b.level, Share: h.shards[ShardOf(org)].share(), Demand: b.queue.demand}
			for _, r := range b.queue.reservations {
				q.Tokens += r.tokens
			}
			out = append(out, q)
		} else if b.queue.idle() {
			b.queue = nil
		}
	}
	return out
}

// TakeInOrder removes tokens from an organisation's bucket, all or none, if more urgent requests and
// those with reservations leave them. If not, it reserves tokens for the request. Decision.Retry is
// then at most a third of the time that the caller has left; otherwise it is more than that.
func (h *Home) TakeInOrder(now time.Duration, org uint64, r Request) Decision {
	b, known := h.buckets[org]
	if !known {
		return Decision{Unknown: true, Retry: unknownRetryAfter}
	}
	if b.limit.Rate <= 0 {
		return Decision{Granted: true, Share: 1}
	}
	h.refill(now, ShardOf(org), 0)
	if b.queue == nil {
		b.queue = &queue{updatedAt: now}
	}
	h.dropExpired(now, b)
	b.queue.decay(now)
	r.Priority = min(max(r.Priority, 0), priorityClasses-1)
	d := h.decide(now, b, h.shards[ShardOf(org)].share(), r)
	if d.Granted {
		b.level -= float64(r.Tokens)
	}
	d.Level, d.Share = b.level, h.shards[ShardOf(org)].share()
	return d
}

// decide returns the decision on a request and updates the bucket's reservations.
func (h *Home) decide(now time.Duration, b *bucket, share float64, r Request) Decision {
	q := b.queue
	if b.grantSmall(share, r.Tokens) {
		return Decision{Granted: true}
	}
	item := reservation{key: r.RepeatKey, tokens: float64(r.Tokens), enough: b.enough(r.Tokens), priority: r.Priority, made: now, deadline: now + r.Left}
	found := q.find(now, &item)
	if found < 0 {
		q.demand[r.Priority] += item.tokens / demandWindow.Seconds()
	} else if held := q.reservations[found]; held.due <= now+earlyTolerance {
		if b.level >= held.enough {
			h.remove(b, found)
			h.stats.Used++
			return Decision{Granted: true}
		}
		// Less flowed in than expected. The request keeps its turn: others that are due by then were
		// promised their tokens from the same inflow.
		h.stats.Moved++
		wait := roundUp((held.enough - b.level) / (b.limit.Rate * max(share, minShare)))
		q.reservations[found].due = now + wait
		q.sort()
		return Decision{Retry: wait, Reserved: true}
	} else {
		// A repetition that comes early is granted what a new request would be granted, or keeps its
		// reservation.
		h.remove(b, found)
		if b.free(now, share, &item) {
			h.stats.Used++
			return Decision{Granted: true}
		}
		h.insert(b, held)
		return Decision{Retry: held.due - now, Reserved: true}
	}
	if b.free(now, share, &item) {
		return Decision{Granted: true}
	}
	most := time.Duration(returnTimeRatio*float64(r.Left)) - returnMargin
	wait, mayReserve := b.expectedWait(now, share, &item)
	if mayReserve && r.RepeatKey != 0 && wait <= most && len(q.reservations) < maxBucketReservations && h.stats.Open < maxReservations {
		item.due = now + wait
		if wait > soon {
			q.later[r.Priority] = item.due
		}
		h.insert(b, item)
		h.stats.Made++
		return Decision{Retry: wait, Reserved: true}
	}
	if r.RepeatKey != 0 {
		// A caller for whom nothing is reserved must not come back: it would be refused again.
		wait = max(wait, time.Duration(returnTimeRatio*float64(r.Left))+time.Millisecond)
	}
	return Decision{Retry: wait}
}

// enough returns the level from which a request is granted. A request larger than the whole burst is
// granted when the bucket is full, since it could never be granted otherwise. Full means the whole
// burst, not the bucket's share of it: otherwise each of many homes with a small share would grant
// such a request.
func (b *bucket) enough(tokens int64) float64 {
	return max(min(float64(tokens), fullThreshold*b.limit.Burst), 1)
}

// grantSmall reports whether a request is granted because it is small, and counts it.
func (b *bucket) grantSmall(share float64, tokens int64) bool {
	small := float64(tokens)
	if small > smallRatio*b.limit.Burst || b.level < b.enough(tokens) || b.queue.small > smallShare*b.limit.Rate*share {
		return false
	}
	b.queue.small += small / demandWindow.Seconds()
	return true
}

// kept returns the tokens that a request of a priority leaves for more urgent ones.
func (b *bucket) kept(share float64, priority int) float64 {
	return min(b.queue.moreUrgent(priority)*urgentHorizon.Seconds(), urgentBurstRatio*b.limit.Burst*share)
}

// short reports whether requests should ask for tokens that are otherwise charged afterwards.
func (b *bucket) short(share float64) bool {
	if b.level <= 0 {
		return true
	}
	return b.queue != nil && (len(b.queue.reservations) > 0 || b.level <= b.kept(share, priorityClasses-1))
}

// free reports whether a new request can be granted so that all reservations still hold.
func (b *bucket) free(now time.Duration, share float64, item *reservation) bool {
	if b.level < item.enough {
		return false
	}
	if len(b.queue.reservations) == 0 && b.level >= fullThreshold*b.limit.Burst {
		return true
	}
	kept := b.kept(share, item.priority)
	if b.level < item.enough+kept {
		return false
	}
	inflow := reservableRatio * b.limit.Rate * share
	before := 0.0
	for _, r := range b.queue.reservations {
		if b.level+inflow*max(r.due-now, 0).Seconds()-before-r.enough < item.tokens+kept {
			return false
		}
		before += r.tokens
	}
	return true
}

// expectedWait returns the time until there are tokens for a new request, behind the reservations,
// and whether they can be reserved.
func (b *bucket) expectedWait(now time.Duration, share float64, item *reservation) (wait time.Duration, mayReserve bool) {
	inflow := b.limit.Rate*share - b.queue.moreUrgent(item.priority)
	least := leastInflowRatio * b.limit.Rate
	mayReserve = inflow >= least && share >= reservableShare && item.enough <= b.limit.Burst*share
	inflow = max(inflow, least)
	wait = b.gap(now, share, inflow, item, 0)
	if wait > soon {
		turn := max(b.queue.later[item.priority]-now, 0) + roundUp(item.tokens/(laterRatio*inflow))
		wait = b.gap(now, share, inflow, item, max(turn, soon))
	}
	return wait, mayReserve
}

// gap returns the first time, not before earliest, at which the inflow covers a new request and all
// reservations still hold.
func (b *bucket) gap(now time.Duration, share, inflow float64, item *reservation, earliest time.Duration) time.Duration {
	inflow *= reservableRatio
	reservations := b.queue.reservations
	// The request comes after the last reservation that would not hold if it came before.
	after, before := 0, 0.0
	for i, r := range reservations {
		if b.level+inflow*max(r.due-now, 0).Seconds()-before-r.enough < item.tokens {
			after = i + 1
		}
		before += r.tokens
	}
	before = 0
	for _, r := range reservations[:after] {
		before += r.tokens
		earliest = max(earliest, r.due-now)
	}
	need := item.enough + b.kept(share, item.priority)
	for {
		wait := max(earliest, roundUp((need+before-b.level)/inflow))
		if after == len(reservations) || reservations[after].due-now > wait {
			return wait
		}
		before += reservations[after].tokens
		after++
	}
}

// roundUp returns a number of seconds rounded up to whole milliseconds, at least one and at most an hour.
func roundUp(seconds float64) time.Duration {
	return time.Duration(math.Ceil(min(max(seconds, 0.001), 3600)*1000)) * time.Millisecond
}

// find returns the index of the reservation that a request is a repetition of, or -1.
func (q *queue) find(now time.Duration, item *reservation) int {
	if item.key == 0 {
		return -1
	}
	for i, r := range q.reservations {
		if r.key != item.key || r.tokens != item.tokens {
			continue
		}
		same := (r.deadline-item.deadline).Abs() <= sameCallerTolerance && now-r.made > sameCallerTolerance
		if r.due <= now+earlyTolerance || same {
			return i
		}
	}
	return -1
}

func (q *queue) sort() {
	slices.SortStableFunc(q.reservations, func(a, b reservation) int { return cmp.Compare(a.due, b.due) })
}

// decay advances the averages of the demand to now.
func (q *queue) decay(now time.Duration) {
	factor := math.Exp(-max(now-q.updatedAt, 0).Seconds() / demandWindow.Seconds())
	q.updatedAt = max(now, q.updatedAt)
	for p := range q.demand {
		q.demand[p] *= factor
	}
	q.small *= factor
}

// moreUrgent returns the demand of requests more urgent than a priority, in tokens per second.
func (q *queue) moreUrgent(priority int) float64 {
	sum := 0.0
	for _, d := range q.demand[:priority] {
		sum += d
	}
	return sum
}

// idle reports whether there has been almost no demand for some time.
func (q *queue) idle() bool { return q.moreUrgent(priorityClasses) < 1 }

func (h *Home) insert(b *bucket, r reservation) {
	q := b.queue
	at := len(q.reservations)
	for at > 0 && q.reservations[at-1].due > r.due {
		at--
	}
	q.reservations = slices.Insert(q.reservations, at, r)
	h.stats.Open++
}

func (h *Home) remove(b *bucket, i int) {
	b.queue.reservations = slices.Delete(b.queue.reservations, i, i+1)
	h.stats.Open--
}

// dropExpired removes reservations that were not used in time. Their tokens are free.
func (h *Home) dropExpired(now time.Duration, b *bucket) {
	before := len(b.queue.reservations)
	b.queue.reservations = slices.DeleteFunc(b.queue.reservations, func(r reservation) bool { return r.expired(now) })
	expired := before - len(b.queue.reservations)
	h.stats.Expired += int64(expired)
	h.stats.Open -= expired
}

// dropReservations removes all reservations of a bucket whose inflow or limit has changed.
func (h *Home) dropReservations(b *bucket) {
	if b.queue == nil {
		return
	}
	h.stats.Dropped += int64(len(b.queue.reservations))
	h.stats.Open -= len(b.queue.reservations)
	b.queue.reservations, b.queue.later = nil, [priorityClasses]time.Duration{}
}
