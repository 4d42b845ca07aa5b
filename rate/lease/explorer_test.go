package lease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// next calls yield with every state that one step leads to.
func (w *world) next(s scope, yield func(*world)) {
	w.passing(s, yield)
	for i := range w.nodes {
		if !s.passive || i < len(w.nodes)-1 {
			w.ticking(i, yield)
			w.reading(i, s, yield)
		}
		w.crashing(i, s, yield)
	}
	if w.expires > 0 && w.first <= len(w.log) {
		c := w.clone()
		c.first++
		c.expires--
		yield(c)
	}
	for j, r := range w.appends {
		c := w.clone()
		c.appends = slices.Delete(c.appends, j, j+1)
		c.log = append(c.log, Entry{Offset: uint64(len(c.log) + 1), Record: r})
		yield(c)
	}
	for j := range w.wires {
		w.delivering(j, s, yield)
	}
}

// passing advances time for all clocks, or for all but one: the drift of one tick that
// LeaseWait and OutageWait allow for.
func (w *world) passing(s scope, yield func(*world)) {
	for i := -1; i < len(w.nodes) && (i < 0 || w.lags > 0); i++ {
		c := w.clone()
		c.tick++
		if i >= 0 {
			c.lags--
			c.lag[i]++
		}
		c.forget(s)
		yield(c)
	}
}

func (w *world) ticking(i int, yield func(*world)) {
	for _, v := range []View{{}, w.claimView(i)} {
		c := w.clone()
		e := c.own(i).Tick(c.now(i), v)
		if slices.ContainsFunc(e.Append, func(r Record) bool { return len(r.Claims) > 0 }) {
			if c.claims == 0 {
				continue
			}
			c.claims--
		}
		c.apply(i, e)
		yield(c)
	}
}

// reading begins a read, which sees the log as it is then, or ends one.
func (w *world) reading(i int, s scope, yield func(*world)) {
	c := w.clone()
	r := &c.reads[i]
	if r.begun == 0 {
		*r = flyingRead{begun: c.now(i), end: len(c.log)}
		if s.delayed {
			if c.readsLeft--; c.readsLeft >= 0 {
				yield(c)
			}
			return
		}
	}
	t0 := r.begun
	if s.broken == lateRead {
		t0 = c.now(i)
	}
	n := c.own(i)
	from := min(max(int(n.Next()), c.first)-1, r.end)
	p := Page{First: uint64(c.first), Next: uint64(r.end + 1), Entries: c.log[from:r.end]}
	*r = flyingRead{}
	c.apply(i, n.Follow(t0, c.now(i), p))
	yield(c)
}

func (w *world) crashing(i int, s scope, yield func(*world)) {
	if w.crashes == 0 {
		return
	}
	c := w.clone()
	c.crashes--
	c.reads[i] = flyingRead{}
	c.nodes[i] = NewNode(runOf(i, c.nodes[i].self.Incarnation+1), 1, coarseTiming(s.broken))
	yield(c)
}

func (w *world) delivering(j int, s scope, yield func(*world)) {
	c := w.clone()
	m := c.wires[j]
	c.wires = slices.Delete(c.wires, j, j+1)
	n := c.own(m.to)
	switch m.kind {
	case "extend":
		if s.broken == anyRun {
			m.ask.Member = n.self
		}
		ignore := s.broken == noFence && SameRun(m.ask.Member, n.self)
		if n.Extend(m.ask.Member, 0, m.ask.Term) || ignore {
			m.ask.Member = w.wires[j].ask.Member
			c.reply(s, wire{kind: "extended", to: c.index(m.from), from: m.from, ask: m.ask})
		}
	case "fence":
		if n.Fence(m.ask.Member, 0, m.ask.Term) {
			c.reply(s, wire{kind: "fenced", to: c.index(m.from), from: m.from, ask: m.ask})
		}
	case "extended", "fenced":
		c.acknowledge(s, m)
	case "hand over":
		e, _ := n.HandOver(c.now(m.to), 0, m.ask.Term, m.from, m.spending)
		c.apply(m.to, e)
	}
	yield(c)
}

