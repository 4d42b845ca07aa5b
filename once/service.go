// Package once makes calls that may not be repeated run at most once: the claim of
// an idempotency key goes to the platform's log before the call is dispatched, and
// the log's offset order decides between claims. The protocol and the argument for
// it stand in package protocol; this package runs it against the log, with the
// appends of many calls gathered into one.
package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	oncev1 "github.com/cairnworks/cairnworks/gen/cairnworks/once/v1"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/route"
)

// flushTimeout bounds how long Run goes on after its context ended, so that the
// outcomes of calls that just finished reach the log.
const flushTimeout = 5 * time.Second

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
	for number := range Partitions {
		s.partition(number)
	}
	<-ctx.Done()
	s.flush()
	s.stop()
	return ctx.Err()
}

// partition returns the actor of a partition, or nil while the service does not run.
func (s *Service) partition(number int) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return nil
	}
	if s.partitions[number] == nil {
		s.partitions[number] = startPartition(s.running, s.system, &s.cfg, s.scope, number)
	}
	return s.partitions[number]
}

// flush waits until every partition has appended what it holds.
func (s *Service) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
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

var (
	errNotRunning = errors.New("once: service does not run")
	errNoTicket   = errors.New("once: ticket is not open")
)

// claimAt asks the partition that serves the key and waits for its answer.
func (s *Service) claimAt(ctx context.Context, number int, req claimRequest) (claimReply, error) {
	p := s.partition(number)
	if p == nil {
		return claimReply{notAppended: true, retryAfter: logRetryAfter}, errNotRunning
	}
	msg := claimMsg{req: req, reply: make(chan claimReply, 1)}
	p.tell(msg)
	select {
	case reply := <-msg.reply:
		return reply, nil
	case <-ctx.Done():
		return claimReply{retryAfter: logRetryAfter}, ctx.Err()
	case <-p.ctx.Done():
		return claimReply{retryAfter: logRetryAfter}, errNotRunning
	}
}

// appendAt appends an outcome or a void and waits until it stands in the log or
// the service stops.
func (s *Service) appendAt(number int, record *oncev1.Record) error {
	rec, err := protocolRecord(record)
	if err != nil {
		return err
	}
	p := s.partition(number)
	if p == nil {
		return errNotRunning
	}
	msg := recordMsg{record: record, rec: rec, done: make(chan error, 1)}
	p.tell(msg)
	select {
	case err := <-msg.done:
		return err
	case <-p.ctx.Done():
		return errNotRunning
	}
}
