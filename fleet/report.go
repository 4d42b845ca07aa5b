// Package fleet is what instances know of one another: which there are, and what
// each has spent, placed and heard.
package fleet

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/cairnworks/cairnworks/decision/length"
	"github.com/cairnworks/cairnworks/decision/split"
	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/follow"
	fleetv1 "github.com/cairnworks/cairnworks/gen/cairnworks/fleet/v1"
	"github.com/cairnworks/cairnworks/port"
)

// Hash is the short form of a name in reports.
type Hash uint64

// HashOf returns the short form of a name.
func HashOf(name string) Hash { return Hash(xxhash.Sum64String(name)) }

// Run is the short form of one run of an instance in reports.
type Run uint32

// RunOf returns the short form of an instance's run.
func RunOf(name string, incarnation uint64) Run {
	return Run(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(name), incarnation)))
}

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
	Run Run
	// Age of the last report from it, and its number.
	Age      time.Duration
	Sequence uint64
}

// Crash is a request whose upstream ended while it ran.
type Crash struct {
	Fingerprint uint64
	// Upstream is the run that ended.
	Upstream Hash
	Age      time.Duration
}

// Work is what an instance has seen of the requests of a model service.
type Work struct {
	Split   split.View
	Lengths length.Sums
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
	Notes       []follow.Note
	// Works is what was seen of the requests of model services.
	Works map[Hash]Work
	// Partial tells that spends and works that have not changed lately are left out, and of
	// those heard all but the receiver.
	Partial bool
	// Fleet is what the sender says of its fleet, without the name in partial reports. It is
	// empty in reports of versions that do not tell it.
	Fleet fleetid.Identity
	// Earliest is the earliest time, of the receiver's clock that counts through
	// suspensions, at which the sender can have made the report; 0 if it has not heard
	// the receiver yet. It is not sent.
	Earliest time.Duration
}

// levelUnit is the resolution of a level on the wire.
const levelUnit = 1000

func (r *Report) marshal() ([]byte, error) {
	m := &fleetv1.Report{Instance: r.Instance, Incarnation: r.Incarnation, Sequence: r.Sequence, Partial: r.Partial, FleetId: uint64(r.Fleet.ID)}
	if !r.Partial {
		m.FleetName = r.Fleet.Name
	}
	for organisation, s := range r.Spends {
		m.Spends = append(m.Spends, &fleetv1.Spend{Organisation: uint64(organisation), Tokens: s.Tokens, Level: uint32(s.Level * levelUnit)})
	}
	for upstream, l := range r.Loads {
		m.Loads = append(m.Loads, &fleetv1.Load{Upstream: uint64(upstream), Requests: uint32(max(l.Requests, 0)), Tokens: uint32(max(l.Tokens, 0))})
	}
	m.Heard = marshalHeard(r.Heard)
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, &fleetv1.Crash{Fingerprint: c.Fingerprint, Upstream: uint64(c.Upstream), AgeMs: uint32(c.Age.Milliseconds())})
	}
	for _, n := range r.Notes {
		m.Notes = append(m.Notes, marshalNote(n))
	}
	for service, v := range r.Works {
		m.Works = append(m.Works, marshalWork(service, v))
	}
	return proto.Marshal(m)
}

func marshalHeard(heard []Heard) *fleetv1.Heard {
	if len(heard) == 0 {
		return nil
	}
	m := &fleetv1.Heard{}
	for _, h := range heard {
		m.Runs = append(m.Runs, uint32(h.Run))
		m.AgesMs = append(m.AgesMs, uint32(h.Age.Milliseconds()))
		m.Sequences = append(m.Sequences, h.Sequence)
	}
	return m
}

// appendHeard completes a marshalled report by whom its sender hears. Messages that follow
// one another are read as one, so that the rest is marshalled once for all receivers.
func appendHeard(data []byte, heard []Heard) ([]byte, error) {
	return proto.MarshalOptions{}.MarshalAppend(data, &fleetv1.Report{Heard: marshalHeard(heard)})
}

