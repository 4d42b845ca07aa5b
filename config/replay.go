package config

import (
	"bytes"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

// Judgement is what the acceptance rule says of a record. Its text is a metric
// tag and does not change once released.
type Judgement string

const (
	// Accepted records are versions.
	Accepted Judgement = "accepted"
	// Republished records repeat the set in force.
	Republished Judgement = "republished"
	// VoidStaleBase records were made from a version that was not the last accepted.
	VoidStaleBase Judgement = "void_stale_base"
	// VoidDamaged records cannot be read.
	VoidDamaged Judgement = "void_damaged"
	// VoidInvalid records carry a set with faults.
	VoidInvalid Judgement = "void_invalid"
	// VoidMismatch records claim to repeat the set in force but differ from it.
	VoidMismatch Judgement = "void_mismatch"
	// Undecided records stand before the first that tells what was in force.
	Undecided Judgement = "undecided"
)

// Judged is a record with its judgement.
type Judged struct {
	Record    port.Record
	Header    Header
	Judgement Judgement
}

// Replay applies the acceptance rule to a stream, record by record. It is a pure
// function of the records, so that every reader comes to the same result.
//
// A replay that begins at offset 1 knows that nothing was in force before. One
// that begins later is not anchored: whether its first record was accepted depends
// on records that it does not have. It becomes anchored by the first record that
// states what was in force at an offset no earlier than its own beginning, and
// judges the records after that offset from there. Without this, a fresh instance
// and one that has run for months would take different sides on an old race.
type Replay struct {
	anchored bool
	version  uint64
	// through is the last offset whose effect is part of version, when anchored.
	through uint64
	// next is the offset of the record to apply next.
	next uint64
	// set is the content of version; nil while it is not known.
	set     *object.Set
	payload []byte
	// data is a record that carries the set, as it stands in the log.
	data    []byte
	carrier port.Record
	pending []candidate
}

// maxPending bounds the records kept before an anchor is found. Dropping the first
// is the same as beginning one record later.
const maxPending = 64

// candidate is a decoded record that waits for its judgement.
type candidate struct {
	raw    port.Record
	record record
	fault  Judgement
}

// NewReplay returns a replay that begins with the record at offset from.
func NewReplay(from uint64) *Replay {
	return &Replay{anchored: from <= 1, through: from - 1, next: from}
}

// Anchored tells whether the version is known.
func (r *Replay) Anchored() bool { return r.anchored }

// Version is the last accepted version; meaningless unless anchored.
func (r *Replay) Version() uint64 { return r.version }

// Next is the offset of the record to apply next.
func (r *Replay) Next() uint64 { return r.next }

// Set is the set of the version, or nil when it is not known.
func (r *Replay) Set() *object.Set { return r.set }

// Apply judges the record at offset Next. It returns the judgements that became
// certain: none or several when the replay is not anchored.
func (r *Replay) Apply(rec port.Record) []Judged {
	r.next = rec.Offset + 1
	c := newCandidate(rec)
	if r.anchored {
		return []Judged{r.judge(c)}
	}
	r.pending = append(r.pending, c)
	if len(r.pending) > maxPending {
		r.pending = r.pending[1:]
	}
	if !r.anchor(c) {
		return nil
	}
	return r.judgePending()
}

func newCandidate(rec port.Record) candidate {
	c := candidate{raw: rec}
	decoded, err := decodeRecord(rec.Data)
	switch {
	case err != nil, decoded.header.Through >= rec.Offset, decoded.header.Base > decoded.header.Through:
		c.fault = VoidDamaged
	case len(object.Check(decoded.set)) > 0:
		c.fault = VoidInvalid
	}
	c.record = decoded
	return c
}

// anchor takes a record's statement of what was in force, if it reaches back no
// further than the records at hand.
func (r *Replay) anchor(c candidate) bool {
	h := c.record.header
	if c.fault != "" || h.Through+1 < r.pending[0].raw.Offset {
		return false
	}
	if h.Kind == KindRestart && !c.followsDirectly() {
		return false
	}
	r.anchored = true
	r.version = h.Base
	r.through = h.Through
	return true
}

func (r *Replay) judgePending() []Judged {
	out := make([]Judged, 0, len(r.pending))
	start := r.through
	for _, c := range r.pending {
		if c.raw.Offset <= start {
			out = append(out, Judged{Record: c.raw, Header: c.record.header, Judgement: Undecided})
			continue
		}
		out = append(out, r.judge(c))
	}
	r.pending = nil
	return out
}

// followsDirectly tells whether no record stands between what the writer had read
// and the record. A restart needs this: its writer does not know what was in
// force, so that only the absence of any other record keeps it from replacing one.
func (c *candidate) followsDirectly() bool {
	return c.record.header.Through+1 == c.raw.Offset
}

func acceptedIf(ok bool) Judgement {
	if ok {
		return Accepted
	}
	return VoidStaleBase
}

// judge applies the rule to one record of an anchored replay.
func (r *Replay) judge(c candidate) Judged {
	r.through = c.raw.Offset
	out := Judged{Record: c.raw, Header: c.record.header, Judgement: c.fault}
	if c.fault != "" {
		return out
	}
	onBase := c.record.header.Base == r.version
	switch c.record.header.Kind {
	case KindRepublish:
		out.Judgement = r.judgeRepublish(c, onBase)
	case KindRestart:
		out.Judgement = acceptedIf(c.followsDirectly())
	default:
		out.Judgement = acceptedIf(onBase)
	}
	if out.Judgement == Accepted {
		r.version = c.raw.Offset
		r.keep(c)
	}
	return out
}

// judgeRepublish never changes the version. One made before an operator's publish
// and appended after it has an old base and is void, so it cannot revert it.
func (r *Replay) judgeRepublish(c candidate, onBase bool) Judgement {
	if !onBase {
		return VoidStaleBase
	}
	if r.set != nil && !bytes.Equal(r.payload, c.record.payload) {
		return VoidMismatch
	}
	r.keep(c)
	return Republished
}

func (r *Replay) keep(c candidate) {
	set := c.record.set
	r.set = &set
	r.payload = c.record.payload
	r.data = c.raw.Data
	r.carrier = c.raw
}
