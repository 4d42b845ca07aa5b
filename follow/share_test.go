package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port"
)

// log is a topic whose records change something unless their key is "beat".
type log struct {
	port.KeyedLog
	mu      sync.Mutex
	records []port.KeyedRecord
	// refused are readers that the store turns away.
	refused map[int]bool
	calls   int
}

// reader is one instance's access to the log.
type reader struct {
	port.KeyedLog
	log *log
	id  int
}

var errRefused = errors.New("refused")

func (r *reader) Newest(ctx context.Context, topic port.Topic) ([]port.KeyedRecord, uint64, error) {
	return r.Since(ctx, topic, 0, 0)
}

func (r *reader) Since(ctx context.Context, _ port.Topic, from uint64, wait time.Duration) ([]port.KeyedRecord, uint64, error) {
	l := r.log
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.refused[r.id] {
		return nil, 0, errRefused
	}
	for end := virtual() + wait; int(from) == len(l.records) && virtual() < end && ctx.Err() == nil; {
		l.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		l.mu.Lock()
	}
	return l.records[from:], uint64(len(l.records)), nil
}

func (l *log) put(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, port.KeyedRecord{Key: key, Value: []byte(key), Offset: uint64(len(l.records))})
}

func (l *log) refuse(ids ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = make(map[int]bool)
	for _, id := range ids {
		l.refused[id] = true
	}
}

func (l *log) asked() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// instance is one that follows the log with others.
type instance struct {
	follower *Follower
	mu       sync.Mutex
	known    string
	proof    time.Duration
	lost     int
}

func (i *instance) Replace(records []port.KeyedRecord) bool {
	for _, r := range records {
		i.Add(r)
	}
	return true
}

func (i *instance) Add(r port.KeyedRecord) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if r.Key == "beat" {
		return false
	}
	i.known = r.Key
	return true
}

func (i *instance) CaughtUp(begun time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.proof = max(i.proof, begun)
}

func (i *instance) ReadFailed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lost++
}

// failures is how often the store could not be read.
func (i *instance) failures() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lost
}

func (i *instance) state() (known string, age time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.known, virtual() - i.proof
}

// shared is a fleet whose instances tell one another what they know each 100 ms.
type shared struct {
	log       *log
	instances []*instance

	mu sync.Mutex
	// drop loses every note between two instances, if set.
	drop func(from, to int) bool
	// held is how long a note waits on its way.
	held time.Duration
}

const noteInterval = 100 * time.Millisecond

var testPace = PollTiming{Wait: 400 * time.Millisecond, Gap: 50 * time.Millisecond, TakeoverAge: 1200 * time.Millisecond, Stagger: 25 * time.Millisecond}

func runShared(t *testing.T, n int, steps func(s *shared)) {
	synctest.Test(t, func(t *testing.T) {
		s := &shared{log: &log{}}
		s.log.put("first")
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for id := range n {
			i := &instance{}
			i.follower = NewFollower(port.TopicConfiguration, testPace, i)
			i.follower.Log, i.follower.Logger, i.follower.Now = &reader{log: s.log, id: id}, zap.NewNop(), virtual
			i.follower.Rank = func() int { return id }
			s.instances = append(s.instances, i)
			running.Go(func() { _ = i.follower.Run(ctx) })
		}
		running.Go(func() { s.tell(ctx) })
		time.Sleep(4 * time.Second)
		steps(s)
		cancel()
		running.Wait()
	})
}

// set changes how notes travel.
func (s *shared) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *shared) travel() (drop func(from, to int) bool, held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drop, s.held
}

// tell carries notes between all instances.
func (s *shared) tell(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(noteInterval)
		for from, i := range s.instances {
			sent := virtual()
			note, ok := i.follower.Note(sent)
			if !ok {
				continue
			}
			drop, held := s.travel()
			for to, other := range s.instances {
				if to == from || drop != nil && drop(from, to) {
					continue
				}
				if held == 0 {
					other.follower.Receive(note, sent)
					continue
				}
				time.AfterFunc(held, func() { other.follower.Receive(note, sent) })
			}
		}
	}
}

