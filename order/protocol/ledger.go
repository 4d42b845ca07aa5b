package protocol

import (
	"slices"
	"time"
)

// ClaimID is the unique id of a claim.
type ClaimID [16]byte

// Claim is the right to send one order to one upstream.
type Claim struct {
	ID       ClaimID
	Upstream string
	// Kind and Name are those of port.Order.
	Kind string
	Name string
	// From is the offset that the operator acted from.
	From  uint64
	Lease time.Duration
	// Instance and Incarnation name the holder.
	Instance    string
	Incarnation uint64
	Operator    string
}

// Result ends a claim.
type Result struct {
	// Claim is the offset of the claim.
	Claim    uint64
	Upstream string
	// Ran is a verdict.Ran.
	Ran uint8
	// Confirmed tells that the upstream's state showed the order's effect.
	Confirmed bool
}

// Judgement is what a reader of the stream knows about a claim.
type Judgement uint8

const (
	// Rejected claims were certainly made from a state that was no longer current.
	Rejected Judgement = iota
	// Accepted claims certainly were made from the current state.
	Accepted
	// Unjudged claims depend on records that the log had dropped before this reader
	// began. Their holders may not send on this reader's word; others take them for
	// accepted, which at worst costs a wait and a fresh view.
	Unjudged
)

// Entry is a claim that was not rejected, with what became of it.
type Entry struct {
	Offset    uint64
	Claim     Claim
	Judgement Judgement
	// Result is nil while none is recorded.
	Result *Result
	readAt time.Time
}

// silentAt is when the claim's holder certainly sends no more.
func (e Entry) silentAt() time.Time {
	if e.Result != nil {
		return time.Time{}
	}
	return e.readAt.Add(e.Claim.Lease + Margin(e.Claim.Lease))
}

// Ledger is the state of every upstream's orders after a prefix of the stream.
type Ledger struct {
	start, next uint64
	// upstreams has, for each upstream, the claims that were not rejected and are
	// still needed, in order.
	upstreams map[string][]Entry
}

// NewLedger returns the ledger before the first record.
func NewLedger() *Ledger {
	return &Ledger{start: 1, next: 1, upstreams: make(map[string][]Entry)}
}

// Next is the offset of the next record to apply.
func (l *Ledger) Next() uint64 { return l.next }

// Knows reports whether the ledger holds every claim since an offset.
func (l *Ledger) Knows(from uint64) bool { return from+1 >= l.start }

// Skip moves over records that the log no longer holds; the ledger knows nothing of
// what lies before next.
func (l *Ledger) Skip(next uint64) {
	if next > l.next {
		l.start = next
		l.next = next
	}
}

// Pass moves over a record that cannot be decoded.
func (l *Ledger) Pass(offset uint64) { l.next = offset + 1 }

// ApplyClaim moves the ledger over a claim read at a time of the reader's clock.
func (l *Ledger) ApplyClaim(offset uint64, c Claim, now time.Time) Judgement {
	l.next = offset + 1
	judgement := l.judge(c)
	if judgement == Rejected {
		return Rejected
	}
	entry := Entry{Offset: offset, Claim: c, Judgement: judgement, readAt: now}
	l.upstreams[c.Upstream] = append(l.upstreams[c.Upstream], entry)
	l.prune(c.Upstream, now)
	return judgement
}

// judge compares a claim with the others of its upstream. What is certain is the
// same for every reader: a claim is rejected only for one that was certainly
// accepted, and accepted only if none may have been.
func (l *Ledger) judge(c Claim) Judgement {
	judgement := Accepted
	if !l.Knows(c.From) {
		judgement = Unjudged
	}
	for _, e := range l.upstreams[c.Upstream] {
		switch {
		case e.Offset <= c.From:
		case e.Judgement == Accepted:
			return Rejected
		default:
			judgement = Unjudged
		}
	}
	return judgement
}

// ApplyResult moves the ledger over a result.
func (l *Ledger) ApplyResult(offset uint64, r Result) {
	l.next = offset + 1
	entries := l.upstreams[r.Upstream]
	for i := range entries {
		if entries[i].Offset == r.Claim {
			entries[i].Result = &r
		}
	}
}

// Latest returns the last claim of an upstream that was not rejected.
func (l *Ledger) Latest(upstream string) (Entry, bool) {
	entries := l.upstreams[upstream]
	if len(entries) == 0 {
		return Entry{}, false
	}
	return entries[len(entries)-1], true
}

// SilentAt returns when no holder can send to an upstream any more, on the reader's
// clock.
func (l *Ledger) SilentAt(upstream string) time.Time {
	var silent time.Time
	for _, e := range l.upstreams[upstream] {
		if at := e.silentAt(); at.After(silent) {
			silent = at
		}
	}
	return silent
}

// prune drops the claims of an upstream whose holders are silent, but the latest
// and the latest accepted one, which later claims are judged by.
func (l *Ledger) prune(upstream string, now time.Time) {
	var accepted uint64
	for _, e := range l.upstreams[upstream] {
		if e.Judgement == Accepted {
			accepted = e.Offset
		}
	}
	latest, _ := l.Latest(upstream)
	l.upstreams[upstream] = slices.DeleteFunc(l.upstreams[upstream], func(e Entry) bool {
		needed := e.Offset == latest.Offset || e.Offset == accepted
		return !needed && !e.silentAt().After(now)
	})
}
