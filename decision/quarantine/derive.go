package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Conditions on the crashes that a part explains. Engines that crash for another reason have many parts in common by
// chance.
const (
	// minExplainedShare is the least share of the crashes between its first and its last one that a part must
	// explain, minTrustedShare that for a part with a recent answer.
	minExplainedShare = 0.5
	minTrustedShare   = 0.75
	// certainCrashes is the number of thresholds from which a part is blamed whatever its share, or if it is common.
	certainCrashes = 4
	// commonShare is the share of the requests running in its crashes above which a part is common, if there were at
	// least commonRunning requests per crash: it is in each crash as it is in each answer.
	commonShare   = 0.75
	commonRunning = 2
	// simultaneous is the time within which crashes count as one: a host or a rack ends many engines at once, and
	// whatever is popular was running on all of them.
	simultaneous = 100 * time.Millisecond
	// minDifferentRequests is the least number of different requests with a part that must have been running: if
	// one request is repeated, the whole request explains its crashes as well.
	minDifferentRequests = 2
)

// suspicion is what the crashes say about an attribute.
type suspicion struct {
	attribute Attribute
	part      bool
	// crashes are those of which it has not been acquitted.
	crashes []*crash
	// wholes are the different requests with it that were running.
	wholes map[Attribute]bool
	// answeredAt is the time of its last complete answer, if any.
	answeredAt time.Time
}

// count returns the number of crashes that count against the attribute.
func (s *suspicion) count() int {
	if !s.part {
		return len(s.crashes)
	}
	n := 0
	var counted *crash
	for _, c := range s.crashes {
		if n == 0 || c.at.Sub(counted.at) >= simultaneous || isSequel(counted, c) {
			n, counted = n+1, c
		}
	}
	return n
}

// isSequel reports whether a request was running in both crashes: it was repeated after the first one.
func isSequel(first, second *crash) bool {
	for whole := range second.running {
		if _, both := first.running[whole]; both {
			return true
		}
	}
	return false
}

// isCommon reports whether most requests have the part, culprits and others alike.
func (s *suspicion) isCommon() bool {
	running := 0
	for _, c := range s.crashes {
		running += len(c.running)
	}
	return running >= commonRunning*len(s.crashes) && float64(len(s.wholes)) > commonShare*float64(running)
}

// isBlamed reports whether an attribute was running in a crash and has not been acquitted of it.
func (t *Tracker) isBlamed(c *crash, a Attribute) bool {
	return t.answered.last(a).Before(c.at) && c.holds(a)
}

// derive derives the quarantines from the recorded crashes and answers. It returns those that begin or become
// longer.
func (t *Tracker) derive() []Quarantine {
	t.indexCrashes()
	for _, c := range t.crashes {
		c.explained = false
	}
	found := make(map[Attribute]bool)
	changed := t.explain(true, nil, found)
	changed = append(changed, t.explain(false, t.pendingParts(), found)...)
	t.liftUnexplained(found)
	return changed
}

// explain explains crashes by attributes of one kind, those that explain most first. Whole requests are not blamed
// for crashes that one of the pending parts may explain.
func (t *Tracker) explain(part bool, pending []*suspicion, found map[Attribute]bool) (changed []Quarantine) {
	for {
		best := t.bestExplanations(part, pending)
		if len(best) == 0 {
			return changed
		}
		for _, s := range best {
			found[s.attribute] = true
			if q, longer := t.quarantine(s, sameCrashes(best, s)); longer {
				changed = append(changed, q)
			}
		}
		for _, s := range best {
			for _, c := range s.crashes {
				c.explained = true
			}
		}
	}
}

// sameCrashes returns the attributes that explain the same crashes as s, which is one of them.
func sameCrashes(from []*suspicion, s *suspicion) (group []*suspicion) {
	for _, other := range from {
		if slices.Equal(other.crashes, s.crashes) {
			group = append(group, other)
		}
	}
	return group
}

// bestExplanations returns the attribute of a kind that explains most of the unexplained crashes, of which there
// are enough for a quarantine. Several are returned if they explain the same number.
func (t *Tracker) bestExplanations(part bool, pending []*suspicion) []*suspicion {
	var best []*suspicion
	for _, s := range t.suspicions(part) {
		if s.count() < t.threshold(s) || part && !t.isLikely(s) || t.mayBeExplained(s, pending) {
			continue
		}
		order := 1
		if len(best) > 0 {
			order = t.compare(s, best[0])
		}
		switch {
		case order > 0:
			best = []*suspicion{s}
		case order == 0:
			best = append(best, s)
		}
	}
	slices.SortFunc(best, func(a, b *suspicion) int { return cmp.Compare(a.attribute, b.attribute) })
	return best
}

