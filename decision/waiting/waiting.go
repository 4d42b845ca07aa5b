// Package waiting implements the queue of requests that wait for an engine: which one is
// placed next, and how long each may wait.
//
// Load pattern: bursts bring two to four times the requests that the decode engines can
// run. An answer whose first event arrives within the objective is worth five times a
// later one, and both take the same memory.
//
// Without it: once a burst has filled a first-come, first-served queue with long waits,
// every request is late, including those that arrive after the burst. The engines are as
// busy as before, but their answers are worth a fifth (TestBurstIsServedInTime measures it).
//
// Rules:
//   - A request waits as long as it can still meet its objective. Then it is refused at
//     once with the time after which to retry.
//   - Among those that can meet it, the lower priority number is placed first, then the
//     organisation that was served the fewest tokens lately, then the earlier arrival.
//   - A request that does not fit may be overtaken, since engines differ in free memory,
//     but only for a limited time. After that no later request overtakes it, so that
//     large requests are not starved.
//
// With Config.LateAnswers, requests that are late wait further for capacity that others
// leave over, and refused callers return at reserved times; see late.go.
package waiting

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the parameters of a Queue.
type Config struct {
	// Lead is how long before its objective a request must be placed.
	Lead time.Duration
	// MinWait is the wait of requests whose objective leaves less time, or that have no
	// objective.
	MinWait time.Duration
	// MaxOvertaken is how long a request may be overtaken by others that fit.
	MaxOvertaken time.Duration
	// MinRetry is the shortest time after which refused callers retry. RetryJitter is the
	// interval over which their retries are spread evenly.
	MinRetry, RetryJitter time.Duration
	// FairnessWindow is the time over which the tokens that an organisation was served decay.
	FairnessWindow time.Duration
	// SpareGap is how long no request that can be on time may have been left waiting for capacity to count as spare.
	// A place that a late request gets is gone for the time that requests run, which is seconds at engines.
	SpareGap time.Duration
	// LateAnswers lets late requests wait for spare capacity, refuses requests as soon as it is
	// known that they will not be placed, and reserves capacity for callers that return as told.
	LateAnswers bool
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		Lead: 300 * time.Millisecond, MinWait: 100 * time.Millisecond, MaxOvertaken: 250 * time.Millisecond,
		MinRetry: 1500 * time.Millisecond, RetryJitter: 2 * time.Second, FairnessWindow: 2 * time.Second, SpareGap: 250 * time.Millisecond,
	}
}

// Item is a waiting request.
type Item struct {
	Organisation string
	// Priority is the priority number; 0 is placed first.
	Priority int
	// Tokens is the engine memory that it needs, Output the part of it that is generated
	// while it runs.
	Tokens, Output int
	Arrived        time.Time
	// Objective is the time within which the first event must arrive; 0 means none.
	Objective time.Duration
	// Deadline is when the wait ends regardless of the objective.
	Deadline time.Time
	// RetrySeed is an arbitrary number that selects the retry time within RetryJitter.
	RetrySeed uint64
	// RepeatKey is shared by a request and its repetitions, or 0 if unknown.
	RepeatKey uint64
	// Patience is how long after Arrived the caller waits for a first event; 0 means until Deadline.
	Patience time.Duration

	// registered is set once the queue has recorded the arrival.
	registered bool
	// firstArrived is the arrival of the caller's first attempt.
	firstArrived time.Time
	// booked is set for a repetition that came at its booked time.
	booked bool
	// lateNow, class and share, the tokens that the organisation was served, are valid during a call of
	// Dispatch.
	lateNow bool
	class   int
	share   float64
}

// waitEnd returns the time at which a request is refused unless it has been placed.
func (c Config) waitEnd(i *Item) time.Time {
	wait := c.MinWait
	if i.Objective > 0 {
		wait = max(i.Objective-c.Lead, c.MinWait)
	}
	end := i.Arrived.Add(wait)
	if end.After(i.Deadline) {
		return i.Deadline
	}
	return end
}

// Queue holds the waiting requests of one service. It is not safe for concurrent
// use.
type Queue struct {
	cfg   Config
	items []*Item
	// served is the decaying sum of tokens that each organisation was served.
	served  map[string]float64
	decayed time.Time
	// The fields below are used with LateAnswers only.
	rates    rates
	bookings bookings
	counts   Counts
}

// New returns an empty queue.
func New(cfg Config) *Queue { return &Queue{cfg: cfg, served: make(map[string]float64)} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Add appends a request to the queue.
func (q *Queue) Add(i *Item) { q.items = append(q.items, i) }

// Remove removes a request from the queue, if it is there.
func (q *Queue) Remove(i *Item) {
	if at := slices.Index(q.items, i); at >= 0 {
		q.items = slices.Delete(q.items, at, at+1)
	}
}

// Dispatch places waiting requests in order. claim tries to place a request and reports
// whether it did. refuse ends the wait of a request that can no longer meet its objective;
// retry is the time after which its caller is to retry.
func (q *Queue) Dispatch(now time.Time, claim func(i *Item) bool, refuse func(i *Item, retry time.Duration)) {
	q.decayServed(now)
	if q.cfg.LateAnswers {
		q.dispatchWithLate(now, claim, refuse)
		return
	}
	q.sort()
	kept := q.items[:0]
	blocked := false
	for _, i := range q.items {
		switch {
		case !blocked && claim(i):
			q.served[i.Organisation] += float64(i.Tokens)
		case !now.Before(q.cfg.waitEnd(i)):
			refuse(i, q.retryAfter(i))
		default:
			kept = append(kept, i)
			if now.Sub(i.Arrived) > q.cfg.MaxOvertaken {
				blocked = true
			}
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
}

// decayServed reduces the served tokens by the elapsed share of the fairness window.
func (q *Queue) decayServed(now time.Time) {
	elapsed := now.Sub(q.decayed)
	q.decayed = now
	keep := 1 - min(elapsed.Seconds()/q.cfg.FairnessWindow.Seconds(), 1)
	for organisation, tokens := range q.served {
		if tokens *= keep; tokens < 1 {
			delete(q.served, organisation)
		} else {
			q.served[organisation] = tokens
		}
	}
}

func (q *Queue) sort() {
	slices.SortStableFunc(q.items, func(a, b *Item) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(q.served[a.Organisation], q.served[b.Organisation]),
			a.Arrived.Compare(b.Arrived),
		)
	})
}

// retrySteps is the number of distinct retry times within RetryJitter.
const retrySteps = 1000

func (q *Queue) retryAfter(i *Item) time.Duration {
	return q.cfg.MinRetry + spread(q.cfg.RetryJitter, i)
}

// spread returns the part of an interval that the request's seed selects.
func spread(interval time.Duration, i *Item) time.Duration {
	return interval * time.Duration(i.RetrySeed%retrySteps) / retrySteps
}
