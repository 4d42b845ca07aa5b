package protocol

import (
	"fmt"
	"slices"
	"time"
)

// The model runs the actual Index and Claim of a few instances against a log whose appends take
// effect late, twice or never. The instances lag, crash and restart.

// mutation disables one safeguard of the protocol.
type mutation uint8

const (
	noMutation mutation = iota
	dispatchUnconfirmed
	newIDAfterLostResponse
	ownIntentAlwaysWins
	readyBeforeCatchUp
	voidAfterMayHaveRun
	withdrawWithoutVoid
	lostIntentNotVoided
)

type phase uint8

const (
	idle phase = iota
	waiting
	won
	ran
	// The phases below are final.
	notRun
	mayHaveRun
	replayed
	keyReused
	crashed
)

// entry is one record in the log or in flight to it. It encodes the kind, the call, and a version
// that distinguishes the intent IDs of one call.
type entry uint8

func newEntry(kind Kind, call, version uint8) entry { return entry(uint8(kind)<<4 | call<<1 | version) }
func (e entry) kind() Kind                          { return Kind(e >> 4) }
func (e entry) call() uint8                         { return uint8(e) >> 1 & 7 }
func (e entry) version() uint8                      { return uint8(e) & 1 }

// entryList is a list of entries that is comparable with ==.
type entryList struct {
	n    uint8
	list [32]entry
}

func (l *entryList) all() []entry { return l.list[:l.n] }

func (l *entryList) add(e entry) {
	l.list[l.n] = e
	l.n++
}

func (l *entryList) remove(i int) {
	copy(l.list[i:], l.list[i+1:l.n])
	l.n--
	l.list[l.n] = 0
}

type callState struct {
	phase   phase
	node    uint8
	version uint8
	// appends is the number of appends of the intent.
	appends uint8
	// executedEpoch is the epoch of the dispatch, counted from 1, or 0 if the call was not
	// dispatched.
	executedEpoch uint8
	// replayedFrom is the number, counted from 1, of the call whose response was replayed.
	replayedFrom uint8
}

type nodeState struct {
	start, pos uint8
	ready      bool
}

// modelState is one state of the model. Equal values are the same state.
type modelState struct {
	log, inFlight entryList
	calls         [6]callState
	nodes         [4]nodeState
	crashes       uint8
	// expired is the number of records older than the window. epoch is incremented when the
	// window passes.
	expired, epoch uint8
}

// scenario holds the parameters of one exploration.
type scenario struct {
	nodes int
	// bodies has one element for each call.
	bodies     []byte
	maxCrashes uint8
	// duplicateAppends allows a second append of an intent after a lost response.
	duplicateAppends bool
	// windowExpires allows the window to pass once.
	windowExpires bool
	// lostResponses allows the response of an upstream to be lost.
	lostResponses bool
	mutation      mutation
}

var modelKey = Key{1}

func (s scenario) record(e entry) Record {
	return Record{Kind: e.kind(), Key: modelKey, ID: IntentID{e.call(), e.version()}, Body: BodyHash{s.bodies[e.call()]}}
}

// index builds the index of a node by replaying the records that it has read.
func (s scenario) index(m *modelState, n nodeState) *Index {
	x := NewIndex(uint64(n.start) + 1)
	for i := n.start; i < n.pos; i++ {
		x.Apply(uint64(i)+1, s.record(m.log.list[i]), time.Time{}, true)
	}
	return x
}

// send adds a record to those in flight. They are kept sorted, because their order has no
// meaning and must not distinguish states.
func (m *modelState) send(kind Kind, call int, version uint8) {
	m.inFlight.add(newEntry(kind, uint8(call), version))
	slices.Sort(m.inFlight.all())
}

// claim rebuilds the Claim of a call that is waiting or has won.
func (s scenario) claim(i int, c callState) *Claim {
	claim := NewClaim(s.record(newEntry(KindIntent, uint8(i), c.version)))
	claim.MarkSent()
	if c.phase == won {
		claim.SetDecision(DecisionWon)
	}
	return claim
}

