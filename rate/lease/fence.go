package lease

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// Extend answers a holder's Extend of a term that names member as fence member.
func (n *Node) Extend(member request.Holder, shard uint32, term Term) bool {
	if shard >= uint32(len(n.own)) || !SameRun(member, n.self) || n.fencedUpTo[shard] >= term {
		return false
	}
	cur, ok := n.log.current(shard)
	return !ok || cur.Term <= term
}

// Fence promises never to extend a term again, or any before it.
func (n *Node) Fence(member request.Holder, shard uint32, term Term) bool {
	if shard >= uint32(len(n.own)) {
		return false
	}
	if SameRun(member, n.self) {
		n.fencedUpTo[shard] = max(n.fencedUpTo[shard], term)
		return true
	}
	// This process listens where that run listened, so that run can receive no Extend
	// any more. The promise is kept without it.
	return member.Instance == n.self.Instance && member.Address == n.self.Address &&
		member.Incarnation < n.self.Incarnation
}

// Extended takes in an acknowledgement of an Extend.
func (n *Node) Extended(a Ask) {
	t := n.ownByTerm(a.Shard, a.Term)
	if t == nil {
		return
	}
	for i, m := range t.Holding.Fence {
		if SameRun(m, a.Member) {
			t.extended[i] = max(t.extended[i], a.SentAt)
		}
	}
}

// Fenced takes in an acknowledgement, arrived at now, of a Fence.
func (n *Node) Fenced(now time.Duration, a Ask) Effects {
	var out Effects
	if a.Shard >= uint32(len(n.own)) || n.own[a.Shard] == nil {
		return out
	}
	t := n.own[a.Shard]
	for i := range t.before {
		if t.before[i].Term == a.Term {
			t.before[i].acked(a.Member, now)
		}
	}
	n.tryStart(a.Shard, now, &out)
	return out
}

func (n *Node) ownByTerm(shard uint32, term Term) *ownTerm {
	if shard >= uint32(len(n.own)) || n.own[shard] == nil || n.own[shard].Term != term {
		return nil
	}
	return n.own[shard]
}
