package route

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/group"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

// modelAttempt is one pass over prefill, transfer and decode under one grant.
type modelAttempt struct {
	*modelRun
	grant   *Grant
	stream  port.StreamID
	started time.Time
	outcome Outcome
}

// run passes through the steps and leaves nothing behind at the engines.
func (a *modelAttempt) run(ctx context.Context) error {
	ctx, stop := a.endWithGrant(ctx)
	defer stop()
	prefillAddress, ok1 := a.Address(a.grant.Prefill)
	decodeAddress, ok2 := a.Address(a.grant.Decode)
	if !ok1 || !ok2 {
		a.outcome.Kind = OutcomeCancelled
		return verdict.Refuse(verdict.ReasonNoUpstream, time.Second, "the granted upstream left the configuration")
	}
	prefill, decode := a.Engines(prefillAddress), a.Engines(decodeAddress)

	result, err := a.prefill(ctx, prefill)
	if err != nil {
		go cancelStream(prefill, a.stream, a.log)
		return a.ended(ctx, err)
	}
	if err := a.transfer(ctx, decode, prefillAddress, result); err != nil {
		go cancelStream(prefill, a.stream, a.log)
		go cancelStream(decode, a.stream, a.log)
		return a.ended(ctx, err)
	}
	if err := a.decode(ctx, decode); err != nil {
		go cancelStream(decode, a.stream, a.log)
		return a.ended(ctx, err)
	}
	a.outcome.Kind = OutcomeDone
	return nil
}

// endWithGrant ends the attempt when the scheduler takes its grant back. Going
// on would hold a slot that the scheduler has already given to somebody else.
func (a *modelAttempt) endWithGrant(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-a.grant.Lost:
			cancel(verdict.Fail(verdict.MayHaveRun, verdict.ReasonGrantLost, nil, "the scheduler took the grant back"))
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// ended gives the verdict of a failed step: a lost grant explains the failure
// better than the broken connection that it caused.
func (a *modelAttempt) ended(ctx context.Context, err error) error {
	var lost *verdict.Verdict
	if errors.As(context.Cause(ctx), &lost) {
		a.outcome.Kind = OutcomeCancelled
		return lost
	}
	if ctx.Err() != nil {
		a.outcome.Kind = OutcomeCancelled
		a.outcome.FailedUpstream = ""
	}
	return err
}

func (a *modelAttempt) prefill(ctx context.Context, engine port.Engine) (port.PrefillResult, error) {
	ctx, stop := context.WithTimeout(ctx, prefillTimeout)
	defer stop()
	result, err := engine.Prefill(ctx, port.PrefillRequest{
		Stream: a.stream, Model: a.req.Model, Prompt: a.req.Prompt,
		Generated: a.generated, Priority: int(a.req.Class),
	})
	a.outcome.Prefill = time.Since(a.started)
	if err != nil {
		a.fail(OutcomePrefillFailed, a.grant.Prefill, err)
		return result, err
	}
	a.Placer.PrefillDone(a.grant)
	if len(a.generated) == 0 {
		a.answer.PromptTokens, a.answer.CachedTokens = result.Tokens, result.CachedTokens
	}
	return result, nil
}

func (a *modelAttempt) transfer(ctx context.Context, engine port.Engine, source string, result port.PrefillResult) error {
	if err := sleepUntil(ctx, transferStart(time.Now(), a.grant.TransferAfter, result.Expires)); err != nil {
		return verdict.Fail(verdict.MayHaveRun, verdict.ReasonCancelled, err, "cancelled before the transfer")
	}
	ctx, stop := context.WithTimeout(ctx, importTimeout)
	defer stop()
	err := engine.Import(ctx, port.ImportRequest{
		Stream: a.stream, Model: a.req.Model, Source: source, Handle: result.Handle, MaxTokens: a.req.MaxTokens,
	})
	if err != nil {
		a.fail(OutcomeTransferFailed, a.grant.Decode, err)
		// The prefill has run, whatever the decode engine says of the import.
		return atLeastMayHaveRun(err)
	}
	return nil
}

// transferStart is when a transfer begins: when the link is planned to be free,
// but with half of the KV cache's life left for the transfer itself. Plans rest on
// estimates; waiting for one past the cache's life wastes the whole prefill, while
// a transfer that starts early only shares the link.
func transferStart(now, planned time.Time, life time.Duration) time.Time {
	if latest := now.Add(life / 2); planned.After(latest) {
		return latest
	}
	return planned
}

// decode forwards the answer. A broken stream is resumed once on the same engine,
// which still holds its memory, before the attempt is given up. An engine that
// fell silent is not asked again: it would be silent for as long a second time.
func (a *modelAttempt) decode(ctx context.Context, engine port.Engine) error {
	before := a.answer.OutputTokens
	err := a.forward(ctx, engine)
	if err != nil && ctx.Err() == nil && !errors.Is(err, errStalled) && a.answer.OutputTokens > before {
		a.log.Info("resume", zap.Uint32("attempt", a.stream.Attempt), zap.Int("from", a.answer.OutputTokens), zap.Error(err))
		a.Metrics.Retried(a.req.Service, verdict.From(err).Reason)
		err = resumeFailed(err, a.forward(ctx, engine))
	}
	a.outcome.Decode = time.Since(a.started) - a.outcome.FirstToken
	a.outcome.OutputTokens = a.answer.OutputTokens
	if err != nil {
		a.fail(OutcomeDecodeFailed, a.grant.Decode, err)
		return atLeastMayHaveRun(err)
	}
	return nil
}

// resumeFailed names the failure of a resumed stream. An engine that crashed and
// started again refuses the resume, since it knows nothing of the stream; that
// refusal would hide the crash from those who count crashes.
func resumeFailed(broke, resumed error) error {
	if resumed != nil && verdict.From(resumed).Reason == verdict.ReasonUpstreamRefused {
		return broke
	}
	return resumed
}

// errStalled ends a stream that has been silent for too long.
var errStalled = verdict.Fail(verdict.MayHaveRun, verdict.ReasonTimeout, nil, "no token for %v", stallTimeout)

// forward reads one decode stream from the first token the caller lacks.
func (a *modelAttempt) forward(ctx context.Context, engine port.Engine) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A frozen engine keeps its connection open and sends nothing; without the
	// timer the caller would wait for ever and the slot would stay taken.
	stalled := time.AfterFunc(stallTimeout, func() { cancel(errStalled) })
	defer stalled.Stop()
	err := a.read(ctx, engine, stalled)
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		// The adapter saw a cancelled context, which would read as a caller that left.
		return errStalled
	}
	return err
}

