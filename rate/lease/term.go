package lease

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// heldTerm is a term that this instance holds.
type heldTerm struct {
	ClaimedTerm
	// confirmedAt is when the claim was read back.
	confirmedAt time.Duration
	// predecessors are the terms that must end before this term may spend.
	predecessors []predecessor
	// hasUnknown reports that open terms may exist that the log no longer contains.
	hasUnknown bool
	// spending is set once and remains set until the term is lost.
	spending bool
	// extendSentAt holds, for each fence member, when the latest Extend that it
	// acknowledged was sent; zero if there is none.
	extendSentAt []time.Duration
	// requestedAt is when Extend or Fence requests were last sent.
	requestedAt time.Duration
	// restatedAt is when the term was last repeated in the log; settled is whether that
	// record marked it as settled.
	restatedAt time.Duration
	settled    bool
}

// predecessor is an earlier term as tracked by its successor.
type predecessor struct {
	ClaimedTerm
	// fenced holds which members of the fence set acknowledged Fence; majorityAt is when
	// a majority of them had.
	fenced      []bool
	hasMajority bool
	majorityAt  time.Duration
	ended       bool
}

func newHeldTerm(h ClaimedTerm, earlier []ClaimedTerm, complete bool, now time.Duration) *heldTerm {
	t := &heldTerm{ClaimedTerm: h, confirmedAt: now, hasUnknown: !complete, restatedAt: now}
	t.extendSentAt = make([]time.Duration, len(h.Fence))
	for _, b := range earlier {
		p := predecessor{ClaimedTerm: b, fenced: make([]bool, len(b.Fence))}
		// A run holds at most one term of a shard, so it has stopped under its earlier
		// terms.
		p.ended = SameRun(b.Holder, h.Holder)
		t.predecessors = append(t.predecessors, p)
	}
	return t
}

// extendedAt returns the latest time t such that a majority of the fence set acknowledged
// an Extend sent at or after t.
func (t *heldTerm) extendedAt() (time.Duration, bool) {
	if len(t.extendSentAt) == 0 {
		return 0, false
	}
	sent := slices.Clone(t.extendSentAt)
	slices.Sort(sent)
	at := sent[len(sent)-majorityOf(len(sent))]
	return at, at > 0
}

// ready reports whether all predecessors have ended.
func (t *heldTerm) ready(l *logState, timing Timing, now time.Duration) bool {
	if now >= t.confirmedAt+timing.OutageWait {
		return true
	}
	if t.hasUnknown && l.allStopped == 0 {
		return false
	}
	for i := range t.predecessors {
		if !t.predecessors[i].hasEnded(t.confirmedAt, l, timing, now) {
			return false
		}
	}
	return true
}

func (p *predecessor) hasEnded(confirmedAt time.Duration, l *logState, timing Timing, now time.Duration) bool {
	switch {
	case p.ended:
	case l.declaredStopped(p.ClaimedTerm):
		p.ended = true
	case len(p.Fence) == 0:
		// Without a fence set the holder may spend only after reads of the log.
		p.ended = now >= confirmedAt+timing.LeaseWait
	case p.hasMajority:
		p.ended = now >= max(confirmedAt, p.majorityAt)+timing.LeaseWait
	}
	return p.ended
}

func (p *predecessor) recordFenced(member request.Holder, now time.Duration) {
	count := 0
	for i, m := range p.Fence {
		if SameRun(m, member) {
			p.fenced[i] = true
		}
		if p.fenced[i] {
			count++
		}
	}
	if !p.hasMajority && count >= majorityOf(len(p.Fence)) {
		p.hasMajority = true
		p.majorityAt = now
	}
}

// handleHandOver records that holder has stopped for good under term and under all of its
// earlier terms.
func (t *heldTerm) handleHandOver(term Term, holder request.Holder, spending bool) {
	settled := false
	for i := len(t.predecessors) - 1; i >= 0; i-- {
		p := &t.predecessors[i]
		if SameRun(p.Holder, holder) && p.Term <= term {
			p.ended = true
			settled = settled || spending && p.Term == term
		}
		if settled {
			p.ended = true
		}
	}
	if settled {
		t.hasUnknown = false
	}
}

func majorityOf(n int) int { return n/2 + 1 }
