package route

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

const (
	// plainCallTimeout is the timeout of an at-most-once call, including its retries. It is longer
	// than any caller waits, so that the outcome is recorded even if the caller has disconnected.
	plainCallTimeout = 30 * time.Second
	// maxPlainAnswerBytes is the maximum size of a plain service's answer. Answers are read
	// completely before they are sent to the caller, so that a truncated answer can still be turned
	// into an error or a retry.
	maxPlainAnswerBytes = 8 << 20
	// recordTimeout is the timeout for recording an outcome. It limits how long the answer to the
	// caller is delayed by the log.
	recordTimeout = 2 * time.Second
)

// PlainCall is a call of a plain service.
type PlainCall struct {
	Request    *request.Request
	Call       port.ServiceRequest
	Idempotent bool
}

// PlainAnswer is the complete answer of a plain service.
type PlainAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// EndStated is set if the service stated where the body ends.
	EndStated bool
	// Replayed is set if the answer was recorded by an earlier execution of the call.
	Replayed bool
}

// PlainRunner runs calls of plain services. Calls that are not idempotent run at most once.
type PlainRunner struct {
	Scheduler Scheduler
	Guard     IdempotencyGuard
	Services  port.ServiceDialer
	// Address returns the IP:port of an upstream by its object's name.
	Address func(upstream string) (string, bool)
	Retrier Retrier
	Log     *zap.Logger
	Metrics *observe.Metrics
}

// Run executes the call. It returns the answer or a verdict.
func (p *PlainRunner) Run(ctx context.Context, call PlainCall) (PlainAnswer, error) {
	if call.Idempotent {
		return p.runWithRetries(ctx, call, retryAlways)
	}
	if call.Call.IdempotencyKey == "" {
		return p.runWithRetries(ctx, call, retryIfNotRun)
	}
	return p.runAtMostOnce(ctx, call)
}

// runAtMostOnce claims the call in the log before it dispatches it. From then on the call continues
// even if the caller disconnects: without a recorded outcome, every resend would be answered with
// "may have run".
func (p *PlainRunner) runAtMostOnce(ctx context.Context, call PlainCall) (PlainAnswer, error) {
	ticket, recorded, err := p.Guard.Begin(ctx, newGuardedCall(call))
	if err != nil {
		return PlainAnswer{}, err
	}
	if recorded != nil {
		return PlainAnswer{Status: recorded.Status, ContentType: recorded.ContentType, Body: recorded.Body, EndStated: true, Replayed: true}, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), plainCallTimeout)
	defer cancel()
	answer, err := p.runWithRetries(ctx, call, retryIfNotRun)
	p.recordOutcome(ctx, ticket, answer, err)
	return answer, err
}