// withdraw withdraws the claim of call i.
func (s scenario) withdraw(m *modelState, i int) {
	c := &m.calls[i]
	if s.claim(i, *c).Withdraw() && s.mutation != withdrawWithoutVoid {
		m.send(KindVoid, i, c.version)
	}
	c.phase = notRun
}

// successors returns all states that are reachable in one step.
func (s scenario) successors(m modelState) []modelState {
	var out []modelState
	step := func(change func(*modelState)) {
		next := m
		change(&next)
		out = append(out, next)
	}
	for i := range s.bodies {
		s.callSteps(&m, i, step)
	}
	for n := range s.nodes {
		s.nodeSteps(&m, n, step)
	}
	for f, e := range m.inFlight.all() {
		step(func(m *modelState) {
			m.inFlight.remove(f)
			m.log.add(e)
		})
	}
	if s.windowExpires && m.epoch == 1 && m.log.n > 0 {
		step(s.expireWindow)
	}
	return out
}

func (s scenario) callSteps(m *modelState, i int, step func(func(*modelState))) {
	c := m.calls[i]
	switch c.phase {
	case idle:
		for n := range s.nodes {
			if m.nodes[n].ready {
				step(func(m *modelState) { s.beginCall(m, i, uint8(n)) })
			}
		}
	case waiting:
		step(func(m *modelState) { s.withdraw(m, i) })
		s.appendFailureSteps(m, i, c, step)
		if s.mutation == dispatchUnconfirmed {
			step(func(m *modelState) { m.execute(i, ran) })
		}
	case won:
		step(func(m *modelState) { s.withdraw(m, i) }) // also covers an unreachable upstream
		step(func(m *modelState) { m.execute(i, ran) })
		if s.lostResponses {
			step(func(m *modelState) { s.loseUpstreamResponse(m, i) })
		}
	case ran:
		step(func(m *modelState) {
			m.send(KindOutcome, i, c.version)
			m.calls[i].phase = replayed
			m.calls[i].replayedFrom = uint8(i) + 1
		})
	}
}

func (s scenario) beginCall(m *modelState, i int, n uint8) {
	c := &m.calls[i]
	c.node = n
	if !s.completeFromIndex(c, i, s.index(m, m.nodes[n])) {
		c.phase = waiting
		c.appends = 1
		m.send(KindIntent, i, 0)
	}
}

// completeFromIndex completes a call with the state that the index holds for its key. It returns
// false if the key is free.
func (s scenario) completeFromIndex(c *callState, i int, x *Index) bool {
	state, holder := x.Lookup(modelKey)
	switch {
	case state == StateFree:
		return false
	case holder.Body != (BodyHash{s.bodies[i]}):
		c.phase = keyReused
	case state == StateDone:
		c.phase = replayed
		c.replayedFrom = holder.ID[0] + 1
	default:
		c.phase = mayHaveRun
	}
	return true
}

// appendFailureSteps are the steps in which the log refuses an append, or the intent is appended
// a second time after a lost response.
func (s scenario) appendFailureSteps(m *modelState, i int, c callState, step func(func(*modelState))) {
	f := slices.Index(m.inFlight.all(), newEntry(KindIntent, uint8(i), c.version))
	if f >= 0 && c.appends == 1 {
		step(func(m *modelState) {
			claim := s.claim(i, c)
			claim.MarkNotAppended()
			m.inFlight.remove(f)
			m.calls[i].phase = notRun
			if claim.Withdraw() {
				panic("void requested for an intent that was not appended")
			}
		})
	}
	if s.duplicateAppends && c.appends < 2 && m.nodes[c.node].pos == m.log.n {
		step(func(m *modelState) {
			m.calls[i].appends++
			if s.mutation == newIDAfterLostResponse {
				m.calls[i].version++
			}
			m.send(KindIntent, i, m.calls[i].version)
		})
	}
}

func (m *modelState) execute(i int, p phase) {
	m.calls[i].executedEpoch = m.epoch
	m.calls[i].phase = p
}

// loseUpstreamResponse dispatches a call whose response is lost.
func (s scenario) loseUpstreamResponse(m *modelState, i int) {
	m.execute(i, mayHaveRun)
	if s.mutation == voidAfterMayHaveRun {
		m.send(KindVoid, i, m.calls[i].version)
	}
}

