package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/decision/bucket"
	"github.com/cairnworks/cairnworks/rate/share"
)

// One tick is a nanosecond; a bucket gains one token a tick up to burst.
const (
	tickRate = int64(time.Second) * 1000
	burst    = 6
)

var (
	walkLimit = bucket.Limit{MilliPerSecond: tickRate, BurstMilli: burst * 1000}
	walkKey   = share.Key{Organisation: "jadran"}
)

// spentTokens is one charge with the tokens of it that turned out to be used.
type spentTokens struct {
	tick   int
	term   Term
	charge bucket.ChargeID
	tokens int
}

// ledgerOfSpend gives each node its buckets and records all spend of a walk.
type ledgerOfSpend struct {
	buckets map[Term]*share.Buckets
	spent   []spentTokens
	// fullStart and refundAnyTerm switch safeguards off.
	fullStart, refundAnyTerm bool
}

// begin gives the terms that have begun their buckets.
func (l *ledgerOfSpend) begin(w *world) {
	for _, st := range w.started {
		now := w.now(st.node)
		switch {
		case l.fullStart:
			l.buckets[st.Term] = share.NewEmpty(now - 100)
		case st.Levels == LevelsEmpty:
			l.buckets[st.Term] = share.NewEmpty(now)
		default:
			levels, filling := l.buckets[st.Previous].Snapshot(now)
			limit := func(share.Key) (bucket.Limit, bool) { return walkLimit, true }
			l.buckets[st.Term] = share.NewFromLevels(now, filling, levels, limit)
		}
	}
}

// use spends what one node has, or refunds part of an earlier charge.
func (l *ledgerOfSpend) use(w *world, rng *rand.Rand) {
	for i, n := range w.nodes {
		term, ok := n.MaySpend(0, w.now(i))
		if !ok {
			continue
		}
		if len(l.spent) > 0 && rng.IntN(2) == 0 {
			l.refund(w, i, term, rng)
		}
		wanted := uint64(1 + rng.IntN(burst))
		if g := l.buckets[term].Take(w.now(i), walkKey, walkLimit, wanted, true); g.Tokens > 0 {
			l.spent = append(l.spent, spentTokens{tick: w.tick, term: term, charge: g.Charge, tokens: int(g.Tokens)})
		}
	}
}

func (l *ledgerOfSpend) refund(w *world, i int, term Term, rng *rand.Rand) {
	s := &l.spent[rng.IntN(len(l.spent))]
	if s.charge == 0 || s.term != term && !l.refundAnyTerm {
		return
	}
	back := rng.IntN(s.tokens + 1)
	charge := s.charge
	if s.term != term {
		charge = 1
	}
	l.buckets[term].Refund(w.now(i), walkKey, charge, uint64(back), 0)
	s.tokens -= back
	s.charge = 0
}

// excess returns by how much the worst window passes rate*w + burst.
func (l *ledgerOfSpend) excess() int {
	worst := 0
	for from := range l.spent {
		sum := 0
		for _, s := range l.spent[from:] {
			sum += s.tokens
			worst = max(worst, sum-burst-(s.tick-l.spent[from].tick))
		}
	}
	return worst
}

// walk takes random steps from the start and returns the worst excess of spend.
func walk(s scope, l ledgerOfSpend, seed uint64, steps int) (excess int, two bool) {
	rng := rand.New(rand.NewPCG(seed, 11))
	w := newWorld(s)
	l.buckets = map[Term]*share.Buckets{1: share.NewEmpty(w.now(0))}
	for range steps {
		var choices []*world
		w.next(s, func(c *world) { choices = append(choices, c) })
		// Time passes in every other step, or the walk would dwell on messages.
		pick := 0
		if rng.IntN(2) == 0 {
			pick = rng.IntN(len(choices))
		}
		w = choices[pick]
		l.begin(w)
		l.use(w, rng)
		two = two || w.spenders() > 1
	}
	return l.excess(), two
}

// Larger fleets than can be searched whole go through random faults. In every window
// the organisation may have used at most its rate and burst.
func TestSpendStaysBounded(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		s := scope{nodes: 2 + int(seed%4), claims: 12, crashes: 4, expires: 3}
		excess, two := walk(s, ledgerOfSpend{}, seed, 600)
		assert.Assert(t, !two, "seed %d: two spenders", seed)
		assert.Equal(t, excess, 0, "seed %d", seed)
	}
}

// Buckets that begin full after a takeover, or refunds that reach a later term, let an
// organisation use more than its rate and burst. The walks must show it.
func TestBucketSafeguardsAreNeeded(t *testing.T) {
	for name, l := range map[string]ledgerOfSpend{
		"full start":            {fullStart: true},
		"refund to a late term": {refundAnyTerm: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				s := scope{nodes: 2 + int(seed%4), claims: 12, crashes: 4}
				if excess, _ := walk(s, l, seed, 600); excess > 0 {
					t.Logf("seed %d: %d tokens too many", seed, excess)
					return
				}
			}
			t.Fatal("no walk passes the bound")
		})
	}
}
