package escrow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a large fleet refusing requests within its organisations' rates.
func TestLargeFleetServesWithinTheRate(t *testing.T) {
	for _, n := range []int{6, 18, 78, 295, 400} {
		w := newNetwork(n, busy, 1)
		w.loss = 0.01
		w.run(3*time.Second, nobody)
		began, asked, served, parted := w.now, 0, 0, 0
		share := busy.Burst / float64(n)
		for range 120 {
			w.run(180*time.Millisecond, nobody)
			asked++
			for range 5 {
				if w.admit(w.nodes[w.rng.IntN(n)], request) {
					served++
					break
				}
				w.run(60*time.Millisecond, nobody)
			}
			if share >= request {
				parted++
			}
		}
		per := float64(w.reports) / (w.now - time.Second).Seconds() / float64(n)
		t.Logf("%d instances: %d of %d served, %.1f reports/s an instance", n, served, asked, per)
		assert.Assert(t, served >= asked*99/100, "%d of %d served at %d instances", served, asked, n)
		assert.Assert(t, w.spent(began) <= int64(busy.Rate*(w.now-began).Seconds()+busy.Burst))
		assert.Assert(t, parted == 0 || n <= 7, "fixed parts serve this load")
	}
}

// Guards against fixed parts of the rate: the balancer sends most requests to one instance.
func TestUnevenArrivals(t *testing.T) {
	w := newNetwork(9, busy, 2)
	w.run(3*time.Second, nobody)
	for i := range 60 {
		target := 0
		if i%4 == 3 {
			target = 1 + w.rng.IntN(8)
		}
		// One request in 160 ms is nine tenths of the rate.
		w.run(160*time.Millisecond, nobody)
		assert.Assert(t, w.admit(w.nodes[target], request), "request %d", i)
	}
}

// Guards against each instance spending the whole rate when all lose one another.
func TestCutFleetKeepsToTheRate(t *testing.T) {
	for _, n := range []int{9, 60} {
		w := newNetwork(n, busy, 3)
		w.run(3*time.Second, nobody)
		for i := range n {
			for j := range n {
				w.cut[[2]int{i, j}] = true
			}
		}
		w.run(20*time.Second, w.hot(10))
		assert.Assert(t, w.most() <= allowed(busy), "%d tokens over in the worst window", w.most()-allowed(busy))
	}
}

// Guards against cuts, one-way cuts, freezes and restarts that create tokens.
func TestPartitionsKeepToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{5, 24}).Draw(t, "instances")
		w := newNetwork(n, busy, rapid.Uint64().Draw(t, "seed"))
		w.loss = rapid.SampledFrom([]float64{0, 0.03, 0.3}).Draw(t, "loss")
		node := func(what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		hot := w.hot(3)
		w.run(2*time.Second, hot)
		for range 6 {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				w.cut[[2]int{node("from"), node("to")}] = true
			case 1:
				w.cut = make(map[[2]int]bool)
			case 2:
				w.nodes[node("frozen")].frozen = w.now + 3*time.Second
			case 3:
				group := node("group")
				for i := range n {
					for j := range n {
						w.cut[[2]int{i, j}] = (i < group) != (j < group)
					}
				}
			case 4:
				w.start(w.nodes[node("restarted")])
			}
			w.run(2*time.Second, hot)
		}
		over := w.most() - allowed(busy)
		assert.Assert(t, over < int64(0.1*float64(allowed(busy))), "%d tokens over in the worst window", over)
	})
}

// Guards against a mass restart that forgets what was spent just before.
func TestMassRestartStaysWithinTheRate(t *testing.T) {
	w := newNetwork(40, busy, 7)
	w.run(4*time.Second, w.hot(10))
	for i, d := range w.nodes {
		w.start(d)
		// They start one after the other.
		d.frozen = w.now + time.Duration(i)*25*time.Millisecond
	}
	w.run(12*time.Second, w.hot(10))
	assert.Assert(t, w.most() <= allowed(busy), "%d tokens over in the worst window", w.most()-allowed(busy))
}

