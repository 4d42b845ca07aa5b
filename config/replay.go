package config

import (
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
	// VoidMismatch records claim to repeat the set in force, or to be an edit of it,
	// and are not.
	VoidMismatch Judgement = "void_mismatch"
	// Undecided records stand before the first that tells what was in force.
	Undecided Judgement = "undecided"
)

// JudgedRecord is a record with its judgement.
type JudgedRecord struct {
	Record    port.Record
	Header    Header
	Judgement Judgement
}

// Replay applies the acceptance rule to a stream, record by record. It is a pure
// function of the records, so that every reader comes to the same result.
//
// A replay that begins at offset 1 knows that nothing was in force before. One
// that begins later is not anchored: whether its first record was accepted depends
// on records that it does not have. It becomes anchored by a record with a whole
// set that states what was in force at an offset no earlier than its own beginning,
// and judges the records after that offset from there. Without this, a fresh
// instance and one that has run for months would take different sides on an old
// race. An anchored replay knows the set of its version.
type Replay struct {
	state
	// next is the offset of the record to apply next.
	next    uint64
	pending []candidate
}

// state is what a replay knows after the records judged so far.
type state struct {
	anchored bool
	version  uint64
	// set is the content of version, nil when nothing was published.
	set *object.Set
	// whole is the last accepted or republished record with a whole set.
	whole port.Record
	// changes counts the accepted changes since that record.
	changes int
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
	return &Replay{state: state{anchored: from <= 1}, next: from}
}

// Anchored tells whether the version is known.
func (r *Replay) Anchored() bool { return r.anchored }

// Version is the last accepted version; meaningless unless anchored.
func (r *Replay) Version() uint64 { return r.version }

// Next is the offset of the record to apply next.
func (r *Replay) Next() uint64 { return r.next }

// Set is the set of the version, nil when nothing was published.
func (r *Replay) Set() *object.Set { return r.set }

// Apply judges the record at offset Next. It returns the judgements that became
// certain: none or several when the replay is not anchored.
func (r *Replay) Apply(rec port.Record) []JudgedRecord {
	r.next = rec.Offset + 1
	c := newCandidate(rec)
	if r.anchored {
		return []JudgedRecord{r.judge(c)}
	}
	r.pending = append(r.pending, c)
	if len(r.pending) > maxPending {
		r.pending = r.pending[1:]
	}
	return r.anchor(c)
}

func newCandidate(rec port.Record) candidate {
	c := candidate{raw: rec}
	decoded, err := decodeRecord(rec.Data)
	switch {
	case err != nil, decoded.header.Through >= rec.Offset, decoded.header.Base > decoded.header.Through:
		c.fault = VoidDamaged
	case decoded.header.Kind != KindChange && len(object.Check(decoded.set)) > 0:
		c.fault = VoidInvalid
	}
	c.record = decoded
	return c
}

// anchor takes a record's statement of what was in force, if it reaches back no
// further than the records at hand, and judges those after it.
func (r *Replay) anchor(c candidate) []JudgedRecord {
	h := c.record.header
	if c.fault != "" || h.Kind == KindChange || h.Through+1 < r.pending[0].raw.Offset {
		return nil
	}
	if h.Kind == KindRestart && !c.followsDirectly() {
		return nil
	}
	r.state = state{anchored: true, version: h.Base}
	if h.Kind == KindRepublish {
		r.keepWhole(c)
	}
	out := make([]JudgedRecord, 0, len(r.pending))
	for _, p := range r.pending {
		if p.raw.Offset <= h.Through {
			out = append(out, JudgedRecord{Record: p.raw, Header: p.record.header, Judgement: Undecided})
			continue
		}
		if r.undecidable(p) {
			r.state = state{}
			return nil
		}
		out = append(out, r.judge(p))
	}
	r.pending = nil
	return out
}

// undecidable tells whether a change was made from a set that is not known. It
// cannot be checked then, and taking it on trust would let this reader accept what
// the others find void.
func (r *Replay) undecidable(c candidate) bool {
	h := c.record.header
	return c.fault == "" && h.Kind == KindChange && h.Base == r.version && r.set == nil && r.version > 0
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
func (r *Replay) judge(c candidate) JudgedRecord {
	out := JudgedRecord{Record: c.raw, Header: c.record.header, Judgement: c.fault}
	if c.fault != "" {
		return out
	}
	onBase := c.record.header.Base == r.version
	switch c.record.header.Kind {
	case KindRepublish:
		out.Judgement = r.judgeRepublish(c, onBase)
	case KindChange:
		out.Judgement = r.judgeChange(c, onBase)
	case KindRestart:
		out.Judgement = r.judgeWhole(c, c.followsDirectly())
	default:
		out.Judgement = r.judgeWhole(c, onBase)
	}
	return out
}

func (r *Replay) judgeWhole(c candidate, ok bool) Judgement {
	if ok {
		r.version = c.raw.Offset
		r.keepWhole(c)
	}
	return acceptedIf(ok)
}

// judgeChange makes the set that the change stands for and checks it like a whole one.
func (r *Replay) judgeChange(c candidate, onBase bool) Judgement {
	if !onBase {
		return VoidStaleBase
	}
	if r.set == nil {
		return VoidDamaged
	}
	set := c.record.change.Edit.Apply(*r.set)
	if setSum(set) != c.record.change.Sum {
		return VoidMismatch
	}
	if len(object.Check(set)) > 0 {
		return VoidInvalid
	}
	r.version = c.raw.Offset
	r.set = &set
	r.changes++
	return Accepted
}

// judgeRepublish never changes the version. One made before an operator's publish
// and appended after it has an old base and is void, so it cannot revert it.
func (r *Replay) judgeRepublish(c candidate, onBase bool) Judgement {
	if !onBase {
		return VoidStaleBase
	}
	if r.set != nil && setSum(*r.set) != setSum(c.record.set) {
		return VoidMismatch
	}
	r.keepWhole(c)
	return Republished
}

func (r *Replay) keepWhole(c candidate) {
	set := c.record.set
	r.set = &set
	r.whole = c.raw
	r.changes = 0
}
