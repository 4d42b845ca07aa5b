package gateway

import (
	"time"

	"github.com/cairnworks/cairnworks/decision/quarantine"
	"github.com/cairnworks/cairnworks/fleet"
)

// Limits and timings of reports of crashes.
const (
	// crashReportTTL is how long a crash is included in reports, so that it also reaches instances
	// that started later or missed reports.
	crashReportTTL = 30 * time.Second
	// maxReportedCrashes limits the requests in a report; a crash of one engine ends about twenty.
	maxReportedCrashes = 64
	// maxReportedAnswers and maxReportedQuarantines limit the answers and quarantines in a report.
	maxReportedAnswers     = 256
	maxReportedQuarantines = 64
	// crashKnownTime is how long a reported crash is remembered, so that it is recorded once. It is longer than others
	// report it. maxKnownCrashes limits their number.
	crashKnownTime  = 10 * time.Minute
	maxKnownCrashes = 16384
)

// addReport adds the recorded crashes to a report, with the answers and the quarantines that others need to judge
// them. With own set, answers that others have reported are left out.
func (t *crashTracker) addReport(now time.Duration, r *fleet.Report, own bool) {
	if !t.watching.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.toReport[:0]
	for _, crash := range t.toReport {
		if now-crash.at < crashReportTTL {
			kept = append(kept, crash)
		}
	}
	t.toReport = kept
	for i := len(kept) - 1; i >= 0 && len(r.Crashes) < maxReportedCrashes; i-- {
		c := kept[i].Crash
		c.Age = now - kept[i].at
		r.Crashes = append(r.Crashes, c)
	}
	for a, at := range t.quarantine.Answered(own) {
		if len(r.Answered) >= maxReportedAnswers {
			break
		}
		r.Answered = append(r.Answered, fleet.Answered{Attribute: a, Age: asTime(now).Sub(at)})
	}
	for _, q := range t.quarantine.Quarantines(asTime(now)) {
		if len(r.Quarantines) >= maxReportedQuarantines {
			break
		}
		r.Quarantines = append(r.Quarantines, fleet.Quarantine{
			Attribute: q.Attribute, Part: q.Part, Crashes: q.Crashes, LastCrash: asTime(now).Sub(q.LastCrash), Left: q.Until.Sub(asTime(now)),
		})
	}
}

// applyReport records what another instance reports. A hub passes crashes on (report).
func (t *crashTracker) applyReport(now time.Duration, r *fleet.Report, report bool) {
	if len(r.Crashes) == 0 && len(r.Answered) == 0 && len(r.Quarantines) == 0 {
		return
	}
	wasActive := t.quarantines()
	t.recordCrashes(now, r.Crashes, report)
	t.mu.Lock()
	for _, a := range r.Answered {
		t.logEnded(t.quarantine.RecordAnswer(asTime(now-a.Age), a.Attribute, false))
	}
	for _, q := range r.Quarantines {
		adopted := quarantine.Quarantine{
			Attribute: q.Attribute, Part: q.Part, Crashes: q.Crashes, LastCrash: asTime(now - q.LastCrash), Until: asTime(now + q.Left),
		}
		if t.quarantine.Adopt(asTime(now), adopted) {
			t.logQuarantines([]quarantine.Quarantine{adopted})
		}
	}
	t.updateFlags()
	t.mu.Unlock()
	if !wasActive && t.quarantines() && t.onChange != nil {
		t.onChange()
	}
}