// Guards against cuts in quick succession that add a burst each.
func TestCutsInSuccessionAddNothing(t *testing.T) {
	w := newNetwork(4, busy, 5)
	hot := w.hot(6)
	w.run(2*time.Second, hot)
	for range 5 {
		for i := range 4 {
			for j := range 4 {
				w.cut[[2]int{i, j}] = (i < 2) != (j < 2)
			}
		}
		w.run(2500*time.Millisecond, hot)
		w.cut = make(map[[2]int]bool)
		w.run(time.Second, hot)
	}
	over := w.most() - allowed(busy)
	assert.Assert(t, over < int64(0.1*float64(allowed(busy))), "%d tokens over in the worst window", over)
}

// Guards against an instance that spends on waking what others have used meanwhile.
func TestThawedInstanceSpendsItsShareOnly(t *testing.T) {
	w := newNetwork(4, busy, 6)
	w.run(3*time.Second, nobody)
	frozen := w.homeOf(w.nodes[0])
	frozen.frozen = w.now + 5*time.Second
	w.run(5*time.Second, w.hot(6))
	began := w.now
	for w.admit(frozen, 1_000) {
	}
	// What it held when it was suspended was its own; others got none of it.
	assert.Assert(t, w.spent(began) <= int64(busy.Burst+MaxCredit.Seconds()*busy.Rate), "%d tokens on waking", w.spent(began))
	w.run(window, w.hot(6))
	assert.Assert(t, w.most() <= allowed(busy)+int64(0.1*float64(allowed(busy))))
}

// Guards against an instance that starts with a full bucket while the others have used it up.
func TestNewHomeHoldsNothing(t *testing.T) {
	w := newNetwork(5, busy, 12)
	w.run(3*time.Second, nobody)
	home := w.homeOf(w.nodes[0])
	w.start(home)
	assert.Assert(t, !w.admit(home, request))
	w.run(time.Second, nobody)
	assert.Assert(t, w.admit(home, request))
}

// Guards against a dead home that costs more than what it held.
func TestDeadHomeIsReplaced(t *testing.T) {
	w := newNetwork(60, busy, 8)
	w.run(3*time.Second, nobody)
	home := w.homeOf(w.nodes[1])
	home.frozen = w.now + time.Hour
	w.run(silence+interval+time.Second, nobody)
	other := w.nodes[(home.index+1)%60]
	assert.Assert(t, w.homeOf(other) != home)
	assert.Assert(t, w.admit(other, request))
}

// Guards against planned restarts that cost an organisation its burst each.
func TestLeavingHomeHandsOver(t *testing.T) {
	w := newNetwork(9, busy, 13)
	w.run(5*time.Second, nobody)
	home := w.homeOf(w.nodes[0])
	for _, d := range w.nodes {
		d.asked[home.index] = w.now - silence - time.Second
	}
	w.run(interval+100*time.Millisecond, nobody)
	next := w.homeOf(w.nodes[0])
	assert.Assert(t, next != home)
	held := next.home.Take(w.now, org, 1<<40).Level
	assert.Assert(t, held > 0.8*busy.Burst, "%.0f of %.0f", held, busy.Burst)
	assert.Assert(t, home.home.Take(w.now, org, 1<<40).Level < 0.1*busy.Burst)
}

// Guards against an organisation that lives with a bucket below nothing after a cut.
func TestLevelsRecoverAfterACut(t *testing.T) {
	w := newNetwork(9, busy, 9)
	w.run(2*time.Second, w.hot(5))
	for j := 1; j < 9; j++ {
		w.cut[[2]int{0, j}], w.cut[[2]int{j, 0}] = true, true
	}
	w.run(5*time.Second, w.hot(5))
	w.cut = make(map[[2]int]bool)
	w.run(6*time.Second, w.hot(0.5))
	began := w.now
	w.run(8*time.Second, w.hot(0.6))
	assert.Assert(t, float64(w.spent(began)) > 0.4*8*busy.Rate, "%d tokens in 8 s", w.spent(began))
}

// Guards against tokens that appear or vanish when reports are lost, repeated or overtaken.
func TestTotalsAreTakenOnce(t *testing.T) {
	h := full(Limit{Rate: 1_000, Burst: 2_000})
	assert.Assert(t, h.Take(fullAt, org, 2_000).Granted)
	now, shard := fullAt+time.Second, ShardOf(org)
	h.Receive(now, 2, map[int]time.Duration{shard: 100 * time.Millisecond})
	h.Receive(now, 2, map[int]time.Duration{shard: 300 * time.Millisecond})
	h.Receive(now, 2, map[int]time.Duration{shard: 300 * time.Millisecond})
	h.Receive(now, 2, map[int]time.Duration{shard: 200 * time.Millisecond, -1: time.Hour, Shards: time.Hour})
	assert.Equal(t, h.Take(now, org, 301).Level, 300.0)
	// Another run's totals are its own, and no more than one rate flows in.
	h.Receive(now, 3, map[int]time.Duration{shard: time.Hour})
	assert.Equal(t, h.Take(now, org, 601).Level, 600.0)
}