// recordOutcome records the outcome of a guarded call.
func (p *PlainRunner) recordOutcome(ctx context.Context, ticket *Ticket, answer PlainAnswer, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	var recordErr error
	switch {
	case err == nil:
		recordErr = p.Guard.Finish(ctx, ticket, RecordedAnswer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
	case verdict.From(err).Ran == verdict.NotRun:
		recordErr = p.Guard.Abandon(ctx, ticket)
	default:
		recordErr = p.Guard.FinishWithoutAnswer(ctx, ticket, verdict.From(err).Ran)
	}
	if recordErr != nil {
		p.Log.Warn("cannot record outcome", zap.String("request", ticket.Call.RequestID), zap.Error(recordErr))
	}
}

func newGuardedCall(call PlainCall) GuardedCall {
	return GuardedCall{
		Organisation:   call.Request.Organisation,
		Service:        call.Request.Service,
		IdempotencyKey: call.Call.IdempotencyKey,
		BodyHash:       hashCall(call.Call),
		RequestID:      call.Request.ID,
	}
}

// hashCall returns a hash of all parts that distinguish calls. Each part is preceded by its length,
// so that moving bytes from one part to another changes the hash.
func hashCall(call port.ServiceRequest) [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(call.Method), []byte(call.Path), []byte(call.RawQuery), []byte(call.ContentType), call.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return [32]byte(h.Sum(nil))
}

// retryRule reports whether a failed attempt may be retried.
type retryRule func(*verdict.Verdict) bool

func retryAlways(*verdict.Verdict) bool { return true }

func retryIfNotRun(v *verdict.Verdict) bool { return v.Ran == verdict.NotRun }

func (p *PlainRunner) runWithRetries(ctx context.Context, call PlainCall, mayRetry retryRule) (PlainAnswer, error) {
	ran := verdict.NotRun
	var avoid []string
	for attempt := uint32(1); ; attempt++ {
		answer, failedUpstream, err := p.runAttempt(ctx, call, attempt, avoid)
		if err == nil {
			p.Retrier.Succeeded(call.Request.Service)
			return answer, nil
		}
		if failedUpstream != "" {
			avoid = append(avoid, failedUpstream)
		}
		v := *verdict.From(err)
		retry := ctx.Err() == nil && mayRetry(&v) && p.waitForRetry(ctx, call.Request, int(attempt), &v)
		ran = max(ran, v.Ran)
		if !retry {
			v.Ran = ran
			return PlainAnswer{}, &v
		}
	}
}

func (p *PlainRunner) waitForRetry(ctx context.Context, req *request.Request, attempt int, v *verdict.Verdict) bool {
	wait, _, ok := p.Retrier.Next(req.Service, attempt, v, time.Now(), req.Deadline)
	if !ok {
		return false
	}
	p.Metrics.CountRetry(req.Service, v.Reason)
	p.Log.Info("retry", zap.String("request", req.ID), zap.Int("attempt", attempt),
		zap.String("reason", string(v.Reason)), zap.String("detail", v.Detail))
	return sleepUntil(ctx, time.Now().Add(wait)) == nil
}

// runAttempt makes a single attempt. On failure, it also returns the name of the upstream that
// failed, if any.
func (p *PlainRunner) runAttempt(ctx context.Context, call PlainCall, attempt uint32, avoid []string) (PlainAnswer, string, error) {
	grant, err := p.Scheduler.Reserve(ctx, call.Request, attempt, avoid)
	if err != nil {
		return PlainAnswer{}, "", err
	}
	outcome := Outcome{Kind: OutcomeDone}
	defer func() { p.Scheduler.Release(grant, outcome) }()
	address, ok := p.Address(grant.Decode)
	if !ok {
		outcome.Kind = OutcomeCancelled
		return PlainAnswer{}, "", verdict.Refuse(verdict.ReasonNoUpstream, time.Second, "the granted upstream is no longer in the configuration")
	}
	started := time.Now()
	answer, err := readAnswer(p.Services(address).Call(ctx, call.Call))
	outcome.FirstToken = time.Since(started)
	if err == nil {
		return answer, "", nil
	}
	if ctx.Err() != nil {
		outcome.Kind = OutcomeCancelled
		return PlainAnswer{}, "", err
	}
	outcome.Kind, outcome.FailedUpstream = OutcomeDecodeFailed, grant.Decode
	return PlainAnswer{}, grant.Decode, err
}

// readAnswer reads an answer completely. The verdict of a truncated body is "may have run", since
// the service has processed the call but its answer is lost.
func readAnswer(resp *port.ServiceResponse, err error) (PlainAnswer, error) {
	if err != nil {
		return PlainAnswer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainAnswerBytes+1))
	if err != nil {
		return PlainAnswer{}, verdict.Fail(verdict.MayHaveRun, verdict.ReasonTruncated, err, "the answer was truncated")
	}
	if len(body) > maxPlainAnswerBytes {
		return PlainAnswer{}, verdict.Fail(verdict.HasRun, verdict.ReasonTruncated, nil, "the answer exceeds %d bytes", maxPlainAnswerBytes)
	}
	return PlainAnswer{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: body, EndStated: resp.EndStated}, nil
}