// compare compares two suspected attributes: blame belongs to parts without a recent answer first, then to what
// explains more crashes, then to what was answered longest ago, and to the part that fewer requests have: one culprit
// for each crash is enough.
func (t *Tracker) compare(a, b *suspicion) int {
	if trusted := t.isTrusted(b); trusted != t.isTrusted(a) {
		if trusted {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(len(a.crashes), len(b.crashes)); c != 0 {
		return c
	}
	if c := b.answeredAt.Compare(a.answeredAt); c != 0 || !a.part {
		return c
	}
	return cmp.Compare(len(b.wholes), len(a.wholes))
}

// suspicions collects the unexplained crashes of all attributes of a kind.
func (t *Tracker) suspicions(part bool) map[Attribute]*suspicion {
	out := make(map[Attribute]*suspicion)
	add := func(c *crash, a, whole Attribute) {
		at := t.answered.last(a)
		if !at.Before(c.at) {
			return
		}
		s, known := out[a]
		if !known {
			s = &suspicion{attribute: a, part: part, wholes: make(map[Attribute]bool), answeredAt: at}
			out[a] = s
		}
		s.wholes[whole] = true
		if len(s.crashes) == 0 || s.crashes[len(s.crashes)-1] != c {
			s.crashes = append(s.crashes, c)
		}
	}
	for _, c := range t.crashes {
		if c.explained {
			continue
		}
		for whole, parts := range c.running {
			if !part {
				add(c, whole, whole)
				continue
			}
			for _, a := range parts {
				add(c, a, whole)
			}
		}
	}
	return out
}

// threshold returns the number of crashes at which an attribute is quarantined.
func (t *Tracker) threshold(s *suspicion) int {
	q, known := t.quarantines[s.attribute]
	switch {
	case known && !t.hasEvidence(q):
		return 1
	case !s.part:
		return t.cfg.Threshold
	case t.isTrusted(s):
		return t.cfg.TrustedPartThreshold
	default:
		return t.cfg.PartThreshold
	}
}

// hasEvidence reports whether all crashes that a quarantine explains are still recorded.
func (t *Tracker) hasEvidence(q *quarantined) bool {
	if q.adopted {
		return false
	}
	recorded := 0
	for _, c := range t.crashes {
		if q.evidence[c.key()] {
			recorded++
		}
	}
	return recorded == len(q.evidence)
}

// isTrusted reports whether a request with the attribute was answered not long before its first crash.
func (t *Tracker) isTrusted(s *suspicion) bool {
	return !s.answeredAt.IsZero() && s.crashes[0].at.Sub(s.answeredAt) < t.cfg.Trust
}

// isLikely reports whether a part is in enough of the crashes while it was suspected, and in enough different
// requests.
func (t *Tracker) isLikely(s *suspicion) bool {
	if _, known := t.quarantines[s.attribute]; known {
		return true
	}
	if len(s.wholes) < minDifferentRequests {
		return false
	}
	if s.count() >= certainCrashes*t.threshold(s) {
		return true
	}
	if s.isCommon() {
		return false
	}
	first, last := s.crashes[0].at, s.crashes[len(s.crashes)-1].at
	all := 0
	for _, c := range t.crashes {
		if !c.explained && c.hasParts() && !c.at.Before(first) && !c.at.After(last) {
			all++
		}
	}
	share := minExplainedShare
	if t.isTrusted(s) {
		share = minTrustedShare
	}
	return float64(len(s.crashes)) >= share*float64(all)
}

// pendingParts returns the parts that one more crash would quarantine.
func (t *Tracker) pendingParts() (pending []*suspicion) {
	for _, s := range t.suspicions(true) {
		if s.count() == t.cfg.PartThreshold-1 && !t.isTrusted(s) && t.isLikely(s) {
			pending = append(pending, s)
		}
	}
	return pending
}

// mayBeExplained reports whether one of the pending parts may explain so many crashes of an attribute that the
// others are not enough.
func (t *Tracker) mayBeExplained(s *suspicion, pending []*suspicion) bool {
	for _, p := range pending {
		left := 0
		for _, c := range s.crashes {
			if !slices.Contains(p.crashes, c) {
				left++
			}
		}
		if left < t.threshold(s) {
			return true
		}
	}
	return false
}

// quarantine records the quarantine of a suspected attribute, and reports whether it begins or becomes longer.
func (t *Tracker) quarantine(s *suspicion, group []*suspicion) (Quarantine, bool) {
	q, known := t.quarantines[s.attribute]
	if !known {
		if len(t.quarantines) >= t.cfg.MaxQuarantines {
			return Quarantine{}, false
		}
		q = &quarantined{Quarantine: Quarantine{Attribute: s.attribute, Part: s.part}, evidence: make(map[string]bool), threshold: t.threshold(s)}
		t.quarantines[s.attribute] = q
	}
	if q.evidence == nil {
		q.evidence = make(map[string]bool)
	}
	before, wasShared := q.Quarantine, q.shared
	for _, c := range s.crashes {
		if key := c.key(); !q.evidence[key] {
			q.evidence[key] = true
			if !q.adopted || c.at.After(before.LastCrash) {
				q.Crashes++
			}
			if c.at.After(q.LastCrash) {
				q.LastCrash = c.at
			}
		}
	}
	q.adopted = q.adopted && len(q.evidence) < q.Crashes
	q.shared, q.group = len(group) > 1, nil
	if q.shared && s.part {
		for _, other := range group {
			q.group = append(q.group, other.attribute)
		}
	}
	crashed := q.LastCrash != before.LastCrash || q.Crashes != before.Crashes
	if crashed || wasShared != q.shared {
		q.Until = q.LastCrash.Add(t.duration(q))
	}
	if crashed {
		q.trial, q.trialStart = 0, time.Time{}
	}
	return q.Quarantine, q.Quarantine != before
}

// duration returns the length of a quarantine, which doubles with each crash beyond the threshold.
func (t *Tracker) duration(q *quarantined) time.Duration {
	if q.shared {
		return t.cfg.SharedDuration
	}
	d := t.cfg.Duration
	if q.Part {
		d = t.cfg.PartDuration
	}
	for n := q.threshold; n < q.Crashes && d < t.cfg.MaxDuration; n++ {
		d = min(2*d, t.cfg.MaxDuration)
	}
	return d
}

// liftUnexplained ends quarantines whose crashes are all known and explained otherwise.
func (t *Tracker) liftUnexplained(found map[Attribute]bool) {
	for a, q := range t.quarantines {
		if !found[a] && t.hasEvidence(q) {
			delete(t.quarantines, a)
		}
	}
}
