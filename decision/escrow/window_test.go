package escrow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an organisation that goes on asking for more than its rate and is refused what its
// quota still allows in each window.
func TestOverloadGetsWhatEachWindowAllows(t *testing.T) {
	w := newNetwork(40, busy, 11)
	w.run(12*time.Second, nobody)
	began := w.now
	const windows = 5
	w.run(windows*window, w.hot(3))
	// The windows' borders lie anywhere, and a request may be larger than what is left.
	assert.Assert(t, w.spent(began) >= windows*allowed(busy)*9/10, "%d of %d", w.spent(began), windows*allowed(busy))
	assert.Assert(t, w.most() <= allowed(busy), "%d tokens over in the worst window", w.most()-allowed(busy))
}

// Guards against a home that gives more than the window allows since it cannot know all that was
// spent: homes end, are cut off and replaced while the organisation asks for too much.
func TestWindowHoldsWhileHomesChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{5, 24}).Draw(t, "instances")
		w := newNetwork(n, busy, rapid.Uint64().Draw(t, "seed"))
		w.loss = rapid.SampledFrom([]float64{0, 0.03}).Draw(t, "loss")
		hot := w.hot(rapid.SampledFrom([]float64{1.2, 3}).Draw(t, "times"))
		w.run(12*time.Second, nobody)
		w.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds"))*time.Second, hot)
		for range 2 {
			home := w.homeOf(w.nodes[rapid.IntRange(0, n-1).Draw(t, "by")])
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				w.start(home)
			case 1:
				home.frozen = w.now + 3*time.Second
			case 2:
				for i := range n {
					w.cut[[2]int{i, home.index}] = true
					w.cut[[2]int{home.index, i}] = true
				}
			}
			w.run(time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds after"))*time.Second, hot)
		}
		over := w.most() - allowed(busy)
		assert.Assert(t, over < int64(0.1*float64(allowed(busy))), "%d tokens over in the worst window", over)
	})
}

// Guards against a time to come back at which there are no tokens yet.
func TestRetryKnowsWhenTheWindowPasses(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 8000, Window: window}
	h := NewHome(0)
	h.SetLimits(map[uint64]Limit{org: limit})
	now := time.Duration(0)
	flow := func(until time.Duration) {
		for ; now < until; now += interval {
			h.Receive(now, 1, map[int]time.Duration{ShardOf(org): now})
		}
	}
	flow(20 * time.Second)
	assert.Assert(t, h.Take(now, org, 7900).Granted)
	for range 7 {
		flow(now + time.Second)
		assert.Assert(t, h.Take(now, org, 1000).Granted)
	}
	d := h.Take(now, org, 6000)
	assert.Assert(t, !d.Granted && d.Retry < 2*time.Second, "the first 7900 soon count no more: %v", d.Retry)
	flow(now + d.Retry + interval)
	assert.Assert(t, h.Take(now, org, 6000).Granted)
}

// Guards against a home that takes the whole rate for its own while a few instances give theirs to
// another, which spends it as well.
func TestWindowLeavesOthersTheirPart(t *testing.T) {
	for _, apart := range []int{1, 2, 3, 4, 5, 6} {
		w := newNetwork(40, busy, uint64(20+apart))
		w.run(12*time.Second, nobody)
		home := w.homeOf(w.nodes[1])
		for i := range apart {
			w.cut[[2]int{w.nodes[39-i].index, home.index}] = true
			w.cut[[2]int{home.index, w.nodes[39-i].index}] = true
		}
		// Those who do not hear the home ask another; hot requests come to both.
		w.run(4*window, func(i int) int64 {
			if i > 39-apart || w.rng.IntN(16) == 0 {
				return request
			}
			return 0
		})
		assert.Assert(t, w.most() <= allowed(busy), "%d tokens over in the worst window with %d apart", w.most()-allowed(busy), apart)
	}
}
