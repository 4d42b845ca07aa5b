package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The balancer sends three quarters of an organisation's requests to one instance of
// nine. With a fixed share on each that instance refuses most of them although the
// organisation stays below its rate; its callers see refusals they were not owed.
func TestUnevenArrivals(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	w := newNetwork(9, busy)
	w.run(time.Second, func(int) int64 { return 0 })
	asked, shared, share := 0, 0, busy.Burst/9
	refused := 0
	for i := range 60 {
		target := 0
		if i%4 == 3 {
			target = 1 + rng.IntN(8)
		}
		// One request in 160 ms is nine tenths of the rate.
		w.run(160*time.Millisecond, func(int) int64 { return 0 })
		asked++
		if !w.admitPatiently(target) {
			refused++
		}
		if target == 0 {
			share = min(share+0.16*4/3*busy.Rate/9, max(busy.Burst/9, request))
			if share >= request {
				share -= request
			} else {
				shared++
			}
		}
	}
	assert.Equal(t, refused, 0)
	assert.Assert(t, shared > asked/2, "fixed shares refused %d of %d: the load is not uneven", shared, asked)
}

// All instances lose one another while an organisation sends ten times its rate to
// each. Each can only know its own use; without shares of their own they would admit
// the rate nine times over.
func TestCutFleetKeepsToTheRate(t *testing.T) {
	w := newNetwork(9, busy)
	w.run(3*time.Second, func(int) int64 { return 0 })
	for i := range 9 {
		for j := range 9 {
			w.cut[[2]int{i, j}] = true
		}
	}
	rng := rand.New(rand.NewPCG(3, 4))
	w.run(20*time.Second, func(int) int64 {
		if rng.IntN(100) < 8 {
			return request
		}
		return 0
	})
	over := float64(w.most(window))/float64(allowed(busy)) - 1
	assert.Assert(t, over < 0.25, "%.0f%% over in the worst window", over*100)
}

// Half of the fleet loses the other half, and some links only one way. What was sent
// on both sides arrives at the same engines, so that their sum must stay within the
// rate, whoever is cut off from whom.
func TestPartitionsKeepToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(5, busy)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 9))
		hot := func(int) int64 {
			if rng.IntN(100) < 5 {
				return request
			}
			return 0
		}
		w.run(2*time.Second, hot)
		for range 6 {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				i, j := rapid.IntRange(0, 4).Draw(t, "from"), rapid.IntRange(0, 4).Draw(t, "to")
				w.cut[[2]int{i, j}] = true
			case 1:
				w.cut = make(map[[2]int]bool)
			case 2:
				i := rapid.IntRange(0, 4).Draw(t, "frozen")
				w.nodes[i].frozen = w.now + 3*time.Second
			case 3:
				group := rapid.IntRange(1, 4).Draw(t, "group")
				for i := range 5 {
					for j := range 5 {
						w.cut[[2]int{i, j}] = (i < group) != (j < group)
					}
				}
			}
			w.run(2*time.Second, hot)
		}
		// A hot organisation sends 25 requests a second here; in the time in which a
		// silence is noticed, some of them are counted on one side only, once a cut.
		over := w.most(window) - allowed(busy)
		assert.Assert(t, over < int64(0.1*float64(allowed(busy))), "%d tokens over in the worst window", over)
	})
}

// All of forty instances lose power at once while an organisation sends ten times its
// rate. Their reports are a second apart, so that each admits from tokens that the others
// are admitting from too, and what they admitted too much before is forgotten with them.
func TestMassRestartStaysWithinTheRate(t *testing.T) {
	w := newNetwork(40, busy)
	w.every = time.Second
	rng := rand.New(rand.NewPCG(7, 8))
	hot := func(int) int64 {
		if rng.IntN(100) < 3 {
			return request / 4
		}
		return 0
	}
	w.run(3*time.Second, hot)
	w.sent = nil
	w.spends = nil
	for i, n := range w.nodes {
		n.id.Incarnation++
		n.ledger = New(DefaultConfig(), n.id, w.now, func(Limit) float64 { return 0 })
		n.ledger.SetLimit(w.now, org, w.limit)
		// They start one after the other.
		n.frozen = w.now + time.Duration(i)*25*time.Millisecond
	}
	w.list()
	w.run(4*time.Second, hot)
	spent := int64(0)
	for _, s := range w.spends {
		spent += s.tokens
	}
	// What is asked for is ten times the rate.
	over := float64(spent)/(busy.Rate*4) - 1
	assert.Assert(t, over < 0.1, "%.0f%% over the rate in the four seconds after", over*100)
}

// The halves of a fleet lose one another again and again while an organisation sends
// three times its rate to both. If a half took the bucket for full when it hears the
// other again, because it did not see what the other spent, every cut would add a burst.
func TestCutsInSuccessionAddNothing(t *testing.T) {
	w := newNetwork(4, busy)
	rng := rand.New(rand.NewPCG(5, 6))
	hot := func(int) int64 {
		if rng.IntN(100) < 5 {
			return request
		}
		return 0
	}
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
	over := w.most(window) - allowed(busy)
	assert.Assert(t, over < int64(0.1*float64(allowed(busy))), "%d tokens over in the worst window", over)
}

