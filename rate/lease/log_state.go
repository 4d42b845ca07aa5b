package lease

import (
	"slices"

	"github.com/cairnworks/cairnworks/request"
)

// ClaimedTerm is a term as recorded in the log.
type ClaimedTerm struct {
	Term   Term
	Holder request.Holder
	Fence  []request.Holder
}

// Entry is a decoded record with its offset.
type Entry struct {
	Offset uint64
	Record Record
}

// Page is the result of one read of the stream.
type Page struct {
	// First is the lowest retained offset, Next the offset after the last record at the
	// time of the read.
	First, Next uint64
	Entries     []Entry
}

// logState is the state of all shards according to a contiguous read of the stream.
type logState struct {
	// base is the first offset of the contiguous read; zero before the first page.
	base   uint64
	next   uint64
	shards []shardState
	// stopped are the runs that were declared stopped; allStopped is the offset of the
	// last record that declared all runs stopped.
	stopped    []request.Holder
	allStopped uint64
}

// shardState is the state of one shard according to the log.
type shardState struct {
	// open are the valid terms that no later holder has settled, oldest first. The
	// last of them is the current term.
	open []ClaimedTerm
	// complete reports that no terms other than those in open can be open.
	complete bool
	// lastClaim is the offset of the last claim, valid or not.
	lastClaim uint64
}

func newLogState(shards uint32) logState {
	return logState{next: 1, shards: make([]shardState, shards)}
}

// apply applies a page. It returns false if records between the last page and this one
// are missing; the caller must then discard the state.
func (l *logState) apply(p Page) bool {
	if l.base == 0 {
		l.begin(p)
	}
	if p.First > l.next {
		return false
	}
	for _, e := range p.Entries {
		if e.Offset < l.next {
			continue
		}
		if e.Offset > l.next {
			return false
		}
		l.next++
		l.applyEntry(e)
	}
	return true
}

// begin sets the start of the contiguous read. Only a stream that is retained from its
// first record proves that a shard without a claim was never held.
func (l *logState) begin(p Page) {
	l.base = max(p.First, 1)
	l.next = l.base
	for i := range l.shards {
		l.shards[i].complete = l.base == 1
	}
}

func (l *logState) applyEntry(e Entry) {
	for _, shard := range e.Record.Claims {
		if shard < uint32(len(l.shards)) {
			l.applyClaim(&l.shards[shard], e)
		}
	}
	for _, r := range e.Record.Restated {
		if r.Shard < uint32(len(l.shards)) {
			l.applyRestated(&l.shards[r.Shard], e.Record, r)
		}
	}
	l.stopped = append(l.stopped, e.Record.Stopped...)
	if e.Record.AllStopped {
		l.allStopped = e.Offset
	}
}

func (l *logState) applyClaim(s *shardState, e Entry) {
	invalid := s.lastClaim >= e.Record.Seen
	s.lastClaim = e.Offset
	if invalid {
		return
	}
	// A claim whose range begins before base may be invalid because of a claim that has
	// expired. Treating it as open is safe: successors then wait for a term that nobody
	// held.
	s.open = append(s.open, ClaimedTerm{Term: Term(e.Offset), Holder: e.Record.Holder, Fence: e.Record.Fence})
}

func (l *logState) applyRestated(s *shardState, rec Record, r Restated) {
	at, found := slices.BinarySearchFunc(s.open, r.Term, func(h ClaimedTerm, t Term) int {
		return int(int64(h.Term) - int64(t))
	})
	if !found {
		if s.complete {
			return
		}
		s.open = slices.Insert(slices.Clone(s.open), at, ClaimedTerm{Term: r.Term, Holder: rec.Holder, Fence: rec.Fence})
	}
	// The writer does not know the claims in [Seen, offset), so they must be known here.
	if r.Settled && rec.Seen >= l.base {
		s.open = slices.Clone(s.open[at:])
		s.complete = true
	}
}

// current returns the shard's current term, false if none is known.
func (l *logState) current(shard uint32) (ClaimedTerm, bool) {
	open := l.shards[shard].open
	if len(open) == 0 {
		return ClaimedTerm{}, false
	}
	return open[len(open)-1], true
}

// declaredStopped reports whether an operator declared the term's holder stopped.
func (l *logState) declaredStopped(h ClaimedTerm) bool {
	return uint64(h.Term) < l.allStopped || containsRun(l.stopped, h.Holder)
}
