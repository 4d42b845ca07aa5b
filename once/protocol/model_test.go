package protocol

import (
	"fmt"
	"slices"
	"time"
)

// The model runs the real Index and Claim of a few instances against a log whose
// appends land late, twice, or never, with instances that lag, crash and restart.

// breakage switches one safeguard off.
type breakage uint8

const (
	intact breakage = iota
	dispatchUnconfirmed
	appendAnewAfterLostAnswer
	firstInOwnMemoryWins
	indexNotReadToEnd
	abandonAfterMayHaveRun
	withdrawWithoutVoid
	lostIntentNotVoided
)

type phase uint8

const (
	idle phase = iota
	waiting
	won
	ran
	// The rest are final.
	notRun
	mayHaveRun
	replayed
	keyReused
	crashed
)

// entry is one record in the log or on its way to it: its kind, the call, and the
// version that tells the ids of one call apart.
type entry uint8

func newEntry(kind Kind, call, version uint8) entry { return entry(uint8(kind)<<4 | call<<1 | version) }
func (e entry) kind() Kind                          { return Kind(e >> 4) }
func (e entry) call() uint8                         { return uint8(e) >> 1 & 7 }
func (e entry) version() uint8                      { return uint8(e) & 1 }

// entries is a list that can be compared.
type entries struct {
	n    uint8
	list [32]entry
}

func (l *entries) all() []entry { return l.list[:l.n] }

func (l *entries) add(e entry) {
	l.list[l.n] = e
	l.n++
}

func (l *entries) remove(i int) {
	copy(l.list[i:], l.list[i+1:l.n])
	l.n--
	l.list[l.n] = 0
}

type callState struct {
	phase   phase
	node    uint8
	version uint8
	// copies counts appends of the intent.
	copies uint8
	// executed is 0 or the epoch of the dispatch, from 1.
	executed uint8
	// answer is the call whose answer was replayed, from 1.
	answer uint8
}

type nodeState struct {
	start, pos uint8
	ready      bool
}

// world is one state of the model; equal worlds are the same state.
type world struct {
	log, floating entries
	calls         [6]callState
	nodes         [4]nodeState
	crashes       uint8
	// expired is the number of records older than the window; epoch grows with it.
	expired, epoch uint8
}

// setup is what stays the same during an exploration.
type setup struct {
	nodes int
	// bodies has one call each.
	bodies  []byte
	crashes uint8
	// twice allows a second append of an intent after a lost answer.
	twice bool
	// expiry lets the window pass once.
	expiry bool
	// unknown lets an upstream's answer be lost.
	unknown  bool
	breakage breakage
}

var modelKey = Key{1}

func (s setup) record(e entry) Record {
	return Record{Kind: e.kind(), Key: modelKey, ID: IntentID{e.call(), e.version()}, Body: BodyHash{s.bodies[e.call()]}}
}

// index replays what a node has read.
func (s setup) index(w *world, n nodeState) *Index {
	x := NewIndex(uint64(n.start) + 1)
	for i := n.start; i < n.pos; i++ {
		x.Apply(uint64(i)+1, s.record(w.log.list[i]), time.Time{}, true)
	}
	return x
}

// send puts a record on its way; the order of those does not matter.
func (w *world) send(kind Kind, call int, version uint8) {
	w.floating.add(newEntry(kind, uint8(call), version))
	slices.Sort(w.floating.all())
}

// claim rebuilds the claim of a call that waits or has won.
func (s setup) claim(i int, c callState) *Claim {
	claim := NewClaim(s.record(newEntry(KindIntent, uint8(i), c.version)))
	claim.Sending()
	if c.phase == won {
		claim.Decide(FateWon)
	}
	return claim
}

// withdraw gives up call i.
func (s setup) withdraw(w *world, i int) {
	c := &w.calls[i]
	if s.claim(i, *c).Withdraw() && s.breakage != withdrawWithoutVoid {
		w.send(KindVoid, i, c.version)
	}
	c.phase = notRun
}

// successors returns every world that one step leads to.
func (s setup) successors(w world) []world {
	var out []world
	step := func(change func(*world)) {
		next := w
		change(&next)
		out = append(out, next)
	}
	for i := range s.bodies {
		s.callSteps(&w, i, step)
	}
	for n := range s.nodes {
		s.nodeSteps(&w, n, step)
	}
	for f, e := range w.floating.all() {
		step(func(w *world) {
			w.floating.remove(f)
			w.log.add(e)
		})
	}
	if s.expiry && w.epoch == 1 && w.log.n > 0 {
		step(s.expire)
	}
	return out
}

func (s setup) callSteps(w *world, i int, step func(func(*world))) {
	c := w.calls[i]
	switch c.phase {
	case idle:
		for n := range s.nodes {
			if w.nodes[n].ready {
				step(func(w *world) { s.begin(w, i, uint8(n)) })
			}
		}
	case waiting:
		step(func(w *world) { s.withdraw(w, i) })
		s.lostAnswerSteps(w, i, c, step)
		if s.breakage == dispatchUnconfirmed {
			step(func(w *world) { w.execute(i, ran) })
		}
	case won:
		step(func(w *world) { s.withdraw(w, i) }) // also: the upstream could not be reached
		step(func(w *world) { w.execute(i, ran) })
		if s.unknown {
			step(func(w *world) { s.loseUpstream(w, i) })
		}
	case ran:
		step(func(w *world) {
			w.send(KindOutcome, i, c.version)
			w.calls[i].phase = replayed
			w.calls[i].answer = uint8(i) + 1
		})
	}
}

