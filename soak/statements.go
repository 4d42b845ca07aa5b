package soak

import (
	"fmt"
	"time"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// statementKinds let engines end answers without a frame, break them off, send bytes without an end in their place, and say in answers that they leave or
// request a backoff. They are drawn separately, like delayKinds.
var statementKinds = []faultKind{
	{"engine without frames", 2, func(r *run, f fault) { r.endAnswers(f, standin.Unframed) }},
	{"engine breaks off", 2, func(r *run, f fault) { r.endAnswers(f, standin.BrokenOff) }},
	{"engine sends without end", 2, func(r *run, f fault) { r.endAnswers(f, standin.Endless) }},
	{"engine says it leaves", 2, func(r *run, f fault) {
		e := r.targetEngine(f)
		e.engine.SayLeaving()
		time.Sleep(max(f.Duration, engineDrainTime))
		e.proxy.Reset()
		e.engine.Replace()
	}},
	{"engine requests backoff", 2, func(r *run, f fault) {
		e := r.targetEngine(f).engine
		e.RequestBackoff(backoffTime)
		time.Sleep(f.Duration)
		e.RequestBackoff(0)
	}},
}

const (
	// meanStatementGap is the mean time between two faults of statementKinds.
	meanStatementGap = 3 * time.Second
	// backoffTime is the backoff that engines ask for. From backoffDelay on, at most backoffSlack requests may reach
	// an engine in it.
	backoffTime  = 6 * time.Second
	backoffDelay = 500 * time.Millisecond
	backoffSlack = 2
)

// endAnswers makes an engine end its answers in a way for the duration of a fault.
func (r *run) endAnswers(f fault, ending standin.Ending) {
	e := r.targetEngine(f).engine
	e.SetEnding(ending)
	time.Sleep(f.Duration)
	e.SetEnding(standin.Framed)
}

// addStatement records a request that an engine answered with a statement about itself.
func (l *ledger) addStatement(a standin.Arrival) {
	if a.ID == "" || !a.Leaving && a.Backoff == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statements = append(l.statements, a)
}

// told is an engine that has told an instance something.
type told struct{ engine, instance string }

// checkLeavingSaid checks that an engine whose answers say that it leaves gets no more work from an instance that
// has passed such an answer on.
func (l *ledger) checkLeavingSaid() []Finding {
	since := make(map[told]time.Time)
	for _, a := range l.statements {
		s, known := l.requests[a.ID]
		if !a.Leaving || !known || s.status == 0 || s.signature == "" || s.truncated {
			continue
		}
		key := told{a.Engine, s.instance}
		if at, before := since[key]; !before || s.endedAt.Before(at) {
			since[key] = s.endedAt
		}
	}
	var out []Finding
	for id, runs := range l.runs {
		s, known := l.requests[id]
		for _, r := range runs {
			if !known {
				continue
			}
			at, leaving := since[told{r.Engine, s.instance}]
			late := leaving && s.sentAt.Sub(at) > maxLeaveDelay+clockSlack
			if late && l.undisturbed(s.instance, at, r.At) {
				out = append(out, Finding{"leaving engines", id, fmt.Sprintf("sent by %s to engine %s %v after it passed on that the engine leaves", s.instance, r.Engine, s.sentAt.Sub(at)), r.At})
			}
		}
	}
	return out
}

// checkBackoffs checks the number of requests that reach an engine from an instance that it has told to back off. Only
// requests that may run once are taken as proof that the instance got the answer: their fate depends on it.
func (l *ledger) checkBackoffs() []Finding {
	var out []Finding
	for _, asked := range l.statements {
		s, known := l.requests[asked.ID]
		if asked.Backoff == 0 || !known || s.kind.Repeatable() || s.status != 200 && s.status != 503 {
			continue
		}
		from, until := asked.At.Add(backoffDelay+clockSlack), asked.At.Add(asked.Backoff)
		if !l.undisturbed(s.instance, asked.At, until) || l.isPartitioned(s.instance, asked.At, until) {
			continue
		}
		n, last := 0, asked
		for _, a := range l.statements {
			other, known := l.requests[a.ID]
			if known && a.Engine == asked.Engine && other.instance == s.instance && a.At.After(from) && a.At.Before(until) {
				n, last = n+1, a
			}
		}
		if n > backoffSlack {
			out = append(out, Finding{"backoff of engines", last.ID, fmt.Sprintf("%d requests from %s at engine %s, which had told it to back off for %v", n, s.instance, asked.Engine, asked.Backoff), last.At})
		}
	}
	return out
}

// isPartitioned reports whether an instance had no links to engines at any time between undisturbedTime before
// from and until.
func (l *ledger) isPartitioned(instance string, from, until time.Time) bool {
	for _, p := range l.partitions {
		if p.instance == instance && p.start.Before(until) && p.end.After(from.Add(-undisturbedTime)) {
			return true
		}
	}
	return false
}
