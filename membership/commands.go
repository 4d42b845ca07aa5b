package membership

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/membership/gossip"
)

// OnChange registers a callback that receives the members after the set of members or the
// draining state of a member changed. All callbacks must be registered before Run. They are
// called one at a time and must not block because the protocol waits for them.
func (s *Service) OnChange(f func([]Member)) {
	s.register(func(c *callbacks) { c.onChange = append(c.onChange, f) })
}

// OnNewerConfig registers a callback for when a live peer has a higher configuration
// version than this instance. It is called immediately, and again every second with one of
// the peers that have it until SetConfigVersion has been called with that version.
func (s *Service) OnNewerConfig(f func(peer Member, version uint64)) {
	s.register(func(c *callbacks) { c.onNewerConfig = append(c.onNewerConfig, f) })
}

// OnNewIncarnation registers a callback for when this instance was declared dead, because it
// was paused or partitioned from the others, and took a new incarnation. The callback must
// drop every grant and lease of the previous incarnation because others may hold them now.
func (s *Service) OnNewIncarnation(f func(previous, current uint64)) {
	s.register(func(c *callbacks) { c.onNewIncarnation = append(c.onNewIncarnation, f) })
}

// SetConfigVersion publishes the configuration version that this instance has applied.
func (s *Service) SetConfigVersion(version uint64) {
	s.system.Root.Send(s.pid, &versionMessage{version: version})
}

// SetDraining publishes whether this instance is draining and takes no new work.
func (s *Service) SetDraining(draining bool) {
	s.system.Root.Send(s.pid, &drainMessage{draining: draining})
}

// Leave announces to the other members that this instance is shutting down. Its incarnation
// no longer takes part in the protocol; the caller then ends Run.
func (s *Service) Leave(ctx context.Context) error {
	done := make(chan struct{})
	s.system.Root.Send(s.pid, &leaveMessage{now: time.Now(), done: done})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) register(add func(*callbacks)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.callbacks)
}

func (s *Service) currentCallbacks() callbacks {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callbacks
}

// publishSnapshot replaces the snapshot that queries read.
func (s *Service) publishSnapshot(node *gossip.Node) {
	records := node.All()
	next := &snapshot{self: memberOf(node.Self()), all: make([]Member, 0, len(records))}
	for _, r := range records {
		m := memberOf(r)
		next.all = append(next.all, m)
		if !m.State.Terminal() {
			next.members = append(next.members, m)
		}
	}
	s.snapshot.Store(next)
}
