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

// Bounds of the steps of one attempt.
const (
	// prefillTimeout bounds a prefill. The longest accepted prompts take several
	// seconds; a prefill that takes longer than this sits on a frozen engine.
	prefillTimeout = 30 * time.Second
	// importTimeout bounds a KV transfer. A result lives under a second, so a
	// transfer that takes longer has failed.
	importTimeout = 2 * time.Second
	// stallTimeout is the longest silence between two tokens. It is about sixty
	// times the target of 53 ms, so that a full batch or a collection pause does
	// not end streams, and short enough that a frozen engine is left while the
	// caller still waits.
	stallTimeout = 3 * time.Second
)

// Sink receives a model's answer. Its methods are called from one goroutine.
type Sink interface {
	// Token forwards one token. An error means that the caller is gone.
	Token(text string) error
}

// Answer is what a finished model request produced.
type Answer struct {
	FinishReason string
	PromptTokens int
	CachedTokens int
	OutputTokens int
	Attempts     int
}

// ModelRunner runs model requests: a grant, prefill, KV transfer, decode, and
// further attempts where that is allowed.
type ModelRunner struct {
	Self    func() request.Holder
	Placer  Placer
	Engines port.EngineDialer
	// Address returns the IP:port of an upstream by its object's name.
	Address func(upstream string) (string, bool)
	Retrier Retrier
	Log     *zap.Logger
	Metrics *observe.Metrics
}

// modelRun is the progress of one request over its attempts.
type modelRun struct {
	*ModelRunner
	req    *request.Request
	sink   Sink
	answer Answer
	// generated are the tokens forwarded so far; a later attempt goes on after them.
	generated []string
	// ran is the strongest claim any attempt so far has made necessary. A later
	// attempt's "not run" refusal must not hide that an earlier one ran.
	ran   verdict.Ran
	avoid []string
	log   *zap.Logger
}

// Run answers the request into sink. It returns a verdict when there is no whole
// answer; tokens may have been forwarded by then, and the caller must be told
// that the answer is not whole.
func (m *ModelRunner) Run(ctx context.Context, req *request.Request, sink Sink) (Answer, error) {
	run := &modelRun{ModelRunner: m, req: req, sink: sink, log: m.Log.With(zap.String("request", req.ID))}
	for attempt := uint32(1); ; attempt++ {
		run.answer.Attempts = int(attempt)
		err := run.attempt(ctx, attempt)
		if err == nil {
			m.Retrier.Succeeded(req.Service)
			return run.answer, nil
		}
		if !run.again(ctx, int(attempt), err) {
			return run.answer, run.final(ctx, err)
		}
	}
}

// again decides whether to try once more and waits out the backoff.
func (r *modelRun) again(ctx context.Context, attempt int, err error) bool {
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
	r.Metrics.Retried(r.req.Service, v.Reason)
	r.log.Info("retry", zap.Int("attempt", attempt), zap.String("reason", string(v.Reason)),
		zap.String("detail", v.Detail), zap.Duration("backoff", wait))
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// retryDeadline is how late an attempt may start. Once tokens have been
// forwarded the first-token deadline is met, and resuming serves the caller as
// long as the stream itself would have been allowed to stall.
func (r *modelRun) retryDeadline() time.Time {
	if r.answer.OutputTokens > 0 {
		return time.Now().Add(stallTimeout)
	}
	return r.req.Deadline
}

// final is the verdict of the whole request, which covers every attempt.
func (r *modelRun) final(ctx context.Context, err error) error {
	v := *verdict.From(err)
	if ctx.Err() != nil {
		v.Reason = verdict.ReasonCancelled
	}
	v.Ran = max(v.Ran, r.ran)
	if r.answer.OutputTokens > 0 {
		v.Ran = verdict.HasRun
	}
	return &v
}

// remaining is the request as a further attempt asks for it: what has been
// generated is prefilled with the prompt and need not be decoded again.
func (r *modelRun) remaining() *request.Request {
	req := *r.req
	req.PromptTokens += len(r.generated)
	req.MaxTokens = max(req.MaxTokens-len(r.generated), 1)
	if len(r.generated) > 0 {
		req.Deadline = r.retryDeadline()
	}
	return &req
}

// attempt runs the request once on a fresh grant.
func (r *modelRun) attempt(ctx context.Context, attempt uint32) error {
	grant, err := r.Placer.Reserve(ctx, r.remaining(), attempt, r.avoid)
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
	r.Placer.Release(grant, a.outcome)
	if a.outcome.FailedUpstream != "" {
		r.avoid = append(r.avoid, a.outcome.FailedUpstream)
	}
	if err != nil {
		r.ran = max(r.ran, verdict.From(err).Ran)
	}
	return err
}
