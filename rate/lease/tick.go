package lease

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// minSpareMembers is the number of live members beyond a majority below which a holder
// replaces its fence set. With one spare, a fence set of five is replaced after its second
// loss, while a majority is still alive, and not after its third.
const minSpareMembers = 1

// Tick begins to spend under terms that have waited long enough, sends requests to fence
// members and claims the shards assigned to this instance. It must be called several times
// a second.
func (n *Node) Tick(now time.Duration, v View) Effects {
	var out Effects
	for shard := range n.held {
		n.tickHeld(uint32(shard), now, &out)
	}
	if !n.hasRead || now >= n.lastRead+n.timing.Lease {
		// A claim based on an outdated read is likely to be invalid.
		return out
	}
	if claims := n.claimsDue(now, v); len(claims) > 0 {
		out.Append = append(out.Append, Record{Holder: n.self, Fence: v.Fence, Seen: n.log.next, Claims: claims})
	}
	n.restateDue(now, &out)
	return out
}

func (n *Node) tickHeld(shard uint32, now time.Duration, out *Effects) {
	t := n.held[shard]
	if t == nil {
		return
	}
	n.tryStart(shard, now, out)
	if t.requestedAt != 0 && now < t.requestedAt+n.timing.Resend {
		return
	}
	sent := n.requestExtends(shard, t, now, out)
	if n.requestFences(shard, t, now, out) || sent {
		t.requestedAt = now
	}
}

// requestExtends sends Extend to the fence set while the log cannot be read.
func (n *Node) requestExtends(shard uint32, t *heldTerm, now time.Duration, out *Effects) bool {
	if now < n.lastRead+n.timing.ExtendAfter || now >= n.lastRead+n.timing.Outage {
		return false
	}
	for _, m := range t.ClaimedTerm.Fence {
		out.Extends = append(out.Extends, MemberRequest{Member: m, Shard: shard, Term: t.Term, SentAt: now})
	}
	return len(t.ClaimedTerm.Fence) > 0
}

// requestFences sends Fence to the fence sets of predecessors that have not ended.
func (n *Node) requestFences(shard uint32, t *heldTerm, now time.Duration, out *Effects) bool {
	if t.spending {
		return false
	}
	sent := false
	for i := range t.predecessors {
		p := &t.predecessors[i]
		if p.ended || p.hasMajority {
			continue
		}
		for j, m := range p.Fence {
			if p.fenced[j] {
				continue
			}
			if SameRun(m, n.self) {
				n.Fence(m, shard, p.Term)
				p.recordFenced(m, now)
				continue
			}
			out.Fences = append(out.Fences, MemberRequest{Member: m, Shard: shard, Term: p.Term, SentAt: now})
			sent = true
		}
	}
	return sent
}

// claimsDue returns the shards that this instance should claim now.
func (n *Node) claimsDue(now time.Duration, v View) []uint32 {
	if now < n.firstRead+n.timing.ClaimDelay || !containsRun(v.Members, n.self) {
		return nil
	}
	var due []uint32
	refresh := n.lastRefresh == 0 || now >= n.lastRefresh+n.timing.AppendRetry
	for shard := range n.held {
		if n.claimPending(uint32(shard), now) || !n.shouldClaim(uint32(shard), now, v, refresh) {
			continue
		}
		n.claims[shard].seen = n.log.next
		n.claims[shard].sentAt = now
		due = append(due, uint32(shard))
	}
	return due
}

// claimPending reports whether a claim was sent recently and may still appear in the log.
func (n *Node) claimPending(shard uint32, now time.Duration) bool {
	c := &n.claims[shard]
	return c.seen != 0 && now < c.sentAt+n.timing.AppendRetry
}

// shouldClaim reports whether to claim a shard.
func (n *Node) shouldClaim(shard uint32, now time.Duration, v View, refresh bool) bool {
	if t := n.held[shard]; t != nil {
		if refresh && t.spending && n.shouldReplaceFence(t, v) {
			n.lastRefresh = now
			return true
		}
		return false
	}
	c := &n.claims[shard]
	if int(shard) >= len(v.Homes) || !SameRun(v.Homes[shard], n.self) {
		c.isAssigned = false
		return false
	}
	cur, ok := n.log.current(shard)
	c.countLoss(now, cur.Holder, v.Members)
	switch {
	case !ok && !n.log.shards[shard].complete && n.log.allStopped == 0:
		return now >= n.firstRead+n.timing.UnknownDelay
	case !ok || SameRun(cur.Holder, n.self):
		return true
	case !containsRun(v.Members, cur.Holder):
		return n.mayClaimFromNonMember(shard, now, cur, v.Members)
	default:
		return n.shouldMove(c, now)
	}
}

// shouldMove reports whether to claim a shard from a live home. Shards are moved one at a
// time, after they have been assigned to this instance for Timing.MoveAfter, because each
// move drops the refunds of requests that are still running.
func (n *Node) shouldMove(c *claimState, now time.Duration) bool {
	if !c.isAssigned {
		c.isAssigned = true
		c.assignedAt = now
	}
	if now < c.assignedAt+n.timing.MoveAfter || now < n.lastMove+n.timing.MoveEvery {
		return false
	}
	n.lastMove = now
	return true
}

// shouldReplaceFence reports whether a term's fence set has lost so many members that it
// should be replaced, or is smaller than the one that the fleet now allows.
func (n *Node) shouldReplaceFence(t *heldTerm, v View) bool {
	if len(v.Fence) > len(t.ClaimedTerm.Fence) {
		return true
	}
	alive := 0
	for _, m := range t.ClaimedTerm.Fence {
		if containsRun(v.Members, m) {
			alive++
		}
	}
	lost := len(t.ClaimedTerm.Fence) - alive
	return lost > 0 && alive < majorityOf(len(t.ClaimedTerm.Fence))+minSpareMembers && !sameRuns(t.ClaimedTerm.Fence, v.Fence)
}

func sameRuns(a, b []request.Holder) bool {
	if len(a) != len(b) {
		return false
	}
	for _, h := range a {
		if !containsRun(b, h) {
			return false
		}
	}
	return true
}

// restateDue adds records that repeat the held terms that are due, one record for each
// fence set. A record has one fence set, and a term must be repeated with its own.
func (n *Node) restateDue(now time.Duration, out *Effects) {
	first := len(out.Append)
	for shard, t := range n.held {
		if t == nil || n.claimPending(uint32(shard), now) || !t.restateIsDue(n.timing, now) {
			continue
		}
		t.restatedAt = now
		t.settled = t.spending
		rec := n.recordWithFence(out, first, t.ClaimedTerm.Fence)
		rec.Restated = append(rec.Restated, Restated{Shard: uint32(shard), Term: t.Term, Settled: t.spending})
	}
}

func (t *heldTerm) restateIsDue(timing Timing, now time.Duration) bool {
	unsettled := t.spending && !t.settled && len(t.predecessors) > 0
	return unsettled || now >= t.restatedAt+timing.Restate
}

func (n *Node) recordWithFence(out *Effects, first int, fence []request.Holder) *Record {
	for i := first; i < len(out.Append); i++ {
		if sameRuns(out.Append[i].Fence, fence) {
			return &out.Append[i]
		}
	}
	out.Append = append(out.Append, Record{Holder: n.self, Fence: fence, Seen: n.log.next})
	return &out.Append[len(out.Append)-1]
}
