package once

import (
	"context"
	"errors"
	"time"

	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

var errAnswerNotRetained = errors.New("once: recorded response is no longer in the log")

// resolveReply converts the reply to a claim that did not win to a recorded response or a verdict.
func (s *Service) resolveReply(ctx context.Context, number int, reply claimReply, err error) (*route.RecordedAnswer, error) {
	switch reply.state {
	case stateDone:
		return s.recordedAnswer(ctx, number, reply.holder)
	case stateClaimed:
		return nil, s.claimedVerdict(reply.holder)
	case stateKeyReused:
		return nil, verdict.Refuse(verdict.ReasonIdempotencyKeyReused, 0, "the idempotency key was used with a different call")
	case stateIncomplete:
		return nil, verdict.Refuse(verdict.ReasonRetentionOver, reply.retryAfter,
			"records younger than %v were lost, so it is unknown whether the idempotency key was used", s.cfg.Window)
	case stateFull:
		return nil, verdict.Refuse(verdict.ReasonGuardFull, reply.retryAfter, "the maximum number of idempotency keys within %v is reached", s.cfg.Window)
	case stateFree:
		return nil, verdict.Refuse(verdict.ReasonRetentionOver, 0, "the idempotency key is older than %v", s.cfg.Window)
	default:
		if errors.Is(err, context.Canceled) {
			return nil, verdict.Refuse(verdict.ReasonCancelled, 0, "the caller disconnected before the call was started")
		}
		v := verdict.Refuse(verdict.ReasonLogUnavailable, max(reply.retryAfter, logRetryAfter), "the log did not respond in time; retry with the same idempotency key")
		v.Cause = err
		return nil, v
	}
}

// claimedVerdict returns the verdict for a call whose key is claimed. Both possible verdicts state
// "may have run" and differ only in the retry advice, so that an outdated member list or a wrong
// clock cannot cause a false statement.
func (s *Service) claimedVerdict(holder protocol.Holder) *verdict.Verdict {
	if s.inProgress(holder) {
		v := verdict.Fail(verdict.MayHaveRun, verdict.ReasonInProgress, nil, "the call with this idempotency key is still running")
		v.RetryAfter = inProgressRetryAfter
		return v
	}
	return verdict.Fail(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown, nil,
		"a call with this idempotency key was started and its outcome is unknown; it will not be run again")
}

// inProgress reports whether the call of an intent may still be running or its outcome may not be
// in the log yet. For intents of this run the state is known. For those of other instances it
// depends on the age of the intent and on whether the instance is alive.
func (s *Service) inProgress(holder protocol.Holder) bool {
	self := s.cfg.Self
	if holder.Owner.Instance == self.Instance && holder.Owner.Incarnation == self.Incarnation {
		return s.isActive(holder.ID)
	}
	if s.cfg.Clock().Sub(time.UnixMilli(holder.ClaimedMS)) > s.cfg.MaxCallDuration {
		return false
	}
	for _, m := range s.cfg.Members() {
		if m.Instance == holder.Owner.Instance && m.Incarnation == holder.Owner.Incarnation {
			return true
		}
	}
	return false
}

// recordedAnswer returns the recorded response of a call that ran, or a verdict if it is not
// available.
func (s *Service) recordedAnswer(ctx context.Context, number int, holder protocol.Holder) (*route.RecordedAnswer, error) {
	if holder.AnswerDropped {
		return nil, verdict.Fail(verdict.HasRun, verdict.ReasonAnswerNotKept, nil,
			"the call ran; its response was lost or larger than %d bytes", MaxAnswerBytes)
	}
	answer, err := s.readAnswer(ctx, number, holder)
	if errors.Is(err, errAnswerNotRetained) {
		return nil, verdict.Fail(verdict.HasRun, verdict.ReasonAnswerNotKept, err, "the call ran; its response is no longer stored")
	}
	if err != nil {
		v := verdict.Fail(verdict.HasRun, verdict.ReasonLogUnavailable, err, "the call ran; its response cannot be read at the moment")
		v.RetryAfter = logRetryAfter
		return nil, v
	}
	return answer, nil
}

func (s *Service) readAnswer(ctx context.Context, number int, holder protocol.Holder) (*route.RecordedAnswer, error) {
	page, err := s.cfg.Log.Read(ctx, streamName(number), holder.Outcome, 1, 0)
	if err != nil {
		return nil, err
	}
	record, found := recordAt(page, holder.Outcome)
	if !found {
		return nil, errAnswerNotRetained
	}
	m, rec, err := decodeRecord(record.Data)
	if err != nil {
		return nil, err
	}
	if rec.Kind != protocol.KindOutcome || rec.ID != holder.ID {
		return nil, errAnswerNotRetained
	}
	return recordedAnswerOf(m.GetOutcome()), nil
}

func recordAt(page port.Page, offset uint64) (port.Record, bool) {
	for _, r := range page.Records {
		if r.Offset == offset {
			return r, true
		}
	}
	return port.Record{}, false
}
