package protocol

import "time"

// State is what is known of a key.
type State uint8

const (
	// StateFree means that no live intent holds the key.
	StateFree State = iota
	// StateClaimed means that an intent without outcome holds the key: its call
	// may have run or may be running.
	StateClaimed
	// StateDone means that the key's call ran.
	StateDone
)

// Holder describes the intent that holds a key.
type Holder struct {
	ID        IntentID
	Body      BodyHash
	Owner     Owner
	ClaimedMS int64
	// Offset of the intent, 0 when the log dropped it before its outcome.
	Offset uint64
	// Outcome is the offset of the outcome record in StateDone.
	Outcome       uint64
	AnswerDropped bool
}

// intent is one intent of a key. Void intents stay as tombstones, so that a
// late copy of one is not taken for a new claim.
type intent struct {
	Holder
	fate Fate
	void bool
}

// arrival orders intents by when they were read, for forgetting.
type arrival struct {
	key    Key
	id     IntentID
	offset uint64
	readAt time.Time
	// live tells that the record was read at the end of the stream, so that readAt
	// is close to its append; others are older by an unknown time.
	live bool
}

// Index is the state of every key of one partition after a prefix of its stream.
// Apart from what it forgets it is a function of that prefix, so that two readers
// agree on who won.
type Index struct {
	next     uint64
	keys     map[Key][]intent
	arrivals []arrival
}

// NewIndex returns the index before the record at offset next.
func NewIndex(next uint64) *Index {
	return &Index{next: next, keys: make(map[Key][]intent)}
}

// Next is the offset of the next record to apply.
func (x *Index) Next() uint64 { return x.next }

// Skip moves over records that the log no longer holds or that cannot be decoded.
func (x *Index) Skip(next uint64) {
	if next > x.next {
		x.next = next
	}
}

// Len returns the number of keys held.
func (x *Index) Len() int { return len(x.keys) }

// Apply moves the index over the record at offset. Records below Next are copies
// of what was applied already and change nothing. now is the reader's clock; live
// tells that the record was read at the end of the stream.
func (x *Index) Apply(offset uint64, rec Record, now time.Time, live bool) {
	if offset < x.next {
		return
	}
	x.next = offset + 1
	switch rec.Kind {
	case KindIntent:
		x.applyIntent(offset, rec, now, live)
	case KindOutcome:
		x.applyOutcome(offset, rec, now, live)
	case KindVoid:
		x.applyVoid(offset, rec, now, live)
	}
}

func (x *Index) applyIntent(offset uint64, rec Record, now time.Time, live bool) {
	if x.find(rec.Key, rec.ID) != nil {
		// A second copy of an append whose answer was lost, or a copy that arrived
		// after its void. Counting it as a claim would block the key with nobody
		// left to dispatch or withdraw it.
		return
	}
	fate := FateWon
	if x.head(rec.Key) != nil {
		fate = FateLost
	}
	x.add(intent{Holder: Holder{ID: rec.ID, Body: rec.Body, Owner: rec.Owner, ClaimedMS: rec.ClaimedMS, Offset: offset}, fate: fate},
		arrival{key: rec.Key, id: rec.ID, offset: offset, readAt: now, live: live})
}

func (x *Index) applyOutcome(offset uint64, rec Record, now time.Time, live bool) {
	if in := x.find(rec.Key, rec.ID); in != nil {
		if in.Outcome == 0 {
			in.Outcome = offset
			in.AnswerDropped = rec.AnswerDropped
		}
		// An outcome after a void means that an owner broke rule 3. The call did
		// run, so the key must not be free.
		in.void = false
		return
	}
	// The log dropped the intent but still holds its outcome: the call ran.
	x.add(intent{Holder: Holder{ID: rec.ID, Body: rec.Body, Outcome: offset, AnswerDropped: rec.AnswerDropped}, fate: FateWon},
		arrival{key: rec.Key, id: rec.ID, offset: offset, readAt: now, live: live})
}

func (x *Index) applyVoid(offset uint64, rec Record, now time.Time, live bool) {
	if in := x.find(rec.Key, rec.ID); in != nil {
		// An outcome proves that the call ran; no void can take that back.
		in.void = in.void || in.Outcome == 0
		return
	}
	x.add(intent{Holder: Holder{ID: rec.ID}, fate: FateLost, void: true},
		arrival{key: rec.Key, id: rec.ID, offset: offset, readAt: now, live: live})
}

func (x *Index) add(in intent, a arrival) {
	x.keys[a.key] = append(x.keys[a.key], in)
	x.arrivals = append(x.arrivals, a)
}

// Lookup returns the state of a key and the intent that holds it.
func (x *Index) Lookup(key Key) (State, Holder) {
	in := x.head(key)
	if in == nil {
		return StateFree, Holder{}
	}
	if in.Outcome != 0 {
		return StateDone, in.Holder
	}
	return StateClaimed, in.Holder
}

// Fate returns what the stream decided about an intent and its offset.
func (x *Index) Fate(key Key, id IntentID) (Fate, uint64) {
	in := x.find(key, id)
	if in == nil {
		return FateOpen, 0
	}
	if in.void {
		return FateLost, in.Offset
	}
	return in.fate, in.Offset
}

// Settled reports whether the record's effect stands in the prefix read so far.
func (x *Index) Settled(rec Record) bool {
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

// head is the oldest live intent of a key. Lost intents count until their owners
// void them: a reader that has forgotten the winner would take the lost intent
// for the winner, and both readings must keep the key from running again.
func (x *Index) head(key Key) *intent {
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
