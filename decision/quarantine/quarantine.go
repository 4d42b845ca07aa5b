// Package quarantine finds out which requests crash the upstreams that run them, and refuses these.
//
// Load pattern: occasionally a prompt, or a part that many prompts share, crashes every engine that
// runs it, and requests with it keep coming, through any instance. Each crash also fails about twenty
// other requests on the same engine, which share callers and other parts of their prompts.
//
// Without it: engines crash one after another, faster than they restart. With crash counts alone, the
// requests running alongside are refused too (TestCrashingPrompt and TestCrashingPart measure the
// effect on callers).
//
// Blame belongs to attributes: the whole request, and each part of its prompt that other requests may
// share.
//   - Crashes are counted by process, whoever reports them and however many requests ran there.
//   - A complete answer acquits the attributes of its request of all earlier crashes.
//   - An attribute is quarantined if it explains enough crashes of which it has not been acquitted. The
//     attribute that explains most is quarantined first, those that were answered shortly before their
//     first crash after all others, and no other is blamed for the crashes that it explains.
//   - Parts recur in unrelated requests, so more crashes are needed than for a whole request that is
//     repeated, more still if the part has been answered recently, and crashes under at least two
//     different requests.
//   - After its quarantine one request with the attribute is tried. If it crashes its upstream, the next
//     quarantine is longer.
//
// Quarantines are derived from the recorded crashes and answers, so that a further one can end a
// quarantine that another attribute explains better.
package quarantine

import (
	"slices"
	"strings"
	"time"

	"github.com/cairnworks/cairnworks/verdict"
)

// Attribute is the hash of something that requests share.
type Attribute uint64

// Request holds the attributes of a request.
type Request struct {
	// Whole identifies repetitions of the request.
	Whole Attribute
	// Parts are the parts of its prompt that other requests may share.
	Parts []Attribute
}

// attributes returns the attributes of a request.
func (r Request) attributes() []Attribute { return append([]Attribute{r.Whole}, r.Parts...) }

// Config holds the parameters of crash tracking and quarantine.
type Config struct {
	// Threshold is the number of crashes at which a whole request is quarantined, PartThreshold that for a part.
	// TrustedPartThreshold is that for a part with a complete answer in the Trust before its first crash.
	Threshold, PartThreshold, TrustedPartThreshold int
	Trust                                          time.Duration
	// Duration is the first quarantine of a whole request, PartDuration that of a part; they double with
	// each further crash up to MaxDuration.
	Duration, PartDuration, MaxDuration time.Duration
	// SharedDuration is the quarantine if several attributes explain the same crashes.
	SharedDuration time.Duration
	// CrashRetention is how long a crash counts after it happened or after the
	// quarantine it caused.
	CrashRetention time.Duration
	// DeduplicationWindow is the time within which crash reports for one upstream
	// without a process ID count as the same crash.
	DeduplicationWindow time.Duration
	// TrialTimeout is how long a request that is tried after a quarantine may take before another one is.
	TrialTimeout time.Duration
	// MaxCrashes bounds the crashes kept, MaxRunning the requests of a crash, MaxAnswered the attributes with
	// answers, MaxQuarantines the quarantines.
	MaxCrashes, MaxRunning, MaxAnswered, MaxQuarantines int
}

// MaxParts is the number of parts of a request that are tracked.
const MaxParts = 32

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		Threshold:            2,
		PartThreshold:        3,
		TrustedPartThreshold: 5,
		Trust:                time.Minute,
		Duration:             10 * time.Minute,
		PartDuration:         time.Minute,
		MaxDuration:          time.Hour,
		SharedDuration:       time.Minute,
		CrashRetention:       10 * time.Minute,
		DeduplicationWindow:  2 * time.Second,
		TrialTimeout:         10 * time.Second,
		MaxCrashes:           64,
		MaxRunning:           64,
		MaxAnswered:          16384,
		MaxQuarantines:       256,
	}
}

// Quarantine is the quarantine of an attribute.
type Quarantine struct {
	Attribute Attribute
	// Part is set for parts of prompts.
	Part bool
	// Crashes is the number of processes that crashed, LastCrash the time of the last crash.
	Crashes   int
	LastCrash time.Time
	// Until is the end of the quarantine.
	Until time.Time
}

// quarantined is a quarantine with its evidence.
type quarantined struct {
	Quarantine
	// evidence holds the keys of the crashes that it explains. adopted is set if another tracker has derived it from
	// crashes that are not all known to this one.
	evidence map[string]bool
	adopted  bool
	// threshold is the number of crashes at which it began.
	threshold int
	// shared is set if several attributes explain the same crashes. group holds them if they are parts.
	shared bool
	group  []Attribute
	// trial is the request that is tried after the quarantine, and trialStart the start of the trial.
	trial      Attribute
	trialStart time.Time
}

