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

// fakeTopic is a topic whose failures are set by the test.
type fakeTopic struct {
	port.KeyedLog
	mu      sync.Mutex
	records []port.KeyedRecord
	first   uint64
	down    bool
	calls   int
}

func (s *fakeTopic) Newest(context.Context, port.Topic) ([]port.KeyedRecord, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errors.New("down")
	}
	return s.records, uint64(len(s.records)), nil
}

func (s *fakeTopic) Since(_ context.Context, _ port.Topic, from uint64, wait time.Duration) ([]port.KeyedRecord, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errors.New("down")
	}
	if from < s.first {
		return nil, 0, port.ErrCompacted
	}
	if int(from) == len(s.records) {
		s.mu.Unlock()
		time.Sleep(wait)
		s.mu.Lock()
	}
	return s.records[from:], uint64(len(s.records)), nil
}

// set changes the state under the lock.
func (s *fakeTopic) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// callCount returns the number of calls of the store.
func (s *fakeTopic) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// recordingHandler counts the calls of its methods.
type recordingHandler struct {
	mu sync.Mutex
	handlerCalls
}

type handlerCalls struct {
	replaced, added, caughtUp, readFailed int
}

func (n *recordingHandler) Merge(records []port.KeyedRecord) bool { return n.Replace(records) }

func (n *recordingHandler) Replace(records []port.KeyedRecord) bool {
	n.record(func(t *handlerCalls) { t.replaced += 1 + len(records) })
	return true
}

func (n *recordingHandler) Add(port.KeyedRecord) bool {
	n.record(func(t *handlerCalls) { t.added++ })
	return true
}

func (n *recordingHandler) CaughtUp(time.Duration) { n.record(func(t *handlerCalls) { t.caughtUp++ }) }
func (n *recordingHandler) ReadFailed()            { n.record(func(t *handlerCalls) { t.readFailed++ }) }

func (n *recordingHandler) record(change func(*handlerCalls)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.handlerCalls)
}

// calls returns the counts so far.
func (n *recordingHandler) calls() handlerCalls {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlerCalls
}

// virtualNow is the time in a synctest bubble, which starts at midnight.
func virtualNow() time.Duration {
	return time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)) + time.Hour
}

func runFollower(t *testing.T, s *fakeTopic, steps func(n *recordingHandler)) {
	synctest.Test(t, func(t *testing.T) {
		n := &recordingHandler{}
		ctx, cancel := context.WithCancel(t.Context())
		f := NewFollower(port.TopicConfiguration, PollTiming{Wait: time.Second, Gap: 50 * time.Millisecond}, n)
		f.Log, f.Logger, f.Now = s, zap.NewNop(), virtualNow
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		steps(n)
		cancel()
		<-done
	})
}

func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// The store is unavailable for ten seconds. Meanwhile the follower must not report that it is
// caught up, nor exceed the call rate that the store allows; afterwards it must read what was
// written in between.
func TestOutage(t *testing.T) {
	s := &fakeTopic{records: make([]port.KeyedRecord, 2)}
	runFollower(t, s, func(n *recordingHandler) {
		advance(time.Millisecond)
		assert.Equal(t, n.calls().replaced, 3)
		assert.Equal(t, n.calls().caughtUp, 1)
		s.set(func() { s.down = true })
		advance(2 * time.Second)
		caughtUp, calls := n.calls().caughtUp, s.callCount()
		s.set(func() { s.records = append(s.records, port.KeyedRecord{Offset: uint64(len(s.records))}) })
		advance(10 * time.Second)
		assert.Equal(t, n.calls().caughtUp, caughtUp)
		assert.Assert(t, n.calls().readFailed > 0 && s.callCount()-calls < 40, "%d calls in ten seconds", s.callCount()-calls)
		s.set(func() { s.down = false })
		advance(2 * time.Second)
		assert.Equal(t, n.calls().added, 1)
		assert.Assert(t, n.calls().caughtUp > caughtUp)
	})
}

// Records expire before they are read. The newest record of each key must be read instead;
// continuing with the remaining records would miss keys permanently.
func TestForgottenHistory(t *testing.T) {
	s := &fakeTopic{records: make([]port.KeyedRecord, 2)}
	runFollower(t, s, func(n *recordingHandler) {
		advance(time.Millisecond)
		s.set(func() { s.records, s.first = make([]port.KeyedRecord, 9), 5 })
		advance(3 * time.Second)
		assert.Equal(t, n.calls().replaced, 3+10)
		assert.Equal(t, n.calls().readFailed, 0)
	})
}
