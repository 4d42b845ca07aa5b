package gateway

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/upstream"
)

// Figures of upstreams that failed.
const (
	// firstSuspicion is how long an upstream gets no work after a first failure to
	// reach it; it doubles with each further one up to lastSuspicion. A crashed
	// engine is listed for up to three of its heartbeats.
	firstSuspicion = 400 * time.Millisecond
	lastSuspicion  = 3 * time.Second
	// endedSuspicion is how long a model engine gets no work whose process has ended. It may
	// be back at its address at once, in another role and with nothing in its memory, and refuses
	// what it is sent until its new entry has come round, which takes a heartbeat and a read.
	endedSuspicion = 2 * time.Second
	// suspicionMemory is how long failures are held against an upstream.
	suspicionMemory = 10 * time.Second
)

// suspects are upstreams that could not be reached or broke off. It is safe for
// concurrent use.
type suspects struct {
	now boottime.Clock
	mu  sync.Mutex
	// failed by id and start of the run.
	failed map[suspectKey]suspicion
}

type suspectKey struct {
	id      string
	started int64
}

type suspicion struct {
	count int
	last  time.Duration
	until time.Duration
}

func newSuspects(now boottime.Clock) *suspects {
	return &suspects{now: now, failed: make(map[suspectKey]suspicion)}
}

// unreached notes that an upstream could not be reached, and why.
func (s *suspects) unreached(e upstream.Entry, cause error) {
	least := firstSuspicion
	if e.Role != upstream.Plain && errors.Is(cause, syscall.ECONNREFUSED) {
		least = endedSuspicion
	}
	s.note(e, least)
}

// fail notes a failure of an upstream.
func (s *suspects) fail(e upstream.Entry) { s.note(e, firstSuspicion) }

// note keeps work from an upstream for a time that grows with each failure.
func (s *suspects) note(e upstream.Entry, least time.Duration) {
	now := s.now()
	key := suspectKey{e.ID, e.Started}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.failed[key]
	if f.until > now {
		// Requests that failed together are one failure.
		return
	}
	if now-f.last > suspicionMemory {
		f.count = 0
	}
	f.last = now
	f.until = now + min(max(firstSuspicion<<min(f.count, 4), least), lastSuspicion)
	f.count++
	s.failed[key] = f
}

// succeed clears an upstream.
func (s *suspects) succeed(e upstream.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failed, suspectKey{e.ID, e.Started})
}

// among returns which of some upstreams get no work now, and drops what is
// forgotten.
func (s *suspects) among(entries []upstream.Entry) map[string]bool {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.failed) == 0 {
		return nil
	}
	out := make(map[string]bool)
	for _, e := range entries {
		if f, known := s.failed[suspectKey{e.ID, e.Started}]; known && f.until > now {
			out[e.ID] = true
		}
	}
	for key, f := range s.failed {
		if now-f.last > suspicionMemory {
			delete(s.failed, key)
		}
	}
	return out
}
