package waiting

import (
	"cmp"
	"slices"
	"time"
)

// Load pattern: bursts as in waiting.go, whose refused callers return once. A repetition is late, since
// the objective counts from the caller's first attempt; its answer is worth a fifth to a twelfth.
//
// Without it: requests wait 600 ms in vain, and repetitions that look new take the places of requests
// that would be on time (TestBurstWithReturns measures it).
//
// Rules with Config.LateAnswers:
//   - Requests that can meet their objective, counted from the first attempt, come first. The others
//     are placed only if none of the first is left waiting, and none was lately.
//   - A request is refused as soon as the items ahead of it, the arrivals that come before it and the
//     placement rate of the last second show that it will not be placed, neither on time nor late while
//     its caller waits. All rates are assumed to be better by two standard deviations. An overload may end
//     at any time, so that all capacity may become spare, unless it has lasted overloadRatio times the
//     remaining wait. Without enough placements in the last second no request is refused early.
//   - A refused caller is told when spare capacity is expected behind the late requests and the
//     earlier bookings, and this capacity is booked if the caller can return by then. A repetition that
//     arrives as told comes before others of its priority.

// overloadRatio is the ratio of the time that an overload has lasted to the remaining wait from which it
// is expected to outlast that wait. For durations without a known scale, one wait in eleven would then
// have seen the end of the overload.
const overloadRatio = 10

// Classes of requests, in the order in which they are placed.
const (
	classOnTime = iota
	classLate
)

// Counts counts what became of requests with LateAnswers, since the queue was created.
type Counts struct {
	// Placed and PlacedLate are requests placed in time for their objective, and later.
	Placed, PlacedLate int
	// Refused are requests refused at the end of their wait, RefusedEarly those refused before it.
	Refused, RefusedEarly int
	// Booked are retry times with reserved capacity, Returned the callers that returned as told.
	Booked, Returned int
}

// Counts returns the counts since the queue was created.
func (q *Queue) Counts() Counts { return q.counts }

// Overload describes a queue's load.
type Overload struct {
	// PlacedPerSecond and ArrivingPerSecond are in tokens; 0 if unknown.
	PlacedPerSecond, ArrivingPerSecond float64
	// Bookings is the number of callers with a booked time.
	Bookings int
}

// Overloaded reports whether requests that could be on time were left waiting lately.
func (q *Queue) Overloaded(now time.Time) bool { return q.rates.overloaded(now) }

// Overload returns the learned rates and the number of bookings.
func (q *Queue) Overload(now time.Time) Overload {
	e := q.rates.estimate(now)
	return Overload{e.placing, e.arriving, len(q.bookings.list)}
}

// onTimeEnd returns the time by which a request must be placed to meet its objective.
func (c Config) onTimeEnd(i *Item) time.Time {
	if i.firstArrived.Equal(i.Arrived) {
		return c.waitEnd(i)
	}
	return minTime(i.firstArrived.Add(i.Objective-c.Lead), i.Deadline)
}

