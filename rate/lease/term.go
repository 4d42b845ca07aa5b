package lease

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// ownTerm is a term that this instance holds.
type ownTerm struct {
	Holding
	// confirmed is when the claim was read back.
	confirmed time.Duration
	// before are the terms that must be out before this one spends.
	before []predecessor
	// unknown says that other terms may be open which the log does not show.
	unknown bool
	// spending is set once and stays until the term is lost.
	spending bool
	// extended holds, for each fence member, when the last Extend that it
	// acknowledged was sent; zero for none.
	extended []time.Duration
	// asked is when Extend or Fence was last sent.
	asked time.Duration
	// restated is when the term was last repeated in the log, settled whether that
	// repetition said so.
	restated time.Duration
	settled  bool
}

// predecessor is an earlier term as its successor sees it.
type predecessor struct {
	Holding
	// fenced tells which members of the fence set acknowledged Fence; majority is when
	// most of them had.
	fenced      []bool
	hasMajority bool
	majority    time.Duration
	out         bool
}

func newOwnTerm(h Holding, before []Holding, complete bool, now time.Duration) *ownTerm {
	t := &ownTerm{Holding: h, confirmed: now, unknown: !complete, restated: now}
	t.extended = make([]time.Duration, len(h.Fence))
	for _, b := range before {
		p := predecessor{Holding: b, fenced: make([]bool, len(b.Fence))}
		// A run holds one term of a shard at a time: it stopped under its older ones.
		p.out = SameRun(b.Holder, h.Holder)
		t.before = append(t.before, p)
	}
	return t
}

// extendedAt returns the latest time at which an Extend was sent that a majority of
// the fence set acknowledged, or one after.
func (t *ownTerm) extendedAt() (time.Duration, bool) {
	if len(t.extended) == 0 {
		return 0, false
	}
	sent := slices.Clone(t.extended)
	slices.Sort(sent)
	at := sent[len(sent)-majorityOf(len(sent))]
	return at, at > 0
}

// ready reports whether all predecessors are out.
func (t *ownTerm) ready(l *ledger, timing Timing, now time.Duration) bool {
	if now >= t.confirmed+timing.OutageWait {
		return true
	}
	if t.unknown && l.allStopped == 0 {
		return false
	}
	for i := range t.before {
		if !t.before[i].isOut(t.confirmed, l, timing, now) {
			return false
		}
	}
	return true
}

func (p *predecessor) isOut(confirmed time.Duration, l *ledger, timing Timing, now time.Duration) bool {
	switch {
	case p.out:
	case l.vouched(p.Holding):
		p.out = true
	case len(p.Fence) == 0:
		// Without a fence set the holder cannot extend its right without the log.
		p.out = now >= confirmed+timing.LeaseWait
	case p.hasMajority:
		p.out = now >= max(confirmed, p.majority)+timing.LeaseWait
	}
	return p.out
}

func (p *predecessor) acked(member request.Holder, now time.Duration) {
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
		p.majority = now
	}
}

// handedOver takes in that holder has stopped for good under term and all before it.
func (t *ownTerm) handedOver(term Term, holder request.Holder, spending bool) {
	settled := false
	for i := len(t.before) - 1; i >= 0; i-- {
		p := &t.before[i]
		if SameRun(p.Holder, holder) && p.Term <= term {
			p.out = true
			settled = settled || spending && p.Term == term
		}
		if settled {
			p.out = true
		}
	}
	if settled {
		t.unknown = false
	}
}

func majorityOf(n int) int { return n/2 + 1 }
