package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// crashingKinds let a part of prompts crash decode engines, and a load balancer send most requests to one instance.
// They are drawn separately, like delayKinds.
var crashingKinds = []faultKind{
	{"engine crashes on a part", 2, func(r *run, f fault) { r.crashOnPart(f) }},
	{"instance gets most", 1, func(r *run, f fault) { r.sendMostToOne(f) }},
}

// isCrashing reports whether a fault is one of crashingKinds.
func isCrashing(f fault) bool {
	return slices.ContainsFunc(crashingKinds, func(k faultKind) bool { return k.name == f.Kind })
}

const (
	// meanCrashingGap is the mean time between two faults of crashingKinds.
	meanCrashingGap = 4 * time.Second
	// minCrashing is added to the duration of a fault of crashingKinds, so that its bounds apply to some of it.
	minCrashing = 8 * time.Second
	// badChance is the share of model requests that have the crashing part while there is one, and companionChance
	// that of the others which have a part in common with those.
	badChance, companionChance = 0.15, 0.3
	// skewChance is the share of requests that go to one instance while it gets most.
	skewChance = 0.9
)

// Bounds on requests that share a part which crashes engines: from contactTime after the fifth crash at most
// maxSentLate of them reach engines from undisturbed instances. From 2*contactTime on, sound requests to undisturbed
// instances are answered at least half as often as before the first crash. A fault that affects the engines or
// all instances disturbs both.
const (
	contactTime    = 3 * time.Second
	maxSentLate    = 3
	minSoundShare  = 0.5
	crashesToKnow  = 5
	minCountedEach = 20
)

// Parts of prompts. All requests share sharedPart; companionPart is sound and comes with the crashing part as well.
const (
	sharedPart    = "aa01"
	companionPart = "c0c0"
)

// crashingPart is a part that crashes engines for some time.
type crashingPart struct {
	part       string
	start, end time.Time
	crashes    []time.Time
}

// crashOnPart makes a new part crash engines.
func (r *run) crashOnPart(f fault) {
	p := &crashingPart{part: fmt.Sprintf("bad%d", f.At.Milliseconds()), start: time.Now()}
	r.ledger.addCrashingPart(p)
	r.setCrashingPart(p.part, true)
	time.Sleep(minCrashing + f.Duration)
	r.setCrashingPart(p.part, false)
	r.ledger.endCrashingPart(p)
}

// setCrashingPart adds or removes one of the parts that crash engines.
func (r *run) setCrashingPart(part string, crashing bool) {
	r.partsMu.Lock()
	defer r.partsMu.Unlock()
	if crashing {
		r.badParts = append(r.badParts, part)
	} else {
		r.badParts = slices.DeleteFunc(r.badParts, func(p string) bool { return p == part })
	}
	r.standIn.SetCrashingParts(r.badParts...)
}

// pickParts draws the parts of a request's prompt, and reports the one that crashes engines, if any.
func (r *run) pickParts(rng *rand.Rand) (parts []string, bad string) {
	r.partsMu.Lock()
	defer r.partsMu.Unlock()
	parts = []string{sharedPart}
	companion := rng.Float64() < companionChance
	if len(r.badParts) > 0 && rng.Float64() < badChance {
		bad = r.badParts[rng.IntN(len(r.badParts))]
		parts = append(parts, bad)
	}
	if companion {
		parts = append(parts, companionPart)
	}
	return append(parts, fmt.Sprintf("%x", 0x100+rng.IntN(8))), bad
}

// sever severs the links of all instances to an engine until restore is called.
func (r *run) sever(address string) (restore func()) {
	var each []func()
	for _, i := range r.instances {
		each = append(each, i.engineLinks.Sever(address))
	}
	return func() {
		for _, restore := range each {
			restore()
		}
	}
}

func (l *ledger) addCrashingPart(p *crashingPart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashingParts = append(l.crashingParts, p)
}

func (l *ledger) endCrashingPart(p *crashingPart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.end = time.Now()
}

// addCrash records an engine that has crashed on a part.
func (l *ledger) addCrash(_, part string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.crashingParts {
		if p.part == part {
			p.crashes = append(p.crashes, time.Now())
		}
	}
}

