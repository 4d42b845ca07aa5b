package placement

import "time"

// LimitPolicy configures how the concurrency limit follows the token rate.
type LimitPolicy struct {
	// MinCutFactor is the lowest factor by which one reduction multiplies the limit, so
	// that a single outlier does not drain an upstream.
	MinCutFactor float64
	// Tolerance is the multiple of the target above which an answer counts as slow. 95 %
	// of answers meet the target, so a single one just above it is no evidence.
	Tolerance float64
	// MinSlotShare is the share of the slots that is kept when the whole group misses the
	// target. Fewer requests per upstream then do not restore the target, and further
	// reductions would only refuse more requests.
	MinSlotShare float64
}

// DefaultLimitPolicy at most halves a limit at a time; docs/LOAD.md has the parameter sweeps.
var DefaultLimitPolicy = LimitPolicy{MinCutFactor: 0.5, Tolerance: 1.05, MinSlotShare: 0.25}

// AnswerStats describes a finished answer of a decode upstream.
type AnswerStats struct {
	// Granted is when the request got its slot, RunningAtGrant the size of the batch that
	// it joined.
	Granted        time.Time
	RunningAtGrant int
	// TimeBetweenTokens is the mean over the answer, Target the highest acceptable one.
	TimeBetweenTokens time.Duration
	Target            time.Duration
	// GroupSlow reports whether the mean of the whole group misses the target as well.
	GroupSlow bool
	Policy    LimitPolicy
}

// Limit is the number of concurrent requests that a decode upstream is given. It starts at
// the number of slots, is reduced in proportion when answers are slower than the target,
// and grows by one for each full round of answers within it (additive increase,
// multiplicative decrease, as in TCP), or with time while the upstream is idle. The zero
// value is a full limit.
type Limit struct {
	// reduction is the number of slots minus the limit.
	reduction float64
	// reducedAt is the time of the last reduction. Answers whose requests were granted
	// before it ran in the larger batch and do not show how the smaller one performs.
	reducedAt time.Time
	// idleSince is when the upstream last held a request or its limit was last raised.
	idleSince time.Time
}

// RaiseInterval is the idle time after which a reduced limit doubles. Limits grow with
// answers, and an upstream with a very low limit looks full next to upstreams with free
// capacity, so it would never get the request that shows its recovery. An idle upstream of
// twenty slots regains its full limit after 25 s. The first slow answer reduces the limit
// again, so an upstream that is still slow costs only a few requests in that time, about as
// many as health probes do.
const RaiseInterval = 5 * time.Second

// raise doubles the limit of an upstream that has been idle for RaiseInterval.
func (l *Limit) raise(slots, running int, now time.Time) {
	if l.reduction == 0 || running > 0 || l.idleSince.IsZero() {
		l.idleSince = now
		return
	}
	if now.Sub(l.idleSince) >= RaiseInterval {
		l.idleSince = now
		l.set(slots, 2*(float64(slots)-l.reduction))
	}
}

// allowed returns the limit in whole requests, at least 1.
func (l *Limit) allowed(slots int) int {
	return min(slots, max(1, int(float64(slots)-l.reduction)))
}

// observe reduces the limit after a slow answer, and raises it after one within the target.
func (l *Limit) observe(slots, running int, now time.Time, r AnswerStats) {
	if r.TimeBetweenTokens <= 0 || !r.Granted.After(l.reducedAt) {
		return
	}
	limit := float64(l.allowed(slots))
	if float64(r.TimeBetweenTokens) > float64(r.Target)*r.Policy.Tolerance {
		factor := max(r.Policy.MinCutFactor, float64(r.Target)/float64(r.TimeBetweenTokens))
		reduced := min(limit, float64(max(1, r.RunningAtGrant))) * factor
		if r.GroupSlow {
			reduced = max(reduced, min(limit, r.Policy.MinSlotShare*float64(slots)))
		}
		l.set(slots, reduced)
		l.reducedAt = now
		return
	}
	// Only an answer from a batch near the limit indicates that a larger one is possible.
	if l.reduction > 0 && running >= int(limit)-1 {
		l.set(slots, float64(slots)-l.reduction+1/limit)
	}
}

// set stores a limit, bounded to between 1 and the number of slots.
func (l *Limit) set(slots int, limit float64) {
	l.reduction = min(max(0, float64(slots)-limit), float64(slots-1))
}
