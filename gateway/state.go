package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/upstream"
)

// State is what an instance believes of the configuration. It is safe for
// concurrent use.
type State struct {
	now   boottime.Clock
	index atomic.Pointer[object.Index]
	// proof is when the read was begun that showed that no newer version exists.
	proof atomic.Int64
	// maxAge is the age of the proof from which requests with a key are refused.
	maxAge time.Duration
	// upstreams and instances tell that these lists have been read, complete is closed once
	// nothing is missing.
	upstreams, instances atomic.Bool
	complete             chan struct{}
	completeOnce         sync.Once

	Directory *upstream.Directory
}

// NewState returns a state in which nothing has been read.
func NewState(now boottime.Clock, maxAge time.Duration) *State {
	return &State{now: now, maxAge: maxAge, complete: make(chan struct{}), Directory: upstream.NewDirectory()}
}

// Prerequisite is what an instance must have read before it can serve.
type Prerequisite string

// Parts of what an instance reads.
const (
	NoPrerequisite            Prerequisite = ""
	PrerequisiteConfiguration Prerequisite = "configuration"
	PrerequisiteUpstreams     Prerequisite = "list of upstreams"
	PrerequisiteInstances     Prerequisite = "list of instances"
)

// Missing is what has not been read yet, NoPart if nothing is missing. A list that was not read
// names nobody, which is not to be taken for an empty one.
func (s *State) Missing() Prerequisite {
	switch {
	case s.Index() == nil:
		return PrerequisiteConfiguration
	case !s.upstreams.Load():
		return PrerequisiteUpstreams
	case !s.instances.Load():
		return PrerequisiteInstances
	}
	return NoPrerequisite
}

// Complete returns a channel that is closed once nothing is missing.
func (s *State) Complete() <-chan struct{} { return s.complete }

// UpstreamsRead notes that the list of upstreams has been read.
func (s *State) UpstreamsRead() {
	s.upstreams.Store(true)
	s.look()
}

// InstancesRead notes that the list of instances has been read.
func (s *State) InstancesRead() {
	s.instances.Store(true)
	s.look()
}

// look tells those who wait once nothing is missing.
func (s *State) look() {
	if s.Missing() == NoPrerequisite {
		s.completeOnce.Do(func() { close(s.complete) })
	}
}

// Apply puts a configuration in force unless a newer one is. It reports whether it
// did.
func (s *State) Apply(index *object.Index) bool {
	for {
		old := s.index.Load()
		if old != nil && old.Version() >= index.Version() {
			return false
		}
		if s.index.CompareAndSwap(old, index) {
			s.look()
			return true
		}
	}
}

// Index returns the configuration in force, nil while there is none.
func (s *State) Index() *object.Index { return s.index.Load() }

// ConfirmCurrent notes that no newer configuration existed when a read was begun.
func (s *State) ConfirmCurrent(begun time.Duration) {
	for {
		old := s.proof.Load()
		if int64(begun) <= old || s.proof.CompareAndSwap(old, int64(begun)) {
			return
		}
	}
}

// Age is how old the proof is that the configuration in force is the newest.
func (s *State) Age() time.Duration { return s.now() - time.Duration(s.proof.Load()) }

// Fresh reports whether keys may be relied on: a key that was withdrawn since the
// proof would still work here, and a machine that was suspended or cut off cannot
// know.
func (s *State) Fresh() bool { return s.Index() != nil && s.Age() < s.maxAge }
