package protocol

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// breakage switches one safeguard off.
type breakage uint8

const (
	intact breakage = iota
	leaseNotWaitedOut
	leaseFromReading
	leaseNotChecked
	ownMemoryWins
	resultBeforeSend
)

type phase uint8

const (
	idle phase = iota
	appending
	claimed
	rejected
	sent
	gaveUp
)

// holder is one operator's order on one instance. pos is how far it has read; seen
// is when it read each record.
type holder struct {
	phase phase
	pos   uint8
	from  uint8
	// begun is when its lease began, on the model's clock.
	begun uint8
	// offset of its claim in the log.
	offset uint8
	seen   [maxLog]uint8
}

const maxLog = 6

// record is a claim or a result of a holder.
type record struct {
	holder uint8
	result bool
}

type world struct {
	now     uint8
	log     []record
	flying  []record
	holders [3]holder
	// arrived are the tokens of the orders that the upstream took, in order.
	arrived []uint8
}

type setup struct {
	holders  int
	checks   bool
	breakage breakage
}

// The model's clock ticks in units in which the lease is 2 and the margin 1 more.
const (
	leaseTicks  = 2
	silentTicks = 3
	lastTick    = 6
)

// unit makes a lease of two units plus its margin end within three units.
const unit = 10 * time.Second

func at(tick uint8) time.Time { return time.Unix(0, 0).Add(time.Duration(tick) * unit) }

func (w world) clone() world {
	w.log = slices.Clone(w.log)
	w.flying = slices.Clone(w.flying)
	w.arrived = slices.Clone(w.arrived)
	return w
}

// ledger replays what a holder has read.
func (w *world) ledger(h holder) *Ledger {
	l := NewLedger()
	for i := range h.pos {
		r := w.log[i]
		if r.result {
			l.ApplyResult(uint64(i)+1, Result{Claim: uint64(w.holders[r.holder].offset), Upstream: "u"})
			continue
		}
		claim := Claim{ID: ClaimID{r.holder}, Upstream: "u", From: uint64(w.holders[r.holder].from), Lease: leaseTicks * unit}
		l.ApplyClaim(uint64(i)+1, claim, at(h.seen[i]))
	}
	return l
}

func (s setup) successors(w world) []world {
	var out []world
	step := func(change func(*world)) {
		next := w.clone()
		change(&next)
		out = append(out, next)
	}
	if w.now < lastTick {
		step(func(w *world) { w.now++ })
	}
	for i, r := range w.flying {
		step(func(w *world) { w.land(i, r) })
	}
	for i := range s.holders {
		s.holderSteps(w, i, step)
	}
	return out
}

func (w *world) land(i int, r record) {
	w.flying = slices.Delete(w.flying, i, i+1)
	w.log = append(w.log, r)
	if !r.result {
		w.holders[r.holder].offset = uint8(len(w.log))
	}
}

func (s setup) holderSteps(w world, i int, step func(func(*world))) {
	h := w.holders[i]
	if int(h.pos) < len(w.log) {
		step(func(w *world) { s.read(w, i) })
	}
	switch h.phase {
	case idle:
		if int(h.pos) == len(w.log) && s.mayClaim(w, h) {
			step(func(w *world) { s.claim(w, i) })
		}
	case claimed:
		if NewLease(at(h.begun), leaseTicks*unit).MaySend(at(w.now)) || s.breakage == leaseNotChecked {
			step(func(w *world) { s.send(w, i) })
		}
		step(func(w *world) { w.end(i, gaveUp) })
	}
}

func (s setup) mayClaim(w world, h holder) bool {
	waited := !w.ledger(h).SilentAt("u").After(at(w.now))
	return s.checks || waited || s.breakage == leaseNotWaitedOut
}

