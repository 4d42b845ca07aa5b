package bucket

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// naive keeps every charge and computes the level from its definition.
type naive struct {
	limit  Limit
	start  int64
	events []naiveCharge
}

type naiveCharge struct {
	at    time.Duration
	milli int64
}

// level is the minimum over all window beginnings of what the window still allows.
func (n *naive) level(now time.Duration) int64 {
	spent := int64(0)
	lowest := n.limit.BurstMilli
	for i := len(n.events) - 1; i >= 0; i-- {
		e := n.events[i]
		spent += e.milli
		lowest = min(lowest, n.limit.BurstMilli+Filled(Limit{n.limit.MilliPerSecond, 1 << 60}, now-e.at)-spent)
	}
	return min(lowest, n.start+Filled(Limit{n.limit.MilliPerSecond, 1 << 60}, now)-spent)
}

// Requests are settled in any order, seconds after they were charged. The bucket
// must allow exactly what the definition allows: less refuses callers within
// their rate, more lets an organisation pass its burst.
func TestLevelEqualsDefinition(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limit := Limit{MilliPerSecond: 1000 * (1 + rng.Int64N(20)), BurstMilli: 1000 * (1 + rng.Int64N(60))}
		ref := &naive{limit: limit}
		b := New(limit, 0, 0)
		open := map[ChargeID]int{}
		now := time.Duration(0)
		for range 150 {
			now += time.Duration(rng.Int64N(1000)) * time.Millisecond
			switch {
			case rng.IntN(2) == 0:
				milli := 1 + rng.Int64N(limit.BurstMilli)
				id, ok := b.Charge(now, milli)
				assert.Equal(t, ok, milli <= ref.level(now), "seed %d", seed)
				if ok {
					open[id] = len(ref.events)
					ref.events = append(ref.events, naiveCharge{now, milli})
				}
			default:
				for id := ChargeID(1); id <= b.last; id++ {
					i, ok := open[id]
					if !ok || rng.IntN(3) != 0 {
						continue
					}
					back := rng.Int64N(ref.events[i].milli + 1)
					b.Refund(now, id, back)
					ref.events[i].milli -= back
					delete(open, id)
					break
				}
			}
			assert.Equal(t, b.Level(now), ref.level(now), "seed %d at %v", seed, now)
		}
	}
}

// A long request is refunded after the bucket has filled again and other requests
// have spent what came in. Adding the refund up to the burst would let 150 tokens
// through at one moment where the burst is 100.
func TestLateRefundDoesNotPassBurst(t *testing.T) {
	b := New(Limit{MilliPerSecond: 1000, BurstMilli: 100_000}, 100_000, 0)
	first, ok := b.Charge(0, 100_000)
	assert.Assert(t, ok)
	_, ok = b.Charge(50*time.Second, 50_000)
	assert.Assert(t, ok)
	b.Refund(50*time.Second, first, 100_000)
	assert.Equal(t, b.Level(50*time.Second), int64(50_000))
}

// An operator raises and lowers a limit while a bucket is in use. Neither may
// hand out tokens that were not earned.
func TestLimitChangeCreatesNoTokens(t *testing.T) {
	b := New(Limit{MilliPerSecond: 1000, BurstMilli: 10_000}, 10_000, 0)
	b.SetLimit(0, Limit{MilliPerSecond: 1000, BurstMilli: 50_000})
	assert.Equal(t, b.Level(0), int64(10_000))
	assert.Equal(t, b.Level(5*time.Second), int64(15_000))
	b.SetLimit(5*time.Second, Limit{MilliPerSecond: 2000, BurstMilli: 4_000})
	assert.Equal(t, b.Level(5*time.Second), int64(4_000))
}

// More charges are open than marks are kept. Refunds may then be smaller than
// exact, never larger, and the marks stay bounded.
func TestManyOpenChargesStayBounded(t *testing.T) {
	limit := Limit{MilliPerSecond: 1_000_000, BurstMilli: 1_000_000}
	b := New(limit, 0, 0)
	ref := &naive{limit: limit}
	rng := rand.New(rand.NewPCG(7, 7))
	now := time.Duration(0)
	for range 2000 {
		now += time.Millisecond
		id, ok := b.Charge(now, 1000)
		assert.Assert(t, ok)
		ref.events = append(ref.events, naiveCharge{now, 1000})
		if rng.IntN(3) == 0 && id > 300 {
			b.Refund(now, id-300, 400)
			ref.events[id-301].milli -= 400
		}
		assert.Assert(t, len(b.marks) <= maxMarks)
	}
	assert.Assert(t, b.Level(now) <= ref.level(now))
}

// A clock that is read across a very long pause must not overflow the level.
func TestLongPauseFillsToBurst(t *testing.T) {
	b := New(Limit{MilliPerSecond: 1 << 50, BurstMilli: 1 << 52}, -(1 << 40), 0)
	assert.Equal(t, b.Level(1<<62), int64(1<<52))
}

func BenchmarkChargeRefund(b *testing.B) {
	k := New(Limit{MilliPerSecond: 1 << 40, BurstMilli: 1 << 40}, 1<<40, 0)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Microsecond
		id, _ := k.Charge(now, 1000)
		k.Refund(now, id, 400)
	}
}
