package follow

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port"
)

// instance follows the topic together with others.
type instance struct {
	follower    *Follower
	mu          sync.Mutex
	known       string
	asOf        time.Duration
	failedReads int
}

func (i *instance) Merge(records []port.KeyedRecord) bool { return i.Replace(records) }

func (i *instance) Replace(records []port.KeyedRecord) bool {
	for _, r := range records {
		i.Add(r)
	}
	return true
}

func (i *instance) Add(r port.KeyedRecord) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if r.Key == "heartbeat" {
		return false
	}
	i.known = r.Key
	if r.Key == largeKey {
		i.known = string(bytes.TrimRight(r.Value, " "))
	}
	return true
}

func (i *instance) CaughtUp(asOf time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.asOf = max(i.asOf, asOf)
}

func (i *instance) ReadFailed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.failedReads++
}

// failureCount returns the number of failed reads.
func (i *instance) failureCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failedReads
}

func (i *instance) state() (known string, age time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.known, virtualNow() - i.asOf
}

// testFleet is a fleet whose instances exchange notes every 100 ms.
type testFleet struct {
	topic     *sharedTopic
	instances []*instance

	mu sync.Mutex
	// drop, if set, reports whether a note between two instances is lost.
	drop func(from, to int) bool
	// delay is the time a note takes to arrive.
	delay time.Duration
	// unreachable, if set, reports whether an instance serves no records.
	unreachable func(id int) bool
}

// fetchDelay is the time that a fetch from another instance takes.
const fetchDelay = 150 * time.Millisecond

// Fetch implements Fetcher. The address of an instance is its number.
func (s *testFleet) Fetch(ctx context.Context, address string, _ port.Topic, from uint64) (Note, error) {
	id, err := strconv.Atoi(address)
	if err != nil {
		return Note{}, err
	}
	s.mu.Lock()
	unreachable := s.unreachable != nil && s.unreachable(id)
	s.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return Note{}, ctx.Err()
	}
	note, err := s.instances[id].follower.Serve(virtualNow(), from)
	time.Sleep(fetchDelay)
	return note, err
}

const noteInterval = 100 * time.Millisecond

var testTiming = PollTiming{Wait: 400 * time.Millisecond, Gap: 50 * time.Millisecond, TakeoverAge: 1200 * time.Millisecond, Stagger: 25 * time.Millisecond}

func runFleet(t *testing.T, n int, steps func(s *testFleet)) {
	t.Helper()
	runFleetWithTiming(t, n, testTiming, steps)
}

func runFleetWithTiming(t *testing.T, n int, timing PollTiming, steps func(s *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &testFleet{topic: &sharedTopic{}}
		s.topic.put("first")
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		for id := range n {
			i := &instance{}
			i.follower = NewFollower(port.TopicConfiguration, timing, i)
			i.follower.Log, i.follower.Logger, i.follower.Now = &topicClient{topic: s.topic, id: id}, zap.NewNop(), virtualNow
			i.follower.Rank, i.follower.Fetcher = func() int { return id }, s
			s.instances = append(s.instances, i)
			running.Go(func() { _ = i.follower.Run(ctx) })
		}
		running.Go(func() { s.deliverNotes(ctx) })
		time.Sleep(4 * time.Second)
		steps(s)
	})
}

// set changes the state under the lock.
func (s *testFleet) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *testFleet) delivery() (drop func(from, to int) bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drop, s.delay
}

// deliverNotes delivers notes between all instances until ctx ends.
func (s *testFleet) deliverNotes(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(noteInterval)
		for from, i := range s.instances {
			sent := virtualNow()
			note, ok := i.follower.Note(sent)
			if !ok {
				continue
			}
			note.Sender = strconv.Itoa(from)
			drop, delay := s.delivery()
			for to, other := range s.instances {
				if to == from || drop != nil && drop(from, to) {
					continue
				}
				if delay == 0 {
					other.follower.Receive(note, sent)
					continue
				}
				time.AfterFunc(delay, func() { other.follower.Receive(note, sent) })
			}
		}
	}
}

