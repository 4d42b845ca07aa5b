package lease

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cairnworks/cairnworks/request"
)

// Safeguards that a scope may switch off, outside the code under test.
const (
	noWait      = "successor does not wait"
	noFence     = "member extends what it fenced"
	lateRead    = "read counted from its end"
	lateExtend  = "extension counted from its acknowledgement"
	anyRun      = "restarted member extends"
	noDrift     = "no margin for clock drift"
	noOutageEnd = "extensions never end"
)

// scope bounds an exploration.
//
// Reads and acknowledgements take effect at once unless delayed is set. A late read is
// counted from its beginning and so lets a holder spend no longer than one that ended
// at once and was not followed by another; a late acknowledgement of Extend likewise;
// late reads and acknowledgements of Fence make a successor wait longer. Requests,
// hand overs and appends are on their way for any time in either mode.
type scope struct {
	delayed bool
	nodes   int
	// passive makes the last instance a fence member only.
	passive                      bool
	claims, crashes, lags, reads int
	// expires is how many records the log may drop from its beginning.
	expires int
	// broken names the safeguard that is off.
	broken string
	// seed orders the steps of a search.
	seed uint64
}

// wire is a message on its way. Losing one is never delivering it.
type wire struct {
	kind string
	to   int
	// from is the holder that asked, or that hands over.
	from     request.Holder
	ask      Ask
	spending bool
}

type flyingRead struct {
	begun time.Duration
	end   int
}

type startedAt struct {
	node int
	Start
}

// world is one state of a fleet with one shard: its clock, processes, log, and
// everything on its way.
type world struct {
	tick                             int
	lag                              []int
	nodes                            []*Node
	log                              []Entry
	appends                          []Record
	reads                            []flyingRead
	wires                            []wire
	claims, crashes, lags, readsLeft int
	// first is the lowest offset that the log retains.
	first, expires int
	// started are the terms that began in the last step.
	started []startedAt
}

func coarseTiming(broken string) Timing {
	t := Timing{Lease: 2, LeaseWait: 3, Outage: 4, OutageWait: 5, ExtendAfter: 1, Restate: 1 << 40}
	switch broken {
	case noWait:
		t.LeaseWait = 0
	case noDrift:
		t.LeaseWait = t.Lease
	case noOutageEnd:
		t.Outage = 8
	case lateExtend:
		// A short outage would hide this fault.
		t.Outage, t.OutageWait = 8, 9
	}
	return t
}

func newWorld(s scope) *world {
	w := &world{
		tick: 1, lag: make([]int, s.nodes), reads: make([]flyingRead, s.nodes),
		claims: s.claims, crashes: s.crashes, lags: s.lags, readsLeft: s.reads, first: 1, expires: s.expires,
	}
	for i := range s.nodes {
		w.nodes = append(w.nodes, NewNode(runOf(i, 1), 1, coarseTiming(s.broken)))
	}
	w.hold()
	return w
}

// hold lets the first instance take the shard.
func (w *world) hold() {
	n := w.own(0)
	n.Follow(1, 1, Page{First: 1, Next: 1})
	w.log = []Entry{{Offset: 1, Record: n.Tick(1, w.claimView(0)).Append[0]}}
	w.apply(0, n.Follow(1, 1, Page{First: 1, Next: 2, Entries: w.log}))
}

// claimView makes an instance claim the shard, with one fence member, as in fleets of
// two and three.
func (w *world) claimView(i int) View {
	self := w.nodes[i].self
	var members, others []request.Holder
	for _, n := range w.nodes {
		members = append(members, n.self)
		if n.self != self {
			others = append(others, n.self)
		}
	}
	return View{Members: members, Homes: []request.Holder{self}, Fence: others[len(others)-1:]}
}

func runOf(i int, incarnation uint64) request.Holder {
	name := string(rune('a' + i))
	return request.Holder{Instance: name, Incarnation: incarnation, Address: name}
}

func (w *world) now(i int) time.Duration { return time.Duration(w.tick - w.lag[i]) }

// clone copies a world, so that an action does not change the state it starts from.
func (w *world) clone() *world {
	c := *w
	c.lag = slices.Clone(w.lag)
	c.log = slices.Clip(w.log)
	c.appends = slices.Clone(w.appends)
	c.reads = slices.Clone(w.reads)
	c.wires = slices.Clone(w.wires)
	c.nodes = slices.Clone(w.nodes)
	c.started = nil
	return &c
}

// own returns node i ready to be changed.
func (w *world) own(i int) *Node {
	n := *w.nodes[i]
	n.log.shards = slices.Clone(n.log.shards)
	for s := range n.log.shards {
		n.log.shards[s].open = slices.Clip(n.log.shards[s].open)
	}
	n.own = slices.Clone(n.own)
	for s, t := range n.own {
		if t == nil {
			continue
		}
		c := *t
		c.extended = slices.Clone(t.extended)
		c.before = slices.Clone(t.before)
		for j := range c.before {
			c.before[j].fenced = slices.Clone(c.before[j].fenced)
		}
		n.own[s] = &c
	}
	n.fencedUpTo = slices.Clone(n.fencedUpTo)
	n.handovers = slices.Clone(n.handovers)
	n.claims = slices.Clone(n.claims)
	w.nodes[i] = &n
	return &n
}

