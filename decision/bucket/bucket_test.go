package bucket

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reference keeps every charge and computes the level from its definition.
type reference struct {
	limit   Limit
	start   int64
	charges []referenceCharge
}

type referenceCharge struct {
	at    time.Duration
	milli int64
}

// level is the minimum over all window starts of what the window still allows.
func (r *reference) level(now time.Duration) int64 {
	spent := int64(0)
	lowest := r.limit.BurstMilli
	for i := len(r.charges) - 1; i >= 0; i-- {
		c := r.charges[i]
		spent += c.milli
		lowest = min(lowest, r.limit.BurstMilli+Filled(Limit{r.limit.MilliPerSecond, 1 << 60}, now-c.at)-spent)
	}
	return min(lowest, r.start+Filled(Limit{r.limit.MilliPerSecond, 1 << 60}, now)-spent)
}

// Guards against a level that differs from its definition when requests are settled in
// any order, seconds after they were charged. A lower level refuses callers within
// their rate; a higher one lets an organisation exceed its burst.
func TestLevelEqualsDefinition(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limit := Limit{MilliPerSecond: 1000 * (1 + rng.Int64N(20)), BurstMilli: 1000 * (1 + rng.Int64N(60))}
		ref := &reference{limit: limit}
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
					open[id] = len(ref.charges)
					ref.charges = append(ref.charges, referenceCharge{now, milli})
				}
			default:
				for id := ChargeID(1); id <= b.last; id++ {
					i, ok := open[id]
					if !ok || rng.IntN(3) != 0 {
						continue
					}
					back := rng.Int64N(ref.charges[i].milli + 1)
					b.Refund(now, id, back)
					ref.charges[i].milli -= back
					delete(open, id)
					break
				}
			}
			assert.Equal(t, b.Level(now), ref.level(now), "seed %d at %v", seed, now)
		}
	}
}

// Guards against a refund that exceeds the burst: a long request is refunded after the
// bucket has refilled and other requests have spent the new tokens. Adding the refund up
// to the burst would allow 150 tokens at once where the burst is 100.
func TestLateRefundDoesNotExceedBurst(t *testing.T) {
	b := New(Limit{MilliPerSecond: 1000, BurstMilli: 100_000}, 100_000, 0)
	first, ok := b.Charge(0, 100_000)
	assert.Assert(t, ok)
	_, ok = b.Charge(50*time.Second, 50_000)
	assert.Assert(t, ok)
	b.Refund(50*time.Second, first, 100_000)
	assert.Equal(t, b.Level(50*time.Second), int64(50_000))
}

// Guards against tokens created when an operator raises or lowers a limit while the
// bucket is in use.
func TestLimitChangeCreatesNoTokens(t *testing.T) {
	b := New(Limit{MilliPerSecond: 1000, BurstMilli: 10_000}, 10_000, 0)
	b.SetLimit(0, Limit{MilliPerSecond: 1000, BurstMilli: 50_000})
	assert.Equal(t, b.Level(0), int64(10_000))
	assert.Equal(t, b.Level(5*time.Second), int64(15_000))
	b.SetLimit(5*time.Second, Limit{MilliPerSecond: 2000, BurstMilli: 4_000})
	assert.Equal(t, b.Level(5*time.Second), int64(4_000))
}

// Guards against unbounded memory and excessive refunds when there are more open
// charges than refund caps. Refunds may then be smaller than exact but never larger.
func TestManyOpenChargesStayBounded(t *testing.T) {
	limit := Limit{MilliPerSecond: 1_000_000, BurstMilli: 1_000_000}
	b := New(limit, 0, 0)
	ref := &reference{limit: limit}
	rng := rand.New(rand.NewPCG(7, 7))
	now := time.Duration(0)
	for range 2000 {
		now += time.Millisecond
		id, ok := b.Charge(now, 1000)
		assert.Assert(t, ok)
		ref.charges = append(ref.charges, referenceCharge{now, 1000})
		if rng.IntN(3) == 0 && id > 300 {
			b.Refund(now, id-300, 400)
			ref.charges[id-301].milli -= 400
		}
		assert.Assert(t, len(b.caps) <= maxRefundCaps)
	}
	assert.Assert(t, b.Level(now) <= ref.level(now))
}

// Guards against overflow of the level after a very long time without a reading.
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
