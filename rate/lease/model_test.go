package lease

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cairnworks/cairnworks/request"
)

// Safeguards that a scope may disable, without a change to the code under test.
const (
	noWait      = "successor does not wait"
	noFence     = "member extends a fenced term"
	lateRead    = "read valid from its end"
	lateExtend  = "extension valid from its acknowledgement"
	anyRun      = "restarted member acknowledges Extend"
	noDrift     = "no margin for clock drift"
	noOutageEnd = "extensions not limited by the outage period"
)

// scope bounds a state space search.
//
// Reads and acknowledgements take effect at once unless delayed is set. A delayed read is
// valid from the time it began, so it does not let a holder spend for longer than a read
// that ended at once and was not followed by another one. The same holds for a delayed
// acknowledgement of Extend. Delayed reads and acknowledgements of Fence make a successor
// wait longer. Requests, handovers and appends may be delayed for any time in both modes.
type scope struct {
	delayed bool
	nodes   int
	// passive restricts the last instance to the role of a fence member.
	passive                      bool
	claims, crashes, lags, reads int
	// expires is the number of records that the log may drop from its beginning.
	expires int
	// disabled is the safeguard that is disabled, if any.
	disabled string
	// seed determines the order of the steps of a search.
	seed uint64
}

// message is a message in flight. A lost message is one that is never delivered.
type message struct {
	kind string
	to   int
	// from is the holder that sent the request or the handover.
	from     request.Holder
	request  MemberRequest
	spending bool
}

type pendingRead struct {
	startedAt time.Duration
	end       int
}

type startedTerm struct {
	node int
	Start
}

// model is one state of a fleet with one shard: its clock, processes, log and everything
// in flight.
type model struct {
	ticks                            int
	lag                              []int
	nodes                            []*Node
	log                              []Entry
	appends                          []Record
	reads                            []pendingRead
	inFlight                         []message
	claims, crashes, lags, readsLeft int
	// first is the lowest offset that the log retains.
	first, expires int
	// started are the terms that started to spend in the last step.
	started []startedTerm
}

func coarseTiming(disabled string) Timing {
	t := Timing{Lease: 2, LeaseWait: 3, Outage: 4, OutageWait: 5, ExtendAfter: 1, Restate: 1 << 40}
	switch disabled {
	case noWait:
		t.LeaseWait = 0
	case noDrift:
		t.LeaseWait = t.Lease
	case noOutageEnd:
		t.Outage = 8
	case lateExtend:
		// With a shorter outage the search would not find this fault.
		t.Outage, t.OutageWait = 8, 9
	}
	return t
}

func newModel(s scope) *model {
	md := &model{
		ticks: 1, lag: make([]int, s.nodes), reads: make([]pendingRead, s.nodes),
		claims: s.claims, crashes: s.crashes, lags: s.lags, readsLeft: s.reads, first: 1, expires: s.expires,
	}
	for i := range s.nodes {
		md.nodes = append(md.nodes, NewNode(runOf(i, 1), 1, coarseTiming(s.disabled)))
	}
	md.claimFirst()
	return md
}

// claimFirst makes the first instance claim and hold the shard.
func (md *model) claimFirst() {
	n := md.mutableNode(0)
	n.ApplyPage(1, 1, Page{First: 1, Next: 1})
	md.log = []Entry{{Offset: 1, Record: n.Tick(1, md.claimView(0)).Append[0]}}
	md.apply(0, n.ApplyPage(1, 1, Page{First: 1, Next: 2, Entries: md.log}))
}

