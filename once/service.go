// Package once makes calls that may not be repeated run at most once: the claim of
// an idempotency key goes to the platform's log before the call is dispatched, and
// the log's offset order decides between claims. The protocol and the argument for
// it stand in package protocol; this package runs it against the log, with the
// appends of many calls gathered into one.
package once

import (
	"context"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/route"
)

// flushTimeout bounds how long Run goes on after its context ended, so that the
// outcomes of calls that just finished reach the log.
const flushTimeout = 5 * time.Second

// flushPause is how often flush looks whether calls have ended.
const flushPause = 20 * time.Millisecond

const (
	// ownerInterval is how often an instance looks at which partitions it owns.
	ownerInterval = time.Second
	// idleTimeout is how long a partition that is not owned is followed after its
	// last use. It spares a second reading of the stream when ownership wavers.
	idleTimeout = 10 * time.Minute
	// ownerGrace is how long an instance must rank first before it reads a stream
	// that nobody asked it about. One that just started knows no other instance and
	// would read every stream.
	ownerGrace = 3 * time.Second
)

// Service is the at-most-once guard of one instance; it implements route.Guard.
type Service struct {
	cfg    Config
	system *actor.ActorSystem
	scope  tally.Scope

	mu         sync.Mutex
	running    context.Context
	partitions [Partitions]*partition
	// open are the tickets given out and not yet finished or abandoned.
	open map[ticketID]protocol.Record
	// active are this run's intents from their choice until their outcome or void
	// stands in the log; only these are said to be in progress.
	active map[protocol.IntentID]struct{}
	peers  *peers
	// background are records on their way to the log.
	background sync.WaitGroup
}

var _ route.Guard = (*Service)(nil)

// ticketID names a ticket: stream and offset of its intent.
type ticketID struct {
	stream string
	offset uint64
}

// New checks the configuration and returns a Service that refuses every call until
// Run is called.
func New(cfg Config) (*Service, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	scope := tally.NoopScope
	if cfg.Metrics != nil {
		scope = cfg.Metrics.Scope
	}
	return &Service{
		cfg:    cfg,
		system: observe.NewActorSystem(),
		scope:  scope.SubScope("once"),
		open:   make(map[ticketID]protocol.Record),
		active: make(map[protocol.IntentID]struct{}),
		peers:  newPeers(cfg),
	}, nil
}

// Run follows the partitions that this instance serves until ctx ends, then waits
// up to flushTimeout for what is still to be appended. It must be called once.
func (s *Service) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.mu.Lock()
	s.running = running
	s.mu.Unlock()
	s.servePartitions(ctx)
	s.flush()
	s.stop()
	return ctx.Err()
}

// servePartitions keeps the partitions that this instance owns running and stops
// those that it no longer owns and nobody asks for, until ctx ends.
func (s *Service) servePartitions(ctx context.Context) {
	var ownedSince [Partitions]time.Time
	ticker := time.NewTicker(ownerInterval)
	defer ticker.Stop()
	for {
		for number := range Partitions {
			s.servePartition(number, &ownedSince[number])
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) servePartition(number int, ownedSince *time.Time) {
	now := s.cfg.Clock()
	if !s.peers.owner(number) {
		*ownedSince = time.Time{}
		s.stopIdle(number)
		return
	}
	if ownedSince.IsZero() {
		*ownedSince = now
	}
	if s.cfg.Dial == nil || now.Sub(*ownedSince) >= ownerGrace {
		s.partition(number)
	}
}

// partition returns the actor of a partition, which it starts if need be, or nil
// while the service does not run.
func (s *Service) partition(number int) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return nil
	}
	if s.partitions[number] == nil {
		s.partitions[number] = startPartition(s.running, s.system, &s.cfg, s.scope, number)
	}
	p := s.partitions[number]
	p.used = s.cfg.Clock()
	return p
}

// stopIdle stops a partition that was not used for idleTimeout and has nothing to
// append.
func (s *Service) stopIdle(number int) {
	s.mu.Lock()
	p := s.partitions[number]
	idle := p != nil && s.cfg.Clock().Sub(p.used) > idleTimeout
	if idle {
		s.partitions[number] = nil
	}
	s.mu.Unlock()
	if idle {
		p.stop()
	}
}

// flush waits until the records of this instance's calls stand in the log and
// every partition has appended what it holds for others.
func (s *Service) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for s.activeCalls() > 0 && ctx.Err() == nil {
		sleep(ctx, flushPause)
	}
	for _, p := range s.started() {
		done := make(chan struct{})
		p.tell(flushMsg{done: done})
		select {
		case <-done:
		case <-ctx.Done():
			s.cfg.Logger.Warn("records were not appended before the end", zap.String("event", "once_flush"), zap.String("stream", p.stream))
			return
		}
	}
}

func (s *Service) activeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

func (s *Service) started() []*partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	var started []*partition
	for _, p := range s.partitions {
		if p != nil {
			started = append(started, p)
		}
	}
	return started
}

func (s *Service) stop() {
	started := s.started()
	s.mu.Lock()
	s.running = nil
	s.partitions = [Partitions]*partition{}
	s.mu.Unlock()
	for _, p := range started {
		p.stop()
	}
	s.background.Wait()
	s.system.Shutdown()
}
