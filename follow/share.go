package follow

import (
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/port"
)

// Figures of what instances tell one another of a topic.
const (
	// regulars is how many instances read a topic all the time, for all. The second
	// covers the time until the loss of the first is noticed.
	regulars = 2
	// regularAfter is how long after its first read an instance reads for all at the
	// earliest. One that has just started hears nobody and takes itself for the first in the
	// order; when all start together, each would read all the time until the first reports.
	regularAfter = 1200 * time.Millisecond
	// relayReports is how many reports carry a new record. One in forty is lost on a
	// bad link; who has lost both reads the store.
	relayReports = 2
	// relayBytes bounds the records that a report carries, before they are compressed to
	// about a fifth. The report goes to every instance; what is larger each reads from the
	// store itself.
	relayBytes = 24 << 10
	// relayPatience is how long an instance that hears of a record waits for the report
	// that carries it: the time that a link of 10 Mbit/s takes to send 4 KB to eighty
	// instances. Who has the record already tells of it as well, and is often heard
	// first; at 78 instances each change of a configuration was so read by nearly all of
	// them, which was half of the fleet's calls.
	relayPatience = 250 * time.Millisecond
	// markPatience is how long an instance that has read a whole topic waits for the
	// word of others on what of it is new. Without others, all of it is.
	markPatience = 1500 * time.Millisecond
)

// Note is what an instance tells the others of a topic that it follows. Who has all
// records up to Mark, by its own reads or by notes, knows as much as the sender did when
// its proof was begun.
type Note struct {
	Topic port.Topic
	// Mark is the offset after the last record that changed anything.
	Mark uint64
	// Next is the offset up to which the sender knows the topic. What lies between Mark
	// and Next changes nothing.
	Next uint64
	// Age of the proof that nothing followed.
	Age time.Duration
	// Records are the newest that changed anything: all between From and Mark.
	From    uint64
	Records []port.KeyedRecord
}

// relay is what the next reports carry of new records.
type relay struct {
	from    uint64
	records []port.KeyedRecord
	reports int
}

// Note returns what to tell the others; ok is false while there is nothing to tell.
func (f *Follower) Note(now time.Duration) (n Note, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Rank == nil || !f.known || !f.marked {
		return Note{}, false
	}
	n = f.note(now)
	if f.relay.reports > 0 {
		f.relay.reports--
		n.From, n.Records = f.relay.from, f.relay.records
	}
	return n, true
}

// NoteFor returns what to tell an instance that knows the topic up to an offset: the records that
// it lacks as well, if they are still kept.
func (f *Follower) NoteFor(now time.Duration, known uint64) (n Note, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Rank == nil || !f.known || !f.marked {
		return Note{}, false
	}
	n = f.note(now)
	if len(f.relay.records) > 0 && known < f.mark && f.relay.from <= known {
		n.From, n.Records = f.relay.from, f.relay.records
	}
	return n, true
}

// NextOffset is the offset up to which the topic is known, 0 while it is not.
func (f *Follower) NextOffset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// note is what to tell without records; the lock is held.
func (f *Follower) note(now time.Duration) Note {
	return Note{Topic: f.Topic, Mark: f.mark, Next: f.next, Age: now - f.proof}
}

// Receive takes in what another instance tells. earliest is the earliest time, of the clock
// that counts through suspensions, at which it can have been told: a report may have
// waited anywhere on its way, and what it proves is older by that.
func (f *Follower) Receive(n Note, earliest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || f.Rank == nil {
		return
	}
	if f.next < n.Mark {
		f.takeOver(n)
	}
	if f.next < n.Mark {
		f.fallBehind(n)
		f.wakeUp()
		return
	}
	f.settle(n)
	f.behind = f.behind && f.next < f.ahead
	begun := earliest - n.Age
	if earliest <= 0 || begun <= f.proof {
		return
	}
	f.proof = begun
	f.Handler.CaughtUp(begun)
}