func (s setup) begin(w *world, i int, n uint8) {
	c := &w.calls[i]
	c.node = n
	if !s.answerFromIndex(c, i, s.index(w, w.nodes[n])) {
		c.phase = waiting
		c.copies = 1
		w.send(KindIntent, i, 0)
	}
}

// answerFromIndex gives a call the answer that the index holds for its key.
func (s setup) answerFromIndex(c *callState, i int, x *Index) bool {
	state, holder := x.Lookup(modelKey)
	switch {
	case state == StateFree:
		return false
	case holder.Body != (BodyHash{s.bodies[i]}):
		c.phase = keyReused
	case state == StateDone:
		c.phase = replayed
		c.answer = holder.ID[0] + 1
	default:
		c.phase = mayHaveRun
	}
	return true
}

// lostAnswerSteps are the log's refusal and the second append after a lost answer.
func (s setup) lostAnswerSteps(w *world, i int, c callState, step func(func(*world))) {
	f := slices.Index(w.floating.all(), newEntry(KindIntent, uint8(i), c.version))
	if f >= 0 && c.copies == 1 {
		step(func(w *world) {
			claim := s.claim(i, c)
			claim.NotAppended()
			w.floating.remove(f)
			w.calls[i].phase = notRun
			if claim.Withdraw() {
				panic("a refused intent needs no void")
			}
		})
	}
	if s.twice && c.copies < 2 && w.nodes[c.node].pos == w.log.n {
		step(func(w *world) {
			w.calls[i].copies++
			if s.breakage == appendAnewAfterLostAnswer {
				w.calls[i].version++
			}
			w.send(KindIntent, i, w.calls[i].version)
		})
	}
}

func (w *world) execute(i int, p phase) {
	w.calls[i].executed = w.epoch
	w.calls[i].phase = p
}

// loseUpstream dispatches and loses the upstream's answer.
func (s setup) loseUpstream(w *world, i int) {
	w.execute(i, mayHaveRun)
	if s.breakage == abandonAfterMayHaveRun {
		w.send(KindVoid, i, w.calls[i].version)
	}
}

func (s setup) nodeSteps(w *world, n int, step func(func(*world))) {
	node := w.nodes[n]
	if node.pos < w.log.n {
		step(func(w *world) { s.read(w, n) })
	} else if !node.ready {
		step(func(w *world) { w.nodes[n].ready = true })
	}
	if w.crashes < s.crashes {
		step(func(w *world) { s.crash(w, n) })
	}
	if node.start < w.expired && node.pos >= w.expired {
		step(func(w *world) { w.nodes[n].start = w.expired })
	}
}

// read moves a node over one record and decides the call that it belongs to.
func (s setup) read(w *world, n int) {
	e := w.log.list[w.nodes[n].pos]
	w.nodes[n].pos++
	i := int(e.call())
	c := &w.calls[i]
	if e.kind() != KindIntent || c.phase != waiting || int(c.node) != n || c.version != e.version() {
		return
	}
	x := s.index(w, w.nodes[n])
	fate, _ := x.Fate(modelKey, IntentID{e.call(), e.version()})
	if s.breakage == firstInOwnMemoryWins {
		fate = FateWon
	}
	claim := s.claim(i, *c)
	claim.Decide(fate)
	switch {
	case claim.MayDispatch():
		c.phase = won
	case fate == FateLost:
		if claim.Withdraw() && s.breakage != lostIntentNotVoided {
			w.send(KindVoid, i, e.version())
		}
		if !s.answerFromIndex(c, i, x) {
			c.phase = notRun
		}
	}
}

// crash ends a node's calls; it starts again with nothing in memory.
func (s setup) crash(w *world, n int) {
	w.crashes++
	for i := range w.calls {
		c := &w.calls[i]
		if int(c.node) == n && (c.phase == waiting || c.phase == won || c.phase == ran) {
			c.phase = crashed
		}
	}
	// The log may have dropped what is older than the window.
	w.nodes[n] = nodeState{start: w.expired, pos: w.expired}
	if s.breakage == indexNotReadToEnd {
		w.nodes[n] = nodeState{start: w.log.n, pos: w.log.n, ready: true}
	}
}

// expire makes every record older than the window. Claims that old are withdrawn.
func (s setup) expire(w *world) {
	w.expired = w.log.n
	w.epoch++
	for i, c := range w.calls {
		if c.phase == waiting || c.phase == won {
			s.withdraw(w, i)
		}
	}
}

// check returns what is wrong with a world, or nil.
func (s setup) check(w *world) error {
	var runs [3]int
	for i, c := range w.calls {
		if c.executed > 0 {
			runs[c.executed]++
		}
		if c.phase == notRun && c.executed > 0 {
			return fmt.Errorf("call %d was told \"not run\" but ran", i)
		}
		if c.phase == replayed && w.calls[c.answer-1].executed == 0 {
			return fmt.Errorf("call %d got the answer of a call that did not run", i)
		}
	}
	if n := max(runs[1], runs[2]); n > 1 {
		return fmt.Errorf("the key ran %d times in one window", n)
	}
	return s.checkFree(w)
}

// checkFree reports a key that stays taken although nothing ran, nothing is on its
// way and every owner lives. After the window has passed a copy of an old intent
// may land whose void is forgotten; that costs refusals for one more window.
func (s setup) checkFree(w *world) error {
	if w.floating.n > 0 || w.epoch > 1 {
		return nil
	}
	for _, c := range w.calls {
		if c.executed > 0 || c.phase == waiting || c.phase == won || c.phase == crashed {
			return nil
		}
	}
	end := s.index(w, nodeState{pos: w.log.n})
	if state, _ := end.Lookup(modelKey); state != StateFree {
		return fmt.Errorf("the key is blocked though nothing ran and every owner lives")
	}
	return nil
}
