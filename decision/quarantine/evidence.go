package quarantine

import (
	"container/list"
	"fmt"
	"slices"
	"time"
)

// String returns the attribute as it appears in logs.
func (a Attribute) String() string { return fmt.Sprintf("%016x", uint64(a)) }

// Crash is a report that a process of an upstream crashed.
type Crash struct {
	Upstream string
	// Process identifies the process that crashed, empty when unknown.
	Process string
	// Running lists the requests running on it, as far as the reporter knows.
	Running []Request
}

// crash is a recorded crash.
type crash struct {
	upstream, process string
	at                time.Time
	// running holds the requests that were running, by their whole attribute.
	running map[Attribute][]Attribute
	// explained is set if a quarantine explains the crash.
	explained bool
}

// key identifies the crash.
func (c *crash) key() string { return c.upstream + "/" + c.process + "/" + c.at.String() }

// holds reports whether a request with the attribute was running.
func (c *crash) holds(a Attribute) bool {
	if _, whole := c.running[a]; whole {
		return true
	}
	for _, parts := range c.running {
		if slices.Contains(parts, a) {
			return true
		}
	}
	return false
}

// hasParts reports whether a request with parts was running.
func (c *crash) hasParts() bool {
	for _, parts := range c.running {
		if len(parts) > 0 {
			return true
		}
	}
	return false
}

// addCrash records a crash or merges its report with an earlier one. It reports whether there was something new
// in it.
func (t *Tracker) addCrash(now time.Time, report Crash) bool {
	c := t.findCrash(now, report)
	if c == nil {
		c = &crash{upstream: report.Upstream, process: report.Process, at: now, running: make(map[Attribute][]Attribute)}
		t.crashes = append(t.crashes, c)
		slices.SortStableFunc(t.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
		t.crashes = t.crashes[max(0, len(t.crashes)-t.cfg.MaxCrashes):]
	}
	changed := false
	for _, r := range report.Running {
		if _, known := c.running[r.Whole]; known || len(c.running) >= t.cfg.MaxRunning {
			continue
		}
		c.running[r.Whole] = slices.Clone(r.Parts[:min(len(r.Parts), MaxParts)])
		changed = true
	}
	return changed
}

// findCrash returns the recorded crash that a report is about, or nil.
func (t *Tracker) findCrash(now time.Time, report Crash) *crash {
	for _, c := range t.crashes {
		if c.upstream != report.Upstream {
			continue
		}
		if report.Process != "" && c.process != "" {
			if report.Process == c.process {
				return c
			}
			continue
		}
		if now.Sub(c.at).Abs() < t.cfg.DeduplicationWindow {
			return c
		}
	}
	return nil
}

// indexCrashes collects the attributes in crashes.
func (t *Tracker) indexCrashes() {
	clear(t.lastCrash)
	for _, c := range t.crashes {
		for whole, parts := range c.running {
			t.lastCrash[whole] = c.at
			for _, a := range parts {
				t.lastCrash[a] = c.at
			}
		}
	}
}

// answers holds the times of the last complete answers by attribute. Those that were used least recently are
// dropped first.
type answers struct {
	limit    int
	elements map[Attribute]*list.Element
	// byUse holds values of type answer, the one used last at the front.
	byUse *list.List
}

type answer struct {
	attribute Attribute
	at        time.Time
	// ownAt is the time of the last one that was not reported by another instance.
	ownAt time.Time
}

func newAnswers(limit int) *answers {
	return &answers{limit: limit, elements: make(map[Attribute]*list.Element), byUse: list.New()}
}

// record records an answer and reports whether it is later than the last one. own is set unless another instance
// has reported it.
func (s *answers) record(a Attribute, at time.Time, own bool) (later bool) {
	element, known := s.elements[a]
	if !known {
		element = s.byUse.PushFront(&answer{attribute: a})
		s.elements[a] = element
	}
	s.byUse.MoveToFront(element)
	last := element.Value.(*answer)
	if own && at.After(last.ownAt) {
		last.ownAt = at
	}
	if later = at.After(last.at); later {
		last.at = at
	}
	if len(s.elements) > s.limit {
		oldest := s.byUse.Remove(s.byUse.Back()).(*answer)
		delete(s.elements, oldest.attribute)
	}
	return later
}

// last returns the time of the last answer, or the zero time.
func (s *answers) last(a Attribute) time.Time {
	if element, known := s.elements[a]; known {
		return element.Value.(*answer).at
	}
	return time.Time{}
}

// lastOwn returns the time of the last answer that was not reported by another instance, or the zero time.
func (s *answers) lastOwn(a Attribute) time.Time {
	if element, known := s.elements[a]; known {
		return element.Value.(*answer).ownAt
	}
	return time.Time{}
}
