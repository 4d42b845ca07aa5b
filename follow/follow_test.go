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

// scripted is a topic that fails as told.
type scripted struct {
	port.KeyedLog
	mu      sync.Mutex
	records []port.KeyedRecord
	first   uint64
	down    bool
	calls   int
}

func (s *scripted) Newest(context.Context, port.Topic) ([]port.KeyedRecord, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errors.New("down")
	}
	return s.records, uint64(len(s.records)), nil
}

func (s *scripted) Since(_ context.Context, _ port.Topic, from uint64, wait time.Duration) ([]port.KeyedRecord, uint64, error) {
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

// set changes the script.
func (s *scripted) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// asked is how often the store was called.
func (s *scripted) asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// noted is what a reader was told.
type noted struct {
	mu sync.Mutex
	told
}

type told struct {
	replaced, added, proven, lost int
}

func (n *noted) Replace(records []port.KeyedRecord) bool {
	n.note(func(t *told) { t.replaced += 1 + len(records) })
	return true
}

func (n *noted) Add(port.KeyedRecord) bool {
	n.note(func(t *told) { t.added++ })
	return true
}

func (n *noted) Proven(time.Duration) { n.note(func(t *told) { t.proven++ }) }
func (n *noted) Lost()                { n.note(func(t *told) { t.lost++ }) }

func (n *noted) note(change func(*told)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.told)
}

// so is what was told so far.
func (n *noted) so() told {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.told
}

// virtual is the time of a bubble of synctest, which begins at midnight.
func virtual() time.Duration {
	return time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)) + time.Hour
}

func run(t *testing.T, s *scripted, steps func(n *noted)) {
	synctest.Test(t, func(t *testing.T) {
		n := &noted{}
		ctx, cancel := context.WithCancel(t.Context())
		f := NewFollower(port.TopicConfiguration, Pace{Wait: time.Second, Gap: 50 * time.Millisecond}, n)
		f.Log, f.Logger, f.Now = s, zap.NewNop(), virtual
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		steps(n)
		cancel()
		<-done
	})
}

func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// The store is away for ten seconds. Nothing is proven meanwhile, it is not asked more
// often than it bears, and what was written in between is read at its return.
func TestOutage(t *testing.T) {
	s := &scripted{records: make([]port.KeyedRecord, 2)}
	run(t, s, func(n *noted) {
		pass(time.Millisecond)
		assert.Equal(t, n.so().replaced, 3)
		assert.Equal(t, n.so().proven, 1)
		s.set(func() { s.down = true })
		pass(2 * time.Second)
		proven, calls := n.so().proven, s.asked()
		s.set(func() { s.records = append(s.records, port.KeyedRecord{Offset: uint64(len(s.records))}) })
		pass(10 * time.Second)
		assert.Equal(t, n.so().proven, proven)
		assert.Assert(t, n.so().lost > 0 && s.asked()-calls < 40, "%d calls in ten seconds", s.asked()-calls)
		s.set(func() { s.down = false })
		pass(2 * time.Second)
		assert.Equal(t, n.so().added, 1)
		assert.Assert(t, n.so().proven > proven)
	})
}

// The store forgets what was not read yet. The newest of each key is read instead;
// going on from the records that are left would miss keys for good.
func TestForgottenHistory(t *testing.T) {
	s := &scripted{records: make([]port.KeyedRecord, 2)}
	run(t, s, func(n *noted) {
		pass(time.Millisecond)
		s.set(func() { s.records, s.first = make([]port.KeyedRecord, 9), 5 })
		pass(3 * time.Second)
		assert.Equal(t, n.so().replaced, 3+10)
		assert.Equal(t, n.so().lost, 0)
	})
}
