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

// maxClaimAge is the maximum time between the creation of an intent and the issue of its ticket. An
// instance that was paused for longer withdraws the claim. Otherwise it could resume after the
// window, when the intent has expired at other instances.
const maxClaimAge = time.Minute

// clockMargin is the tolerated clock error of callers whose idempotency keys contain a creation
// time.
const clockMargin = 5 * time.Minute

// Begin implements route.IdempotencyGuard.
func (s *Service) Begin(ctx context.Context, call route.GuardedCall) (*route.Ticket, *route.RecordedAnswer, error) {
	started := s.cfg.Clock()
	intent := s.newIntent(call, started)
	number := partitionOf(intent.Key)
	s.activate(intent.ID)
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ClaimTimeout)
	defer cancel()

	claim := protocol.NewClaim(intent)
	claim.MarkSent()
	reply, err := s.claimAtOwners(ctx, number, claimRequest{
		intent: intentRecord(intent), rec: intent, lookupOnly: s.olderThanWindow(call, started),
	})
	s.scope.Tagged(map[string]string{"state": reply.state.String()}).Counter("claims").Inc(1)
	if reply.notAppended {
		claim.MarkNotAppended()
	}
	if err == nil && reply.state == stateWon {
		claim.SetDecision(protocol.DecisionWon)
	}
	if claim.MayDispatch() && s.cfg.Clock().Sub(started) < maxClaimAge {
		return s.openTicket(call, number, intent, reply.offset), nil, nil
	}
	if claim.Withdraw() {
		// The void frees the key; the caller does not wait for it.
		s.appendAsync(number, intent, voidRecord(intent))
	} else {
		s.deactivate(intent.ID)
	}
	answer, v := s.resolveReply(ctx, number, reply, err)
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

// olderThanWindow reports whether the idempotency key contains a creation time before the window.
// Its first use may have expired, so such a key is looked up but not claimed. A key without a
// creation time cannot be distinguished from a new one.
func (s *Service) olderThanWindow(call route.GuardedCall, now time.Time) bool {
	created, ok := uuidV7Time(call.IdempotencyKey)
	return ok && now.Sub(created) > s.cfg.Window-clockMargin
}

func (s *Service) openTicket(call route.GuardedCall, number int, intent protocol.Record, offset uint64) *route.Ticket {
	ticket := &route.Ticket{Call: call, Stream: streamName(number), Offset: offset}
	s.mu.Lock()
	s.openTickets[ticketID{ticket.Stream, ticket.Offset}] = intent
	s.mu.Unlock()
	return ticket
}

// closeTicket closes a ticket and returns its intent, and false if the ticket is not open. The
// result of a call is recorded only under an open ticket, so that a call never gets both an
// outcome and a void.
func (s *Service) closeTicket(ticket *route.Ticket) (protocol.Record, bool) {
	id := ticketID{ticket.Stream, ticket.Offset}
	s.mu.Lock()
	defer s.mu.Unlock()
	intent, ok := s.openTickets[id]
	delete(s.openTickets, id)
	return intent, ok
}

func (s *Service) activate(id protocol.IntentID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeIntents[id] = struct{}{}
}

func (s *Service) deactivate(id protocol.IntentID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.activeIntents, id)
}

func (s *Service) isActive(id protocol.IntentID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.activeIntents[id]
	return ok
}

// Finish implements route.IdempotencyGuard. If ctx ends first, recording continues in the
// background as long as the service runs.
func (s *Service) Finish(ctx context.Context, ticket *route.Ticket, answer route.RecordedAnswer) error {
	intent, ok := s.closeTicket(ticket)
	if !ok {
		return verdict.Fail(verdict.HasRun, verdict.ReasonInternal, errTicketNotOpen, "ticket is not open")
	}
	done := s.appendAsync(partitionOf(intent.Key), intent, outcomeRecord(intent, answer))
	if err := await(ctx, done); err != nil {
		return verdict.Fail(verdict.HasRun, verdict.ReasonLogUnavailable, err, "the response is not recorded yet")
	}
	return nil
}

// Abandon implements route.IdempotencyGuard. It relies on the caller's statement that the call did
// not run, which no other component can verify.
func (s *Service) Abandon(ctx context.Context, ticket *route.Ticket) error {
	intent, ok := s.closeTicket(ticket)
	if !ok {
		return verdict.Fail(verdict.MayHaveRun, verdict.ReasonInternal, errTicketNotOpen, "ticket is not open")
	}
	done := s.appendAsync(partitionOf(intent.Key), intent, voidRecord(intent))
	if err := await(ctx, done); err != nil {
		return verdict.Fail(verdict.NotRun, verdict.ReasonLogUnavailable, err, "the claim is not withdrawn yet")
	}
	return nil
}

// FinishWithoutAnswer implements route.IdempotencyGuard. For a call that may have run no record is
// written: its intent alone prevents retries from running it again.
func (s *Service) FinishWithoutAnswer(ctx context.Context, ticket *route.Ticket, ran verdict.Ran) error {
	intent, ok := s.closeTicket(ticket)
	if !ok {
		return verdict.Fail(ran, verdict.ReasonInternal, errTicketNotOpen, "ticket is not open")
	}
	if ran != verdict.HasRun {
		s.deactivate(intent.ID)
		return nil
	}
	done := s.appendAsync(partitionOf(intent.Key), intent, ranRecord(intent))
	if err := await(ctx, done); err != nil {
		return verdict.Fail(ran, verdict.ReasonLogUnavailable, err, "it is not recorded yet that the call ran")
	}
	return nil
}

// appendAsync appends an outcome or a void of an intent in the background. The intent stays active
// until the record is in the log or the service stops. The result is sent to the returned channel.
func (s *Service) appendAsync(number int, intent protocol.Record, record *oncev1.Record) <-chan error {
	done := make(chan error, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runCtx == nil {
		// stop waits for the background appends, so no new ones may be added.
		delete(s.activeIntents, intent.ID)
		done <- errNotRunning
		return done
	}
	s.backgroundAppends.Go(func() {
		err := s.appendWithRetry(number, record)
		if err != nil {
			s.cfg.Logger.Warn("record not appended; the outcome of its key stays unknown until the key expires",
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