// fallBehind notes that records are missing here. A note that carries records and does not
// join what is known follows one that was lost, so that waiting for more is in vain; one
// without records may have overtaken those that carry them. The lock is held.
func (f *Follower) fallBehind(n Note) {
	var read time.Duration
	if len(n.Records) == 0 {
		read = f.Now() + relayPatience
	}
	if !f.behind || read < f.catchUp {
		f.catchUp = read
	}
	f.behind, f.ahead = true, max(f.ahead, n.Mark)
}

// takeOver adds the records that a note brings, if none is missing before them; the lock
// is held.
func (f *Follower) takeOver(n Note) {
	if len(n.Records) == 0 || n.From > f.next {
		return
	}
	for _, record := range n.Records {
		if record.Offset >= f.next {
			f.Handler.Add(record)
		}
	}
	f.next = n.Mark
}

// settle learns what of the topic is new. What another instance has read beyond this
// one and found to change nothing need not be read here. The lock is held.
func (f *Follower) settle(n Note) {
	if !f.marked && n.Next >= f.next {
		f.marked, f.mark = true, n.Mark
	}
	if f.marked && f.mark < n.Mark {
		// What this instance was about to tell would leave out what it has just learnt.
		f.mark, f.relay = n.Mark, relay{from: n.From, records: n.Records}
	}
	f.next = max(f.next, n.Next)
}

// changed notes records that this instance has read and that changed something; the lock
// is held.
func (f *Follower) changed(records []port.KeyedRecord) {
	if f.Rank == nil || !f.marked || len(records) == 0 {
		return
	}
	if f.relay.reports == 0 {
		f.relay = relay{from: f.mark}
	}
	f.relay.records = append(f.relay.records, records...)
	f.relay.reports = relayReports
	size := 0
	for _, record := range f.relay.records {
		size += len(record.Key) + len(record.Value)
	}
	if size > relayBytes {
		f.relay = relay{}
	}
	f.mark = max(f.mark, records[len(records)-1].Offset+1)
}

// pause is how long this instance may wait before it reads the topic itself.
func (f *Follower) pause(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Rank == nil {
		return f.readAfter(now)
	}
	if !f.known {
		return 0
	}
	if f.behind {
		return max(f.catchUp-now, 0)
	}
	turn := f.Rank()
	f.regular(turn < regulars && now-f.knownSince > regularAfter)
	if turn < regulars {
		f.mustMark(now)
	}
	if f.reads {
		return f.readAfter(now)
	}
	turn = max(turn, regulars)
	return f.proof + f.Timing.TakeoverAge + f.Timing.Stagger*time.Duration(turn-regulars) - now
}

// readAfter is the pause until the next read of an instance that reads all the time; the
// lock is held.
func (f *Follower) readAfter(now time.Duration) time.Duration {
	if !f.known {
		return 0
	}
	return f.lastRead + f.gap() - now
}

// regular notes whether this instance reads for all; the lock is held.
func (f *Follower) regular(reads bool) {
	if reads == f.reads {
		return
	}
	f.reads = reads
	f.Logger.Info("reads for all", zap.Stringer("topic", f.Topic), zap.Bool("reads", reads))
}

// mustMark takes the whole topic for new where nobody says what of it is; the lock is held.
func (f *Follower) mustMark(now time.Duration) {
	if !f.marked && now-f.knownSince > markPatience {
		f.marked, f.mark = true, f.next
	}
}

// wakeUp ends a pause.
func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// waitForTurn returns when this instance is to read the topic, or at the end of its
// context.
func (f *Follower) waitForTurn(done <-chan struct{}) {
	for {
		left := f.pause(f.Now())
		if left <= 0 {
			return
		}
		timer := time.NewTimer(min(left, lookAgain))
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

// lookAgain is how often an instance that reads nothing looks whether it is its turn.
const lookAgain = 250 * time.Millisecond
