package lease

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// During a network partition, instances that reach the log but not one another consider
// each other dead. If every side claimed the shards of the others at once, each shard
// would change its holder every few seconds, hardly any holder would get to spend, and
// callers on all sides would be refused until the partition ends. Therefore a side claims
// from a run that is not a member at once only if it has at least half as many members as
// there are holders in the log. A smaller side waits until the run has written no record
// for longer than any live holder would, since holders restate their terms in the log.
// Sides of equal size alternate, with an exponential backoff between claims.

const (
	// contestBackoff is the first delay before a shard is claimed back from a run that
	// is not a member. It doubles with each contested loss, up to maxContestBackoff. A
	// change of the holder takes about five seconds in which nobody spends.
	contestBackoff    = 5 * time.Second
	maxContestBackoff = 5 * time.Minute
	// contestResetAfter is the time without a contested loss after which earlier ones
	// no longer count.
	contestResetAfter = 2 * maxContestBackoff
)

// runActivity is the time at which a record of a run was last read.
type runActivity struct {
	run    request.Holder
	seenAt time.Duration
}

// recordActivity updates the last activity of the runs that wrote the records of a page.
func (n *Node) recordActivity(p Page, now time.Duration) {
	if len(p.Entries) == 0 {
		return
	}
	activity := slices.Clone(n.activity)
	for _, e := range p.Entries {
		run := e.Record.Holder
		i := slices.IndexFunc(activity, func(a runActivity) bool { return a.run.Instance == run.Instance })
		if i < 0 {
			activity = append(activity, runActivity{run, now})
			continue
		}
		activity[i] = runActivity{run, now}
	}
	n.activity = activity
}

// isInactive reports whether a holder has written no record for longer than a live holder
// would. Records read while catching up with the log count from the time of that read, and
// a run without any record counts from the first full read.
func (n *Node) isInactive(holder request.Holder, now time.Duration) bool {
	last := n.firstRead
	for _, a := range n.activity {
		if SameRun(a.run, holder) {
			last = a.seenAt
		}
	}
	return now > last+n.timing.Restate+n.timing.Restate/5
}

// isMinority reports whether there are fewer members than half of the instances that hold
// shards according to the log.
func (n *Node) isMinority(members []request.Holder) bool {
	holders := make(map[string]bool)
	for shard := range n.held {
		if cur, ok := n.log.current(uint32(shard)); ok {
			holders[cur.Holder.Instance] = true
		}
	}
	return 2*len(members) < len(holders)
}

// mayClaimFromNonMember reports whether a shard may be claimed from a run that is not a
// member. If an operator declared the run stopped, it may be claimed at once.
func (n *Node) mayClaimFromNonMember(shard uint32, now time.Duration, cur ClaimedTerm, members []request.Holder) bool {
	if n.log.declaredStopped(cur) {
		return true
	}
	if n.isMinority(members) && !n.isInactive(cur.Holder, now) {
		return false
	}
	return n.claims[shard].backoffElapsed(now)
}

// resetForTerm returns the state when this instance begins a term: the contested losses are
// kept and the rest is reset.
func (c claimState) resetForTerm() claimState {
	return claimState{contestedLosses: c.contestedLosses, lostAt: c.lostAt}
}

// markLost records that the shard was lost to another run.
func (c *claimState) markLost() { c.hasNewLoss = true }

// countLoss counts a loss to a run that is not a member as contested.
func (c *claimState) countLoss(now time.Duration, holder request.Holder, members []request.Holder) {
	if !c.hasNewLoss {
		return
	}
	c.hasNewLoss = false
	if now > c.lostAt+contestResetAfter {
		c.contestedLosses = 0
	}
	if !containsRun(members, holder) {
		c.contestedLosses++
		c.lostAt = now
	}
}

func (c *claimState) backoffElapsed(now time.Duration) bool {
	if c.contestedLosses == 0 {
		return true
	}
	return now >= c.lostAt+min(contestBackoff<<min(c.contestedLosses-1, 10), maxContestBackoff)
}
