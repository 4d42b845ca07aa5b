package lease

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// ApplyPage applies a page of the log. The read began at t0 and returned at now.
func (n *Node) ApplyPage(t0, now time.Duration, p Page) Effects {
	var out Effects
	if !n.log.apply(p) {
		n.resetAfterGap(&out)
		return out
	}
	n.recordActivity(p, now)
	for shard := range n.held {
		n.updateShard(uint32(shard), now, &out)
	}
	if n.log.next >= p.Next {
		n.recordFullRead(t0, now)
	}
	return out
}

func (n *Node) recordFullRead(t0, now time.Duration) {
	if !n.hasRead {
		n.hasRead = true
		n.firstRead = now
	}
	n.lastRead = max(n.lastRead, t0)
}

// resetAfterGap drops all state if records of the log are missing, since these may have
// contained later claims. This happens when an instance could not read the log for longer
// than the log's retention while other instances wrote to it.
func (n *Node) resetAfterGap(out *Effects) {
	for shard, t := range n.held {
		if t != nil {
			out.Stopped = append(out.Stopped, Stop{Shard: uint32(shard), Term: t.Term, Spending: t.spending})
			n.held[shard] = nil
		}
	}
	n.log = newLogState(uint32(len(n.held)))
	n.claims = make([]claimState, len(n.held))
	n.hasRead = false
}

// updateShard compares the shard's current term in the log with the held term.
func (n *Node) updateShard(shard uint32, now time.Duration, out *Effects) {
	cur, ok := n.log.current(shard)
	held := n.held[shard]
	switch {
	case !ok:
	case held != nil && held.Term == cur.Term:
		n.stopIfDeclared(shard, held, out)
	case SameRun(cur.Holder, n.self) && n.mayBegin(shard, cur):
		n.begin(shard, cur, now, out)
	case held != nil:
		out.Stopped = append(out.Stopped, Stop{Shard: shard, Term: held.Term, Spending: held.spending, Successor: cur.Holder})
		n.held[shard] = nil
		n.claims[shard].markLost()
	}
}

// stopIfDeclared stops the held term if an operator declared this run stopped. The operator
// was wrong, but another instance may already spend because of the declaration.
func (n *Node) stopIfDeclared(shard uint32, held *heldTerm, out *Effects) {
	if n.log.declaredStopped(held.ClaimedTerm) {
		out.Stopped = append(out.Stopped, Stop{Shard: shard, Term: held.Term, Spending: held.spending})
		n.held[shard] = nil
	}
}

// mayBegin reports whether cur is a new claim of this run. A term that this run has already
// stopped must not be begun again, because other instances count it as ended.
func (n *Node) mayBegin(shard uint32, cur ClaimedTerm) bool {
	if n.log.declaredStopped(cur) {
		return false
	}
	seen := n.claims[shard].seen
	return n.held[shard] != nil || seen != 0 && uint64(cur.Term) >= seen
}

// begin starts to hold a term whose claim has been read back.
func (n *Node) begin(shard uint32, h ClaimedTerm, now time.Duration, out *Effects) {
	n.claims[shard] = n.claims[shard].resetForTerm()
	s := &n.log.shards[shard]
	t := newHeldTerm(h, s.open[:len(s.open)-1], s.complete, now)
	old := n.held[shard]
	n.held[shard] = t
	if old != nil && old.spending && n.precedes(t, old.Term) {
		t.spending = true
		out.Started = append(out.Started, Start{Shard: shard, Term: t.Term, Levels: LevelsKept, Previous: old.Term})
		return
	}
	if old != nil {
		out.Stopped = append(out.Stopped, Stop{Shard: shard, Term: old.Term, Spending: old.spending, Successor: n.self})
	}
	if ho := n.handovers[shard]; ho.term != 0 {
		t.handleHandOver(ho.term, ho.from, ho.spending)
	}
	n.tryStart(shard, now, out)
}

// precedes reports whether term is the last term before t.
func (n *Node) precedes(t *heldTerm, term Term) bool {
	return len(t.predecessors) > 0 && t.predecessors[len(t.predecessors)-1].Term == term
}

// tryStart begins to spend if all earlier terms have ended.
func (n *Node) tryStart(shard uint32, now time.Duration, out *Effects) {
	t := n.held[shard]
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

// HandOver handles the report that from has stopped for good under term and under all its
// earlier terms of the shard. It returns whether this instance holds or may hold a later
// term.
func (n *Node) HandOver(now time.Duration, shard uint32, term Term, from request.Holder, spending bool) (Effects, bool) {
	var out Effects
	if shard >= uint32(len(n.held)) || term < n.handovers[shard].term {
		return out, false
	}
	n.handovers[shard] = handOver{term: term, from: from, spending: spending}
	t := n.held[shard]
	if t == nil {
		return out, n.claims[shard].seen != 0
	}
	t.handleHandOver(term, from, spending)
	n.tryStart(shard, now, &out)
	return out, true
}
