package route

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

// Timeouts of the steps of an attempt.
const (
	// prefillTimeout is the timeout of a prefill. The longest accepted prompts take several
	// seconds; if a prefill takes longer than this, the engine is frozen.
	prefillTimeout = 30 * time.Second
	// importTimeout is the timeout of a KV transfer. A prefill result expires in less than a
	// second, so a transfer that takes longer has failed.
	importTimeout = 2 * time.Second
	// stallTimeout is the maximum time between two tokens. It is about sixty times the target of
	// 53 ms, so that a full batch or a garbage collection pause does not end a stream, but short
	// enough to abandon a frozen engine while the caller is still waiting.
	stallTimeout = 3 * time.Second
)

// Sink receives a model's answer. Its methods are called from one goroutine.
type Sink interface {
	// Token forwards one token. An error means that the caller has disconnected.
	Token(text string) error
}

// Answer is the result of a model request.
type Answer struct {
	FinishReason string
	PromptTokens int
	CachedTokens int
	OutputTokens int
	Attempts     int
}

// ModelRunner runs model requests. Each attempt consists of a reservation, prefill, KV transfer and
// decode; failed attempts are retried if the Retrier allows it.
type ModelRunner struct {
	Self      func() request.Holder
	Scheduler Scheduler
	Engines   port.EngineDialer
	// Address returns the IP:port of an upstream by its object's name.
	Address func(upstream string) (string, bool)
	Retrier Retrier
	Log     *zap.Logger
	Metrics *observe.Metrics
}

// modelRun is the state of a request across its attempts.
type modelRun struct {
	*ModelRunner
	req    *request.Request
	sink   Sink
	answer Answer
	// generated contains the tokens forwarded so far. A later attempt continues after them.
	generated []string
	// maxRan is the maximum Ran value of all attempts so far. A later attempt's refusal with "not
	// run" must not hide that an earlier attempt may have run.
	maxRan verdict.Ran
	avoid  []string
	log    *zap.Logger
}

// Run executes the request and writes the answer to sink. It returns a verdict if the answer is not
// complete. Tokens may have been forwarded by then, so the caller must be told that the answer is
// incomplete.
func (m *ModelRunner) Run(ctx context.Context, req *request.Request, sink Sink) (Answer, error) {
	run := &modelRun{ModelRunner: m, req: req, sink: sink, log: m.Log.With(zap.String("request", req.ID))}
	for attempt := uint32(1); ; attempt++ {
		run.answer.Attempts = int(attempt)
		err := run.runAttempt(ctx, attempt)
		if err == nil {
			m.Retrier.Succeeded(req.Service)
			return run.answer, nil
		}
		if !run.waitForRetry(ctx, int(attempt), err) {
			return run.answer, run.finalError(ctx, err)
		}
	}
}

// waitForRetry decides whether to retry and, if so, waits for the backoff.
func (r *modelRun) waitForRetry(ctx context.Context, attempt int, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	v := verdict.From(err)
	if v.Reason == verdict.ReasonCancelled {
		return false
	}
	wait, reason, ok := r.Retrier.Next(r.req.Service, attempt, v, time.Now(), r.retryDeadline())
	if !ok {
		r.log.Info("no retry", zap.Int("attempt", attempt), zap.String("reason", string(v.Reason)),
			zap.String("because", string(reason)))
		return false
	}
	r.Metrics.CountRetry(r.req.Service, v.Reason)
	r.log.Info("retry", zap.Int("attempt", attempt), zap.String("reason", string(v.Reason)),
		zap.String("detail", v.Detail), zap.Duration("backoff", wait))
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// retryDeadline returns the latest start time of an attempt. Once tokens have been forwarded, the
// first-token deadline has been met, and the stream may be resumed for as long as it would have
// been allowed to stall.
func (r *modelRun) retryDeadline() time.Time {
	if r.answer.OutputTokens > 0 {
		return time.Now().Add(stallTimeout)
	}
	return r.req.Deadline
}

// finalError returns the verdict of the request, taking all attempts into account.
func (r *modelRun) finalError(ctx context.Context, err error) error {
	v := *verdict.From(err)
	if ctx.Err() != nil {
		v.Reason = verdict.ReasonCancelled
	}
	v.Ran = max(v.Ran, r.maxRan)
	if r.answer.OutputTokens > 0 {
		v.Ran = verdict.HasRun
	}
	return &v
}

// remainingRequest returns the request for the next attempt: the tokens generated so far are
// prefilled with the prompt and not decoded again.
func (r *modelRun) remainingRequest() *request.Request {
	req := *r.req
	req.PromptTokens += len(r.generated)
	req.MaxTokens = max(req.MaxTokens-len(r.generated), 1)
	if len(r.generated) > 0 {
		req.Deadline = r.retryDeadline()
	}
	return &req
}

// runAttempt runs the request once with a new grant.
func (r *modelRun) runAttempt(ctx context.Context, attempt uint32) error {
	grant, err := r.Scheduler.Reserve(ctx, r.remainingRequest(), attempt, r.avoid)
	if err != nil {
		return err
	}
	a := &modelAttempt{
		modelRun: r,
		grant:    grant,
		stream:   port.StreamID{RequestID: r.req.ID, Attempt: attempt, Owner: r.Self()},
		started:  time.Now(),
	}
	err = a.run(ctx)
	a.outcome.Fingerprint = r.req.Fingerprint
	r.Scheduler.Release(grant, a.outcome)
	if a.outcome.FailedUpstream != "" {
		r.avoid = append(r.avoid, a.outcome.FailedUpstream)
	}
	if err != nil {
		r.maxRan = max(r.maxRan, verdict.From(err).Ran)
	}
	return err
}
