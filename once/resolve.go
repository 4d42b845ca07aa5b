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

var errAnswerGone = errors.New("once: recorded answer has left the log")

// resolve turns a partition's answer, other than a won claim, into a recorded
// answer or a verdict.
func (s *Service) resolve(ctx context.Context, number int, reply claimReply, err error) (*route.RecordedAnswer, error) {
	switch reply.state {
	case stateDone:
		return s.recordedAnswer(ctx, number, reply.holder)
	case stateClaimed:
		return nil, s.claimedVerdict(reply.holder)
	case stateKeyReused:
		return nil, verdict.Refuse(verdict.ReasonIdempotencyKeyReused, 0, "the idempotency key was used with another call")
	case stateCannotVouch:
		return nil, verdict.Refuse(verdict.ReasonRetentionOver, reply.retryAfter,
			"records younger than %v were lost; an unknown key may have been used", s.cfg.Window)
	case stateFull:
		return nil, verdict.Refuse(verdict.ReasonGuardFull, reply.retryAfter, "too many idempotency keys within %v", s.cfg.Window)
	case stateFree:
		return nil, verdict.Refuse(verdict.ReasonRetentionOver, 0, "the idempotency key is older than %v", s.cfg.Window)
	default:
		if errors.Is(err, context.Canceled) {
			return nil, verdict.Refuse(verdict.ReasonCancelled, 0, "the caller went away before the call was begun")
		}
		v := verdict.Refuse(verdict.ReasonLogUnavailable, max(reply.retryAfter, logRetryAfter), "the log did not decide in time; ask again with the same key")
		v.Cause = err
		return nil, v
	}
}

// claimedVerdict tells a resend whether waiting can help. Both verdicts say "may
// have run"; they differ in their retry advice only, so that a lagging list of
// members or a wrong clock makes no false statement.
func (s *Service) claimedVerdict(holder protocol.Holder) *verdict.Verdict {
	if s.inProgress(holder) {
		v := verdict.Fail(verdict.MayHaveRun, verdict.ReasonInProgress, nil, "the call with this key is still running")
		v.RetryAfter = inProgressRetryAfter
		return v
	}
	return verdict.Fail(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown, nil,
		"a call with this key was begun and its outcome is not known; it will not be run again")
}

// inProgress reports whether the call of an intent may still be running or its
// outcome be on its way to the log. Another instance's intents are judged by its
// being alive and by their age, its own by what it knows.
func (s *Service) inProgress(holder protocol.Holder) bool {
	self := s.cfg.Self
	if holder.Owner.Instance == self.Instance && holder.Owner.Incarnation == self.Incarnation {
		return s.isActive(holder.ID)
	}
	if s.cfg.Clock().Sub(time.UnixMilli(holder.ClaimedMS)) > s.cfg.MaxRun {
		return false
	}
	for _, m := range s.cfg.Members() {
		if m.Instance == holder.Owner.Instance && m.Incarnation == holder.Owner.Incarnation {
			return true
		}
	}
	return false
}

// recordedAnswer reads the answer of a call that ran.
func (s *Service) recordedAnswer(ctx context.Context, number int, holder protocol.Holder) (*route.RecordedAnswer, error) {
	if holder.AnswerDropped {
		return nil, verdict.Fail(verdict.HasRun, verdict.ReasonAnswerNotKept, nil,
			"the call ran; its answer was lost or larger than %d bytes", MaxAnswerBytes)
	}
	answer, err := s.readAnswer(ctx, number, holder)
	if errors.Is(err, errAnswerGone) {
		return nil, verdict.Fail(verdict.HasRun, verdict.ReasonAnswerNotKept, err, "the call ran; its answer is no longer kept")
	}
	if err != nil {
		v := verdict.Fail(verdict.HasRun, verdict.ReasonLogUnavailable, err, "the call ran; its answer cannot be read now")
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
		return nil, errAnswerGone
	}
	m, rec, err := decodeRecord(record.Data)
	if err != nil {
		return nil, err
	}
	if rec.Kind != protocol.KindOutcome || rec.ID != holder.ID {
		return nil, errAnswerGone
	}
	return answerOf(m.GetOutcome()), nil
}

func recordAt(page port.Page, offset uint64) (port.Record, bool) {
	for _, r := range page.Records {
		if r.Offset == offset {
			return r, true
		}
	}
	return port.Record{}, false
}
