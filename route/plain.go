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
	// plainCallTimeout bounds one call. It is longer than any caller waits, so
	// that a guarded call whose caller left still gets its outcome recorded.
	plainCallTimeout = 30 * time.Second
	// maxPlainAnswer bounds a plain service's answer in bytes. Answers are read
	// whole before the caller sees a byte, so that a broken one can still become
	// a true error or a retry.
	maxPlainAnswer = 8 << 20
	// finishTimeout bounds the recording of an outcome. A caller's answer does
	// not wait longer than this for the log.
	finishTimeout = 2 * time.Second
)

// PlainCall is one call of a plain service.
type PlainCall struct {
	Request    *request.Request
	Call       port.ServiceRequest
	Idempotent bool
}

// PlainAnswer is a plain service's whole answer.
type PlainAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed tells that the answer was recorded by an earlier run of the call.
	Replayed bool
}

// PlainRunner runs calls of plain services, at most once where they may not be
// repeated.
type PlainRunner struct {
	Placer   Placer
	Guard    Guard
	Services port.ServiceDialer
	// Address returns the IP:port of an upstream by its object's name.
	Address func(upstream string) (string, bool)
	Retrier Retrier
	Log     *zap.Logger
	Metrics *observe.Metrics
}

// Run answers the call or returns a verdict.
func (p *PlainRunner) Run(ctx context.Context, call PlainCall) (PlainAnswer, error) {
	if call.Idempotent {
		return p.attempts(ctx, call, mayRepeat)
	}
	if call.Call.IdempotencyKey == "" {
		return p.attempts(ctx, call, onlyIfNotRun)
	}
	return p.runGuarded(ctx, call)
}

// runGuarded claims the call in the log before it is dispatched. From the claim
// on, the caller's departure does not stop it: an outcome that nobody recorded
// would leave every resend with "may have run".
func (p *PlainRunner) runGuarded(ctx context.Context, call PlainCall) (PlainAnswer, error) {
	ticket, recorded, err := p.Guard.Begin(ctx, guardedCall(call))
	if err != nil {
		return PlainAnswer{}, err
	}
	if recorded != nil {
		return PlainAnswer{Status: recorded.Status, ContentType: recorded.ContentType, Body: recorded.Body, Replayed: true}, nil
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), plainCallTimeout)
	defer stop()
	answer, err := p.attempts(ctx, call, onlyIfNotRun)
	p.settle(ctx, ticket, answer, err)
	return answer, err
}

// settle records what became of a guarded call.
func (p *PlainRunner) settle(ctx context.Context, ticket *Ticket, answer PlainAnswer, err error) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer stop()
	var recordErr error
	switch {
	case err == nil:
		recordErr = p.Guard.Finish(ctx, ticket, RecordedAnswer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
	case verdict.From(err).Ran == verdict.NotRun:
		recordErr = p.Guard.Abandon(ctx, ticket)
	default:
		recordErr = p.Guard.Unanswered(ctx, ticket, verdict.From(err).Ran)
	}
	if recordErr != nil {
		p.Log.Warn("outcome not recorded", zap.String("request", ticket.Call.RequestID), zap.Error(recordErr))
	}
}

func guardedCall(call PlainCall) GuardedCall {
	return GuardedCall{
		Organisation:   call.Request.Organisation,
		Service:        call.Request.Service,
		IdempotencyKey: call.Call.IdempotencyKey,
		BodyHash:       hashCall(call.Call),
		RequestID:      call.Request.ID,
	}
}

// hashCall covers everything that makes one call another, each part with its
// length, so that no two calls share a hash by sliding bytes between parts.
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

// repeatRule says whether a failed attempt may be followed by another.
type repeatRule func(*verdict.Verdict) bool

func mayRepeat(*verdict.Verdict) bool { return true }

func onlyIfNotRun(v *verdict.Verdict) bool { return v.Ran == verdict.NotRun }

func (p *PlainRunner) attempts(ctx context.Context, call PlainCall, repeat repeatRule) (PlainAnswer, error) {
	ran := verdict.NotRun
	var avoid []string
	for attempt := uint32(1); ; attempt++ {
		answer, failed, err := p.attempt(ctx, call, attempt, avoid)
		if err == nil {
			p.Retrier.Succeeded(call.Request.Service)
			return answer, nil
		}
		if failed != "" {
			avoid = append(avoid, failed)
		}
		v := *verdict.From(err)
		again := ctx.Err() == nil && repeat(&v) && p.backoff(ctx, call.Request, int(attempt), &v)
		ran = max(ran, v.Ran)
		if !again {
			v.Ran = ran
			return PlainAnswer{}, &v
		}
	}
}

func (p *PlainRunner) backoff(ctx context.Context, req *request.Request, attempt int, v *verdict.Verdict) bool {
	wait, _, ok := p.Retrier.Next(req.Service, attempt, v, time.Now(), req.Deadline)
	if !ok {
		return false
	}
	p.Metrics.Retried(req.Service, v.Reason)
	p.Log.Info("retry", zap.String("request", req.ID), zap.Int("attempt", attempt),
		zap.String("reason", string(v.Reason)), zap.String("detail", v.Detail))
	return sleepUntil(ctx, time.Now().Add(wait)) == nil
}

// attempt makes one call; on failure it names the upstream that failed, if any.
func (p *PlainRunner) attempt(ctx context.Context, call PlainCall, attempt uint32, avoid []string) (PlainAnswer, string, error) {
	grant, err := p.Placer.Reserve(ctx, call.Request, attempt, avoid)
	if err != nil {
		return PlainAnswer{}, "", err
	}
	outcome := Outcome{Kind: OutcomeDone}
	defer func() { p.Placer.Release(grant, outcome) }()
	address, ok := p.Address(grant.Decode)
	if !ok {
		outcome.Kind = OutcomeCancelled
		return PlainAnswer{}, "", verdict.Refuse(verdict.ReasonNoUpstream, time.Second, "the granted upstream left the configuration")
	}
	started := time.Now()
	answer, err := readWhole(p.Services(address).Call(ctx, call.Call))
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

// readWhole reads an answer to its end. A body cut short after the call ran is
// "may have run": the service did act, but its answer is lost.
func readWhole(resp *port.ServiceResponse, err error) (PlainAnswer, error) {
	if err != nil {
		return PlainAnswer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainAnswer+1))
	if err != nil {
		return PlainAnswer{}, verdict.Fail(verdict.MayHaveRun, verdict.ReasonTruncated, err, "the answer broke off")
	}
	if len(body) > maxPlainAnswer {
		return PlainAnswer{}, verdict.Fail(verdict.HasRun, verdict.ReasonTruncated, nil, "the answer is longer than %d bytes", maxPlainAnswer)
	}
	return PlainAnswer{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