// oldest is the greatest age of an instance's proof over a time.
func (s *shared) oldest(d time.Duration) time.Duration {
	worst := time.Duration(0)
	for end := virtual() + d; virtual() < end; time.Sleep(20 * time.Millisecond) {
		for _, i := range s.instances {
			_, age := i.state()
			worst = max(worst, age)
		}
	}
	return worst
}

func (s *shared) allKnow(key string) bool {
	for _, i := range s.instances {
		if known, _ := i.state(); known != key {
			return false
		}
	}
	return true
}

// Sixty instances that each ask the store come close to what it bears, and every call is
// paid for. Two of them read for all, and a change still reaches everyone within a report.
func TestFewReadForAll(t *testing.T) {
	runShared(t, 60, func(s *shared) {
		before := s.log.asked()
		oldest := s.oldest(10 * time.Second)
		calls := s.log.asked() - before
		assert.Assert(t, calls <= 2*10*3, "%d calls in ten seconds", calls)
		assert.Assert(t, oldest < testPace.TakeoverAge, "a proof was %v old", oldest)
		s.log.put("beat")
		s.log.put("second")
		before = s.log.asked()
		time.Sleep(2*noteInterval + 20*time.Millisecond)
		assert.Assert(t, s.allKnow("second"))
		assert.Assert(t, s.log.asked()-before <= 6, "%d calls for one change", s.log.asked()-before)
	})
}

// The store turns away those that read for all while a key is withdrawn. The others
// notice that nothing is proven any more, and read.
func TestOthersReadWhenTheReadersCannot(t *testing.T) {
	runShared(t, 9, func(s *shared) {
		s.log.refuse(0, 1)
		time.Sleep(100 * time.Millisecond)
		s.log.put("withdrawn")
		time.Sleep(testPace.TakeoverAge + 600*time.Millisecond)
		assert.Assert(t, s.allKnow("withdrawn"))
		oldest := s.oldest(10 * time.Second)
		assert.Assert(t, oldest < 1700*time.Millisecond, "a proof was %v old", oldest)
		before := s.log.asked()
		time.Sleep(10 * time.Second)
		assert.Assert(t, s.log.asked()-before < 100, "%d calls in ten seconds", s.log.asked()-before)
	})
}

// Every note is lost. Each instance must notice and read for itself, or it would serve
// an old configuration.
func TestEachReadsWithoutNotes(t *testing.T) {
	runShared(t, 5, func(s *shared) {
		s.set(func() { s.drop = func(int, int) bool { return true } })
		s.log.put("second")
		time.Sleep(testPace.TakeoverAge + 400*time.Millisecond)
		assert.Assert(t, s.allKnow("second"))
		assert.Assert(t, s.oldest(5*time.Second) < testPace.TakeoverAge+400*time.Millisecond)
	})
}

// Reports are held up for three seconds on their way, as in a machine that is suspended.
// A proof counts from when it was told; taken for new it would hide that a key has been
// withdrawn since.
func TestHeldUpNotesProveNothingNew(t *testing.T) {
	runShared(t, 3, func(s *shared) {
		s.set(func() { s.held = 3 * time.Second })
		time.Sleep(4 * time.Second)
		s.log.refuse(2)
		time.Sleep(3 * time.Second)
		_, age := s.instances[2].state()
		assert.Assert(t, age > 2900*time.Millisecond, "a proof that is %v old was taken for new", age)
	})
}

// The whole store is away. Nobody's proof may get younger by others' word of it.
func TestNothingIsProvenInAnOutage(t *testing.T) {
	runShared(t, 5, func(s *shared) {
		s.log.refuse(0, 1, 2, 3, 4)
		time.Sleep(8 * time.Second)
		for n, i := range s.instances {
			_, age := i.state()
			assert.Assert(t, age > 7*time.Second, "instance %d believes in a proof %v old", n, age)
			assert.Assert(t, i.failures() > 0)
		}
		s.log.refuse()
		time.Sleep(2 * time.Second)
		assert.Assert(t, s.oldest(time.Second) < testPace.TakeoverAge+400*time.Millisecond)
	})
}

