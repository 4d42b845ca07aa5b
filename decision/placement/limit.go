package placement

import "time"

// LimitPolicy is how the limit follows the token rate.
type LimitPolicy struct {
	// MinCutFactor bounds one reduction, so that a single odd answer does not empty
	// an upstream.
	MinCutFactor float64
	// Tolerance is the part of the target above which an answer counts as slow:
	// the target is met by 95 in 100, so that single answers at its edge are no sign.
	Tolerance float64
	// MinSlotShare is the part of the slots that is kept when the whole group is
	// slower than the target. Then fewer requests an upstream do not bring the
	// target back, and cutting on would only refuse more.
	MinSlotShare float64
}

// DefaultLimitPolicy halves a limit at most; docs/LOAD.md has the sweeps.
var DefaultLimitPolicy = LimitPolicy{MinCutFactor: 0.5, Tolerance: 1.05, MinSlotShare: 0.25}

// ResponseStats is what a finished answer shows of its decode upstream.
type ResponseStats struct {
	// Granted is when the request got its place, RunningAtGrant the size of the
	// batch that it joined.
	Granted        time.Time
	RunningAtGrant int
	// TimeBetweenTokens is its mean time between tokens.
	TimeBetweenTokens time.Duration
	Target            time.Duration
	// GroupSlow tells that the mean of the whole group misses the target too.
	GroupSlow bool
	Policy    LimitPolicy
}

// Limit is the number of requests that a decode upstream is given at once. It
// starts at the slots, is cut in proportion when answers are slower than the
// target, and grows by one for each full round of answers within it (additive
// increase, multiplicative decrease, as in TCP), or with time while it is idle. The
// zero value is a full limit.
type Limit struct {
	// below is by how much the limit is under the slots.
	below float64
	// cutAt is the time of the last cut. Answers granted before it ran in the
	// larger batch and say nothing about the smaller one.
	cutAt time.Time
	// idleSince is when the upstream last held a request, or was last raised.
	idleSince time.Time
}

// RaiseInterval is the idle time in which a cut limit doubles. Limits grow with
// answers, and an upstream whose limit was cut far looks full beside peers with
// room: it would never be given the request whose answer shows that it is well. An
// idle upstream of twenty slots has its full limit back after 25 s; the first slow
// answer cuts it again, so that one which is still slow costs a few requests in that
// time, of the order of health trials.
const RaiseInterval = 5 * time.Second

// raise lets the limit of an idle upstream grow with time.
func (l *Limit) raise(slots, running int, now time.Time) {
	if l.below == 0 || running > 0 || l.idleSince.IsZero() {
		l.idleSince = now
		return
	}
	if now.Sub(l.idleSince) >= RaiseInterval {
		l.idleSince = now
		l.set(slots, 2*(float64(slots)-l.below))
	}
}

func (l *Limit) allowed(slots int) int {
	return min(slots, max(1, int(float64(slots)-l.below)))
}

func (l *Limit) observe(slots, running int, now time.Time, a ResponseStats) {
	if a.TimeBetweenTokens <= 0 || !a.Granted.After(l.cutAt) {
		return
	}
	limit := float64(l.allowed(slots))
	if float64(a.TimeBetweenTokens) > float64(a.Target)*a.Policy.Tolerance {
		cut := max(a.Policy.MinCutFactor, float64(a.Target)/float64(a.TimeBetweenTokens))
		cutTo := min(limit, float64(max(1, a.RunningAtGrant))) * cut
		if a.GroupSlow {
			cutTo = max(cutTo, min(limit, a.Policy.MinSlotShare*float64(slots)))
		}
		l.set(slots, cutTo)
		l.cutAt = now
		return
	}
	// Only a batch near the limit shows that a larger one may be tried.
	if l.below > 0 && running >= int(limit)-1 {
		l.set(slots, float64(slots)-l.below+1/limit)
	}
}

func (l *Limit) set(slots int, limit float64) {
	l.below = min(max(0, float64(slots)-limit), float64(slots-1))
}
