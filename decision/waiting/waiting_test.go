package waiting

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

const objective = 900 * time.Millisecond

func item(i int, at time.Duration) *Item {
	return &Item{Organisation: "a", Tokens: 10, Arrived: start.Add(at), Objective: objective, Deadline: start.Add(at + 14*time.Second), RetrySeed: uint64(i * 37)}
}

// pool is an engine pool in which each request occupies a slot for three seconds.
type pool struct {
	size int
	ends []time.Duration
}

func (p *pool) claim(now time.Duration) bool {
	kept := p.ends[:0]
	for _, end := range p.ends {
		if end > now {
			kept = append(kept, end)
		}
	}
	p.ends = kept
	if len(p.ends) >= p.size {
		return false
	}
	p.ends = append(p.ends, now+3*time.Second)
	return true
}

// simulateBurst sends four times the capacity of a pool for four seconds and returns how many
// requests were placed in time and how many late. At the lower rate set for the time after
// the burst, no further request is due before the simulation ends.
func simulateBurst(cfg Config) (onTime, late int) {
	q := New(cfg)
	p := &pool{size: 60}
	n := 0
	for now := time.Duration(0); now < 16*time.Second; now += 10 * time.Millisecond {
		every := 12500 * time.Microsecond
		if now >= 4*time.Second {
			every = 100 * time.Millisecond
		}
		for time.Duration(n)*every < now || n == 0 {
			q.Add(item(n, now))
			n++
			if now >= 4*time.Second {
				break
			}
		}
		q.Dispatch(start.Add(now), func(i *Item) bool {
			if !p.claim(now) {
				return false
			}
			if start.Add(now).Sub(i.Arrived) <= objective-cfg.Lead+20*time.Millisecond {
				onTime++
			} else {
				late++
			}
			return true
		}, func(*Item, time.Duration) {})
	}
	return onTime, late
}

// Guards against requests that wait as long as their deadlines allow during a burst of four
// times the capacity. The queue is then seconds long when the burst ends, and all requests
// are served late, including those that arrive after it.
func TestBurstIsServedInTime(t *testing.T) {
	cfg := DefaultConfig()
	onTime, late := simulateBurst(cfg)
	patient := cfg
	patient.MinWait = 10 * time.Second
	naiveOnTime, naiveLate := simulateBurst(patient)
	assert.Equal(t, late, 0)
	assert.Assert(t, onTime >= 2*naiveOnTime, "on time %d, with long waits %d (late %d)", onTime, naiveOnTime, naiveLate)
}

// Guards against an organisation that sends nine times as many requests as another delaying
// it: in order of arrival, the other would wait behind all of them.
func TestOrganisationsTakeTurns(t *testing.T) {
	q := New(DefaultConfig())
	for i := range 90 {
		q.Add(item(i, 0))
	}
	for i := range 10 {
		other := item(100+i, time.Millisecond)
		other.Organisation = "b"
		q.Add(other)
	}
	given := map[string]int{}
	for round := range 20 {
		now := start.Add(time.Duration(round) * 5 * time.Millisecond)
		left := 1
		q.Dispatch(now, func(i *Item) bool {
			if left == 0 {
				return false
			}
			left--
			given[i.Organisation]++
			return true
		}, func(*Item, time.Duration) {})
	}
	assert.Equal(t, given["b"], 10, "%v", given)
}

// Guards against a large request that is never placed because smaller ones always overtake
// it, so that its caller is refused every time.
func TestLargeRequestIsNotStarved(t *testing.T) {
	q := New(DefaultConfig())
	large := item(0, 0)
	large.Tokens = 100
	q.Add(large)
	n, free := 1, 0
	for now := time.Duration(0); now < 600*time.Millisecond; now += 10 * time.Millisecond {
		q.Add(item(n, now))
		n++
		free += 10
		placed := false
		q.Dispatch(start.Add(now), func(i *Item) bool {
			if i.Tokens > free {
				return false
			}
			free -= i.Tokens
			placed = placed || i == large
			return true
		}, func(i *Item, _ time.Duration) { assert.Assert(t, i != large, "refused") })
		if placed {
			return
		}
	}
	t.Fatal("the large request was not placed")
}

// Guards against callers that are refused together and all retry at the same moment, which
// would be the next burst.
func TestRefusedCallersRetrySpreadOut(t *testing.T) {
	q := New(DefaultConfig())
	for i := range 50 {
		q.Add(item(i, 0))
	}
	times := map[time.Duration]int{}
	q.Dispatch(start.Add(objective), func(*Item) bool { return false }, func(_ *Item, retry time.Duration) {
		times[retry]++
		cfg := DefaultConfig()
		assert.Assert(t, retry >= cfg.MinRetry && retry <= cfg.MinRetry+cfg.RetryJitter, fmt.Sprint(retry))
	})
	assert.Assert(t, len(times) > 40, "%d different retry times", len(times))
	assert.Equal(t, q.Len(), 0)
}

// Guards against placing a request whose caller has left while it waited.
func TestRemovedRequestIsNotPlaced(t *testing.T) {
	q := New(DefaultConfig())
	i := item(0, 0)
	q.Add(i)
	q.Remove(i)
	q.Remove(i)
	q.Dispatch(start, func(*Item) bool { t.Fatal("placed"); return true }, nil)
}