// checkCrashingParts checks the bounds on requests that share a part which crashes engines.
func (l *ledger) checkCrashingParts() []Finding {
	out := l.checkSoundRefusals()
	for _, p := range l.crashingParts {
		if len(p.crashes) == 0 || p.end.IsZero() {
			continue
		}
		known := p.crashes[min(len(p.crashes), crashesToKnow)-1]
		if len(p.crashes) >= crashesToKnow {
			out = append(out, l.checkSentLate(p, known.Add(contactTime+clockSlack))...)
		}
		out = append(out, l.checkSound(p, known.Add(2*contactTime+clockSlack))...)
	}
	return out
}

// checkSoundRefusals checks that no request is refused for its parts without one that crashes engines.
func (l *ledger) checkSoundRefusals() (out []Finding) {
	for id, s := range l.requests {
		if s.badPart == "" && s.status == http.StatusServiceUnavailable && strings.Contains(s.answer, "a part of this prompt") {
			out = append(out, Finding{"sound parts", id, "refused: " + s.answer, s.sentAt})
		}
	}
	return out
}

// checkSentLate checks how many requests with a part reach engines once it must be known.
func (l *ledger) checkSentLate(p *crashingPart, from time.Time) []Finding {
	n, last := 0, standin.Run{}
	for id, runs := range l.runs {
		s, known := l.requests[id]
		if !known || s.badPart != p.part {
			continue
		}
		for _, run := range runs {
			if run.At.After(from) && run.At.Before(p.end) && l.undisturbed(s.instance, from.Add(-contactTime), run.At) {
				n, last = n+1, run
			}
		}
	}
	if n <= maxSentLate {
		return nil
	}
	return []Finding{{"parts that crash engines", last.ID, fmt.Sprintf("%d requests with part %s reached engines after %d had ended, %d in all", n, p.part, crashesToKnow, len(p.crashes)), last.At}}
}

// checkSound compares how often sound model requests are answered from a time on with how often they were answered
// before the first crash.
func (l *ledger) checkSound(p *crashingPart, from time.Time) []Finding {
	if l.hasFaultAround(p.start, p.end) || l.hasPartAround(p, p.start, p.end) {
		return nil
	}
	count := func(since, until time.Time) (asked, good int) {
		for _, s := range l.requests {
			if s.badPart != "" || !s.kind.Streamed() || s.sentAt.Before(since) || s.sentAt.After(until) || s.status == http.StatusTooManyRequests ||
				s.status == http.StatusUnauthorized || !l.undisturbed(s.instance, since, until) {
				continue
			}
			asked++
			if s.status == http.StatusOK && !s.truncated {
				good++
			}
		}
		return asked, good
	}
	calmAsked, calmGood := count(p.start.Add(-contactTime), p.start)
	asked, good := count(from, p.end)
	if min(calmAsked, asked) < minCountedEach || float64(good)*float64(calmAsked) >= minSoundShare*float64(calmGood)*float64(asked) {
		return nil
	}
	return []Finding{{"parts that crash engines", "", fmt.Sprintf("%d of %d sound requests answered beside part %s, before %d of %d", good, asked, p.part, calmGood, calmAsked), from}}
}

// hasFaultAround reports whether a fault that may affect engines or all instances was in progress between
// undisturbedTime before from and until.
func (l *ledger) hasFaultAround(from, until time.Time) bool {
	for _, f := range l.faultPeriods {
		if (f.instance == allInstances || f.instance == enginesOnly) && f.start.Before(until) && f.end.After(from.Add(-undisturbedTime)) {
			return true
		}
	}
	return false
}

// hasPartAround reports whether a part other than one crashed engines between undisturbedTime before from and until.
func (l *ledger) hasPartAround(except *crashingPart, from, until time.Time) bool {
	return slices.ContainsFunc(l.crashingParts, func(p *crashingPart) bool {
		return p != except && p.start.Before(until) && (p.end.IsZero() || p.end.After(from.Add(-undisturbedTime)))
	})
}