func (s scenario) nodeSteps(m *modelState, n int, step func(func(*modelState))) {
	node := m.nodes[n]
	if node.pos < m.log.n {
		step(func(m *modelState) { s.readRecord(m, n) })
	} else if !node.ready {
		step(func(m *modelState) { m.nodes[n].ready = true })
	}
	if m.crashes < s.maxCrashes {
		step(func(m *modelState) { s.crash(m, n) })
	}
	if node.start < m.expired && node.pos >= m.expired {
		step(func(m *modelState) { m.nodes[n].start = m.expired })
	}
}

// readRecord applies the next record at a node and decides the call that the record belongs to.
func (s scenario) readRecord(m *modelState, n int) {
	e := m.log.list[m.nodes[n].pos]
	m.nodes[n].pos++
	i := int(e.call())
	c := &m.calls[i]
	if e.kind() != KindIntent || c.phase != waiting || int(c.node) != n || c.version != e.version() {
		return
	}
	x := s.index(m, m.nodes[n])
	decision, _ := x.Decision(modelKey, IntentID{e.call(), e.version()})
	if s.mutation == ownIntentAlwaysWins {
		decision = DecisionWon
	}
	claim := s.claim(i, *c)
	claim.SetDecision(decision)
	switch {
	case claim.MayDispatch():
		c.phase = won
	case decision == DecisionLost:
		if claim.Withdraw() && s.mutation != lostIntentNotVoided {
			m.send(KindVoid, i, e.version())
		}
		if !s.completeFromIndex(c, i, x) {
			c.phase = notRun
		}
	}
}

// crash ends the calls of a node, which restarts with no state.
func (s scenario) crash(m *modelState, n int) {
	m.crashes++
	for i := range m.calls {
		c := &m.calls[i]
		if int(c.node) == n && (c.phase == waiting || c.phase == won || c.phase == ran) {
			c.phase = crashed
		}
	}
	// The log may have dropped the records older than the window.
	m.nodes[n] = nodeState{start: m.expired, pos: m.expired}
	if s.mutation == readyBeforeCatchUp {
		m.nodes[n] = nodeState{start: m.log.n, pos: m.log.n, ready: true}
	}
}

// expireWindow makes all records older than the window. Open claims, which are then as old, are
// withdrawn.
func (s scenario) expireWindow(m *modelState) {
	m.expired = m.log.n
	m.epoch++
	for i, c := range m.calls {
		if c.phase == waiting || c.phase == won {
			s.withdraw(m, i)
		}
	}
}

// checkInvariants returns an error if a state violates an invariant of the protocol.
func (s scenario) checkInvariants(m *modelState) error {
	var runs [3]int
	for i, c := range m.calls {
		if c.executedEpoch > 0 {
			runs[c.executedEpoch]++
		}
		if c.phase == notRun && c.executedEpoch > 0 {
			return fmt.Errorf("call %d was reported as \"not run\" but ran", i)
		}
		if c.phase == replayed && m.calls[c.replayedFrom-1].executedEpoch == 0 {
			return fmt.Errorf("call %d got the response of a call that did not run", i)
		}
	}
	if n := max(runs[1], runs[2]); n > 1 {
		return fmt.Errorf("the key ran %d times in one window", n)
	}
	return s.checkKeyNotBlocked(m)
}

// checkKeyNotBlocked returns an error if a key is not free although no call ran, no record is in
// flight and no owner crashed. States after the window has passed are not checked: a late copy of
// an intent whose void has expired may be appended, which causes refusals for one more window.
func (s scenario) checkKeyNotBlocked(m *modelState) error {
	if m.inFlight.n > 0 || m.epoch > 1 {
		return nil
	}
	for _, c := range m.calls {
		if c.executedEpoch > 0 || c.phase == waiting || c.phase == won || c.phase == crashed {
			return nil
		}
	}
	end := s.index(m, nodeState{pos: m.log.n})
	if state, _ := end.Lookup(modelKey); state != StateFree {
		return fmt.Errorf("the key is blocked although no call ran and no owner crashed")
	}
	return nil
}
