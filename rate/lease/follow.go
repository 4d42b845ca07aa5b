package lease

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// Follow takes in a read of the log that began at t0 and whose answer arrived at now.
func (n *Node) Follow(t0, now time.Duration, p Page) Effects {
	var out Effects
	if !n.log.apply(p) {
		n.lose(&out)
		return out
	}
	n.hear(p, now)
	for shard := range n.own {
		n.followShard(uint32(shard), now, &out)
	}
	if n.log.next >= p.Next {
		n.readToEnd(t0, now)
	}
	return out
}

func (n *Node) readToEnd(t0, now time.Duration) {
	if !n.hasRead {
		n.hasRead = true
		n.firstRead = now
	}
	n.lastRead = max(n.lastRead, t0)
}

// lose drops everything after a gap: the missing records may have held later claims.
// It happens to an instance that could not read the log for longer than its retention
// while others wrote to it.
func (n *Node) lose(out *Effects) {
	for shard, t := range n.own {
		if t != nil {
			out.Stopped = append(out.Stopped, Stop{Shard: uint32(shard), Term: t.Term, Spending: t.spending})
			n.own[shard] = nil
		}
	}
	n.log = newLedger(uint32(len(n.own)))
	n.claims = make([]claimState, len(n.own))
	n.hasRead = false
}

// followShard compares the shard's current term in the log with the held one.
func (n *Node) followShard(shard uint32, now time.Duration, out *Effects) {
	cur, ok := n.log.current(shard)
	held := n.own[shard]
	switch {
	case !ok:
	case held != nil && held.Term == cur.Term:
		n.followVouch(shard, held, out)
	case SameRun(cur.Holder, n.self) && n.mayBegin(shard, cur):
		n.begin(shard, cur, now, out)
	case held != nil:
		out.Stopped = append(out.Stopped, Stop{Shard: shard, Term: held.Term, Spending: held.spending, Successor: cur.Holder})
		n.own[shard] = nil
		n.claims[shard].lose()
	}
}

// followVouch stops a term that an operator vouched to be over, though this run holds
// it: the operator was mistaken, and another may begin on that word.
func (n *Node) followVouch(shard uint32, held *ownTerm, out *Effects) {
	if n.log.vouched(held.Holding) {
		out.Stopped = append(out.Stopped, Stop{Shard: shard, Term: held.Term, Spending: held.spending})
		n.own[shard] = nil
	}
}

// mayBegin tells a claim that has come back from a term that this run held and stopped
// under, which it must not take up again: others count it as out.
func (n *Node) mayBegin(shard uint32, cur Holding) bool {
	if n.log.vouched(cur) {
		return false
	}
	seen := n.claims[shard].seen
	return n.own[shard] != nil || seen != 0 && uint64(cur.Term) >= seen
}

// begin takes up a term whose claim has been read back.
func (n *Node) begin(shard uint32, h Holding, now time.Duration, out *Effects) {
	n.claims[shard] = n.claims[shard].begun()
	s := &n.log.shards[shard]
	t := newOwnTerm(h, s.open[:len(s.open)-1], s.complete, now)
	old := n.own[shard]
	n.own[shard] = t
	if old != nil && old.spending && n.precedes(t, old.Term) {
		t.spending = true
		out.Started = append(out.Started, Start{Shard: shard, Term: t.Term, Levels: LevelsKept, Previous: old.Term})
		return
	}
	if old != nil {
		out.Stopped = append(out.Stopped, Stop{Shard: shard, Term: old.Term, Spending: old.spending, Successor: n.self})
	}
	if ho := n.handovers[shard]; ho.term != 0 {
		t.handedOver(ho.term, ho.from, ho.spending)
	}
	n.tryStart(shard, now, out)
}

// precedes reports whether term is the last one before t.
func (n *Node) precedes(t *ownTerm, term Term) bool {
	return len(t.before) > 0 && t.before[len(t.before)-1].Term == term
}

// tryStart begins to spend if all earlier terms are out.
func (n *Node) tryStart(shard uint32, now time.Duration, out *Effects) {
	t := n.own[shard]
	if t == nil || t.spending || !t.ready(&n.log, n.timing, now) {
		return
	}
	t.spending = true
	start := Start{Shard: shard, Term: t.Term}
	if ho := n.handovers[shard]; ho.spending && n.precedes(t, ho.term) {
		start.Levels = LevelsHandedOver
		start.Previous = ho.term
	}
	out.Started = append(out.Started, start)
}

// HandOver takes in that from has stopped for good under term and all its earlier
// terms of the shard. It returns whether this instance holds or may hold a later term.
func (n *Node) HandOver(now time.Duration, shard uint32, term Term, from request.Holder, spending bool) (Effects, bool) {
	var out Effects
	if shard >= uint32(len(n.own)) || term < n.handovers[shard].term {
		return out, false
	}
	n.handovers[shard] = handOver{term: term, from: from, spending: spending}
	t := n.own[shard]
	if t == nil {
		return out, n.claims[shard].seen != 0
	}
	t.handedOver(term, from, spending)
	n.tryStart(shard, now, &out)
	return out, true
}