// Tracker records crashes and answers and derives quarantines. It is not safe for concurrent use.
type Tracker struct {
	cfg Config
	// TrialDelay, if set, returns the delay of this instance's trial after the end of a quarantine. It spreads the
	// trials of several instances, so that usually one of them is enough.
	TrialDelay func(Attribute) time.Duration

	crashes []*crash
	// answered is the time of the last complete answer by attribute.
	answered *answers
	// lastCrash is the time of the last crash by attribute.
	lastCrash   map[Attribute]time.Time
	quarantines map[Attribute]*quarantined
	// disputed are attributes that have been acquitted and that others may still refuse.
	disputed map[Attribute]bool
}

// New returns a tracker without crashes.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg: cfg, answered: newAnswers(cfg.MaxAnswered),
		lastCrash: make(map[Attribute]time.Time), quarantines: make(map[Attribute]*quarantined), disputed: make(map[Attribute]bool),
	}
}

// RecordCrash records a crash and returns the quarantines that begin or become longer with it. Reports of the
// same crash are merged.
func (t *Tracker) RecordCrash(now time.Time, c Crash) []Quarantine {
	t.RemoveExpired(now)
	if !t.addCrash(now, c) {
		return nil
	}
	return t.derive()
}

// RecordSuccess records a complete answer to a request. It returns the quarantines that end with it.
func (t *Tracker) RecordSuccess(now time.Time, r Request) []Quarantine {
	var ended []Quarantine
	for _, a := range r.Parts[:min(len(r.Parts), MaxParts)] {
		ended = append(ended, t.RecordAnswer(now, a, true)...)
	}
	if t.isTracked(r.Whole) {
		// Few whole requests are repeated, so that others are not worth remembering.
		ended = append(ended, t.RecordAnswer(now, r.Whole, true)...)
	}
	return ended
}

// RecordAnswer records that a request with an attribute was answered completely at some time. own is not set if
// another instance has reported it. It returns the quarantines that end with it.
func (t *Tracker) RecordAnswer(at time.Time, a Attribute, own bool) []Quarantine {
	before := t.answered.last(a)
	if !t.answered.record(a, at, own) {
		return nil
	}
	var ended []Quarantine
	if q, known := t.quarantines[a]; known && !q.LastCrash.After(at) {
		delete(t.quarantines, a)
		t.disputed[a] = true
		ended = append(ended, q.Quarantine)
	}
	if len(ended) > 0 || t.lastCrash[a].After(before) {
		t.derive()
	}
	return ended
}

// isTracked reports whether an attribute is in a recorded crash or quarantined.
func (t *Tracker) isTracked(a Attribute) bool {
	_, crashed := t.lastCrash[a]
	_, blocked := t.quarantines[a]
	return crashed || blocked
}

// Admit decides, before each send of a request, whether it may be sent. It returns the quarantine because of
// which it may not. After a quarantine the first request that is admitted becomes the trial.
func (t *Tracker) Admit(now time.Time, r Request) (Quarantine, bool) {
	if len(t.quarantines) == 0 {
		return Quarantine{}, true
	}
	var over []*quarantined
	for _, a := range r.attributes() {
		q, known := t.quarantines[a]
		if !known {
			continue
		}
		if !t.mayTry(now, q, r) {
			return q.Quarantine, false
		}
		over = append(over, q)
	}
	for _, q := range over {
		if q.trial != r.Whole {
			q.trial, q.trialStart = r.Whole, now
		}
	}
	return Quarantine{}, true
}

// mayTry reports whether a request with a quarantined attribute may be sent now.
func (t *Tracker) mayTry(now time.Time, q *quarantined, r Request) bool {
	if now.Before(q.Until) && !distinguishes(q.group, r) {
		return false
	}
	if !now.Before(q.Until) && t.TrialDelay != nil && now.Before(q.Until.Add(t.TrialDelay(q.Attribute))) {
		return false
	}
	return q.trial == r.Whole || q.trialStart.IsZero() || now.Sub(q.trialStart) >= t.cfg.TrialTimeout
}

// distinguishes reports whether the outcome of a request shows which attributes of a group crash upstreams: it has
// some of them, but not all.
func distinguishes(group []Attribute, r Request) bool {
	has := 0
	for _, a := range group {
		if a == r.Whole || slices.Contains(r.Parts, a) {
			has++
		}
	}
	return has < len(group)
}

