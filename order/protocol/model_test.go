package protocol

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mutation disables one safeguard of the protocol.
type mutation uint8

const (
	noMutation mutation = iota
	skipLeaseWait
	startLeaseAtRead
	skipLeaseCheck
	sendWithoutReading
	resultBeforeOrder
)

type phase uint8

const (
	idle phase = iota
	appending
	claimed
	rejected
	sent
	abandoned
)

// holder is one operator's order on one instance.
type holder struct {
	phase phase
	// readCount is the number of log records that it has read.
	readCount  uint8
	baseOffset uint8
	// leaseStart is the tick at which its lease starts.
	leaseStart uint8
	// claimOffset is the log offset of its claim.
	claimOffset uint8
	// readAt has, for each claim of another holder, the tick at which it was read.
	readAt [maxRecords]uint8
}

// maxRecords is enough for three holders: each appends a claim and a result, or two
// results under resultBeforeOrder.
const maxRecords = 9

// record is a claim or a result of a holder.
type record struct {
	holder uint8
	result bool
}

// recordList is a list that is comparable with ==, as a slice is not.
type recordList struct {
	length uint8
	items  [maxRecords]record
}

func (l *recordList) add(r record) {
	l.items[l.length] = r
	l.length++
}

func (l *recordList) remove(i int) {
	copy(l.items[i:], l.items[i+1:l.length])
	l.length--
	l.items[l.length] = record{}
}

// modelState is one state of the model. It is a map key: equal values are the same
// state.
type modelState struct {
	now           uint8
	log, inFlight recordList
	holders       [3]holder
	// delivered holds the fencing tokens of the orders that the upstream accepted, in order of
	// arrival.
	delivered      [3]uint8
	deliveredCount uint8
}

type modelConfig struct {
	holders       int
	checksFencing bool
	maxTicks      uint8
	mutation      mutation
}

// leaseTicks is the length of a lease in ticks of the model's clock.
const leaseTicks = 2

// tickDuration is chosen so that a lease of two ticks and its margin end within three.
const tickDuration = 10 * time.Second

func tickTime(tick uint8) time.Time { return time.Unix(0, 0).Add(time.Duration(tick) * tickDuration) }

// claimTable replays the records that a holder has read.
func (m *modelState) claimTable(h holder) *ClaimTable {
	table := NewClaimTable()
	for i := range h.readCount {
		r := m.log.items[i]
		if r.result {
			table.ApplyResult(uint64(i)+1, Result{ClaimOffset: uint64(m.holders[r.holder].claimOffset), Upstream: "u"})
			continue
		}
		claim := Claim{ID: ClaimID{r.holder}, Upstream: "u", BaseOffset: uint64(m.holders[r.holder].baseOffset), Lease: leaseTicks * tickDuration}
		table.ApplyClaim(uint64(i)+1, claim, tickTime(h.readAt[i]))
	}
	return table
}

func (c modelConfig) successors(m modelState) []modelState {
	var out []modelState
	step := func(change func(*modelState)) {
		next := m
		change(&next)
		out = append(out, next)
	}
	if m.now < c.maxTicks {
		step(func(m *modelState) { m.now++ })
	}
	for i, r := range m.inFlight.items[:m.inFlight.length] {
		step(func(m *modelState) { m.commitAppend(i, r) })
	}
	for i := range c.holders {
		c.holderSteps(m, i, step)
	}
	return out
}

// commitAppend moves record i from the appends in flight to the end of the log.
func (m *modelState) commitAppend(i int, r record) {
	m.inFlight.remove(i)
	m.log.add(r)
	if !r.result {
		m.holders[r.holder].claimOffset = m.log.length
	}
}

func (c modelConfig) holderSteps(m modelState, i int, step func(func(*modelState))) {
	h := m.holders[i]
	if h.readCount < m.log.length {
		step(func(m *modelState) { c.read(m, i) })
	}
	switch h.phase {
	case idle:
		if h.readCount == m.log.length && c.mayClaim(m, h) {
			step(func(m *modelState) { c.claim(m, i) })
		}
	case claimed:
		if NewLease(tickTime(h.leaseStart), leaseTicks*tickDuration).MaySend(tickTime(m.now)) || c.mutation == skipLeaseCheck {
			step(func(m *modelState) { c.send(m, i) })
		}
		step(func(m *modelState) { m.finish(i, abandoned) })
	}
}

func (c modelConfig) mayClaim(m modelState, h holder) bool {
	leasesExpired := !m.claimTable(h).LeasesExpireAt("u").After(tickTime(m.now))
	return c.checksFencing || leasesExpired || c.mutation == skipLeaseWait
}