// A machine is suspended for seconds and goes on where it stood: it still believes
// that the whole burst is its to spend, while the others have used it.
func TestThawedInstanceSpendsItsShareOnly(t *testing.T) {
	w := newNetwork(4, busy)
	w.run(3*time.Second, func(int) int64 { return 0 })
	w.nodes[0].frozen = w.now + 5*time.Second
	w.run(5*time.Second, func(i int) int64 { return 2_000 })
	assert.Assert(t, w.nodes[0].ledger.Restricted(w.now) || w.nodes[0].ledger.left(w.now) <= busy.Burst/4+1)
	admitted := int64(0)
	for w.admit(0, 1_000) {
		admitted += 1_000
	}
	assert.Assert(t, admitted <= int64(busy.Burst/4), "%d tokens admitted at once on waking", admitted)
}

// left is what the instance would admit at once.
func (l *Ledger) left(now time.Duration) float64 {
	v := l.View(now, org)
	if v.Restricted {
		return min(v.Level, v.Own)
	}
	return v.Level
}

// One instance dies. The others notice its silence at slightly different times; if
// each took the others' last words of it for a sign of life they would fall back to
// their shares and refuse requests within the rate.
func TestDeadInstanceDoesNotRestrictTheOthers(t *testing.T) {
	w := newNetwork(9, busy)
	w.run(3*time.Second, func(int) int64 { return 0 })
	w.nodes[8].frozen = w.now + time.Hour
	w.run(1500*time.Millisecond, func(int) int64 { return 0 })
	for i := range 8 {
		assert.Assert(t, !w.nodes[i].ledger.Restricted(w.now), "instance %d is restricted", i)
	}
}

// An instance is cut off for a while and loses what was set aside for the others. Its
// organisation goes on using all that flows in, so that its bucket never fills: it
// would refuse every request that the other instances admit.
func TestLevelsMeetAfterACut(t *testing.T) {
	w := newNetwork(4, busy)
	hot := func(i int) int64 { return 3_000 }
	w.run(2*time.Second, hot)
	for j := 1; j < 4; j++ {
		w.cut[[2]int{0, j}], w.cut[[2]int{j, 0}] = true, true
	}
	w.run(5*time.Second, hot)
	w.cut = make(map[[2]int]bool)
	w.run(3*time.Second, hot)
	levels := []float64{}
	for _, n := range w.nodes {
		levels = append(levels, n.ledger.View(w.now, org).Level)
	}
	for _, l := range levels {
		assert.Assert(t, l > -0.1*busy.Burst, "levels %v", levels)
	}
}

// An instance starts while the others have used up the quota. With a full bucket of
// its own it would admit what the organisation no longer has.
func TestNewInstanceTakesOverTheLevel(t *testing.T) {
	w := newNetwork(3, Limit{Rate: 10_000, Burst: 100_000})
	w.run(3*time.Second, func(int) int64 { return 0 })
	for w.nodes[0].ledger.View(w.now, org).Level > 10_000 {
		w.admit(0, 5_000)
		w.run(100*time.Millisecond, func(int) int64 { return 0 })
	}
	w.nodes[2].id.Incarnation = 2
	w.start(2)
	w.run(500*time.Millisecond, func(int) int64 { return 0 })
	assert.Assert(t, !w.admit(2, 20_000))
}

// A request is refused by its engine and did not run. Charged all the same, its
// organisation would get less than its rate when engines are full.
func TestRefundGivesTokensBack(t *testing.T) {
	l := New(DefaultConfig(), MemberID{"a", 1}, 0, func(l Limit) float64 { return l.Burst })
	l.SetLimit(0, org, Limit{Rate: 1_000, Burst: 10_000})
	assert.Assert(t, l.Admit(0, org, 10_000).Admitted)
	assert.Equal(t, l.Admit(0, org, 5_000), Decision{Retry: 5 * time.Second})
	l.Refund(0, org, 10_000)
	assert.Assert(t, l.Admit(0, org, 10_000).Admitted)
}

// The rate of an organisation is lowered far below what it sends. What it had saved
// under the old one must not last on.
func TestLowerLimitCutsWhatIsLeft(t *testing.T) {
	l := New(DefaultConfig(), MemberID{"a", 1}, 0, func(l Limit) float64 { return l.Burst })
	l.SetLimit(0, org, busy)
	l.SetLimit(time.Second, org, Limit{Rate: 1_000, Burst: 2_000})
	assert.Equal(t, l.View(time.Second, org).Level, 2_000.0)
	l.KeepOnly(map[string]bool{})
	assert.Assert(t, !l.Admit(time.Second, org, 1).Admitted, "an organisation that is gone was admitted")
}