// patienceEnd returns the time by which a request must be placed while its caller waits.
func (c Config) patienceEnd(i *Item) time.Time {
	if i.Patience <= 0 {
		return i.Deadline
	}
	end := minTime(i.Arrived.Add(i.Patience-c.Lead), i.Deadline)
	if onTime := c.onTimeEnd(i); end.Before(onTime) {
		return onTime
	}
	return end
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// forecast is the state of one dispatch: the rates, and the tokens that are placed before the next item.
type forecast struct {
	estimate
	now time.Time
	// spare is set if late requests may be placed: lately, places became free faster than requests that can be on time
	// arrived, so that none of these was left waiting. The rates of the last second would give late requests places at
	// the end of a burst that the next requests on time need.
	spare bool
	// onTime are the tokens waiting ahead that are expected to be placed on time, late the others by
	// priority.
	onTime float64
	late   [priorityLevels]float64
	// left is set once a request of classOnTime is left waiting, failed once a request did not fit.
	left, failed, blocked bool
}

// lateAhead returns the late tokens waiting with the same or a lower priority number.
func (f *forecast) lateAhead(level int) float64 {
	sum := 0.0
	for _, tokens := range f.late[:level+1] {
		sum += tokens
	}
	return sum
}

// hopeless reports whether a request that was not placed will not be placed. Otherwise it is ahead of
// those that follow.
func (f *forecast) hopeless(cfg Config, i *Item) bool {
	level := levelOf(i.Priority)
	remaining := cfg.onTimeEnd(i).Sub(f.now).Seconds()
	if !i.lateNow && (!f.known || f.onTime <= (f.placingMost-f.arrivingBefore[level])*remaining) {
		f.onTime += tokensOf(i)
		return false
	}
	if f.known && (f.left || f.failed) && !f.canBeLate(cfg.patienceEnd(i).Sub(f.now), level) {
		return true
	}
	f.late[level] += tokensOf(i)
	return false
}

// canBeLate reports whether spare capacity for a request may come within its wait.
//
// The whole placement rate counts, and not the spare one: many of those ahead are refused before they are placed.
func (f *forecast) canBeLate(wait time.Duration, level int) bool {
	if f.overloaded && f.arriving >= f.placingMost && f.overload >= overloadRatio*wait {
		return false
	}
	return f.lateAhead(level)/f.placingMost <= wait.Seconds()
}

// dispatchWithLate is Dispatch with LateAnswers.
func (q *Queue) dispatchWithLate(now time.Time, claim func(i *Item) bool, refuse func(i *Item, retry time.Duration)) {
	q.rates.advance(now)
	q.bookings.expire(now)
	q.register(now)
	f := &forecast{estimate: q.rates.estimate(now), now: now, spare: q.rates.leftWaiting(now) > q.cfg.SpareGap}
	q.sortWithLate(f)
	kept := q.items[:0]
	lateSeen := false
	for _, i := range q.items {
		if i.class == classLate && !lateSeen {
			lateSeen = true
			// Late requests of any size wait for those on time; only among themselves does the
			// limit on overtaking start anew.
			f.blocked = false
		}
		ended := !now.Before(q.cfg.patienceEnd(i))
		if f.mayClaim(i, ended) {
			if claim(i) {
				q.recordPlaced(i)
				continue
			}
			f.failed = true
		}
		if early := !ended && f.hopeless(q.cfg, i); ended || early {
			q.recordRefused(early)
			refuse(i, q.book(f, i))
			continue
		}
		kept = append(kept, i)
		if i.class == classOnTime {
			f.left = true
		}
		if now.Sub(i.Arrived) > q.cfg.MaxOvertaken && (i.class == classLate || !i.lateNow) {
			f.blocked = true
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
	q.rates.recordState(now, f.failed && len(kept) > 0, f.left)
}

// mayClaim reports whether a place may be given to the request. One whose wait ends gets a free place
// also if spare capacity is not expected, since the alternative is a refusal.
func (f *forecast) mayClaim(i *Item, ended bool) bool {
	if f.blocked {
		return false
	}
	return i.class == classOnTime || !f.left && (f.spare || ended)
}

// register records the arrivals since the last dispatch and recognises repetitions.
func (q *Queue) register(now time.Time) {
	for _, i := range q.items {
		if i.registered {
			continue
		}
		i.registered, i.firstArrived = true, i.Arrived
		if b, ok := q.bookings.take(i.RepeatKey, i.Arrived); ok {
			i.booked, i.firstArrived = true, b.firstArrived
			q.counts.Returned++
		}
		if now.Before(q.cfg.onTimeEnd(i)) {
			q.rates.recordArrival(now, i)
		}
	}
}

// sortWithLate brings the requests into the order in which they are placed.
func (q *Queue) sortWithLate(f *forecast) {
	for _, i := range q.items {
		i.share = q.served[i.Organisation]
		i.lateNow, i.class = !f.now.Before(q.cfg.onTimeEnd(i)), classOnTime
		if i.lateNow && !(i.booked && f.honoursBookings()) {
			i.class = classLate
		}
	}
	slices.SortStableFunc(q.items, func(a, b *Item) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.Priority, b.Priority),
			compareBool(b.booked, a.booked),
			cmp.Compare(a.share, b.share),
			a.Arrived.Compare(b.Arrived),
		)
	})
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (q *Queue) recordPlaced(i *Item) {
	q.served[i.Organisation] += float64(i.Tokens)
	q.rates.recordPlacement(i)
	if i.lateNow {
		q.counts.PlacedLate++
	} else {
		q.counts.Placed++
	}
}

func (q *Queue) recordRefused(early bool) {
	if early {
		q.counts.RefusedEarly++
	} else {
		q.counts.Refused++
	}
}

// book returns the time after which the caller of a refused request is to retry, and reserves capacity
// for that time if the caller can return by then.
func (q *Queue) book(f *forecast, i *Item) time.Duration {
	level := levelOf(i.Priority)
	share := time.Duration(returnShare * float64(i.Deadline.Sub(f.now)))
	limit := max(share-returnMargin, 0)
	var retry time.Duration
	if f.known {
		spare := max(f.placing-f.calm, f.placing*minSpareShare)
		if f.overloaded {
			// An overload is expected to last as long again as it has lasted.
			retry = min(max(f.overload, minOverload), maxOverload)
		}
		retry += time.Duration((f.lateAhead(level) + q.bookings.tokens(level)) / spare * float64(time.Second))
	} else {
		earliest := min(q.cfg.MinRetry, limit/2)
		retry = earliest + spread(min(q.cfg.RetryJitter, limit-earliest), i)
	}
	retry = max(retry, minReturn)
	if retry > limit {
		// The capacity until then is booked. The callers that return all the same are spread.
		return max(retry, share+returnMargin) + spread(q.cfg.RetryJitter, i)
	}
	// A caller returns once, so that a repetition needs no booking.
	if i.RepeatKey != 0 && !i.booked && q.bookings.add(booking{
		key: i.RepeatKey, at: f.now.Add(retry), firstArrived: i.firstArrived, tokens: tokensOf(i), level: level,
	}) {
		q.counts.Booked++
	}
	return retry
}
