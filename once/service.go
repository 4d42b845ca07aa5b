// Package once ensures that calls which must not be repeated run at most once. The claim of an
// idempotency key is appended to the platform's log before the call is dispatched, and the order
// of offsets in the log decides between competing claims. Package protocol defines the protocol
// and explains why it is correct; this package runs it against the log and batches the appends of
// many calls.
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

// flushTimeout limits how long Run continues after its context has ended, so that the outcomes of
// calls that have just finished can be appended.
const flushTimeout = 5 * time.Second

// flushPollInterval is how often flush checks for active intents.
const flushPollInterval = 20 * time.Millisecond

const (
	// ownershipCheckInterval is how often an instance checks which partitions it owns.
	ownershipCheckInterval = time.Second
	// idleTimeout is how long a partition that is not owned is followed after its last use. It
	// avoids reading the stream again if ownership changes back and forth.
	idleTimeout = 10 * time.Minute
	// ownerStartDelay is how long an instance must rank first for a partition before it reads
	// the stream without being asked. An instance that has just started does not know any other
	// instance and would read all streams.
	ownerStartDelay = 3 * time.Second
)

// Service is the at-most-once guard of one instance; it implements route.IdempotencyGuard.
type Service struct {
	cfg    Config
	system *actor.ActorSystem
	// ownSystem reports that system was created by the service, which must shut it down.
	ownSystem bool
	scope     tally.Scope

	mu sync.Mutex
	// runCtx is the context of the running service, or nil while it is not running.
	runCtx     context.Context
	partitions [Partitions]*partition
	// openTickets are the issued tickets that have not been finished or abandoned.
	openTickets map[ticketID]protocol.Record
	// activeIntents are the intents of this run from their creation until their outcome or void
	// is in the log. Of this run's calls, only these are reported as in progress.
	activeIntents map[protocol.IntentID]struct{}
	peers         *peers
	// backgroundAppends tracks the goroutines that append outcomes and voids.
	backgroundAppends sync.WaitGroup
}

var _ route.IdempotencyGuard = (*Service)(nil)

// ticketID identifies a ticket by the stream and offset of its intent.
type ticketID struct {
	stream string
	offset uint64
}

// New validates the configuration and returns a Service. The service refuses all calls until Run
// is called.
func New(cfg Config) (*Service, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	scope := tally.NoopScope
	if cfg.Metrics != nil {
		scope = cfg.Metrics.Scope
	}
	ownSystem := cfg.System == nil
	if ownSystem {
		cfg.System = observe.NewActorSystem()
	}
	return &Service{
		cfg:           cfg,
		system:        cfg.System,
		ownSystem:     ownSystem,
		scope:         scope.SubScope("once"),
		openTickets:   make(map[ticketID]protocol.Record),
		activeIntents: make(map[protocol.IntentID]struct{}),
		peers:         newPeers(cfg),
	}, nil
}

// Run follows the partitions that this instance serves until ctx ends. It then waits up to
// flushTimeout for the remaining appends. It must be called only once.
func (s *Service) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.mu.Lock()
	s.runCtx = running
	s.mu.Unlock()
	s.servePartitions(ctx)
	s.flush()
	s.stop()
	return ctx.Err()
}

// servePartitions starts the partitions that this instance owns and stops idle ones that it does
// not own, until ctx ends.
func (s *Service) servePartitions(ctx context.Context) {
	var ownedSince [Partitions]time.Time
	ticker := time.NewTicker(ownershipCheckInterval)
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
	if !s.peers.isOwner(number) {
		*ownedSince = time.Time{}
		s.stopIdle(number)
		return
	}
	if ownedSince.IsZero() {
		*ownedSince = now
	}
	if s.cfg.Dial == nil || now.Sub(*ownedSince) >= ownerStartDelay {
		s.partition(number)
	}
}

// partition returns the actor of a partition and starts it if necessary. It returns nil while the
// service is not running.
func (s *Service) partition(number int) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runCtx == nil {
		return nil
	}
	if s.partitions[number] == nil {
		s.partitions[number] = startPartition(s.runCtx, s.system, &s.cfg, s.scope, number)
	}
	p := s.partitions[number]
	p.lastUsed = s.cfg.Clock()
	return p
}

// stopIdle stops a partition that has not been used for idleTimeout.
func (s *Service) stopIdle(number int) {
	s.mu.Lock()
	p := s.partitions[number]
	idle := p != nil && s.cfg.Clock().Sub(p.lastUsed) > idleTimeout
	if idle {
		s.partitions[number] = nil
	}
	s.mu.Unlock()
	if idle {
		p.stop()
	}
}

// flush waits until the records of this instance's calls are in the log and all partitions have
// appended the records that they hold for other instances.
func (s *Service) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for s.activeIntentCount() > 0 && ctx.Err() == nil {
		sleep(ctx, flushPollInterval)
	}
	for _, p := range s.runningPartitions() {
		done := make(chan struct{})
		p.tell(flushMsg{done: done})
		select {
		case <-done:
		case <-ctx.Done():
			s.cfg.Logger.Warn("not all records were appended before shutdown", zap.String("event", "once_flush"), zap.String("stream", p.stream))
			return
		}
	}
}

func (s *Service) activeIntentCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.activeIntents)
}

func (s *Service) runningPartitions() []*partition {
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
	started := s.runningPartitions()
	s.mu.Lock()
	s.runCtx = nil
	s.partitions = [Partitions]*partition{}
	s.mu.Unlock()
	for _, p := range started {
		p.stop()
	}
	s.backgroundAppends.Wait()
	if s.ownSystem {
		s.system.Shutdown()
	}
}