var errUneven = errors.New("lists of instances heard differ in length")

func unmarshal(data []byte) (*Report, error) {
	var m fleetv1.Report
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, err
	}
	r := &Report{
		Instance: m.Instance, Incarnation: m.Incarnation, Sequence: m.Sequence, Partial: m.Partial,
		Fleet:  fleetid.Identity{ID: fleetid.ID(m.FleetId), Name: m.FleetName},
		Spends: make(map[Hash]Spend, len(m.Spends)), Loads: make(map[Hash]Load, len(m.Loads)), Works: make(map[Hash]Work, len(m.Works)),
	}
	for _, s := range m.Spends {
		r.Spends[Hash(s.Organisation)] = Spend{Tokens: s.Tokens, Level: float64(s.Level) / levelUnit}
	}
	for _, l := range m.Loads {
		r.Loads[Hash(l.Upstream)] = Load{Requests: int(l.Requests), Tokens: int(l.Tokens)}
	}
	heard := m.GetHeard()
	if len(heard.GetAgesMs()) != len(heard.GetRuns()) || len(heard.GetSequences()) != len(heard.GetRuns()) {
		return nil, errUneven
	}
	for i, run := range heard.GetRuns() {
		r.Heard = append(r.Heard, Heard{Run(run), time.Duration(heard.AgesMs[i]) * time.Millisecond, heard.Sequences[i]})
	}
	for _, c := range m.Crashes {
		r.Crashes = append(r.Crashes, Crash{c.Fingerprint, Hash(c.Upstream), time.Duration(c.AgeMs) * time.Millisecond})
	}
	for _, n := range m.Notes {
		note, err := unmarshalNote(n)
		if err != nil {
			return nil, err
		}
		r.Notes = append(r.Notes, note)
	}
	for _, w := range m.Works {
		r.Works[Hash(w.Service)] = unmarshalWork(w)
	}
	return r, nil
}

func marshalWork(service Hash, w Work) *fleetv1.Work {
	v, l := w.Split, w.Lengths
	return &fleetv1.Work{
		Service: uint64(service), Samples: uint32(v.Samples), PromptTokens: uint32(v.Prompt), DecodeUs: uint64(v.Decode * 1e6),
		Prompts: uint32(v.Prompts), TokensPerS: uint32(v.Speed), Lengths: []float64{l.N, l.X, l.Y, l.XX, l.XY, l.YY},
	}
}

func unmarshalWork(m *fleetv1.Work) Work {
	w := Work{Split: split.View{
		Samples: float64(m.Samples), Prompt: float64(m.PromptTokens), Decode: float64(m.DecodeUs) / 1e6,
		Prompts: float64(m.Prompts), Speed: float64(m.TokensPerS),
	}}
	if l := m.Lengths; len(l) == 6 {
		w.Lengths = length.Sums{N: l[0], X: l[1], Y: l[2], XX: l[3], XY: l[4], YY: l[5]}
	}
	return w
}

func marshalNote(n follow.Note) *fleetv1.Note {
	// An age is rounded up: a proof must not seem newer than it is.
	age := uint32((n.Age + time.Millisecond - 1).Milliseconds())
	m := &fleetv1.Note{Topic: uint32(n.Topic), Mark: n.Mark, Next: n.Next, AgeMs: age, From: n.From}
	for _, record := range n.Records {
		m.Records = append(m.Records, marshalRecord(record))
	}
	return m
}

func unmarshalNote(m *fleetv1.Note) (follow.Note, error) {
	n := follow.Note{Topic: port.Topic(m.Topic), Mark: m.Mark, Next: m.Next, Age: time.Duration(m.AgeMs) * time.Millisecond, From: m.From}
	for _, record := range m.Records {
		read, err := unmarshalRecord(record)
		if err != nil {
			return follow.Note{}, err
		}
		n.Records = append(n.Records, read)
	}
	return n, nil
}
