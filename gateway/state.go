package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/upstream"
)

// State holds the configuration and the lists this instance has read. It is safe for concurrent
// use.
type State struct {
	now   boottime.Clock
	index atomic.Pointer[object.Index]
	// confirmedAt is the start time of the last read that found no newer version.
	confirmedAt atomic.Int64
	// maxAge is the age of that confirmation from which requests with a key are refused.
	maxAge time.Duration
	// upstreams and instances are set once the respective list has been read. complete is closed
	// once nothing is missing.
	upstreams, instances atomic.Bool
	complete             chan struct{}
	completeOnce         sync.Once

	Directory *upstream.Directory
}

// NewState returns a state for which nothing has been read yet.
func NewState(now boottime.Clock, maxAge time.Duration) *State {
	return &State{now: now, maxAge: maxAge, complete: make(chan struct{}), Directory: upstream.NewDirectory()}
}

// Prerequisite is something an instance must have read before it can serve.
type Prerequisite string

// The values of Prerequisite, as they appear in refusals.
const (
	NoPrerequisite            Prerequisite = ""
	PrerequisiteConfiguration Prerequisite = "configuration"
	PrerequisiteUpstreams     Prerequisite = "list of upstreams"
	PrerequisiteInstances     Prerequisite = "list of instances"
)

// Missing returns the first prerequisite that has not been read, or NoPrerequisite. A list that has
// not been read must not be treated as an empty list.
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

// UpstreamsRead records that the list of upstreams has been read.
func (s *State) UpstreamsRead() {
	s.upstreams.Store(true)
	s.closeIfComplete()
}

// InstancesRead records that the list of instances has been read.
func (s *State) InstancesRead() {
	s.instances.Store(true)
	s.closeIfComplete()
}

// closeIfComplete closes complete once nothing is missing.
func (s *State) closeIfComplete() {
	if s.Missing() == NoPrerequisite {
		s.completeOnce.Do(func() { close(s.complete) })
	}
}

// Apply activates a configuration and reports whether it did. It does nothing if the active
// configuration has the same or a newer version.
func (s *State) Apply(index *object.Index) bool {
	for {
		previous := s.index.Load()
		if previous != nil && previous.Version() >= index.Version() {
			return false
		}
		if s.index.CompareAndSwap(previous, index) {
			s.closeIfComplete()
			return true
		}
	}
}

// Index returns the active configuration, or nil if there is none yet.
func (s *State) Index() *object.Index { return s.index.Load() }

// ConfirmCurrent records that a read which began at started found no newer configuration.
func (s *State) ConfirmCurrent(started time.Duration) {
	for {
		previous := s.confirmedAt.Load()
		if int64(started) <= previous || s.confirmedAt.CompareAndSwap(previous, int64(started)) {
			return
		}
	}
}

// Age returns the time since the configuration was last confirmed to be the newest.
func (s *State) Age() time.Duration { return s.now() - time.Duration(s.confirmedAt.Load()) }

// Fresh reports whether keys may be accepted. A key withdrawn since the last confirmation would
// still be accepted here, and an instance that was suspended or partitioned cannot know.
func (s *State) Fresh() bool { return s.Index() != nil && s.Age() < s.maxAge }