// Guards against many instances each letting a large request pass that their part never pays.
func TestPartOfTheRateDoesNotCountAsFull(t *testing.T) {
	w := newNetwork(40, Limit{Rate: 10_000, Burst: 10_000}, 10)
	w.run(3*time.Second, nobody)
	for i := range 40 {
		for j := range 40 {
			w.cut[[2]int{i, j}] = true
		}
	}
	w.run(10*time.Second, nobody)
	w.spends = nil
	for _, d := range w.nodes {
		w.admit(d, request)
	}
	assert.Equal(t, len(w.spends), 0)
}

// Guards against an organisation whose requests are larger than its burst and never served.
func TestLargerThanTheBurstPassesWhenFull(t *testing.T) {
	w := newNetwork(20, Limit{Rate: 10_000, Burst: 10_000}, 11)
	w.run(6*time.Second, nobody)
	assert.Assert(t, w.admit(w.nodes[3], request))
	assert.Assert(t, !w.admit(w.nodes[3], request))
}

// Guards against callers that are told to come back when it is too late to be answered in time.
func TestRetryIsWhenThereIsEnough(t *testing.T) {
	h := full(Limit{Rate: 10_000, Burst: 20_000})
	assert.Assert(t, h.Take(fullAt, org, 20_000).Granted)
	for range 20 {
		retry := h.Take(fullAt, org, 10_000).Retry
		assert.Assert(t, retry > 900*time.Millisecond && retry <= time.Second, "%v", retry)
	}
}

// fullAt is when a home that full returns has all that its limit allows.
const fullAt = 6 * time.Second

// full is a home with a full bucket.
func full(limit Limit) *Home {
	h := NewHome(0)
	h.SetLimits(map[uint64]Limit{org: limit})
	for now := time.Duration(0); now <= fullAt; now += 100 * time.Millisecond {
		h.Receive(now, 1, map[int]time.Duration{ShardOf(org): now})
	}
	return h
}

// Guards against charges that are counted twice, and against a debt that never ends.
func TestChargesAreTotals(t *testing.T) {
	h := full(Limit{Rate: 1_000, Burst: 2_000})
	h.Charge(1, org, 200)
	h.Charge(1, org, 200)
	h.Charge(1, org, 300)
	assert.Equal(t, h.Take(fullAt, org, 1_900).Level, 1_700.0)
	h.Charge(2, org, 1_000_000)
	assert.Equal(t, h.Take(fullAt, org, 1_900).Level, -mostDebt*1_000)
	h.Charge(2, org, 0)
	assert.Assert(t, h.Take(fullAt, org, 9_000).Level <= 2_000)
}

// Guards against memory that grows with each restart of an instance.
func TestEndedRunsAreForgotten(t *testing.T) {
	h, g := full(busy), NewCreditSource(0)
	for run := Run(2); run < 50; run++ {
		h.Receive(fullAt, run, map[int]time.Duration{1: time.Millisecond})
		h.Charge(run, org, 1)
		g.Transfer(run, []int{1})
	}
	assert.Equal(t, h.RunCount(), 49)
	h.Forget(func(run Run) bool { return run >= 10 })
	g.Forget(func(run Run) bool { return run >= 10 })
	assert.Equal(t, h.RunCount(), 9)
	assert.Equal(t, len(g.given), 8)
}

// Guards against a lowered limit under which what was saved before lasts on.
func TestLowerLimitCutsWhatIsLeft(t *testing.T) {
	h, now := full(Limit{Rate: 100_000, Burst: 100_000}), fullAt
	h.SetLimits(map[uint64]Limit{org: {Rate: 1_000, Burst: 2_000}})
	assert.Assert(t, h.Take(now, org, 2_000).Granted)
	assert.Assert(t, !h.Take(now, org, 100).Granted)
	h.SetLimits(nil)
	assert.Assert(t, h.Take(now, org, 1).Unknown)
}
