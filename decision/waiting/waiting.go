// Package waiting decides which of the requests that wait for an engine goes next,
// and how long a request waits.
//
// Load pattern: bursts bring two to four times what the decode engines hold. An
// answer whose first event comes within the objective is worth five times a later
// one, and both take the same memory.
//
// Without it: first come, first served with a long wait makes every request late
// once a burst has filled the queue, also those that come after it; the engines are
// as busy as before and what they do is worth a fifth (TestBurst measures it).
//
// Rules:
//   - A request waits as long as it can still be on time. Then it is refused at
//     once and told to come back.
//   - Among those that can be on time the lower priority number goes first, then
//     the organisation that has been given least lately, then the earlier.
//   - A request that does not fit lets others pass, as engines differ in room, but
//     only for a while: after that nothing smaller passes it, so that large requests
//     are served as well.
package waiting

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the figures of the package.
type Config struct {
	// Lead is how long before the objective a request must have its place.
	Lead time.Duration
	// MinWait is the least wait, where the objective leaves none.
	MinWait time.Duration
	// Overtaken is how long a request is passed by others that fit.
	Overtaken time.Duration
	// Retry and RetrySpread are when refused callers come back: Retry at the earliest,
	// spread evenly over RetrySpread.
	Retry, RetrySpread time.Duration
	// Fairness is how fast what an organisation was given is forgotten.
	Fairness time.Duration
}

// DefaultConfig returns the default figures.
func DefaultConfig() Config {
	return Config{
		Lead: 300 * time.Millisecond, MinWait: 100 * time.Millisecond, Overtaken: 250 * time.Millisecond,
		Retry: 1500 * time.Millisecond, RetrySpread: 2 * time.Second, Fairness: 2 * time.Second,
	}
}

// Item is one waiting request.
type Item struct {
	Organisation string
	// Priority 0 goes first.
	Priority int
	// Tokens is the engine memory that it needs, Output the part of it that comes while it
	// runs.
	Tokens, Output int
	Arrived        time.Time
	// Objective is the time within which the first event is on time; 0 means none.
	Objective time.Duration
	// Deadline is when the wait ends in any case.
	Deadline time.Time
	// RetrySeed spreads the times to come back, any number.
	RetrySeed uint64
}

// until is when a request has waited enough.
func (c Config) until(i *Item) time.Time {
	wait := c.MinWait
	if i.Objective > 0 {
		wait = max(i.Objective-c.Lead, c.MinWait)
	}
	at := i.Arrived.Add(wait)
	if at.After(i.Deadline) {
		return i.Deadline
	}
	return at
}

// Queue holds the waiting requests of one service. It is not safe for concurrent
// use.
type Queue struct {
	cfg   Config
	items []*Item
	// given is what each organisation was given lately, in tokens.
	given map[string]float64
	at    time.Time
}

// New returns an empty queue.
func New(cfg Config) *Queue { return &Queue{cfg: cfg, given: make(map[string]float64)} }

// Len is the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Add lets a request wait.
func (q *Queue) Add(i *Item) { q.items = append(q.items, i) }

// Remove ends a request's wait.
func (q *Queue) Remove(i *Item) {
	if at := slices.Index(q.items, i); at >= 0 {
		q.items = slices.Delete(q.items, at, at+1)
	}
}

// Dispatch gives places in order. claim tries to place a request and reports whether it
// did; refuse ends the wait of a request that can no longer be on time, with the time
// after which its caller is to come back.
func (q *Queue) Dispatch(now time.Time, claim func(i *Item) bool, refuse func(i *Item, retry time.Duration)) {
	q.forget(now)
	q.sort()
	kept := q.items[:0]
	blocked := false
	for _, i := range q.items {
		switch {
		case !blocked && claim(i):
			q.given[i.Organisation] += float64(i.Tokens)
		case !now.Before(q.cfg.until(i)):
			refuse(i, q.retry(i))
		default:
			kept = append(kept, i)
			if now.Sub(i.Arrived) > q.cfg.Overtaken {
				blocked = true
			}
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
}

// forget lets what was given fade.
func (q *Queue) forget(now time.Time) {
	elapsed := now.Sub(q.at)
	q.at = now
	keep := 1 - min(elapsed.Seconds()/q.cfg.Fairness.Seconds(), 1)
	for organisation, tokens := range q.given {
		if tokens *= keep; tokens < 1 {
			delete(q.given, organisation)
		} else {
			q.given[organisation] = tokens
		}
	}
}

func (q *Queue) sort() {
	slices.SortStableFunc(q.items, func(a, b *Item) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(q.given[a.Organisation], q.given[b.Organisation]),
			a.Arrived.Compare(b.Arrived),
		)
	})
}

// retrySteps is into how many times the spread is divided.
const retrySteps = 1000

func (q *Queue) retry(i *Item) time.Duration {
	return q.cfg.Retry + q.cfg.RetrySpread*time.Duration(i.RetrySeed%retrySteps)/retrySteps
}
