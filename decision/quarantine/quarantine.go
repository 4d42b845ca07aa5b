// Package quarantine identifies requests that crash the upstreams running them.
//
// Load pattern: occasionally a prompt crashes every engine that runs it, and its
// caller or a retry sends it again. Each crash also fails about twenty other requests
// running on the same engine.
//
// Without it: the prompt crashes one engine after another, faster than they restart.
// With crash counts alone, the requests running alongside it are counted too, are
// retried with it and refused with it (TestCrashingPrompt measures the effect on
// callers).
//
// Rules:
//   - A crash is counted once for every fingerprint that was running on the
//     upstream. One crash of one process is counted once, however many callers
//     report it.
//   - A fingerprint is quarantined at its second crash. If exactly one of the
//     running fingerprints had crashed before, the crash is attributed to it and not
//     counted for the others.
//   - A success clears the fingerprint, since it shows that the request can run.
//   - Suspects, fingerprints with one crash, should be placed on different upstreams,
//     so that a second crash can be attributed to one of them; see Tracker.Suspect.
package quarantine

import (
	"container/list"
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/verdict"
)

// Config holds the parameters of crash tracking and quarantine.
type Config struct {
	// Threshold is the number of crashes at which a fingerprint is refused.
	Threshold int
	// Duration is the first quarantine of a fingerprint whose last crash is attributed
	// to it alone; it doubles with each further crash up to MaxDuration.
	Duration    time.Duration
	MaxDuration time.Duration
	// SharedDuration is the quarantine when a crash is attributed to several suspects.
	SharedDuration time.Duration
	// CrashRetention is how long a crash counts after it happened or after the
	// quarantine it caused.
	CrashRetention time.Duration
	// DeduplicationWindow is the time within which crash reports for one upstream
	// without a process ID count as the same crash.
	DeduplicationWindow time.Duration
	// MaxEntries bounds the number of fingerprints kept; the one with the oldest
	// last crash is evicted first.
	MaxEntries int
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		Threshold:           2,
		Duration:            10 * time.Minute,
		MaxDuration:         time.Hour,
		SharedDuration:      time.Minute,
		CrashRetention:      10 * time.Minute,
		DeduplicationWindow: 2 * time.Second,
		MaxEntries:          4096,
	}
}

// Crash is one crash of an upstream process.
type Crash struct {
	Upstream string
	// Process identifies the upstream process that crashed, empty when unknown.
	Process string
	// Running lists the fingerprints of the requests running on it.
	Running []uint64
}

// Tracker counts crashes per request fingerprint for one service. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	entries map[uint64]*list.Element
	// byLastCrash holds the entries, the most recent crash at the front.
	byLastCrash *list.List
	// lastCrashes is the most recent crash of each upstream.
	lastCrashes map[string]reportedCrash
}

type entry struct {
	fingerprint      uint64
	crashes          int
	lastCrash        time.Time
	quarantinedUntil time.Time
}

type reportedCrash struct {
	process string
	at      time.Time
}

// New returns a tracker without crashes.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:         cfg,
		entries:     make(map[uint64]*list.Element),
		byLastCrash: list.New(),
		lastCrashes: make(map[string]reportedCrash),
	}
}

// RecordCrash counts a crash for the fingerprints it is attributed to and returns
// those that it quarantines. Duplicate reports of a crash are ignored.
func (t *Tracker) RecordCrash(now time.Time, c Crash) []uint64 {
	if t.isDuplicate(now, c) {
		return nil
	}
	t.removeExpired(now)
	running := slices.Compact(slices.Sorted(slices.Values(c.Running)))
	suspects := slices.DeleteFunc(slices.Clone(running), func(f uint64) bool { return t.lookup(f) == nil })
	if len(suspects) == 1 {
		// Attribute the crash to the only suspect, not to the other requests.
		running = suspects
	}
	var quarantined []uint64
	for _, f := range running {
		if t.countCrash(now, f, len(suspects) > 1) {
			quarantined = append(quarantined, f)
		}
	}
	t.evictOverflow()
	return quarantined
}

