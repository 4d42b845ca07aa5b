package follow

import (
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/port"
)

// Limits of the notes that instances exchange about a topic.
const (
	// activeReaders is the number of instances that read a shared topic continuously. The
	// second one covers the time until the loss of the first is noticed.
	activeReaders = 2
	// activeReaderDelay is the minimum time between an instance's first read and its becoming
	// an active reader. An instance that has just started has not received any reports and
	// considers itself first in the order; when all start together, each would read
	// continuously until the first reports arrive.
	activeReaderDelay = 1200 * time.Millisecond
	// relayReports is the number of reports that carry a new record. One report in forty is
	// lost on a bad link; an instance that misses both reads the store.
	relayReports = 2
	// maxRelayBytes limits the records that a report carries, before compression to about a
	// fifth. The report goes to every instance. A single record above the limit is fetched from the
	// report's sender. Many small ones, such as the entries of upstreams that start together, are read
	// from the store: they do not compress one by one, and would fill the sender's link and memory.
	maxRelayBytes = 24 << 10
	// relayTimeout is how long an instance that learns of a record waits for the report that
	// carries it: the time a 10 Mbit/s link takes to send 4 KB to eighty instances. Instances
	// that already have the record also mention it, and their notes often arrive first:
	// without the wait, at 78 instances nearly all of them read each configuration change from
	// the store, which was half of the fleet's calls.
	relayTimeout = 250 * time.Millisecond
	// markTimeout is how long an instance that has read a snapshot waits for others to say
	// which part of it is new. Without other instances, all of it counts as new.
	markTimeout = 1500 * time.Millisecond
)

// Note reports an instance's state of a topic to the other instances. An instance that
// has all records up to Mark, from its own reads or from notes, is caught up as of the same
// time as the sender.
type Note struct {
	Topic port.Topic
	// Mark is the position after the last record that changed anything.
	Mark uint64
	// Next is the position up to which the sender knows the topic. The records between Mark and
	// Next change nothing.
	Next uint64
	// Age is the time since the sender was caught up.
	Age time.Duration
	// Records are the newest records that changed anything: all of those between From and
	// Mark.
	From    uint64
	Records []port.KeyedRecord
	// Large reports that one of the records between From and Mark is too large for a report. The
	// sender serves them.
	Large bool
	// Carried are the records that the sender has applied and that the topic lacks since the store came back from a
	// copy, unless they are too large. CarriedDigest identifies them; 0 means that there are none.
	Carried       []CarriedRecord
	CarriedDigest uint64
	// Sender is the address at which the sender serves records. It is set by the receiver.
	Sender string
}

// relay describes the new records that the next reports carry.
type relay struct {
	// from is the mark before the new records.
	from        uint64
	reportsLeft int
	// large is set if a record is too large for a report.
	large bool
}

// Note returns the note for the next report; ok is false while there is nothing to report.
func (f *Follower) Note(now time.Duration) (n Note, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasNote() {
		return Note{}, false
	}
	n = f.newNote(now)
	if f.relay.reportsLeft > 0 || f.relay.large {
		f.relay.reportsLeft = max(f.relay.reportsLeft-1, 0)
		f.addRecords(&n, f.relay.from)
	}
	return n, true
}

// addRecords adds the records from an offset on to a note, or the statement that one is too large for
// it. f.mu must be held.
func (f *Follower) addRecords(n *Note, from uint64) {
	records, ok := f.history.since(from)
	total, largest := sizes(records)
	switch {
	case !ok || len(records) == 0:
	case largest > maxRelayBytes:
		n.From, n.Large = f.history.from, true
	case total <= maxRelayBytes:
		n.From, n.Records = from, records
	}
}

// NoteFor returns the note for an instance that knows the topic up to offset known. It
// includes the records that the instance lacks, if they are still kept.
func (f *Follower) NoteFor(now time.Duration, known uint64) (n Note, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasNote() {
		return Note{}, false
	}
	n = f.newNote(now)
	if known < f.mark {
		// Of the records of earlier eras, none counts.
		f.addRecords(&n, max(known, port.EraStart(f.mark)))
	}
	return n, true
}

// hasNote reports whether there is something to tell other instances. f.mu must be held.
func (f *Follower) hasNote() bool {
	return f.Rank != nil && f.known && !f.rejoining && f.markKnown
}

// NextOffset returns the position up to which the topic is known, or 0 while it is unknown.
func (f *Follower) NextOffset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// newNote returns a note without records. f.mu must be held.
func (f *Follower) newNote(now time.Duration) Note {
	n := Note{Topic: f.Topic, Mark: f.mark, Next: f.next, Age: now - f.asOf, CarriedDigest: f.carried.digest()}
	if f.carried.size() <= maxCarriedBytes {
		n.Carried = f.carried.list()
	}
	return n
}