// reply delivers an acknowledgement at once, or puts it on its way.
func (w *world) reply(s scope, m wire) {
	if s.delayed {
		w.send(m)
		return
	}
	w.acknowledge(s, m)
}

func (w *world) acknowledge(s scope, m wire) {
	n := w.own(m.to)
	if s.broken == lateExtend {
		m.ask.SentAt = w.now(m.to)
	}
	switch {
	case !SameRun(n.self, m.from):
	case m.kind == "fenced":
		w.apply(m.to, n.Fenced(w.now(m.to), m.ask))
	default:
		n.Extended(m.ask)
	}
}

// explore visits every state within the scope, up to limit, and returns how many there
// are and the first one with two spenders. Steps are taken in a seeded random order,
// since a fault is often found sooner that way.
func explore(s scope, limit int) (states int, bad *world) {
	rng := rand.New(rand.NewPCG(s.seed, 2))
	start := newWorld(s)
	seen := map[uint64]struct{}{start.key(s): {}}
	stack := []*world{start}
	for len(stack) > 0 && len(seen) < limit {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if w.spenders() > 1 {
			return len(seen), w
		}
		from := len(stack)
		w.next(s, func(c *world) {
			k := c.key(s)
			if _, ok := seen[k]; !ok {
				seen[k] = struct{}{}
				stack = append(stack, c)
			}
		})
		fresh := stack[from:]
		rng.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	}
	return len(seen), nil
}

// Messages are lost and reordered, an instance is paused, restarted or cut off, the
// log is down for a while or drops old records, clocks drift. Nobody may find two homes
// spending from one shard: an organisation would get its rate twice.
func TestNeverTwoSpenders(t *testing.T) {
	t.Parallel()
	for _, s := range []scope{
		{nodes: 2, claims: 1, lags: 1},
		{nodes: 2, claims: 1, crashes: 1},
		{nodes: 2, claims: 1, expires: 1},
		{nodes: 2, claims: 1, reads: 2, delayed: true},
		{nodes: 3, passive: true, claims: 1},
	} {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			t.Parallel()
			states, bad := explore(s, math.MaxInt)
			t.Logf("%d states", states)
			assert.Assert(t, bad == nil, "two spenders: %+v", bad)
		})
	}
}

// BenchmarkExplore searches scopes that take too long for the tests.
func BenchmarkExplore(b *testing.B) {
	for _, s := range []scope{
		{nodes: 2, claims: 2},
		{nodes: 2, claims: 1, crashes: 1, lags: 1, expires: 1},
		{nodes: 2, claims: 1, reads: 3, delayed: true},
		{nodes: 3, claims: 1},
	} {
		b.Run(fmt.Sprintf("%+v", s), func(b *testing.B) {
			for b.Loop() {
				states, bad := explore(s, 2_000_000)
				assert.Assert(b, bad == nil, "two spenders: %+v", bad)
				b.ReportMetric(float64(states), "states")
			}
		})
	}
}

// Each safeguard is switched off in turn. The search must then find two spenders;
// otherwise the safeguard is not needed or the search does not see its failure.
func TestEachSafeguardIsNeeded(t *testing.T) {
	t.Parallel()
	for _, s := range []scope{
		{nodes: 2, claims: 1, broken: noWait, seed: 9},
		{nodes: 2, claims: 1, broken: noFence, seed: 6},
		{nodes: 2, claims: 1, reads: 3, delayed: true, broken: lateRead, seed: 3},
		{nodes: 2, claims: 1, reads: 2, delayed: true, broken: lateExtend, seed: 11},
		{nodes: 3, passive: true, claims: 1, crashes: 1, broken: anyRun, seed: 8},
		{nodes: 2, claims: 1, lags: 1, broken: noDrift, seed: 9},
		{nodes: 3, passive: true, claims: 1, broken: noOutageEnd, seed: 9},
	} {
		t.Run(s.broken, func(t *testing.T) {
			t.Parallel()
			states, bad := explore(s, 400_000)
			assert.Assert(t, bad != nil, "no fault in %d states", states)
			t.Logf("found after %d states", states)
		})
	}
}