// maxAge returns the greatest age of any instance's as-of time during d.
func (s *testFleet) maxAge(d time.Duration) time.Duration {
	worst := time.Duration(0)
	for end := virtualNow() + d; virtualNow() < end; time.Sleep(20 * time.Millisecond) {
		for _, i := range s.instances {
			_, age := i.state()
			worst = max(worst, age)
		}
	}
	return worst
}

func (s *testFleet) allKnow(key string) bool {
	for _, i := range s.instances {
		if known, _ := i.state(); known != key {
			return false
		}
	}
	return true
}

// Sixty instances that each read the store come close to its rate limit, and every call is
// billed. Only two may read on behalf of all, and a change must still reach every instance
// within the time of a report.
func TestTwoInstancesReadForFleet(t *testing.T) {
	runFleet(t, 60, func(s *testFleet) {
		before := s.topic.callCount()
		oldest := s.maxAge(10 * time.Second)
		calls := s.topic.callCount() - before
		assert.Assert(t, calls <= 2*10*3, "%d calls in ten seconds", calls)
		assert.Assert(t, oldest < testTiming.TakeoverAge, "an as-of time was %v old", oldest)
		s.topic.put("heartbeat")
		s.topic.put("second")
		before = s.topic.callCount()
		time.Sleep(2*noteInterval + 20*time.Millisecond)
		assert.Assert(t, s.allKnow("second"))
		assert.Assert(t, s.topic.callCount()-before <= 6, "%d calls for one change", s.topic.callCount()-before)
	})
}

// The store rejects the calls of the active readers while a key is withdrawn. The standbys
// must notice that their as-of time no longer advances, and read the store.
func TestStandbysReadWhenActiveReadersFail(t *testing.T) {
	runFleet(t, 9, func(s *testFleet) {
		s.topic.refuse(0, 1)
		time.Sleep(100 * time.Millisecond)
		s.topic.put("withdrawn")
		time.Sleep(testTiming.TakeoverAge + 600*time.Millisecond)
		assert.Assert(t, s.allKnow("withdrawn"))
		oldest := s.maxAge(10 * time.Second)
		assert.Assert(t, oldest < 1700*time.Millisecond, "an as-of time was %v old", oldest)
		before := s.topic.callCount()
		time.Sleep(10 * time.Second)
		assert.Assert(t, s.topic.callCount()-before < 100, "%d calls in ten seconds", s.topic.callCount()-before)
	})
}

// Every note is lost. Each instance must notice and read for itself, or it would keep an
// outdated configuration.
func TestEachInstanceReadsWithoutNotes(t *testing.T) {
	runFleet(t, 5, func(s *testFleet) {
		s.set(func() { s.drop = func(int, int) bool { return true } })
		s.topic.put("second")
		time.Sleep(testTiming.TakeoverAge + 400*time.Millisecond)
		assert.Assert(t, s.allKnow("second"))
		assert.Assert(t, s.maxAge(5*time.Second) < testTiming.TakeoverAge+400*time.Millisecond)
	})
}

// Reports are delayed by three seconds, as on a machine that is suspended. Their age must
// count from the time they were sent; if they were treated as fresh, they would hide that a
// key has been withdrawn since.
func TestDelayedNotesKeepTheirAge(t *testing.T) {
	runFleet(t, 3, func(s *testFleet) {
		s.set(func() { s.delay = 3 * time.Second })
		time.Sleep(4 * time.Second)
		s.topic.refuse(2)
		time.Sleep(3 * time.Second)
		_, age := s.instances[2].state()
		assert.Assert(t, age > 2900*time.Millisecond, "a delayed note was treated as fresh: the as-of time is only %v old", age)
	})
}

// The store is unavailable to all instances. Notes between them must not advance any
// instance's as-of time.
func TestNoInstanceCatchesUpDuringOutage(t *testing.T) {
	runFleet(t, 5, func(s *testFleet) {
		s.topic.refuse(0, 1, 2, 3, 4)
		time.Sleep(8 * time.Second)
		for n, i := range s.instances {
			_, age := i.state()
			assert.Assert(t, age > 7*time.Second, "instance %d counts as caught up %v ago although the store is unavailable", n, age)
			assert.Assert(t, i.failureCount() > 0)
		}
		s.topic.refuse()
		time.Sleep(2 * time.Second)
		assert.Assert(t, s.maxAge(time.Second) < testTiming.TakeoverAge+400*time.Millisecond)
	})
}