func (c modelConfig) claim(m *modelState, i int) {
	h := &m.holders[i]
	h.phase = appending
	h.baseOffset = m.log.length
	h.leaseStart = m.now
	m.inFlight.add(record{uint8(i), false})
	if c.mutation == sendWithoutReading {
		h.phase = claimed
	}
}

// read applies the next log record at holder i.
func (c modelConfig) read(m *modelState, i int) {
	h := &m.holders[i]
	r := m.log.items[h.readCount]
	if !r.result && int(r.holder) != i {
		h.readAt[h.readCount] = m.now
	}
	h.readCount++
	if r.result || int(r.holder) != i || h.phase != appending {
		return
	}
	if c.mutation == startLeaseAtRead {
		h.leaseStart = m.now
	}
	before := *h
	before.readCount--
	claim := Claim{ID: ClaimID{r.holder}, Upstream: "u", BaseOffset: uint64(h.baseOffset), Lease: leaseTicks * tickDuration}
	if c.mutation == resultBeforeOrder {
		m.inFlight.add(record{uint8(i), true})
	}
	if m.claimTable(before).ApplyClaim(uint64(h.readCount), claim, tickTime(m.now)) == Accepted {
		h.phase = claimed
		return
	}
	m.finish(i, rejected)
}

// send delivers holder i's order to the upstream at once. Delays are modelled as pauses
// of the holder before it sends.
func (c modelConfig) send(m *modelState, i int) {
	h := m.holders[i]
	if stale := slices.Max(m.delivered[:]) > h.claimOffset; !c.checksFencing || !stale {
		m.delivered[m.deliveredCount] = h.claimOffset
		m.deliveredCount++
	}
	m.finish(i, sent)
}

// finish ends holder i in phase p and appends its result.
func (m *modelState) finish(i int, p phase) {
	m.holders[i].phase = p
	m.inFlight.add(record{uint8(i), true})
}

// checkOrder returns an error if a stale order arrived after a newer one.
func (m modelState) checkOrder() error {
	if !slices.IsSorted(m.delivered[:m.deliveredCount]) {
		return fmt.Errorf("orders arrived with fencing tokens %v: a stale order overwrote a newer one", m.delivered[:m.deliveredCount])
	}
	return nil
}

// explore visits all reachable states breadth first, up to the first violation.
func explore(c modelConfig) (visited int, err error) {
	seen := map[modelState]bool{{}: true}
	queue := []modelState{{}}
	for len(queue) > 0 {
		m := queue[0]
		queue = queue[1:]
		if err := m.checkOrder(); err != nil {
			return len(seen), err
		}
		for _, next := range c.successors(m) {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), nil
}

// Operators order the same upstream concurrently; their appends are delayed, and their
// instances lag and are paused at any point. If a stale order arrived after a newer one,
// the upstream would serve the wrong model while both operators believe that their own
// order is in effect.
func TestStaleOrderNeverOverwritesNewer(t *testing.T) {
	for name, c := range map[string]modelConfig{
		"upstream checks fencing tokens":         {holders: 2, maxTicks: 6, checksFencing: true},
		"upstream does not check fencing tokens": {holders: 2, maxTicks: 6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			visited, err := explore(c)
			t.Logf("%d states", visited)
			assert.NilError(t, err)
		})
	}
}

// Each safeguard is disabled in turn; the model must then find a violation, so that it
// cannot pass because it explores too little.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for name, m := range map[string]mutation{
		"claim does not wait for earlier leases": skipLeaseWait,
		"lease starts when the claim is read":    startLeaseAtRead,
		"lease not checked before sending":       skipLeaseCheck,
		"claim not read back before sending":     sendWithoutReading,
		"result appended before the order":       resultBeforeOrder,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			visited, err := explore(modelConfig{holders: 2, maxTicks: 6, mutation: m})
			assert.ErrorContains(t, err, "a stale order overwrote a newer one")
			t.Logf("violation found after %d states: %v", visited, err)
		})
	}
}

// With three holders there are too many interleavings to visit all of them; the test
// samples random ones.
func TestRandomSchedulesOfThreeHolders(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	steps := 0
	for run := range 6000 {
		c := modelConfig{holders: 3, maxTicks: 9, checksFencing: run%2 == 0}
		m := modelState{}
		for next := c.successors(m); len(next) > 0; next = c.successors(m) {
			m = next[rng.IntN(len(next))]
			steps++
			assert.NilError(t, m.checkOrder())
		}
	}
	t.Logf("%d steps", steps)
}