// Refusal returns the verdict for a request that Admit does not admit, with the time until it may be tried as
// retry delay, or nil.
func (t *Tracker) Refusal(now time.Time, r Request) *verdict.Verdict {
	q, admitted := t.Admit(now, r)
	if admitted {
		return nil
	}
	what := "this prompt"
	if q.Part {
		what = "a part of this prompt"
	}
	left := max(q.Until.Sub(now), t.cfg.TrialTimeout)
	return verdict.Refuse(verdict.ReasonQuarantined, left, "%s crashed %d upstreams and is refused for another %v", what, q.Crashes, left.Round(time.Second))
}

// BlockedUntil returns the end of the quarantine because of which a request may not be sent now, or false.
func (t *Tracker) BlockedUntil(now time.Time, r Request) (time.Time, bool) {
	q, admitted := t.Admit(now, r)
	return q.Until, !admitted
}

// Quarantines returns the quarantines, in the order of their ends.
func (t *Tracker) Quarantines(now time.Time) []Quarantine {
	t.RemoveExpired(now)
	out := make([]Quarantine, 0, len(t.quarantines))
	for _, q := range t.quarantines {
		out = append(out, q.Quarantine)
	}
	slices.SortFunc(out, func(a, b Quarantine) int {
		if c := a.Until.Compare(b.Until); c != 0 {
			return c
		}
		return strings.Compare(a.Attribute.String(), b.Attribute.String())
	})
	return out
}

// Adopt records a quarantine that another instance has derived, unless the attribute has been acquitted since. It
// reports whether it is new.
func (t *Tracker) Adopt(now time.Time, other Quarantine) bool {
	if !t.answered.last(other.Attribute).Before(other.LastCrash) {
		t.disputed[other.Attribute] = true
		return false
	}
	if other.Until.Sub(now) > t.cfg.MaxDuration {
		other.Until = now.Add(t.cfg.MaxDuration)
	}
	q, known := t.quarantines[other.Attribute]
	if !known {
		if t.hasExplained(other) || len(t.quarantines) >= t.cfg.MaxQuarantines {
			return false
		}
		t.quarantines[other.Attribute] = &quarantined{Quarantine: other, adopted: true, threshold: t.defaultThreshold(other.Part)}
		t.derive()
		return true
	}
	if other.LastCrash.After(q.LastCrash) && other.Crashes > q.Crashes {
		q.Crashes, q.LastCrash, q.Until = other.Crashes, other.LastCrash, other.Until
	}
	return false
}

// defaultThreshold returns the number of crashes at which a request, or a part without a recent answer, is
// quarantined.
func (t *Tracker) defaultThreshold(part bool) int {
	if part {
		return t.cfg.PartThreshold
	}
	return t.cfg.Threshold
}

// hasExplained reports whether this tracker knows the crashes of a quarantine, and has explained them otherwise.
func (t *Tracker) hasExplained(other Quarantine) bool {
	n := 0
	for _, c := range t.crashes {
		if c.holds(other.Attribute) {
			n++
		}
	}
	return n >= other.Crashes
}

// Answered returns the times of the last complete answers to requests with attributes that are in recorded crashes or
// that others may refuse, for other instances. With own set, it returns only what no other instance has reported: if
// instances repeated each other's reports, the times would become later with each.
func (t *Tracker) Answered(own bool) map[Attribute]time.Time {
	out := make(map[Attribute]time.Time)
	add := func(a Attribute) {
		at := t.answered.last(a)
		if own {
			at = t.answered.lastOwn(a)
		}
		if !at.IsZero() {
			out[a] = at
		}
	}
	for a := range t.lastCrash {
		add(a)
	}
	for a := range t.disputed {
		add(a)
	}
	return out
}

// Len is the number of quarantines.
func (t *Tracker) Len() int { return len(t.quarantines) }

// IsEmpty reports whether there is nothing to tell other instances, as is usual.
func (t *Tracker) IsEmpty() bool {
	return len(t.crashes) == 0 && len(t.quarantines) == 0 && len(t.disputed) == 0
}

// Suspect reports whether the attribute is in a crash that is not explained and of which it has not been
// acquitted.
func (t *Tracker) Suspect(now time.Time, a Attribute) bool {
	for _, c := range t.crashes {
		if !c.explained && now.Sub(c.at) < t.cfg.CrashRetention && t.isBlamed(c, a) {
			return true
		}
	}
	return false
}

// RemoveExpired removes crashes and quarantines that no longer count.
func (t *Tracker) RemoveExpired(now time.Time) {
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) >= t.cfg.CrashRetention })
	for a, q := range t.quarantines {
		if now.Sub(q.Until) >= t.cfg.CrashRetention {
			delete(t.quarantines, a)
		}
	}
	for a := range t.disputed {
		if now.Sub(t.answered.last(a)) >= t.cfg.CrashRetention || len(t.disputed) > t.cfg.MaxQuarantines {
			delete(t.disputed, a)
		}
	}
	if len(t.crashes) != before {
		t.indexCrashes()
	}
}
