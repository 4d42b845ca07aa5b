package config

import (
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

// Judgement is the result of applying the acceptance rule to a record. Its values are metric
// tags and must not change once released.
type Judgement string

const (
	// Accepted records are versions.
	Accepted Judgement = "accepted"
	// Republished records repeat the current set.
	Republished Judgement = "republished"
	// VoidStaleBase records were made from a version other than the last accepted one.
	VoidStaleBase Judgement = "void_stale_base"
	// VoidDamaged records cannot be decoded.
	VoidDamaged Judgement = "void_damaged"
	// VoidInvalid records carry a set with faults.
	VoidInvalid Judgement = "void_invalid"
	// VoidMismatch records claim to repeat the current set, or to be an edit of it, but the
	// checksum of the result differs.
	VoidMismatch Judgement = "void_mismatch"
	// Undecided records precede the first one that states the current version.
	Undecided Judgement = "undecided"
)

// JudgedRecord is a record with its judgement.
type JudgedRecord struct {
	Record    port.Record
	Header    Header
	Judgement Judgement
}

// Replay applies the acceptance rule to a stream, record by record. It is a pure function of
// the records, so every reader gets the same result.
//
// A replay that starts at offset 1 knows that nothing had been published before. One that
// starts later is not anchored: whether its first record was accepted depends on records that
// it does not have. It becomes anchored by a record with a full set that states which version
// was current at an offset no earlier than the replay's start, and judges the records after
// that offset from there. Without this, a newly started instance and one that has run for
// months could decide an old race differently. An anchored replay knows the set of its
// version.
type Replay struct {
	state
	// next is the offset of the record to apply next.
	next    uint64
	pending []candidate
}

// state is the result of the records judged so far.
type state struct {
	anchored bool
	version  uint64
	// set is the content of version, nil when nothing was published.
	set *object.Set
	// fullRecord is the last accepted or republished record with a full set.
	fullRecord port.Record
	// changes counts the accepted changes since fullRecord.
	changes int
}

// maxPending limits the number of records kept before an anchor is found. Dropping the oldest
// one is equivalent to starting one record later.
const maxPending = 64

// candidate is a decoded record that has not been judged yet.
type candidate struct {
	raw       port.Record
	record    record
	rejection Judgement
}

// NewReplay returns a replay that starts with the record at offset from.
func NewReplay(from uint64) *Replay {
	return &Replay{state: state{anchored: from <= 1}, next: from}
}

// Anchored reports whether the version is known.
func (r *Replay) Anchored() bool { return r.anchored }

// Version is the last accepted version. It is valid only if the replay is anchored.
func (r *Replay) Version() uint64 { return r.version }

// Next is the offset of the record to apply next.
func (r *Replay) Next() uint64 { return r.next }

// Set is the set of Version, nil when nothing was published.
func (r *Replay) Set() *object.Set { return r.set }

// Apply processes the record at offset Next. It returns the judgements that became final:
// possibly none, or several, when the replay is not anchored.
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
	return r.tryAnchor(c)
}

func newCandidate(rec port.Record) candidate {
	c := candidate{raw: rec}
	decoded, err := decodeRecord(rec.Data)
	switch {
	case err != nil, decoded.header.Through >= rec.Offset, decoded.header.Base > decoded.header.Through:
		c.rejection = VoidDamaged
	case decoded.header.Kind != KindChange && len(object.Check(decoded.set)) > 0:
		c.rejection = VoidInvalid
	}
	c.record = decoded
	return c
}

// tryAnchor uses a record's statement of the current version as the anchor, if the statement
// refers to an offset no earlier than just before the pending records, and judges the records
// after that offset.
func (r *Replay) tryAnchor(c candidate) []JudgedRecord {
	h := c.record.header
	if c.rejection != "" || h.Kind == KindChange || h.Through+1 < r.pending[0].raw.Offset {
		return nil
	}
	if h.Kind == KindRestart && !c.followsDirectly() {
		return nil
	}
	r.state = state{anchored: true, version: h.Base}
	if h.Kind == KindRepublish {
		r.setFull(c)
	}
	out := make([]JudgedRecord, 0, len(r.pending))
	for _, p := range r.pending {
		if p.raw.Offset <= h.Through {
			out = append(out, JudgedRecord{Record: p.raw, Header: p.record.header, Judgement: Undecided})
			continue
		}
		if r.baseUnknown(p) {
			r.state = state{}
			return nil
		}
		out = append(out, r.judge(p))
	}
	r.pending = nil
	return out
}

// baseUnknown reports whether a change was made from a set that is not known. Its result
// cannot be checked then, and accepting it unchecked could differ from what other readers
// decide.
func (r *Replay) baseUnknown(c candidate) bool {
	h := c.record.header
	return c.rejection == "" && h.Kind == KindChange && h.Base == r.version && r.set == nil && r.version > 0
}

// followsDirectly reports whether no record lies between the last one the writer had read and
// this one. A restart needs this: its writer does not know the current version, and only the
// absence of any other record ensures that it does not replace one.
func (c *candidate) followsDirectly() bool {
	return c.record.header.Through+1 == c.raw.Offset
}

func acceptedOrStale(ok bool) Judgement {
	if ok {
		return Accepted
	}
	return VoidStaleBase
}

// judge applies the rule to one record of an anchored replay.
func (r *Replay) judge(c candidate) JudgedRecord {
	out := JudgedRecord{Record: c.raw, Header: c.record.header, Judgement: c.rejection}
	if c.rejection != "" {
		return out
	}
	onBase := c.record.header.Base == r.version
	switch c.record.header.Kind {
	case KindRepublish:
		out.Judgement = r.judgeRepublish(c, onBase)
	case KindChange:
		out.Judgement = r.judgeChange(c, onBase)
	case KindRestart:
		out.Judgement = r.judgeFullSet(c, c.followsDirectly())
	default:
		out.Judgement = r.judgeFullSet(c, onBase)
	}
	return out
}

func (r *Replay) judgeFullSet(c candidate, ok bool) Judgement {
	if ok {
		r.version = c.raw.Offset
		r.setFull(c)
	}
	return acceptedOrStale(ok)
}

// judgeChange applies the change to the current set and validates the result like a full set.
func (r *Replay) judgeChange(c candidate, onBase bool) Judgement {
	if !onBase {
		return VoidStaleBase
	}
	if r.set == nil {
		return VoidDamaged
	}
	set := c.record.change.Edit.Apply(*r.set)
	if setChecksum(set) != c.record.change.Sum {
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

// judgeRepublish never changes the version. A republish prepared before an operator's publish
// and appended after it has a stale base and is void, so it cannot revert the publish.
func (r *Replay) judgeRepublish(c candidate, onBase bool) Judgement {
	if !onBase {
		return VoidStaleBase
	}
	if r.set != nil && setChecksum(*r.set) != setChecksum(c.record.set) {
		return VoidMismatch
	}
	r.setFull(c)
	return Republished
}

func (r *Replay) setFull(c candidate) {
	set := c.record.set
	r.set = &set
	r.fullRecord = c.raw
	r.changes = 0
}
