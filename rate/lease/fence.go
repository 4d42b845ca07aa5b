package lease

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// Extend handles an Extend sent to member as a fence member of the term. It returns whether
// the member acknowledges it.
func (n *Node) Extend(member request.Holder, shard uint32, term Term) bool {
	if shard >= uint32(len(n.held)) || !SameRun(member, n.self) || n.fencedUpTo[shard] >= term {
		return false
	}
	cur, ok := n.log.current(shard)
	return !ok || cur.Term <= term
}

// Fence handles a Fence sent to member as a fence member of the term. If it returns true,
// the member acknowledges no further Extend of this term or of an earlier one.
func (n *Node) Fence(member request.Holder, shard uint32, term Term) bool {
	if shard >= uint32(len(n.held)) {
		return false
	}
	if SameRun(member, n.self) {
		n.fencedUpTo[shard] = max(n.fencedUpTo[shard], term)
		return true
	}
	// This process listens on the address of the earlier run, which can therefore
	// receive no further Extend, so its Fence holds without any stored state.
	return member.Instance == n.self.Instance && member.Address == n.self.Address &&
		member.Incarnation < n.self.Incarnation
}

// HandleExtended handles the acknowledgement of an Extend.
func (n *Node) HandleExtended(a MemberRequest) {
	t := n.heldByTerm(a.Shard, a.Term)
	if t == nil {
		return
	}
	for i, m := range t.ClaimedTerm.Fence {
		if SameRun(m, a.Member) {
			t.extendSentAt[i] = max(t.extendSentAt[i], a.SentAt)
		}
	}
}

// HandleFenced handles the acknowledgement of a Fence, received at now.
func (n *Node) HandleFenced(now time.Duration, a MemberRequest) Effects {
	var out Effects
	if a.Shard >= uint32(len(n.held)) || n.held[a.Shard] == nil {
		return out
	}
	t := n.held[a.Shard]
	for i := range t.predecessors {
		if t.predecessors[i].Term == a.Term {
			t.predecessors[i].recordFenced(a.Member, now)
		}
	}
	n.tryStart(a.Shard, now, &out)
	return out
}

func (n *Node) heldByTerm(shard uint32, term Term) *heldTerm {
	if shard >= uint32(len(n.held)) || n.held[shard] == nil || n.held[shard].Term != term {
		return nil
	}
	return n.held[shard]
}
