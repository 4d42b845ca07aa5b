package protocol

import (
	"fmt"
	"math/rand/v2"
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

// maxLog is a claim and a result, or two when a safeguard is off, of each holder.
const maxLog = 9

// record is a claim or a result of a holder.
type record struct {
	holder uint8
	result bool
}

// records is a list that can be compared.
type records struct {
	n    uint8
	list [maxLog]record
}

func (l *records) add(r record) {
	l.list[l.n] = r
	l.n++
}

func (l *records) remove(i int) {
	copy(l.list[i:], l.list[i+1:l.n])
	l.n--
	l.list[l.n] = record{}
}

// world is one state of the model; equal worlds are the same state.
type world struct {
	now         uint8
	log, flying records
	holders     [3]holder
	// arrived are the tokens of the orders that the upstream took, in order.
	arrived [3]uint8
	took    uint8
}

type setup struct {
	holders  int
	checks   bool
	ticks    uint8
	breakage breakage
}

// The model's clock ticks in units in which the lease is 2; with its margin it ends within 3.
const leaseTicks = 2

// unit makes a lease of two units plus its margin end within three units.
const unit = 10 * time.Second

func at(tick uint8) time.Time { return time.Unix(0, 0).Add(time.Duration(tick) * unit) }

// ledger replays what a holder has read.
func (w *world) ledger(h holder) *Ledger {
	l := NewLedger()
	for i := range h.pos {
		r := w.log.list[i]
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
		next := w
		change(&next)
		out = append(out, next)
	}
	if w.now < s.ticks {
		step(func(w *world) { w.now++ })
	}
	for i, r := range w.flying.list[:w.flying.n] {
		step(func(w *world) { w.land(i, r) })
	}
	for i := range s.holders {
		s.holderSteps(w, i, step)
	}
	return out
}

func (w *world) land(i int, r record) {
	w.flying.remove(i)
	w.log.add(r)
	if !r.result {
		w.holders[r.holder].offset = w.log.n
	}
}

func (s setup) holderSteps(w world, i int, step func(func(*world))) {
	h := w.holders[i]
	if h.pos < w.log.n {
		step(func(w *world) { s.read(w, i) })
	}
	switch h.phase {
	case idle:
		if h.pos == w.log.n && s.mayClaim(w, h) {
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
	h.from = w.log.n
	h.begun = w.now
	w.flying.add(record{uint8(i), false})
	if s.breakage == ownMemoryWins {
		h.phase = claimed
	}
}

// read moves a holder over one record.
func (s setup) read(w *world, i int) {
	h := &w.holders[i]
	r := w.log.list[h.pos]
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
		w.flying.add(record{uint8(i), true})
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
	if stale := slices.Max(w.arrived[:]) > h.offset; !s.checks || !stale {
		w.arrived[w.took] = h.offset
		w.took++
	}
	w.end(i, sent)
}

// end records a holder's result.
func (w *world) end(i int, p phase) {
	w.holders[i].phase = p
	w.flying.add(record{uint8(i), true})
}

// check reports an order that arrived after a newer one.
func (w world) check() error {
	if !slices.IsSorted(w.arrived[:w.took]) {
		return fmt.Errorf("orders arrived as %v: a late one undid a newer one", w.arrived[:w.took])
	}
	return nil
}

func explore(s setup) (visited int, err error) {
	seen := map[world]bool{{}: true}
	queue := []world{{}}
	for len(queue) > 0 {
		w := queue[0]
		queue = queue[1:]
		if err := w.check(); err != nil {
			return len(seen), err
		}
		for _, next := range s.successors(w) {
			if !seen[next] {
				seen[next] = true
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
		"upstream checks tokens": {holders: 2, ticks: 6, checks: true},
		"upstream does not":      {holders: 2, ticks: 6},
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
			visited, err := explore(setup{holders: 2, ticks: 6, breakage: b})
			assert.ErrorContains(t, err, "undid a newer one")
			t.Logf("found after %d states: %v", visited, err)
		})
	}
}

// Three holders have too many orders of steps to visit all; random ones are tried.
func TestRandomOrdersOfThreeHolders(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	steps := 0
	for walk := range 6000 {
		s := setup{holders: 3, ticks: 9, checks: walk%2 == 0}
		w := world{}
		for next := s.successors(w); len(next) > 0; next = s.successors(w) {
			w = next[rng.IntN(len(next))]
			steps++
			assert.NilError(t, w.check())
		}
	}
	t.Logf("%d steps", steps)
}
