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

// entry is one record in the log or on its way to it.
type entry struct {
	kind    Kind
	request uint8
	// version tells the ids that one request used apart.
	version uint8
}

type callState struct {
	phase   phase
	node    uint8
	version uint8
	// copies counts appends of the intent.
	copies uint8
	// executed is 0 or the epoch of the dispatch, from 1.
	executed uint8
	// answer is the request whose answer was replayed, from 1.
	answer uint8
}

type nodeState struct {
	start, pos uint8
	ready      bool
}

type world struct {
	log, floating []entry
	calls         []callState
	nodes         []nodeState
	crashes       uint8
	// expired is the number of records older than the window; epoch grows with it.
	expired, epoch uint8
}

// setup is what stays the same during an exploration.
type setup struct {
	nodes   int
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

func (s setup) initial() world {
	return world{calls: make([]callState, len(s.bodies)), nodes: make([]nodeState, s.nodes), epoch: 1}
}

func (w world) clone() world {
	w.log = slices.Clone(w.log)
	w.floating = slices.Clone(w.floating)
	w.calls = slices.Clone(w.calls)
	w.nodes = slices.Clone(w.nodes)
	return w
}

// encode returns a string that is equal for equal worlds.
func (w world) encode() string {
	b := make([]byte, 0, 128)
	for _, e := range w.log {
		b = append(b, byte(e.kind), e.request, e.version)
	}
	b = append(b, 0xff)
	for _, e := range w.floating {
		b = append(b, byte(e.kind), e.request, e.version)
	}
	b = append(b, 0xff, w.crashes, w.expired, w.epoch)
	for _, c := range w.calls {
		b = append(b, byte(c.phase), c.node, c.version, c.copies, c.executed, c.answer)
	}
	for _, n := range w.nodes {
		b = append(b, n.start, n.pos)
		if n.ready {
			b = append(b, 1)
		}
	}
	return string(b)
}

var modelKey = Key{1}

func (s setup) record(e entry) Record {
	return Record{Kind: e.kind, Key: modelKey, ID: IntentID{e.request, e.version}, Body: BodyHash{s.bodies[e.request]}}
}

// index replays what a node has read.
func (s setup) index(w world, n nodeState) *Index {
	x := NewIndex(uint64(n.start) + 1)
	for i := n.start; i < n.pos; i++ {
		x.Apply(uint64(i)+1, s.record(w.log[i]), time.Time{}, true)
	}
	return x
}

func (w *world) send(e entry) {
	w.floating = append(w.floating, e)
	slices.SortFunc(w.floating, func(a, b entry) int {
		return (int(a.kind)-int(b.kind))*64 + (int(a.request)-int(b.request))*8 + int(a.version) - int(b.version)
	})
}

// claim rebuilds the claim of a call that waits or has won.
func (s setup) claim(i int, c callState) *Claim {
	claim := NewClaim(s.record(entry{KindIntent, uint8(i), c.version}))
	claim.Sending()
	if c.phase == won {
		claim.Decide(FateWon)
	}
	return claim
}

// withdraw gives up call i.
func (s setup) withdraw(w *world, i int) {
	c := &w.calls[i]
	lost := s.claim(i, *c).Withdraw()
	if lost && s.breakage != withdrawWithoutVoid {
		w.send(entry{KindVoid, uint8(i), c.version})
	}
	c.phase = notRun
}

// successors returns every world that one step leads to.
func (s setup) successors(w world) []world {
	var out []world
	step := func(change func(*world)) {
		next := w.clone()
		change(&next)
		out = append(out, next)
	}
	for i, c := range w.calls {
		s.callSteps(w, i, c, step)
	}
	for n := range w.nodes {
		s.nodeSteps(w, n, step)
	}
	for f, e := range w.floating {
		step(func(w *world) {
			w.floating = slices.Delete(w.floating, f, f+1)
			w.log = append(w.log, e)
		})
	}
	if s.expiry && w.epoch == 1 && len(w.log) > 0 {
		step(s.expire)
	}
	return out
}

func (s setup) callSteps(w world, i int, c callState, step func(func(*world))) {
	switch c.phase {
	case idle:
		for n, node := range w.nodes {
			if node.ready {
				step(func(w *world) { s.begin(w, i, uint8(n)) })
			}
		}
	case waiting:
		step(func(w *world) { s.withdraw(w, i) })
		s.lostAnswerSteps(w, i, c, step)
		if s.breakage == dispatchUnconfirmed {
			step(func(w *world) { w.execute(i) })
		}
	case won:
		step(func(w *world) { s.withdraw(w, i) }) // also: the upstream could not be reached
		step(func(w *world) { w.execute(i) })
		if s.unknown {
			step(func(w *world) { s.loseUpstream(w, i) })
		}
	case ran:
		step(func(w *world) {
			w.send(entry{KindOutcome, uint8(i), c.version})
			w.calls[i].phase = replayed
			w.calls[i].answer = uint8(i) + 1
		})
	}
}

func (s setup) begin(w *world, i int, n uint8) {
	c := &w.calls[i]
	c.node = n
	x := s.index(*w, w.nodes[n])
	if !s.answerFromIndex(c, i, x) {
		c.phase = waiting
		c.copies = 1
		w.send(entry{KindIntent, uint8(i), 0})
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
func (s setup) lostAnswerSteps(w world, i int, c callState, step func(func(*world))) {
	own := entry{KindIntent, uint8(i), c.version}
	f := slices.Index(w.floating, own)
	if f >= 0 && c.copies == 1 {
		step(func(w *world) {
			claim := s.claim(i, c)
			claim.NotAppended()
			w.floating = slices.Delete(w.floating, f, f+1)
			w.calls[i].phase = notRun
			if claim.Withdraw() {
				panic("a refused intent needs no void")
			}
		})
	}
	if s.twice && c.copies < 2 && int(w.nodes[c.node].pos) == len(w.log) {
		step(func(w *world) {
			w.calls[i].copies++
			if s.breakage == appendAnewAfterLostAnswer {
				w.calls[i].version++
			}
			w.send(entry{KindIntent, uint8(i), w.calls[i].version})
		})
	}
}

func (w *world) execute(i int) {
	w.calls[i].executed = w.epoch
	w.calls[i].phase = ran
}

// loseUpstream dispatches and loses the upstream's answer.
func (s setup) loseUpstream(w *world, i int) {
	w.execute(i)
	w.calls[i].phase = mayHaveRun
	if s.breakage == abandonAfterMayHaveRun {
		w.send(entry{KindVoid, uint8(i), w.calls[i].version})
	}
}

func (s setup) nodeSteps(w world, n int, step func(func(*world))) {
	node := w.nodes[n]
	if int(node.pos) < len(w.log) {
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
	w.nodes[n].pos++
	e := w.log[w.nodes[n].pos-1]
	c := &w.calls[e.request]
	if e.kind != KindIntent || c.phase != waiting || int(c.node) != n || c.version != e.version {
		return
	}
	x := s.index(*w, w.nodes[n])
	fate, _ := x.Fate(modelKey, IntentID{e.request, e.version})
	if s.breakage == firstInOwnMemoryWins {
		fate = FateWon
	}
	claim := s.claim(int(e.request), *c)
	claim.Decide(fate)
	switch {
	case claim.MayDispatch():
		c.phase = won
	case fate == FateLost:
		if claim.Withdraw() && s.breakage != lostIntentNotVoided {
			w.send(entry{KindVoid, e.request, e.version})
		}
		if !s.answerFromIndex(c, int(e.request), x) {
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
		end := uint8(len(w.log))
		w.nodes[n] = nodeState{start: end, pos: end, ready: true}
	}
}

// expire makes every record older than the window. Claims that old are withdrawn.
func (s setup) expire(w *world) {
	w.expired = uint8(len(w.log))
	w.epoch++
	for i := range w.calls {
		if w.calls[i].phase == waiting || w.calls[i].phase == won {
			s.withdraw(w, i)
		}
	}
}

// check returns what is wrong with a world, or nil.
func (s setup) check(w world) error {
	perEpoch := map[uint8]int{}
	for i, c := range w.calls {
		if c.executed > 0 {
			perEpoch[c.executed]++
		}
		if c.phase == notRun && c.executed > 0 {
			return fmt.Errorf("call %d was told \"not run\" but ran", i)
		}
		if c.phase == replayed && w.calls[c.answer-1].executed == 0 {
			return fmt.Errorf("call %d got the answer of a call that did not run", i)
		}
	}
	for epoch, n := range perEpoch {
		if n > 1 {
			return fmt.Errorf("the key ran %d times in window %d", n, epoch)
		}
	}
	return s.checkFree(w)
}

// checkFree reports a key that stays taken although nothing ran, nothing is on its
// way and every owner lives. After the window has passed a copy of an old intent
// may land whose void is forgotten; that costs refusals for one more window.
func (s setup) checkFree(w world) error {
	if len(w.floating) > 0 || w.epoch > 1 {
		return nil
	}
	for _, c := range w.calls {
		switch {
		case c.executed > 0, c.phase == waiting, c.phase == won, c.phase == crashed:
			return nil
		}
	}
	end := s.index(w, nodeState{pos: uint8(len(w.log))})
	if state, _ := end.Lookup(modelKey); state != StateFree {
		return fmt.Errorf("the key is blocked though nothing ran and every owner lives")
	}
	return nil
}