// key identifies a state. Readings count by their age on their own clock, up to the
// longest period that they are compared with, so that time can go on without bound and
// the number of states stays finite. Left out are readings for retries and moves, whose
// periods are zero here.
func (w *world) key(s scope) uint64 {
	timing := coarseTiming(s.broken)
	var a, b [64]byte
	slices.SortFunc(w.wires, func(x, y wire) int { return bytes.Compare(w.wireBytes(a[:0], x), w.wireBytes(b[:0], y)) })
	slices.SortFunc(w.appends, func(x, y Record) int { return bytes.Compare(recordBytes(a[:0], x), recordBytes(b[:0], y)) })
	k := make([]byte, 0, 512)
	k = append(k, byte(w.claims), byte(w.crashes), byte(w.lags), byte(w.readsLeft), byte(w.first), byte(w.expires), byte(len(w.log)), byte(len(w.appends)), byte(len(w.wires)))
	for _, e := range w.log {
		k = recordBytes(k, e.Record)
	}
	for _, r := range w.appends {
		k = recordBytes(k, r)
	}
	for _, m := range w.wires {
		k = w.wireBytes(k, m)
	}
	for i, n := range w.nodes {
		now := w.now(i)
		k = append(k, 0xff, age(now, w.reads[i].begun, timing.Outage), byte(w.reads[i].end), byte(n.self.Incarnation))
		k = n.bytes(k, now, timing)
	}
	return xxhash.Sum64(k)
}

// age of a reading, or a mark if there was none.
func age(now, at, longest time.Duration) byte {
	if at == 0 {
		return 0xfd
	}
	return byte(min(now-at, longest))
}

func (n *Node) bytes(k []byte, now time.Duration, timing Timing) []byte {
	k = append(k, byte(n.log.next), byte(n.log.base), age(now, n.lastRead, timing.Outage), flag(n.hasRead), byte(n.fencedUpTo[0]),
		byte(n.claims[0].seen), byte(n.handovers[0].term), flag(n.handovers[0].spending))
	for _, h := range n.log.shards[0].open {
		k = append(k, byte(h.Term))
	}
	t := n.own[0]
	if t == nil {
		return append(k, 0xfe)
	}
	k = append(k, byte(t.Term), flag(t.unknown), flag(t.spending), flag(t.settled), byte(len(t.before)))
	for _, at := range t.extended {
		k = append(k, age(now, at, timing.Lease))
	}
	if t.spending {
		return k
	}
	k = append(k, age(now, t.confirmed, timing.OutageWait))
	for _, p := range t.before {
		k = append(k, byte(p.Term), flag(p.hasMajority), flag(p.out), age(now, p.majority, timing.LeaseWait))
		for _, f := range p.fenced {
			k = append(k, flag(f))
		}
	}
	return k
}

func (w *world) wireBytes(k []byte, m wire) []byte {
	sent := byte(0)
	if m.kind[0] == 'e' {
		sent = age(w.now(w.index(m.from)), m.ask.SentAt, 9)
	}
	return append(k, m.kind[0], m.kind[len(m.kind)-1], byte(m.to), runByte(m.from), runByte(m.ask.Member),
		byte(m.ask.Term), sent, flag(m.spending))
}

func recordBytes(k []byte, r Record) []byte {
	k = append(k, runByte(r.Holder), byte(r.Seen), byte(len(r.Claims)), byte(len(r.Restated)))
	for _, t := range r.Restated {
		k = append(k, byte(t.Term), flag(t.Settled))
	}
	for _, f := range r.Fence {
		k = append(k, runByte(f))
	}
	return k
}

func runByte(h request.Holder) byte {
	if h.Instance == "" {
		return 0
	}
	return h.Instance[0]<<4 | byte(h.Incarnation)
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// spenders counts who may spend from the shard now, each by its own clock.
func (w *world) spenders() int {
	count := 0
	for i, n := range w.nodes {
		if _, ok := n.MaySpend(0, w.now(i)); ok {
			count++
		}
	}
	return count
}

// apply puts a node's effects on their way.
func (w *world) apply(i int, e Effects) {
	self := w.nodes[i].self
	for _, st := range e.Started {
		w.started = append(w.started, startedAt{node: i, Start: st})
	}
	for _, st := range e.Stopped {
		if st.Successor.Instance == "" || SameRun(st.Successor, self) {
			continue
		}
		w.send(wire{kind: "hand over", to: w.index(st.Successor), from: self, ask: Ask{Term: st.Term}, spending: st.Spending})
	}
	for _, a := range e.Extends {
		w.send(wire{kind: "extend", to: w.index(a.Member), from: self, ask: a})
	}
	for _, a := range e.Fences {
		w.send(wire{kind: "fence", to: w.index(a.Member), from: self, ask: a})
	}
	w.appends = append(w.appends, e.Append...)
}

// send puts a message on its way. An earlier one of the same sense is dropped:
// delivering it would have no effect that delivering the later one lacks.
func (w *world) send(m wire) {
	w.wires = slices.DeleteFunc(w.wires, func(o wire) bool {
		o.ask.SentAt = m.ask.SentAt
		return o == m
	})
	w.wires = append(w.wires, m)
}

// forget drops messages about extensions that have lapsed: they change nothing.
func (w *world) forget(s scope) {
	if s.broken == lateExtend {
		return
	}
	oldest := time.Duration(w.tick - slices.Max(w.lag))
	w.wires = slices.DeleteFunc(w.wires, func(m wire) bool {
		return m.kind[0] == 'e' && m.ask.SentAt+2 <= oldest
	})
}

func (w *world) index(h request.Holder) int { return int(h.Instance[0] - 'a') }