// A note carries a new record but not the one before it, whose report was lost. Applying only
// the new one would skip a change permanently.
func TestMissingRecordIsReadFromStore(t *testing.T) {
	n := &instance{}
	f := NewFollower(port.TopicUpstreams, testTiming, n)
	f.Rank = func() int { return 5 }
	f.known, f.next, f.markKnown, f.mark = true, 10, true, 10
	record := func(offset uint64) port.KeyedRecord { return port.KeyedRecord{Key: "new", Offset: offset} }
	f.Receive(Note{Mark: 13, Next: 14, From: 11, Records: []port.KeyedRecord{record(12)}}, time.Second)
	assert.Equal(t, n.known, "")
	assert.Equal(t, f.readDelay(0), time.Duration(0), "the missing record is read at once")
	f.Receive(Note{Mark: 13, Next: 14, From: 9, Records: []port.KeyedRecord{record(9), record(12)}}, time.Second)
	assert.Equal(t, n.known, "new")
	assert.Equal(t, f.next, uint64(14))
}

// The note of an instance that already has a new record, but does not carry it, arrives before
// that of the active reader. If it made every one of eighty instances read, each change would
// cost a call per instance, all of which are billed, and the store would reject other calls
// for a while.
func TestNoteWithoutRecordsWaitsForRelay(t *testing.T) {
	n := &instance{}
	f := NewFollower(port.TopicUpstreams, testTiming, n)
	f.Rank = func() int { return 5 }
	now := time.Minute
	f.Now = func() time.Duration { return now }
	f.known, f.next, f.markKnown, f.mark, f.asOf = true, 10, true, 10, now
	f.Receive(Note{Mark: 11, Next: 12}, now)
	assert.Assert(t, f.readDelay(now) > 0, "the record may be on its way")
	f.Receive(Note{Mark: 11, Next: 12}, now)
	assert.Equal(t, f.readDelay(now), relayTimeout, "further notes without the record must not end the wait")
	f.Receive(Note{Mark: 11, Next: 12, From: 10, Records: []port.KeyedRecord{{Key: "new", Offset: 10}}}, now)
	assert.Equal(t, n.known, "new")
	assert.Assert(t, f.readDelay(now) > relayTimeout, "no record is missing any more")
	f.Receive(Note{Mark: 15, Next: 15}, now)
	now += relayTimeout
	assert.Equal(t, f.readDelay(now), time.Duration(0), "a record that was not relayed in time is read")
}

// A third of eighty instances are rejected by the store and keep reporting the older state
// they know. If each of their notes ended the wait for a missing record, the next note of an
// instance that has it would restart the wait: the record would never be read, and a withdrawn
// key would keep working here for seconds.
func TestOutdatedNotesDoNotRestartRelayWait(t *testing.T) {
	f := NewFollower(port.TopicConfiguration, testTiming, &instance{})
	f.Rank = func() int { return 5 }
	now := time.Minute
	f.Now = func() time.Duration { return now }
	f.known, f.next, f.markKnown, f.mark, f.asOf = true, 10, true, 10, now
	for range 3 {
		f.Receive(Note{Mark: 11, Next: 12}, now)
		f.Receive(Note{Mark: 10, Next: 10}, now)
		now += relayTimeout / 2
	}
	assert.Equal(t, f.readDelay(now), time.Duration(0))
}

// All eighty instances start together. Until the first reports arrive, each considers itself
// first in the order of readers. Eighty instances that read continuously come close to the
// store's rate limit, and every call is billed.
func TestStartingInstanceIsNotActiveReader(t *testing.T) {
	f := NewFollower(port.TopicConfiguration, testTiming, &instance{})
	f.Logger = zap.NewNop()
	f.Rank = func() int { return 0 }
	now := time.Minute
	f.Now = func() time.Duration { return now }
	f.known, f.knownSince, f.asOf, f.lastRead = true, now, now, now
	assert.Equal(t, f.readDelay(now), testTiming.TakeoverAge, "the as-of time of its first read is still recent enough")
	now += activeReaderDelay + time.Millisecond
	assert.Assert(t, f.readDelay(now) <= testTiming.Gap, "no other instance has been heard from")
}
