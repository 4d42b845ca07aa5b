package lease

import (
	"slices"

	"github.com/cairnworks/cairnworks/request"
)

// Holding is a term as the log names it.
type Holding struct {
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
	// First is the lowest retained offset, Next the end of the stream at the read.
	First, Next uint64
	Entries     []Entry
}

// ledger is what an unbroken read of the stream says about every shard.
type ledger struct {
	// base is the first offset of the unbroken read; zero before the first page.
	base   uint64
	next   uint64
	shards []shardLedger
	// stopped are runs vouched to have ended; allStopped is the offset of the last
	// record that vouched for all.
	stopped    []request.Holder
	allStopped uint64
}

// shardLedger is what the log says about one shard.
type shardLedger struct {
	// open are the valid terms that no later holder has settled, oldest first. The
	// last one is the current term.
	open []Holding
	// complete says that no other term can be open.
	complete bool
	// lastClaim is the offset of the last claim, valid or not.
	lastClaim uint64
}

func newLedger(shards uint32) ledger {
	return ledger{next: 1, shards: make([]shardLedger, shards)}
}

// apply takes in a page. It returns false, unchanged, if records between the last
// page and this one are missing.
func (l *ledger) apply(p Page) bool {
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
		l.record(e)
	}
	return true
}

// begin sets where the unbroken read starts. Only a stream that is whole shows that
// a shard without a claim has never been held.
func (l *ledger) begin(p Page) {
	l.base = max(p.First, 1)
	l.next = l.base
	for i := range l.shards {
		l.shards[i].complete = l.base == 1
	}
}

func (l *ledger) record(e Entry) {
	for _, shard := range e.Record.Claims {
		if shard < uint32(len(l.shards)) {
			l.claim(&l.shards[shard], e)
		}
	}
	for _, r := range e.Record.Restated {
		if r.Shard < uint32(len(l.shards)) {
			l.restate(&l.shards[r.Shard], e.Record, r)
		}
	}
	l.stopped = append(l.stopped, e.Record.Stopped...)
	if e.Record.AllStopped {
		l.allStopped = e.Offset
	}
}

func (l *ledger) claim(s *shardLedger, e Entry) {
	lost := s.lastClaim >= e.Record.Seen
	s.lastClaim = e.Offset
	if lost {
		return
	}
	// A claim whose range begins before base may have lost to one that has expired.
	// Counting it as open is safe: its term is then waited out although nobody held it.
	s.open = append(s.open, Holding{Term: Term(e.Offset), Holder: e.Record.Holder, Fence: e.Record.Fence})
}

func (l *ledger) restate(s *shardLedger, rec Record, r Restated) {
	at, found := slices.BinarySearchFunc(s.open, r.Term, func(h Holding, t Term) int {
		return int(int64(h.Term) - int64(t))
	})
	if !found {
		if s.complete {
			return
		}
		s.open = slices.Insert(slices.Clone(s.open), at, Holding{Term: r.Term, Holder: rec.Holder, Fence: rec.Fence})
	}
	// Claims in [Seen, offset) are unknown to the writer; they must be known here.
	if r.Settled && rec.Seen >= l.base {
		s.open = slices.Clone(s.open[at:])
		s.complete = true
	}
}

// current returns the shard's current term.
func (l *ledger) current(shard uint32) (Holding, bool) {
	open := l.shards[shard].open
	if len(open) == 0 {
		return Holding{}, false
	}
	return open[len(open)-1], true
}

// vouched reports whether an operator said that the term's holder has ended.
func (l *ledger) vouched(h Holding) bool {
	return uint64(h.Term) < l.allStopped || containsRun(l.stopped, h.Holder)
}