// isDuplicate reports whether the crash was already reported, and records it if not.
// Every caller whose stream broke reports the crash; counting each report would
// quarantine all their prompts at the first crash.
func (t *Tracker) isDuplicate(now time.Time, c Crash) bool {
	last, ok := t.lastCrashes[c.Upstream]
	duplicate := ok && now.Sub(last.at) < t.cfg.DeduplicationWindow
	if ok && c.Process != "" && last.process != "" {
		duplicate = c.Process == last.process
	}
	if !duplicate {
		t.lastCrashes[c.Upstream] = reportedCrash{process: c.Process, at: now}
	}
	return duplicate
}

// countCrash counts one crash for the fingerprint and reports whether it quarantines
// the fingerprint.
func (t *Tracker) countCrash(now time.Time, fingerprint uint64, shared bool) bool {
	element, ok := t.entries[fingerprint]
	if !ok {
		element = t.byLastCrash.PushFront(&entry{fingerprint: fingerprint})
		t.entries[fingerprint] = element
	}
	t.byLastCrash.MoveToFront(element)
	e := element.Value.(*entry)
	e.crashes++
	e.lastCrash = now
	if e.crashes < t.cfg.Threshold {
		return false
	}
	e.quarantinedUntil = now.Add(t.quarantineDuration(e.crashes, shared))
	return true
}

func (t *Tracker) quarantineDuration(crashes int, shared bool) time.Duration {
	if shared {
		return t.cfg.SharedDuration
	}
	d := t.cfg.Duration
	for range crashes - t.cfg.Threshold {
		d = min(2*d, t.cfg.MaxDuration)
	}
	return d
}

// RecordSuccess clears a fingerprint whose request was answered completely.
func (t *Tracker) RecordSuccess(fingerprint uint64) {
	if element, ok := t.entries[fingerprint]; ok {
		t.remove(element)
	}
}

// BlockedUntil returns the end of a fingerprint's quarantine, or false if it is not
// quarantined.
func (t *Tracker) BlockedUntil(now time.Time, fingerprint uint64) (time.Time, bool) {
	e := t.lookup(fingerprint)
	if e == nil || !now.Before(e.quarantinedUntil) {
		return time.Time{}, false
	}
	return e.quarantinedUntil, true
}

// Refusal returns the verdict for a quarantined fingerprint, with the remaining time
// as retry delay, or nil if it is not quarantined.
func (t *Tracker) Refusal(now time.Time, fingerprint uint64) *verdict.Verdict {
	until, blocked := t.BlockedUntil(now, fingerprint)
	if !blocked {
		return nil
	}
	return verdict.Refuse(verdict.ReasonQuarantined, until.Sub(now),
		"this prompt crashed several upstreams and is refused until %s", until.UTC().Format(time.RFC3339))
}

// Suspect reports whether the fingerprint has a crash that still counts. A suspect
// should run on an upstream without other suspects, preferably a lightly loaded one.
func (t *Tracker) Suspect(now time.Time, fingerprint uint64) bool {
	e := t.lookup(fingerprint)
	return e != nil && !t.isExpired(now, e)
}

// Len is the number of fingerprints kept.
func (t *Tracker) Len() int { return len(t.entries) }

func (t *Tracker) lookup(fingerprint uint64) *entry {
	element, ok := t.entries[fingerprint]
	if !ok {
		return nil
	}
	return element.Value.(*entry)
}

func (t *Tracker) isExpired(now time.Time, e *entry) bool {
	from := e.lastCrash
	if e.quarantinedUntil.After(from) {
		from = e.quarantinedUntil
	}
	return now.Sub(from) >= t.cfg.CrashRetention
}

// removeExpired removes entries whose last crash and quarantine are CrashRetention
// in the past.
func (t *Tracker) removeExpired(now time.Time) {
	for element := t.byLastCrash.Back(); element != nil; {
		previous := element.Prev()
		if e := element.Value.(*entry); t.isExpired(now, e) {
			t.remove(element)
		}
		element = previous
	}
}

func (t *Tracker) evictOverflow() {
	for len(t.entries) > t.cfg.MaxEntries {
		t.remove(t.byLastCrash.Back())
	}
}

func (t *Tracker) remove(element *list.Element) {
	delete(t.entries, element.Value.(*entry).fingerprint)
	t.byLastCrash.Remove(element)
}
