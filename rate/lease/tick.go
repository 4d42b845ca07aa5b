package lease

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// minAliveSpare is how many members beyond a majority a fence set of five keeps before
// the holder names another. One spare means that a second loss, not a third, is the
// one that is repaired in time.
const minAliveSpare = 1

// Tick advances waits, asks fence members, and claims what belongs here. It is called
// a few times a second.
func (n *Node) Tick(now time.Duration, v View) Effects {
	var out Effects
	for shard := range n.own {
		n.tickOwn(uint32(shard), now, &out)
	}
	if !n.hasRead || now >= n.lastRead+n.timing.Lease {
		// Without a fresh read a claim would be made on old knowledge and lose.
		return out
	}
	if claims := n.claimsDue(now, v); len(claims) > 0 {
		out.Append = append(out.Append, Record{Holder: n.self, Fence: v.Fence, Seen: n.log.next, Claims: claims})
	}
	n.restateDue(now, &out)
	return out
}

func (n *Node) tickOwn(shard uint32, now time.Duration, out *Effects) {
	t := n.own[shard]
	if t == nil {
		return
	}
	n.tryStart(shard, now, out)
	if t.asked != 0 && now < t.asked+n.timing.Resend {
		return
	}
	asked := n.askExtend(shard, t, now, out)
	if n.askFence(shard, t, now, out) || asked {
		t.asked = now
	}
}

// askExtend asks the fence set while the log is silent.
func (n *Node) askExtend(shard uint32, t *ownTerm, now time.Duration, out *Effects) bool {
	if now < n.lastRead+n.timing.ExtendAfter || now >= n.lastRead+n.timing.Outage {
		return false
	}
	for _, m := range t.Holding.Fence {
		out.Extends = append(out.Extends, Ask{Member: m, Shard: shard, Term: t.Term, SentAt: now})
	}
	return len(t.Holding.Fence) > 0
}

// askFence asks the fence sets of open earlier terms.
func (n *Node) askFence(shard uint32, t *ownTerm, now time.Duration, out *Effects) bool {
	if t.spending {
		return false
	}
	asked := false
	for i := range t.before {
		p := &t.before[i]
		if p.out || p.hasMajority {
			continue
		}
		for j, m := range p.Fence {
			if p.fenced[j] {
				continue
			}
			if SameRun(m, n.self) {
				n.Fence(m, shard, p.Term)
				p.acked(m, now)
				continue
			}
			out.Fences = append(out.Fences, Ask{Member: m, Shard: shard, Term: p.Term, SentAt: now})
			asked = true
		}
	}
	return asked
}

// claimsDue returns the shards that this instance should claim now.
func (n *Node) claimsDue(now time.Duration, v View) []uint32 {
	if now < n.firstRead+n.timing.ClaimDelay || !containsRun(v.Members, n.self) {
		return nil
	}
	var due []uint32
	refresh := n.lastRefresh == 0 || now >= n.lastRefresh+n.timing.AppendRetry
	for shard := range n.own {
		if n.claimPending(uint32(shard), now) || !n.wants(uint32(shard), now, v, refresh) {
			continue
		}
		n.claims[shard].seen = n.log.next
		n.claims[shard].since = now
		due = append(due, uint32(shard))
	}
	return due
}

// claimPending reports whether a claim was sent that may still show up soon.
func (n *Node) claimPending(shard uint32, now time.Duration) bool {
	c := &n.claims[shard]
	return c.seen != 0 && now < c.since+n.timing.AppendRetry
}

// wants decides whether to claim a shard.
func (n *Node) wants(shard uint32, now time.Duration, v View, refresh bool) bool {
	if t := n.own[shard]; t != nil {
		if refresh && t.spending && n.fenceWorn(t, v) {
			n.lastRefresh = now
			return true
		}
		return false
	}
	c := &n.claims[shard]
	if int(shard) >= len(v.Homes) || !SameRun(v.Homes[shard], n.self) {
		c.isWanted = false
		return false
	}
	cur, ok := n.log.current(shard)
	c.judgeLoss(now, cur.Holder, v.Members)
	switch {
	case !ok && !n.log.shards[shard].complete && n.log.allStopped == 0:
		return now >= n.firstRead+n.timing.UnknownDelay
	case !ok || SameRun(cur.Holder, n.self):
		return true
	case !containsRun(v.Members, cur.Holder):
		return n.mayClaimFromStranger(shard, now, cur, v.Members)
	default:
		return n.wantsFromLive(c, now)
	}
}

// wantsFromLive takes a shard from a live home once its place has been here for long
// enough, one at a time: each move drops the refunds of requests that still run.
func (n *Node) wantsFromLive(c *claimState, now time.Duration) bool {
	if !c.isWanted {
		c.isWanted = true
		c.wanted = now
	}
	if now < c.wanted+n.timing.MoveAfter || now < n.lastMove+n.timing.MoveEvery {
		return false
	}
	n.lastMove = now
	return true
}

// fenceWorn reports whether a term's fence set has lost so many members that it should
// be replaced, or is smaller than the fleet now allows.
func (n *Node) fenceWorn(t *ownTerm, v View) bool {
	if len(v.Fence) > len(t.Holding.Fence) {
		return true
	}
	alive := 0
	for _, m := range t.Holding.Fence {
		if containsRun(v.Members, m) {
			alive++
		}
	}
	lost := len(t.Holding.Fence) - alive
	return lost > 0 && alive < majorityOf(len(t.Holding.Fence))+minAliveSpare && !sameRuns(t.Holding.Fence, v.Fence)
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

// restateDue adds a record for each fence set among the held terms that are due to be
// repeated. A record has one fence set, and a term must be repeated with its own.
func (n *Node) restateDue(now time.Duration, out *Effects) {
	first := len(out.Append)
	for shard, t := range n.own {
		if t == nil || n.claimPending(uint32(shard), now) || !t.restateIsDue(n.timing, now) {
			continue
		}
		t.restated = now
		t.settled = t.spending
		rec := n.recordWithFence(out, first, t.Holding.Fence)
		rec.Restated = append(rec.Restated, Restated{Shard: uint32(shard), Term: t.Term, Settled: t.spending})
	}
}

func (t *ownTerm) restateIsDue(timing Timing, now time.Duration) bool {
	unsettled := t.spending && !t.settled && len(t.before) > 0
	return unsettled || now >= t.restated+timing.Restate
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
