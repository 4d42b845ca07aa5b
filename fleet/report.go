// Package fleet is what instances know of one another: which there are, and what
// each has spent, placed and heard.
package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/cairnworks/cairnworks/gen/cairnworks/fleet/v1"
)

// Hash is the short form of a name in reports.
type Hash uint64

// HashOf returns the short form of a name.
func HashOf(name string) Hash { return Hash(xxhash.Sum64String(name)) }

// Spend is an organisation's use of its quota at one instance.
type Spend struct {
	// Tokens admitted in the instance's run, refunds taken off.
	Tokens int64
	// Level is the share of the burst that the instance believes to be left, 0 to 1.
	Level float64
}

// Load is what an instance has placed at an upstream.
type Load struct{ Requests, Tokens int }

// Heard tells of another instance that a report's sender hears.
type Heard struct {
	Instance    Hash
	Incarnation uint64
	// Age of the last report from it.
	Age time.Duration
}

// Crash is a request whose upstream ended while it ran.
type Crash struct {
	Fingerprint uint64
	// Upstream is the run that ended.
	Upstream Hash
	Age      time.Duration
}

// Report is what an instance tells the others. All figures are totals, so that a
// lost report is made good by the next.
type Report struct {
	Instance    string
	Incarnation uint64
	Sequence    uint64
	Spends      map[Hash]Spend
	Loads       map[Hash]Load
	Heard       []Heard
	Crashes     []Crash
}

// levelUnit is the resolution of a level on the wire.
const levelUnit = 1000

func (r *Report) marshal() ([]byte, error) {
	m := &fleetv1.Report{Instance: r.Instance, Incarnation: r.Incarnation, Sequence: r.Sequence}
	for organisation, s := range r.Spends {
		m.Spends = append(m.Spends, &fleetv1.Spend{Organisation: uint64(organisation), Tokens: s.Tokens, Level: uint32(s.Level * levelUnit)})
	}
	for upstream, l := range r.Loads {
		m.Loads = append(m.Loads, &fleetv1.Load{Upstream: uint64(upstream), Requests: uint32(max(l.Requests, 0)), Tokens: uint32(max(l.Tokens, 0))})
	}
	for _, h := range r.Heard {
		m.Heard = append(m.Heard, &fleetv1.Heard{Instance: uint64(h.Instance), Incarnation: h.Incarnation, AgeMs: uint32(h.Age.Milliseconds())})
	}
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, &fleetv1.Crash{Fingerprint: c.Fingerprint, Upstream: uint64(c.Upstream), AgeMs: uint32(c.Age.Milliseconds())})
	}
	return proto.Marshal(m)
}

func unmarshal(data []byte) (*Report, error) {
	var m fleetv1.Report
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, err
	}
	r := &Report{
		Instance: m.Instance, Incarnation: m.Incarnation, Sequence: m.Sequence,
		Spends: make(map[Hash]Spend, len(m.Spends)), Loads: make(map[Hash]Load, len(m.Loads)),
	}
	for _, s := range m.Spends {
		r.Spends[Hash(s.Organisation)] = Spend{Tokens: s.Tokens, Level: float64(s.Level) / levelUnit}
	}
	for _, l := range m.Loads {
		r.Loads[Hash(l.Upstream)] = Load{Requests: int(l.Requests), Tokens: int(l.Tokens)}
	}
	for _, h := range m.Heard {
		r.Heard = append(r.Heard, Heard{Hash(h.Instance), h.Incarnation, time.Duration(h.AgeMs) * time.Millisecond})
	}
	for _, c := range m.Crashes {
		r.Crashes = append(r.Crashes, Crash{c.Fingerprint, Hash(c.Upstream), time.Duration(c.AgeMs) * time.Millisecond})
	}
	return r, nil
}
