package once

import (
	"context"
	"time"

	"go.uber.org/zap"

	oncev1 "github.com/cairnworks/cairnworks/gen/cairnworks/once/v1"
	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

// maxClaimAge is the longest time between choosing an intent and handing out its
// ticket. An instance that was paused for longer withdraws instead: it could
// otherwise wake up after the window, when others have forgotten its intent.
const maxClaimAge = time.Minute

// clockMargin is how far a caller's clock may be off before the creation time in
// its idempotency key is misjudged.
const clockMargin = 5 * time.Minute

// Begin implements route.Guard.
func (s *Service) Begin(ctx context.Context, call route.GuardedCall) (*route.Ticket, *route.RecordedAnswer, error) {
	begun := s.cfg.Clock()
	intent := s.newIntent(call, begun)
	number := partitionOf(intent.Key)
	s.activate(intent.ID)
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ClaimTimeout)
	defer cancel()

	claim := protocol.NewClaim(intent)
	claim.MarkSent()
	reply, err := s.claimAt(ctx, number, claimRequest{
		intent: intentRecord(intent), rec: intent, lookupOnly: s.olderThanWindow(call, begun),
	})
	s.scope.Tagged(map[string]string{"state": reply.state.String()}).Counter("claims").Inc(1)
	if reply.notAppended {
		claim.MarkNotAppended()
	}
	if err == nil && reply.state == stateWon {
		claim.SetDecision(protocol.DecisionWon)
	}
	if claim.MayDispatch() && s.cfg.Clock().Sub(begun) < maxClaimAge {
		return s.openTicket(call, number, intent, reply.offset), nil, nil
	}
	if claim.Withdraw() {
		// The void frees the key; the caller need not wait for it.
		s.appendLater(number, intent, voidRecord(intent))
	} else {
		s.deactivate(intent.ID)
	}
	answer, v := s.resolve(ctx, number, reply, err)
	return nil, answer, v
}

func (s *Service) newIntent(call route.GuardedCall, now time.Time) protocol.Record {
	return protocol.Record{
		Kind:      protocol.KindIntent,
		Key:       keyOf(call),
		ID:        newIntentID(),
		Body:      protocol.BodyHash(call.BodyHash[:16]),
		Owner:     protocol.Owner{Instance: s.cfg.Self.Instance, Incarnation: s.cfg.Self.Incarnation},
		RequestID: call.RequestID,
		ClaimedMS: now.UnixMilli(),
	}
}

// olderThanWindow reports whether the idempotency key says that it was made before
// the window. Its first use may be forgotten, so it is looked up but not claimed.
// A key without a creation time cannot be told from a new one.
func (s *Service) olderThanWindow(call route.GuardedCall, now time.Time) bool {
	created, ok := uuidV7Time(call.IdempotencyKey)
	return ok && now.Sub(created) > s.cfg.Window-clockMargin
}

func (s *Service) openTicket(call route.GuardedCall, number int, intent protocol.Record, offset uint64) *route.Ticket {
	ticket := &route.Ticket{Call: call, Stream: streamName(number), Offset: offset}
	s.mu.Lock()
	s.open[ticketID{ticket.Stream, ticket.Offset}] = intent
	s.mu.Unlock()
	return ticket
}

// closeTicket ends a ticket. Whatever is said of a call needs an open one, so that a
// call whose outcome was recorded is never voided, or the other way round.
func (s *Service) closeTicket(ticket *route.Ticket) (protocol.Record, bool) {
	id := ticketID{ticket.Stream, ticket.Offset}
	s.mu.Lock()
	defer s.mu.Unlock()
	intent, ok := s.open[id]
	delete(s.open, id)
	return intent, ok
}

func (s *Service) activate(id protocol.IntentID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[id] = struct{}{}
}

func (s *Service) deactivate(id protocol.IntentID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, id)
}

func (s *Service) isActive(id protocol.IntentID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.active[id]
	return ok
}

// Finish implements route.Guard. When ctx ends first, recording goes on as long as
// this instance lives.
func (s *Service) Finish(ctx context.Context, ticket *route.Ticket, answer route.RecordedAnswer) error {
	intent, ok := s.closeTicket(ticket)
	if !ok {
		return verdict.Fail(verdict.HasRun, verdict.ReasonInternal, errNoTicket, "ticket is not open")
	}
	done := s.appendLater(partitionOf(intent.Key), intent, outcomeRecord(intent, answer))
	if err := await(ctx, done); err != nil {
		return verdict.Fail(verdict.HasRun, verdict.ReasonLogUnavailable, err, "the answer is not recorded yet")
	}
	return nil
}

// Abandon implements route.Guard. The caller vouches that the call did not run:
// nobody else can know.
func (s *Service) Abandon(ctx context.Context, ticket *route.Ticket) error {
	intent, ok := s.closeTicket(ticket)
	if !ok {
		return verdict.Fail(verdict.MayHaveRun, verdict.ReasonInternal, errNoTicket, "ticket is not open")
	}
	done := s.appendLater(partitionOf(intent.Key), intent, voidRecord(intent))
	if err := await(ctx, done); err != nil {
		return verdict.Fail(verdict.NotRun, verdict.ReasonLogUnavailable, err, "the claim is not withdrawn yet")
	}
	return nil
}

// Unanswered implements route.Guard. A call that may have run gets no record: its
// intent alone keeps resends from running it again.
func (s *Service) Unanswered(ctx context.Context, ticket *route.Ticket, ran verdict.Ran) error {
	intent, ok := s.closeTicket(ticket)
	if !ok {
		return verdict.Fail(ran, verdict.ReasonInternal, errNoTicket, "ticket is not open")
	}
	if ran != verdict.HasRun {
		s.deactivate(intent.ID)
		return nil
	}
	done := s.appendLater(partitionOf(intent.Key), intent, ranRecord(intent))
	if err := await(ctx, done); err != nil {
		return verdict.Fail(ran, verdict.ReasonLogUnavailable, err, "that the call ran is not recorded yet")
	}
	return nil
}

// appendLater appends an outcome or a void of an intent and ends the intent's
// being active once the record stands in the log. The channel tells how it went.
func (s *Service) appendLater(number int, intent protocol.Record, record *oncev1.Record) <-chan error {
	done := make(chan error, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		// stop waits for background records; none may be added behind its back.
		delete(s.active, intent.ID)
		done <- errNotRunning
		return done
	}
	s.background.Go(func() {
		err := s.appendAt(number, record)
		if err != nil {
			s.cfg.Logger.Warn("record not appended; its key's outcome stays unknown until it is forgotten",
				zap.String("event", "once_not_recorded"), zap.String("request_id", intent.RequestID), zap.Error(err))
		}
		s.deactivate(intent.ID)
		done <- err
	})
	return done
}

func await(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
