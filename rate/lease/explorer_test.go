package lease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// nextStates calls yield with every state that is reachable in one step.
func (md *model) nextStates(s scope, yield func(*model)) {
	md.advance(s, yield)
	for i := range md.nodes {
		if !s.passive || i < len(md.nodes)-1 {
			md.tick(i, yield)
			md.read(i, s, yield)
		}
		md.crash(i, s, yield)
	}
	if md.expires > 0 && md.first <= len(md.log) {
		c := md.clone()
		c.first++
		c.expires--
		yield(c)
	}
	for j, r := range md.appends {
		c := md.clone()
		c.appends = slices.Delete(c.appends, j, j+1)
		c.log = append(c.log, Entry{Offset: uint64(len(c.log) + 1), Record: r})
		yield(c)
	}
	for j := range md.inFlight {
		md.deliver(j, s, yield)
	}
}

// advance advances all clocks, or all but one, by a tick. A clock that falls behind models
// the drift of one tick that LeaseWait and OutageWait tolerate.
func (md *model) advance(s scope, yield func(*model)) {
	for i := -1; i < len(md.nodes) && (i < 0 || md.lags > 0); i++ {
		c := md.clone()
		c.ticks++
		if i >= 0 {
			c.lags--
			c.lag[i]++
		}
		c.dropLapsed(s)
		yield(c)
	}
}

func (md *model) tick(i int, yield func(*model)) {
	for _, v := range []View{{}, md.claimView(i)} {
		c := md.clone()
		e := c.mutableNode(i).Tick(c.now(i), v)
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

// read begins a read, which returns the log as of that time, or completes one.
func (md *model) read(i int, s scope, yield func(*model)) {
	c := md.clone()
	r := &c.reads[i]
	if r.startedAt == 0 {
		*r = pendingRead{startedAt: c.now(i), end: len(c.log)}
		if s.delayed {
			if c.readsLeft--; c.readsLeft >= 0 {
				yield(c)
			}
			return
		}
	}
	t0 := r.startedAt
	if s.disabled == lateRead {
		t0 = c.now(i)
	}
	n := c.mutableNode(i)
	from := min(max(int(n.Next()), c.first)-1, r.end)
	p := Page{First: uint64(c.first), Next: uint64(r.end + 1), Entries: c.log[from:r.end]}
	*r = pendingRead{}
	c.apply(i, n.ApplyPage(t0, c.now(i), p))
	yield(c)
}

func (md *model) crash(i int, s scope, yield func(*model)) {
	if md.crashes == 0 {
		return
	}
	c := md.clone()
	c.crashes--
	c.reads[i] = pendingRead{}
	c.nodes[i] = NewNode(runOf(i, c.nodes[i].self.Incarnation+1), 1, coarseTiming(s.disabled))
	yield(c)
}

func (md *model) deliver(j int, s scope, yield func(*model)) {
	c := md.clone()
	m := c.inFlight[j]
	c.inFlight = slices.Delete(c.inFlight, j, j+1)
	n := c.mutableNode(m.to)
	switch m.kind {
	case "extend":
		if s.disabled == anyRun {
			m.request.Member = n.self
		}
		ignore := s.disabled == noFence && SameRun(m.request.Member, n.self)
		if n.Extend(m.request.Member, 0, m.request.Term) || ignore {
			m.request.Member = md.inFlight[j].request.Member
			c.reply(s, message{kind: "extended", to: c.nodeIndex(m.from), from: m.from, request: m.request})
		}
	case "fence":
		if n.Fence(m.request.Member, 0, m.request.Term) {
			c.reply(s, message{kind: "fenced", to: c.nodeIndex(m.from), from: m.from, request: m.request})
		}
	case "extended", "fenced":
		c.acknowledge(s, m)
	case "hand over":
		e, _ := n.HandOver(c.now(m.to), 0, m.request.Term, m.from, m.spending)
		c.apply(m.to, e)
	}
	yield(c)
}

// reply delivers an acknowledgement at once or, with delayed set, puts it in flight.
func (md *model) reply(s scope, m message) {
	if s.delayed {
		md.send(m)
		return
	}
	md.acknowledge(s, m)
}

func (md *model) acknowledge(s scope, m message) {
	n := md.mutableNode(m.to)
	if s.disabled == lateExtend {
		m.request.SentAt = md.now(m.to)
	}
	switch {
	case !SameRun(n.self, m.from):
	case m.kind == "fenced":
		md.apply(m.to, n.HandleFenced(md.now(m.to), m.request))
	default:
		n.HandleExtended(m.request)
	}
}

// explore visits the states within the scope, at most limit of them. It returns the number
// of states and the first state with two spenders. Steps are taken in a seeded random
// order, which often finds a fault sooner.
func explore(s scope, limit int) (states int, bad *model) {
	rng := rand.New(rand.NewPCG(s.seed, 2))
	start := newModel(s)
	seen := map[uint64]struct{}{start.key(s): {}}
	stack := []*model{start}
	for len(stack) > 0 && len(seen) < limit {
		md := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if md.spenders() > 1 {
			return len(seen), md
		}
		from := len(stack)
		md.nextStates(s, func(c *model) {
			k := c.key(s)
			if _, ok := seen[k]; !ok {
				seen[k] = struct{}{}
				stack = append(stack, c)
			}
		})
		added := stack[from:]
		rng.Shuffle(len(added), func(i, j int) { added[i], added[j] = added[j], added[i] })
	}
	return len(seen), nil
}

// Guards against two homes that spend from one shard, which would give an organisation its
// rate twice. Messages are lost and reordered, an instance is paused, restarted or cut
// off, the log is unavailable or drops old records, and clocks drift.
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

// BenchmarkExplore searches scopes that take too long for a test run.
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

// Disables each safeguard in turn. The search must then find two spenders; otherwise the
// safeguard is unnecessary or the search cannot detect its absence.
func TestEachSafeguardIsNeeded(t *testing.T) {
	t.Parallel()
	for _, s := range []scope{
		{nodes: 2, claims: 1, disabled: noWait, seed: 9},
		{nodes: 2, claims: 1, disabled: noFence, seed: 6},
		{nodes: 2, claims: 1, reads: 3, delayed: true, disabled: lateRead, seed: 3},
		{nodes: 2, claims: 1, reads: 2, delayed: true, disabled: lateExtend, seed: 11},
		{nodes: 3, passive: true, claims: 1, crashes: 1, disabled: anyRun, seed: 8},
		{nodes: 2, claims: 1, lags: 1, disabled: noDrift, seed: 9},
		{nodes: 3, passive: true, claims: 1, disabled: noOutageEnd, seed: 9},
	} {
		t.Run(s.disabled, func(t *testing.T) {
			t.Parallel()
			states, bad := explore(s, 400_000)
			assert.Assert(t, bad != nil, "no fault in %d states", states)
			t.Logf("found after %d states", states)
		})
	}
}