// Receive processes a note from another instance. earliest is the earliest time at which it
// can have been sent, by the clock that includes suspensions: a report may have been delayed
// anywhere on its way, so the sender's as-of time is computed from earliest.
func (f *Follower) Receive(n Note, earliest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || f.Rank == nil || f.isOfEarlierEra(n.Next) {
		return
	}
	if port.EraOf(n.Next) > port.EraOf(f.next) {
		f.beginEra(n.Next, sourceInstance)
	}
	f.applyCarried(n)
	if f.next < n.Mark || f.rejoining {
		f.applyNoteRecords(n)
	}
	if f.next < n.Mark || f.rejoining || f.lacksCarried(n) {
		f.setBehind(n)
		f.wakeUp()
		return
	}
	f.adoptMark(n)
	f.endGate(f.Now())
	if f.next >= f.behindMark {
		f.endBehind(sourceInstance)
	}
	asOf := earliest - n.Age
	if earliest <= 0 || asOf <= f.asOf {
		return
	}
	f.asOf = asOf
	f.Handler.CaughtUp(asOf)
}

// setBehind records that records are missing here. A note whose records do not follow directly
// on what is known follows one that was lost, so waiting for more is useless; a note without
// records may have overtaken the ones that carry them. f.mu must be held.
func (f *Follower) setBehind(n Note) {
	var catchUpAt time.Duration
	switch {
	case n.Large && n.From <= f.next || f.lacksCarried(n):
		f.addSource(n.Sender)
	case len(n.Records) == 0:
		catchUpAt = f.Now() + relayTimeout
	}
	if !f.behind {
		f.behindSince = f.Now()
	}
	if !f.behind || catchUpAt < f.catchUpAt {
		f.catchUpAt = catchUpAt
	}
	f.behind, f.behindMark = true, max(f.behindMark, n.Mark)
}

// applyNoteRecords processes the records of a note, unless records before them are missing.
// f.mu must be held.
func (f *Follower) applyNoteRecords(n Note) {
	if len(n.Records) == 0 || n.From > f.next {
		return
	}
	if f.rejoining {
		f.rejoin(n.Records, n.Mark)
		return
	}
	for _, record := range n.Records {
		if record.Offset >= f.next {
			f.add(record)
			f.history.add(record)
		}
	}
	f.next = n.Mark
}

// adoptMark learns from a note which part of the topic is new. Records that another instance
// has read beyond this one and that changed nothing need not be read here. f.mu must be held.
func (f *Follower) adoptMark(n Note) {
	if !f.markKnown && n.Next >= f.next {
		f.markKnown, f.mark = true, n.Mark
		// Nothing changed between the mark and next.
		f.history.from = min(f.history.from, n.Mark)
	}
	if f.markKnown && f.mark < n.Mark {
		f.relay = relay{from: f.mark, large: f.isLarge(f.mark)}
		f.mark = n.Mark
	}
	f.next = max(f.next, n.Next)
}

// queueRelay queues the records before an offset that this instance has read and that changed
// something. f.mu must be held.
func (f *Follower) queueRelay(changedUpTo uint64) {
	if f.Rank == nil || !f.markKnown || changedUpTo == 0 {
		return
	}
	if f.relay.reportsLeft == 0 {
		f.relay = relay{from: f.mark}
	}
	f.relay.reportsLeft = relayReports
	f.relay.large = f.isLarge(f.relay.from)
	f.mark = max(f.mark, changedUpTo)
}

// isLarge reports whether a record from an offset on is too large for a report. f.mu must be held.
func (f *Follower) isLarge(from uint64) bool {
	records, ok := f.history.since(from)
	_, largest := sizes(records)
	return ok && largest > maxRelayBytes
}

// readDelay returns how long this instance may wait before it reads the topic itself.
func (f *Follower) readDelay(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Rank == nil {
		return f.pollDelay(now)
	}
	if !f.known {
		return 0
	}
	f.endGate(now)
	if f.behind {
		return max(f.catchUpAt-now, 0)
	}
	rank := f.Rank()
	f.setActive(rank < activeReaders && now-f.knownSince > activeReaderDelay)
	if rank < activeReaders {
		f.defaultMark(now)
	}
	if f.active {
		return f.pollDelay(now)
	}
	rank = max(rank, activeReaders)
	return f.asOf + f.Timing.TakeoverAge + f.Timing.Stagger*time.Duration(rank-activeReaders) - now
}

// pollDelay returns the delay until the next read of an instance that reads continuously. f.mu
// must be held.
func (f *Follower) pollDelay(now time.Duration) time.Duration {
	if !f.known {
		return 0
	}
	return f.lastRead + f.gap() - now
}

// setActive sets whether this instance reads on behalf of all. f.mu must be held.
func (f *Follower) setActive(active bool) {
	if active == f.active {
		return
	}
	f.active = active
	f.Logger.Info("active reader state changed", zap.Stringer("topic", f.Topic), zap.Bool("reads", active))
}

// defaultMark treats the whole topic as new if no other instance has said which part is. f.mu
// must be held.
func (f *Follower) defaultMark(now time.Duration) {
	if !f.markKnown && now-f.knownSince > markTimeout {
		f.markKnown, f.mark = true, f.next
	}
}

// wakeUp ends the wait in waitUntilDue.
func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// waitUntilDue returns when this instance is due to read the topic, or when done is closed.
func (f *Follower) waitUntilDue(done <-chan struct{}) {
	for {
		left := f.readDelay(f.Now())
		if left <= 0 {
			return
		}
		timer := time.NewTimer(min(left, rankCheckInterval))
		select {
		case <-done:
			timer.Stop()
			return
		case <-f.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// rankCheckInterval is how often a waiting instance checks again whether it is due to read.
const rankCheckInterval = 250 * time.Millisecond