func (s setup) claim(w *world, i int) {
	h := &w.holders[i]
	h.phase = appending
	h.from = uint8(len(w.log))
	h.begun = w.now
	w.flying = append(w.flying, record{uint8(i), false})
	if s.breakage == ownMemoryWins {
		h.phase = claimed
	}
}

// read moves a holder over one record.
func (s setup) read(w *world, i int) {
	h := &w.holders[i]
	r := w.log[h.pos]
	if !r.result && int(r.holder) != i {
		h.seen[h.pos] = w.now
	}
	h.pos++
	if r.result || int(r.holder) != i || h.phase != appending {
		return
	}
	if s.breakage == leaseFromReading {
		h.begun = w.now
	}
	before := *h
	before.pos--
	claim := Claim{ID: ClaimID{r.holder}, Upstream: "u", From: uint64(h.from), Lease: leaseTicks * unit}
	if s.breakage == resultBeforeSend {
		w.flying = append(w.flying, record{uint8(i), true})
	}
	if w.ledger(before).ApplyClaim(uint64(h.pos), claim, at(w.now)) == Accepted {
		h.phase = claimed
		return
	}
	w.end(i, rejected)
}

// send reaches the upstream at once; a pause lies before it.
func (s setup) send(w *world, i int) {
	h := w.holders[i]
	stale := len(w.arrived) > 0 && slices.Max(w.arrived) > h.offset
	if !s.checks || !stale {
		w.arrived = append(w.arrived, h.offset)
	}
	w.end(i, sent)
}

// end records a holder's result.
func (w *world) end(i int, p phase) {
	w.holders[i].phase = p
	w.flying = append(w.flying, record{uint8(i), true})
}

// encode returns a string that is equal for equal worlds.
func (w world) encode() string {
	b := append([]byte{w.now}, w.arrived...)
	b = append(b, 0xff)
	for _, r := range append(slices.Clone(w.log), w.flying...) {
		kind := r.holder
		if r.result {
			kind += 8
		}
		b = append(b, kind)
	}
	b = append(b, uint8(len(w.log)))
	for _, h := range w.holders {
		b = append(b, uint8(h.phase), h.pos, h.from, h.begun, h.offset)
		b = append(b, h.seen[:]...)
	}
	return string(b)
}

// check reports an order that arrived after a newer one.
func (w world) check() error {
	if !slices.IsSorted(w.arrived) {
		return fmt.Errorf("orders arrived as %v: a late one undid a newer one", w.arrived)
	}
	return nil
}

func explore(s setup) (visited int, err error) {
	start := world{}
	seen := map[string]bool{start.encode(): true}
	queue := []world{start}
	for len(queue) > 0 {
		w := queue[0]
		queue = queue[1:]
		if err := w.check(); err != nil {
			return len(seen), err
		}
		for _, next := range s.successors(w) {
			if c := next.encode(); !seen[c] && len(next.log) <= maxLog {
				seen[c] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), nil
}

// Operators race for one upstream, their appends land late, their instances lag and
// are paused at any point. Were a late order to arrive after a newer one, the
// upstream would serve the wrong model while both operators believe otherwise.
func TestNoLateOrderUndoesANewerOne(t *testing.T) {
	for name, s := range map[string]setup{
		"upstream checks tokens": {holders: 2, checks: true},
		"upstream does not":      {holders: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			visited, err := explore(s)
			t.Logf("%d states", visited)
			assert.NilError(t, err)
		})
	}
}

// Each safeguard is switched off in turn; the check must notice.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for name, b := range map[string]breakage{
		"lease not waited out":               leaseNotWaitedOut,
		"lease counted from reading":         leaseFromReading,
		"lease not checked before sending":   leaseNotChecked,
		"first in own memory wins":           ownMemoryWins,
		"result recorded before the sending": resultBeforeSend,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			visited, err := explore(setup{holders: 2, breakage: b})
			assert.ErrorContains(t, err, "undid a newer one")
			t.Logf("found after %d states: %v", visited, err)
		})
	}
}
