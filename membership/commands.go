package membership

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/membership/gossip"
)

// OnChange registers a function that is called with the members after their set or
// a member's draining state changed. All callbacks are to be registered before
// Run; they run one at a time and must not block: the protocol waits for them.
func (s *Service) OnChange(f func([]Member)) {
	s.register(func(c *callbacks) { c.change = append(c.change, f) })
}

// OnConfigVersion registers a function that is called when a live peer holds a
// higher configuration version than this instance: at once, and again every
// second with some holder until SetConfigVersion has caught up.
func (s *Service) OnConfigVersion(f func(peer Member, version uint64)) {
	s.register(func(c *callbacks) { c.version = append(c.version, f) })
}

// OnNewIncarnation registers a function that is called when this instance was declared
// dead, because it was paused or cut off, and took a new incarnation. The owner
// must drop every grant and lease held under the old one: others may hold them.
func (s *Service) OnNewIncarnation(f func(old, renewed uint64)) {
	s.register(func(c *callbacks) { c.renewed = append(c.renewed, f) })
}

// SetConfigVersion publishes the version that this instance has applied.
func (s *Service) SetConfigVersion(version uint64) {
	s.system.Root.Send(s.pid, &versionMessage{version: version})
}

// SetDraining publishes whether this instance takes new work.
func (s *Service) SetDraining(draining bool) {
	s.system.Root.Send(s.pid, &drainMessage{draining: draining})
}

// Leave tells others that this instance ends. Its incarnation takes no further
// part; the caller then ends Run.
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

func (s *Service) registered() callbacks {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callbacks
}

// publish replaces the snapshot that queries read.
func (s *Service) publish(node *gossip.Node) {
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
