package protocol

import "time"

// State is the state of a key.
type State uint8

const (
	// StateFree means that no live intent holds the key.
	StateFree State = iota
	// StateClaimed means that an intent without an outcome holds the key. Its call may be
	// running or may have run.
	StateClaimed
	// StateDone means that the key's call has run.
	StateDone
)

// Holder describes the intent that holds a key.
type Holder struct {
	ID        IntentID
	Body      BodyHash
	Owner     Owner
	ClaimedMS int64
	// Offset is the offset of the intent. It is 0 if the log dropped the intent before its
	// outcome was read.
	Offset uint64
	// Outcome is the offset of the outcome record in StateDone.
	Outcome uint64
	// AnswerDropped reports that the outcome was recorded without the response.
	AnswerDropped bool
}

// intent is the state of one intent of a key. Void intents are kept as tombstones, so that a
// late copy is not treated as a new claim.
type intent struct {
	Holder
	decision Decision
	void     bool
}

// expiryEntry is an entry of the expiry queue, which contains the intents in the order they were
// read.
type expiryEntry struct {
	key    Key
	id     IntentID
	offset uint64
	readAt time.Time
	// atEnd reports that the record was read at the end of the stream, so that readAt is close
	// to the time of its append. Other records are older by an unknown time.
	atEnd bool
}

// Index holds the state of all keys of one partition after a prefix of its stream. Apart from
// expiry it is a function of that prefix, so that all readers agree on the winners.
type Index struct {
	next        uint64
	keys        map[Key][]intent
	expiryQueue []expiryEntry
}

// NewIndex returns an empty index whose first record to apply is at offset next.
func NewIndex(next uint64) *Index {
	return &Index{next: next, keys: make(map[Key][]intent)}
}

// Next returns the offset of the next record to apply.
func (x *Index) Next() uint64 { return x.next }

// SkipTo skips records that the log has dropped or that cannot be decoded.
func (x *Index) SkipTo(next uint64) {
	if next > x.next {
		x.next = next
	}
}

// Len returns the number of keys in the index.
func (x *Index) Len() int { return len(x.keys) }

// Apply applies the record at offset. Records below Next have already been applied and are
// ignored. now is the time on the reader's clock; atEnd reports that the record was read at the
// end of the stream.
func (x *Index) Apply(offset uint64, rec Record, now time.Time, atEnd bool) {
	if offset < x.next {
		return
	}
	x.next = offset + 1
	switch rec.Kind {
	case KindIntent:
		x.applyIntent(offset, rec, now, atEnd)
	case KindOutcome:
		x.applyOutcome(offset, rec, now, atEnd)
	case KindVoid:
		x.applyVoid(offset, rec, now, atEnd)
	}
}

func (x *Index) applyIntent(offset uint64, rec Record, now time.Time, atEnd bool) {
	if x.find(rec.Key, rec.ID) != nil {
		// A second copy of an append whose response was lost, or a copy that arrived after
		// the void. Treating it as a claim would block the key, because no owner would
		// dispatch or withdraw it.
		return
	}
	decision := DecisionWon
	if x.oldestLive(rec.Key) != nil {
		decision = DecisionLost
	}
	x.add(intent{Holder: Holder{ID: rec.ID, Body: rec.Body, Owner: rec.Owner, ClaimedMS: rec.ClaimedMS, Offset: offset}, decision: decision},
		expiryEntry{key: rec.Key, id: rec.ID, offset: offset, readAt: now, atEnd: atEnd})
}

func (x *Index) applyOutcome(offset uint64, rec Record, now time.Time, atEnd bool) {
	if in := x.find(rec.Key, rec.ID); in != nil {
		if in.Outcome == 0 {
			in.Outcome = offset
			in.AnswerDropped = rec.AnswerDropped
		}
		// An outcome after a void means that an owner violated rule 3. The call did run,
		// so the key must not be free.
		in.void = false
		return
	}
	// The log has dropped the intent but still contains its outcome: the call ran.
	x.add(intent{Holder: Holder{ID: rec.ID, Body: rec.Body, Outcome: offset, AnswerDropped: rec.AnswerDropped}, decision: DecisionWon},
		expiryEntry{key: rec.Key, id: rec.ID, offset: offset, readAt: now, atEnd: atEnd})
}

func (x *Index) applyVoid(offset uint64, rec Record, now time.Time, atEnd bool) {
	if in := x.find(rec.Key, rec.ID); in != nil {
		// An outcome proves that the call ran; a later void has no effect.
		in.void = in.void || in.Outcome == 0
		return
	}
	x.add(intent{Holder: Holder{ID: rec.ID}, decision: DecisionLost, void: true},
		expiryEntry{key: rec.Key, id: rec.ID, offset: offset, readAt: now, atEnd: atEnd})
}

func (x *Index) add(in intent, e expiryEntry) {
	x.keys[e.key] = append(x.keys[e.key], in)
	x.expiryQueue = append(x.expiryQueue, e)
}

// Lookup returns the state of a key and the intent that holds it.
func (x *Index) Lookup(key Key) (State, Holder) {
	in := x.oldestLive(key)
	if in == nil {
		return StateFree, Holder{}
	}
	if in.Outcome != 0 {
		return StateDone, in.Holder
	}
	return StateClaimed, in.Holder
}

// Decision returns the decision about an intent and the offset of the intent.
func (x *Index) Decision(key Key, id IntentID) (Decision, uint64) {
	in := x.find(key, id)
	if in == nil {
		return DecisionPending, 0
	}
	if in.void {
		return DecisionLost, in.Offset
	}
	return in.decision, in.Offset
}

// Reflects reports whether the records applied so far include the record or one that makes it
// unnecessary, such as an outcome for a void.
func (x *Index) Reflects(rec Record) bool {
	in := x.find(rec.Key, rec.ID)
	if in == nil {
		return false
	}
	switch rec.Kind {
	case KindOutcome:
		return in.Outcome != 0
	case KindVoid:
		return in.void || in.Outcome != 0
	default:
		return true
	}
}

// oldestLive returns the oldest live intent of a key, or nil. A lost intent counts as live until
// its owner voids it: a reader for which the winner has expired treats the lost intent as the
// winner, and both views must prevent a second run.
func (x *Index) oldestLive(key Key) *intent {
	list := x.keys[key]
	for i := range list {
		if !list[i].void {
			return &list[i]
		}
	}
	return nil
}

func (x *Index) find(key Key, id IntentID) *intent {
	list := x.keys[key]
	for i := range list {
		if list[i].ID == id {
			return &list[i]
		}
	}
	return nil
}
