package lease

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// Instances that reach the log and not one another each take the others for dead.
// If each claimed at once what the others hold, every shard would change hands every
// few seconds, nobody would spend for long, and callers on all sides would be refused
// for as long as the cut lasts. So a run that is not among the members is only taken
// for dead at once by a side that is at least half of the fleet which the log names.
// A smaller side waits until the run has been silent in the log for longer than any
// live holder is, since holders restate their terms there. Sides of equal size share
// by pauses that grow.

const (
	// contestPause is the first pause before a shard is claimed back from a run that
	// is not among the members; it doubles up to maxContestPause. A change of hands
	// takes about five seconds in which nobody spends.
	contestPause    = 5 * time.Second
	maxContestPause = 5 * time.Minute
	// contestOver is how long a shard must stay with its holder for its past
	// contests to be forgotten.
	contestOver = 2 * maxContestPause
)

// hearing is when a record of a run was last read.
type hearing struct {
	run request.Holder
	at  time.Duration
}

// hear notes whose records a page holds.
func (n *Node) hear(p Page, now time.Duration) {
	if len(p.Entries) == 0 {
		return
	}
	heard := slices.Clone(n.heard)
	for _, e := range p.Entries {
		run := e.Record.Holder
		i := slices.IndexFunc(heard, func(h hearing) bool { return h.run.Instance == run.Instance })
		if i < 0 {
			heard = append(heard, hearing{run, now})
			continue
		}
		heard[i] = hearing{run, now}
	}
	n.heard = heard
}

// silent reports whether a holder has written nothing for longer than a live one
// would. What was read in one go at the start counts from then on.
func (n *Node) silent(holder request.Holder, now time.Duration) bool {
	last := n.firstRead
	for _, h := range n.heard {
		if SameRun(h.run, holder) {
			last = h.at
		}
	}
	return now > last+n.timing.Restate+n.timing.Restate/5
}

// isMinority reports whether fewer members are in sight than half of the instances
// that hold shards by the log.
func (n *Node) isMinority(members []request.Holder) bool {
	holders := make(map[string]bool)
	for shard := range n.own {
		if cur, ok := n.log.current(uint32(shard)); ok {
			holders[cur.Holder.Instance] = true
		}
	}
	return 2*len(members) < len(holders)
}

// mayClaimFromStranger reports whether a shard may be claimed from a run that is not
// among the members. An operator's word that the run has ended settles it.
func (n *Node) mayClaimFromStranger(shard uint32, now time.Duration, cur Holding, members []request.Holder) bool {
	if n.log.vouched(cur) {
		return true
	}
	if n.isMinority(members) && !n.silent(cur.Holder, now) {
		return false
	}
	return n.claims[shard].pauseOver(now)
}

// begun is the state of claims when a term of the own begins: what is known of
// contests stays, the rest starts anew.
func (c claimState) begun() claimState {
	return claimState{contests: c.contests, lostAt: c.lostAt}
}

// lose notes that the shard went to another run.
func (c *claimState) lose() { c.wasLost = true }

// judgeLoss counts a loss to a run that is not among the members as a contest.
func (c *claimState) judgeLoss(now time.Duration, holder request.Holder, members []request.Holder) {
	if !c.wasLost {
		return
	}
	c.wasLost = false
	if now > c.lostAt+contestOver {
		c.contests = 0
	}
	if !containsRun(members, holder) {
		c.contests++
		c.lostAt = now
	}
}

func (c *claimState) pauseOver(now time.Duration) bool {
	if c.contests == 0 {
		return true
	}
	return now >= c.lostAt+min(contestPause<<min(c.contests-1, 10), maxContestPause)
}
