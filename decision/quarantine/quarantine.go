// Package quarantine finds requests that crash the upstreams which run them.
//
// Load pattern: now and then one prompt crashes each engine that runs it, and its
// caller, or a retry, sends it again. Each crash also ends some twenty other
// requests that ran beside it.
//
// Without it: the prompt takes one engine after another out, faster than they
// restart. With crash counts alone, the requests beside it are counted as well,
// come back with it and are refused with it (TestDeadlyPrompt measures what
// callers receive).
//
// Rules:
//   - A crash is charged to every fingerprint that ran on the upstream, each with
//     one count. One crash of one process is charged once, however many callers
//     report it.
//   - A fingerprint with a second crash is quarantined. When only one of those that
//     ran had a crash before, it explains this one and the others are not charged.
//   - A success clears the fingerprint: it can run.
//   - Suspects, those with one crash, are to be placed apart from one another, so
//     that a second crash has one explanation; see Tracker.Suspect.
package quarantine

import (
	"container/list"
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/verdict"
)

// Config holds the figures of the package.
type Config struct {
	// Threshold is the number of crashes at which a fingerprint is refused.
	Threshold int
	// Duration of the first quarantine of a fingerprint that alone explains its
	// last crash; it doubles with each further crash up to MaxDuration.
	Duration    time.Duration
	MaxDuration time.Duration
	// SharedDuration is the quarantine where several suspects explain one crash.
	SharedDuration time.Duration
	// Memory is how long a crash is held against a fingerprint.
	Memory time.Duration
	// Fold is the time within which reports of a crash of one upstream without a
	// process id are taken for one crash.
	Fold time.Duration
	// MaxEntries bounds the fingerprints kept; the longest without a crash goes
	// first.
	MaxEntries int
}

// DefaultConfig returns the default figures.
func DefaultConfig() Config {
	return Config{
		Threshold:      2,
		Duration:       10 * time.Minute,
		MaxDuration:    time.Hour,
		SharedDuration: time.Minute,
		Memory:         10 * time.Minute,
		Fold:           2 * time.Second,
		MaxEntries:     4096,
	}
}

// Crash is the death of one upstream process.
type Crash struct {
	Upstream string
	// Process identifies the run of the upstream that died, empty when unknown.
	Process string
	// Running are the fingerprints that ran on it.
	Running []uint64
}

// Tracker counts the crashes of one service. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	entries map[uint64]*list.Element
	// byCrash holds entries, the latest crash at the front.
	byCrash *list.List
	// last is the last crash of each upstream.
	last map[string]lastCrash
}

type entry struct {
	fingerprint uint64
	crashes     int
	crashed     time.Time
	until       time.Time
}

type lastCrash struct {
	process string
	at      time.Time
}

// New returns an empty ledger.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:     cfg,
		entries: make(map[uint64]*list.Element),
		byCrash: list.New(),
		last:    make(map[string]lastCrash),
	}
}

// RecordCrash charges a crash to what ran on the upstream and returns the fingerprints
// that it puts into quarantine. A crash that was reported already changes nothing.
func (l *Tracker) RecordCrash(now time.Time, c Crash) []uint64 {
	if l.reported(now, c) {
		return nil
	}
	l.expire(now)
	running := slices.Compact(slices.Sorted(slices.Values(c.Running)))
	suspects := slices.DeleteFunc(slices.Clone(running), func(f uint64) bool { return l.lookup(f) == nil })
	if len(suspects) == 1 {
		// The suspect explains the crash; the others only ran beside it.
		running = suspects
	}
	var quarantined []uint64
	for _, f := range running {
		if l.charge(now, f, len(suspects) > 1) {
			quarantined = append(quarantined, f)
		}
	}
	l.trim()
	return quarantined
}

// reported notes the crash and reports whether it is known. Each of the callers
// whose stream broke reports it; counting each report would quarantine all of them
// at the first crash.
func (l *Tracker) reported(now time.Time, c Crash) bool {
	last, ok := l.last[c.Upstream]
	known := ok && now.Sub(last.at) < l.cfg.Fold
	if ok && c.Process != "" && last.process != "" {
		known = c.Process == last.process
	}
	if !known {
		l.last[c.Upstream] = lastCrash{process: c.Process, at: now}
	}
	return known
}

// charge adds one crash and reports whether the fingerprint is quarantined for it.
func (l *Tracker) charge(now time.Time, fingerprint uint64, shared bool) bool {
	element, ok := l.entries[fingerprint]
	if !ok {
		element = l.byCrash.PushFront(&entry{fingerprint: fingerprint})
		l.entries[fingerprint] = element
	}
	l.byCrash.MoveToFront(element)
	e := element.Value.(*entry)
	e.crashes++
	e.crashed = now
	if e.crashes < l.cfg.Threshold {
		return false
	}
	e.until = now.Add(l.duration(e.crashes, shared))
	return true
}

func (l *Tracker) duration(crashes int, shared bool) time.Duration {
	if shared {
		return l.cfg.SharedDuration
	}
	d := l.cfg.Duration
	for range crashes - l.cfg.Threshold {
		d = min(2*d, l.cfg.MaxDuration)
	}
	return d
}

// RecordSuccess clears a fingerprint that was answered whole.
func (l *Tracker) RecordSuccess(fingerprint uint64) {
	if element, ok := l.entries[fingerprint]; ok {
		l.remove(element)
	}
}

// BlockedUntil returns the end of a fingerprint's quarantine, or false when it may run.
func (l *Tracker) BlockedUntil(now time.Time, fingerprint uint64) (time.Time, bool) {
	e := l.lookup(fingerprint)
	if e == nil || !now.Before(e.until) {
		return time.Time{}, false
	}
	return e.until, true
}

// Refusal returns the verdict for a fingerprint in quarantine, with the time until
// its end, or nil when it may run.
func (l *Tracker) Refusal(now time.Time, fingerprint uint64) *verdict.Verdict {
	until, blocked := l.BlockedUntil(now, fingerprint)
	if !blocked {
		return nil
	}
	return verdict.Refuse(verdict.ReasonQuarantined, until.Sub(now),
		"this prompt ended several upstreams and is refused until %s", until.UTC().Format(time.RFC3339))
}

// Suspect reports whether a crash is held against the fingerprint. A suspect is to
// run on an upstream without another suspect, and rather where little else runs.
func (l *Tracker) Suspect(now time.Time, fingerprint uint64) bool {
	e := l.lookup(fingerprint)
	return e != nil && !l.expired(now, e)
}

// Len is the number of fingerprints kept.
func (l *Tracker) Len() int { return len(l.entries) }

func (l *Tracker) lookup(fingerprint uint64) *entry {
	element, ok := l.entries[fingerprint]
	if !ok {
		return nil
	}
	return element.Value.(*entry)
}

func (l *Tracker) expired(now time.Time, e *entry) bool {
	held := e.crashed
	if e.until.After(held) {
		held = e.until
	}
	return now.Sub(held) >= l.cfg.Memory
}

// expire drops entries whose last crash or quarantine is long over.
func (l *Tracker) expire(now time.Time) {
	for element := l.byCrash.Back(); element != nil; {
		previous := element.Prev()
		if e := element.Value.(*entry); l.expired(now, e) {
			l.remove(element)
		}
		element = previous
	}
}

func (l *Tracker) trim() {
	for len(l.entries) > l.cfg.MaxEntries {
		l.remove(l.byCrash.Back())
	}
}

func (l *Tracker) remove(element *list.Element) {
	delete(l.entries, element.Value.(*entry).fingerprint)
	l.byCrash.Remove(element)
}