// A note carries a new record but not the one before it, which was in a report that got
// lost. Taking over the one alone would skip a change for good.
func TestMissingRecordIsRead(t *testing.T) {
	n := &instance{}
	f := NewFollower(port.TopicUpstreams, testPace, n)
	f.Rank = func() int { return 5 }
	f.known, f.next, f.marked, f.mark = true, 10, true, 10
	record := func(offset uint64) port.KeyedRecord { return port.KeyedRecord{Key: "new", Offset: offset} }
	f.Receive(Note{Mark: 13, Next: 14, From: 11, Records: []port.KeyedRecord{record(12)}}, time.Second)
	assert.Equal(t, n.known, "")
	assert.Equal(t, f.pause(0), time.Duration(0), "the missing record is read at once")
	f.Receive(Note{Mark: 13, Next: 14, From: 9, Records: []port.KeyedRecord{record(9), record(12)}}, time.Second)
	assert.Equal(t, n.known, "new")
	assert.Equal(t, f.next, uint64(14))
}

// Of eighty instances the one that reads for all tells of a new record, and one that already
// has the record is heard first: its word names the record and does not carry it. If that
// made everybody read, each change would cost a call for every instance, all of which are
// paid for, and the store would refuse others' calls for a while.
func TestWordOfARecordWaitsForTheRecord(t *testing.T) {
	n := &instance{}
	f := NewFollower(port.TopicUpstreams, testPace, n)
	f.Rank = func() int { return 5 }
	now := time.Minute
	f.Now = func() time.Duration { return now }
	f.known, f.next, f.marked, f.mark, f.proof = true, 10, true, 10, now
	f.Receive(Note{Mark: 11, Next: 12}, now)
	assert.Assert(t, f.pause(now) > 0, "the record may be on its way")
	f.Receive(Note{Mark: 11, Next: 12}, now)
	assert.Equal(t, f.pause(now), relayPatience, "words of others do not end the wait")
	f.Receive(Note{Mark: 11, Next: 12, From: 10, Records: []port.KeyedRecord{{Key: "new", Offset: 10}}}, now)
	assert.Equal(t, n.known, "new")
	assert.Assert(t, f.pause(now) > relayPatience, "nothing is missing any more")
	f.Receive(Note{Mark: 15, Next: 15}, now)
	now += relayPatience
	assert.Equal(t, f.pause(now), time.Duration(0), "a record that did not come is read")
}

// A third of eighty instances are turned away by the store and go on telling that nothing is
// new, as far as they know. Were each of their words taken for the end of the wait for a
// missing record, the wait would begin anew with the next word of those who have it: the
// record is never read, and a key that was withdrawn works on here for seconds.
func TestWordsOfThoseWhoKnowLessDoNotEndTheWait(t *testing.T) {
	f := NewFollower(port.TopicConfiguration, testPace, &instance{})
	f.Rank = func() int { return 5 }
	now := time.Minute
	f.Now = func() time.Duration { return now }
	f.known, f.next, f.marked, f.mark, f.proof = true, 10, true, 10, now
	for range 3 {
		f.Receive(Note{Mark: 11, Next: 12}, now)
		f.Receive(Note{Mark: 10, Next: 10}, now)
		now += relayPatience / 2
	}
	assert.Equal(t, f.pause(now), time.Duration(0))
}

// All eighty instances start together. Until their first reports each hears nobody and takes
// itself for the first in the order of those that read for all; eighty that read all the time
// come close to what the store bears, and every call is paid for.
func TestJustStartedInstanceDoesNotReadForAll(t *testing.T) {
	f := NewFollower(port.TopicConfiguration, testPace, &instance{})
	f.Logger = zap.NewNop()
	f.Rank = func() int { return 0 }
	now := time.Minute
	f.Now = func() time.Duration { return now }
	f.known, f.knownSince, f.proof, f.lastRead = true, now, now, now
	assert.Equal(t, f.pause(now), testPace.TakeoverAge, "its first read holds for a while")
	now += regularAfter + time.Millisecond
	assert.Assert(t, f.pause(now) <= testPace.Gap, "nobody else has been heard")
}