// claimView returns the view with which instance i claims the shard, with one fence member
// as in fleets of two and three.
func (md *model) claimView(i int) View {
	self := md.nodes[i].self
	var members, others []request.Holder
	for _, n := range md.nodes {
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

func (md *model) now(i int) time.Duration { return time.Duration(md.ticks - md.lag[i]) }

// clone copies the model, so that a step does not change the state from which it starts.
func (md *model) clone() *model {
	c := *md
	c.lag = slices.Clone(md.lag)
	c.log = slices.Clip(md.log)
	c.appends = slices.Clone(md.appends)
	c.reads = slices.Clone(md.reads)
	c.inFlight = slices.Clone(md.inFlight)
	c.nodes = slices.Clone(md.nodes)
	c.started = nil
	return &c
}

// mutableNode replaces node i by a copy, which may be modified, and returns the copy.
func (md *model) mutableNode(i int) *Node {
	n := *md.nodes[i]
	n.log.shards = slices.Clone(n.log.shards)
	for s := range n.log.shards {
		n.log.shards[s].open = slices.Clip(n.log.shards[s].open)
	}
	n.held = slices.Clone(n.held)
	for s, t := range n.held {
		if t == nil {
			continue
		}
		c := *t
		c.extendSentAt = slices.Clone(t.extendSentAt)
		c.predecessors = slices.Clone(t.predecessors)
		for j := range c.predecessors {
			c.predecessors[j].fenced = slices.Clone(c.predecessors[j].fenced)
		}
		n.held[s] = &c
	}
	n.fencedUpTo = slices.Clone(n.fencedUpTo)
	n.handovers = slices.Clone(n.handovers)
	n.claims = slices.Clone(n.claims)
	md.nodes[i] = &n
	return &n
}

// key identifies a state. Clock readings enter as ages on their own clock, capped at the
// longest period with which they are compared, so that time is unbounded while the number
// of states is finite. Readings for retries and moves are left out, since their periods
// are zero here.
func (md *model) key(s scope) uint64 {
	timing := coarseTiming(s.disabled)
	var a, b [64]byte
	slices.SortFunc(md.inFlight, func(x, y message) int { return bytes.Compare(md.messageBytes(a[:0], x), md.messageBytes(b[:0], y)) })
	slices.SortFunc(md.appends, func(x, y Record) int { return bytes.Compare(recordBytes(a[:0], x), recordBytes(b[:0], y)) })
	k := make([]byte, 0, 512)
	k = append(k, byte(md.claims), byte(md.crashes), byte(md.lags), byte(md.readsLeft), byte(md.first), byte(md.expires), byte(len(md.log)), byte(len(md.appends)), byte(len(md.inFlight)))
	for _, e := range md.log {
		k = recordBytes(k, e.Record)
	}
	for _, r := range md.appends {
		k = recordBytes(k, r)
	}
	for _, m := range md.inFlight {
		k = md.messageBytes(k, m)
	}
	for i, n := range md.nodes {
		now := md.now(i)
		k = append(k, 0xff, age(now, md.reads[i].startedAt, timing.Outage), byte(md.reads[i].end), byte(n.self.Incarnation))
		k = n.bytes(k, now, timing)
	}
	return xxhash.Sum64(k)
}

// age returns the capped age of a clock reading, or a marker if there is no reading.
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
	t := n.held[0]
	if t == nil {
		return append(k, 0xfe)
	}
	k = append(k, byte(t.Term), flag(t.hasUnknown), flag(t.spending), flag(t.settled), byte(len(t.predecessors)))
	for _, at := range t.extendSentAt {
		k = append(k, age(now, at, timing.Lease))
	}
	if t.spending {
		return k
	}
	k = append(k, age(now, t.confirmedAt, timing.OutageWait))
	for _, p := range t.predecessors {
		k = append(k, byte(p.Term), flag(p.hasMajority), flag(p.ended), age(now, p.majorityAt, timing.LeaseWait))
		for _, f := range p.fenced {
			k = append(k, flag(f))
		}
	}
	return k
}

func (md *model) messageBytes(k []byte, m message) []byte {
	sent := byte(0)
	if m.kind[0] == 'e' {
		sent = age(md.now(md.nodeIndex(m.from)), m.request.SentAt, 9)
	}
	return append(k, m.kind[0], m.kind[len(m.kind)-1], byte(m.to), runByte(m.from), runByte(m.request.Member),
		byte(m.request.Term), sent, flag(m.spending))
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

// spenders counts the instances that may spend from the shard now, each by its own clock.
func (md *model) spenders() int {
	count := 0
	for i, n := range md.nodes {
		if _, ok := n.MaySpend(0, md.now(i)); ok {
			count++
		}
	}
	return count
}

// apply puts the effects of node i in flight.
func (md *model) apply(i int, e Effects) {
	self := md.nodes[i].self
	for _, st := range e.Started {
		md.started = append(md.started, startedTerm{node: i, Start: st})
	}
	for _, st := range e.Stopped {
		if st.Successor.Instance == "" || SameRun(st.Successor, self) {
			continue
		}
		md.send(message{kind: "hand over", to: md.nodeIndex(st.Successor), from: self, request: MemberRequest{Term: st.Term}, spending: st.Spending})
	}
	for _, a := range e.Extends {
		md.send(message{kind: "extend", to: md.nodeIndex(a.Member), from: self, request: a})
	}
	for _, a := range e.Fences {
		md.send(message{kind: "fence", to: md.nodeIndex(a.Member), from: self, request: a})
	}
	md.appends = append(md.appends, e.Append...)
}

// send puts a message in flight. An earlier message that differs only in its send time is
// dropped, since its delivery has no effect that the delivery of the later one lacks.
func (md *model) send(m message) {
	md.inFlight = slices.DeleteFunc(md.inFlight, func(o message) bool {
		o.request.SentAt = m.request.SentAt
		return o == m
	})
	md.inFlight = append(md.inFlight, m)
}

// dropLapsed drops messages about extensions that have lapsed and thus have no effect.
func (md *model) dropLapsed(s scope) {
	if s.disabled == lateExtend {
		return
	}
	oldest := time.Duration(md.ticks - slices.Max(md.lag))
	md.inFlight = slices.DeleteFunc(md.inFlight, func(m message) bool {
		return m.kind[0] == 'e' && m.request.SentAt+2 <= oldest
	})
}

func (md *model) nodeIndex(h request.Holder) int { return int(h.Instance[0] - 'a') }