// read forwards the frames of one connection; every frame winds the timer up.
func (a *modelAttempt) read(ctx context.Context, engine port.Engine, stalled *time.Timer) error {
	frames, err := engine.Decode(ctx, port.DecodeRequest{
		Stream: a.stream, Model: a.req.Model, MaxTokens: a.req.MaxTokens,
		ResumeFrom: a.answer.OutputTokens, Priority: int(a.req.Class),
	})
	if err != nil {
		return err
	}
	defer frames.Close()
	filter := frameFilter{stream: a.stream, next: a.answer.OutputTokens, dropped: a.dropped}
	for {
		frame, err := frames.Next()
		if err != nil {
			return streamEnded(err)
		}
		ok, err := filter.accept(frame)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		stalled.Reset(stallTimeout)
		if frame.Done {
			a.answer.FinishReason = frame.FinishReason
			return nil
		}
		if err := a.token(frame.Token); err != nil {
			return err
		}
	}
}

func (a *modelAttempt) token(text string) error {
	if a.outcome.FirstToken == 0 {
		a.outcome.FirstToken = time.Since(a.started)
	}
	if err := a.sink.Token(text); err != nil {
		return verdict.Fail(verdict.HasRun, verdict.ReasonCancelled, err, "the caller is gone")
	}
	a.answer.OutputTokens++
	a.generated = append(a.generated, text)
	return nil
}

func (a *modelAttempt) dropped(cause string) {
	a.Metrics.Scope.Tagged(map[string]string{"cause": cause}).Counter("frames_dropped").Inc(1)
	a.log.Warn("frame dropped", zap.String("cause", cause), zap.String("upstream", a.grant.Decode))
}

// fail notes which upstream failed and how, for the scheduler.
func (a *modelAttempt) fail(kind group.OutcomeKind, upstream string, err error) {
	v := verdict.From(err)
	if v.Reason == verdict.ReasonCancelled {
		a.outcome.Kind = OutcomeCancelled
		return
	}
	a.outcome.Kind = kind
	a.outcome.FailedUpstream = upstream
	if v.Reason == verdict.ReasonUpstreamCrashed {
		a.outcome.Kind = OutcomeUpstreamCrashed
	}
	a.log.Info("attempt failed", zap.Uint32("attempt", a.stream.Attempt), zap.String("upstream", upstream),
		zap.String("reason", string(v.Reason)), zap.String("ran", v.Ran.String()), zap.Error(err))
}

// atLeastMayHaveRun corrects a "not run" that speaks of one step only: the
// request's prefill has run by then.
func atLeastMayHaveRun(err error) error {
	v := *verdict.From(err)
	v.Ran = max(v.Ran, verdict.MayHaveRun)
	return &v
}

func sleepUntil(ctx context.Context, t time.Time) error {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
