package placement

import "time"

const (
	// deepestCut bounds one reduction to a half, so that a single odd answer does
	// not empty an upstream.
	deepestCut = 0.5
	// tolerance is the part of the target above which an answer counts as slow:
	// the target itself is met by 95 in 100, so that single answers at its edge
	// are no sign.
	tolerance = 1.05
)

// Limit is the number of requests that a decode upstream is given at once. It
// starts at the slots, is cut in proportion when answers are slower than the
// target, and grows by one for each full round of answers within it (additive
// increase, multiplicative decrease, as in TCP). The zero value is a full limit.
type Limit struct {
	// below is by how much the limit is under the slots.
	below float64
	// cutAt is the time of the last cut. Answers granted before it ran in the
	// larger batch and say nothing about the smaller one.
	cutAt time.Time
}

func (l *Limit) allowed(slots int) int {
	return min(slots, max(1, int(float64(slots)-l.below)))
}

func (l *Limit) observe(slots, running int, granted time.Time, atGrant int, now time.Time, took, target time.Duration) {
	if took <= 0 || !granted.After(l.cutAt) {
		return
	}
	limit := float64(l.allowed(slots))
	if float64(took) > float64(target)*tolerance {
		cut := max(deepestCut, float64(target)/float64(took))
		l.set(slots, min(limit, float64(max(1, atGrant)))*cut)
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
