package fleet

import (
	"time"

	"github.com/cairnworks/cairnworks/decision/quarantine"
	fleetv1 "github.com/cairnworks/cairnworks/gen/cairnworks/fleet/v1"
)

// marshalCrashes encodes the parts of a report that concern requests which crash upstreams.
func (r *Report) marshalCrashes(m *fleetv1.Report) {
	for _, c := range r.Crashes {
		crash := &fleetv1.Crash{Fingerprint: uint64(c.Fingerprint), Upstream: uint64(c.Upstream), AgeMs: milliseconds(c.Age)}
		for _, part := range c.Parts {
			crash.Parts = append(crash.Parts, uint64(part))
		}
		m.Crashes = append(m.Crashes, crash)
	}
	for _, a := range r.Answered {
		m.Answered = append(m.Answered, &fleetv1.Answered{Attribute: uint64(a.Attribute), AgeMs: milliseconds(a.Age + time.Millisecond - 1)})
	}
	for _, q := range r.Quarantines {
		m.Quarantines = append(m.Quarantines, &fleetv1.Quarantine{
			Attribute: uint64(q.Attribute), Part: q.Part, Crashes: uint32(max(q.Crashes, 0)), LastCrashAgeMs: milliseconds(q.LastCrash), LeftMs: milliseconds(q.Left),
		})
	}
}

// unmarshalCrashes decodes the parts of a report that concern requests which crash upstreams.
func (r *Report) unmarshalCrashes(m *fleetv1.Report) {
	for _, c := range m.Crashes {
		crash := Crash{Fingerprint: quarantine.Attribute(c.Fingerprint), Upstream: Hash(c.Upstream), Age: time.Duration(c.AgeMs) * time.Millisecond}
		for _, part := range c.Parts {
			crash.Parts = append(crash.Parts, quarantine.Attribute(part))
		}
		r.Crashes = append(r.Crashes, crash)
	}
	for _, a := range m.Answered {
		r.Answered = append(r.Answered, Answered{quarantine.Attribute(a.Attribute), time.Duration(a.AgeMs) * time.Millisecond})
	}
	for _, q := range m.Quarantines {
		r.Quarantines = append(r.Quarantines, Quarantine{
			Attribute: quarantine.Attribute(q.Attribute), Part: q.Part, Crashes: int(q.Crashes),
			LastCrash: time.Duration(q.LastCrashAgeMs) * time.Millisecond, Left: time.Duration(q.LeftMs) * time.Millisecond,
		})
	}
}
