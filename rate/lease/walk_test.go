package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/decision/bucket"
	"github.com/cairnworks/cairnworks/rate/share"
)

// A tick is one nanosecond. A bucket gains one token per tick, up to burst.
const (
	tickRate = int64(time.Second) * 1000
	burst    = 6
)

var (
	walkLimit = bucket.Limit{MilliPerSecond: tickRate, BurstMilli: burst * 1000}
	walkKey   = share.Key{Organisation: "jadran"}
)

// spentTokens is one charge with the number of its tokens that were used.
type spentTokens struct {
	at     int
	term   Term
	charge bucket.ChargeID
	tokens int
}

// spendRecorder holds the buckets of each term and records all spend of a walk.
type spendRecorder struct {
	buckets map[Term]*share.Buckets
	spent   []spentTokens
	// fullStart and refundAnyTerm disable safeguards.
	fullStart, refundAnyTerm bool
}

// createBuckets creates the buckets of the terms that started in the last step.
func (r *spendRecorder) createBuckets(md *model) {
	for _, st := range md.started {
		now := md.now(st.node)
		switch {
		case r.fullStart:
			r.buckets[st.Term] = share.NewEmpty(now - 100)
		case st.Levels == LevelsEmpty:
			r.buckets[st.Term] = share.NewEmpty(now)
		default:
			levels, filling := r.buckets[st.Previous].Snapshot(now)
			limit := func(share.Key) (bucket.Limit, bool) { return walkLimit, true }
			r.buckets[st.Term] = share.NewFromLevels(now, filling, levels, limit)
		}
	}
}

// spend takes tokens at each node that may spend, in half of the cases after a refund of
// part of an earlier charge.
func (r *spendRecorder) spend(md *model, rng *rand.Rand) {
	for i, n := range md.nodes {
		term, ok := n.MaySpend(0, md.now(i))
		if !ok {
			continue
		}
		if len(r.spent) > 0 && rng.IntN(2) == 0 {
			r.refund(md, i, term, rng)
		}
		wanted := uint64(1 + rng.IntN(burst))
		if g := r.buckets[term].Take(md.now(i), walkKey, walkLimit, wanted, true); g.Tokens > 0 {
			r.spent = append(r.spent, spentTokens{at: md.ticks, term: term, charge: g.ChargeID, tokens: int(g.Tokens)})
		}
	}
}

func (r *spendRecorder) refund(md *model, i int, term Term, rng *rand.Rand) {
	s := &r.spent[rng.IntN(len(r.spent))]
	if s.charge == 0 || s.term != term && !r.refundAnyTerm {
		return
	}
	back := rng.IntN(s.tokens + 1)
	charge := s.charge
	if s.term != term {
		charge = 1
	}
	r.buckets[term].Refund(md.now(i), walkKey, charge, uint64(back), 0)
	s.tokens -= back
	s.charge = 0
}

// excess returns by how many tokens the worst window exceeds rate*w + burst.
func (r *spendRecorder) excess() int {
	worst := 0
	for from := range r.spent {
		sum := 0
		for _, s := range r.spent[from:] {
			sum += s.tokens
			worst = max(worst, sum-burst-(s.at-r.spent[from].at))
		}
	}
	return worst
}

// walk takes random steps from the initial state. It returns the largest excess of spend
// and whether two nodes could spend at the same time.
func walk(s scope, r spendRecorder, seed uint64, steps int) (excess int, twoSpenders bool) {
	rng := rand.New(rand.NewPCG(seed, 11))
	md := newModel(s)
	r.buckets = map[Term]*share.Buckets{1: share.NewEmpty(md.now(0))}
	for range steps {
		var choices []*model
		md.nextStates(s, func(c *model) { choices = append(choices, c) })
		// At least half of the steps advance time; otherwise most would deliver messages.
		pick := 0
		if rng.IntN(2) == 0 {
			pick = rng.IntN(len(choices))
		}
		md = choices[pick]
		r.createBuckets(md)
		r.spend(md, rng)
		twoSpenders = twoSpenders || md.spenders() > 1
	}
	return r.excess(), twoSpenders
}

// Runs random faults on fleets that are too large for an exhaustive search. In no window
// may the organisation use more than its rate and burst.
func TestSpendStaysBounded(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		s := scope{nodes: 2 + int(seed%4), claims: 12, crashes: 4, expires: 3}
		excess, twoSpenders := walk(s, spendRecorder{}, seed, 600)
		assert.Assert(t, !twoSpenders, "seed %d: two spenders", seed)
		assert.Equal(t, excess, 0, "seed %d", seed)
	}
}

// Buckets that start full after a takeover, or refunds applied to a later term, let an
// organisation exceed its rate and burst. Some walk must detect each of these faults.
func TestBucketSafeguardsAreNeeded(t *testing.T) {
	for name, r := range map[string]spendRecorder{
		"full start":            {fullStart: true},
		"refund to a late term": {refundAnyTerm: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				s := scope{nodes: 2 + int(seed%4), claims: 12, crashes: 4}
				if excess, _ := walk(s, r, seed, 600); excess > 0 {
					t.Logf("seed %d: %d tokens above the bound", seed, excess)
					return
				}
			}
			t.Fatal("no walk exceeds the bound")
		})
	}
}
