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

// modelAttempt is one execution of prefill, KV transfer and decode under a grant.
type modelAttempt struct {
	*modelRun
	grant   *Grant
	stream  port.StreamID
	started time.Time
	outcome Outcome
}

// run executes the steps of the attempt. If a step fails, it cancels the stream at the engines that
// may still hold resources for it.
func (a *modelAttempt) run(ctx context.Context) error {
	ctx, cancel := a.cancelOnLostGrant(ctx)
	defer cancel()
	prefillAddress, ok1 := a.Address(a.grant.Prefill)
	decodeAddress, ok2 := a.Address(a.grant.Decode)
	if !ok1 || !ok2 {
		a.outcome.Kind = OutcomeCancelled
		return verdict.Refuse(verdict.ReasonNoUpstream, time.Second, "the granted upstream is no longer in the configuration")
	}
	prefill, decode := a.Engines(prefillAddress), a.Engines(decodeAddress)

	result, err := a.prefill(ctx, prefill)
	if err != nil {
		go cancelStream(prefill, a.stream, a.log)
		return a.attemptError(ctx, err)
	}
	if err := a.transfer(ctx, decode, prefillAddress, result); err != nil {
		go cancelStream(prefill, a.stream, a.log)
		go cancelStream(decode, a.stream, a.log)
		return a.attemptError(ctx, err)
	}
	if err := a.decode(ctx, decode); err != nil {
		go cancelStream(decode, a.stream, a.log)
		return a.attemptError(ctx, err)
	}
	a.outcome.Kind = OutcomeDone
	return nil
}

// cancelOnLostGrant returns a context that is cancelled when the scheduler revokes the grant. If
// the attempt continued, it would occupy a slot that has already been granted to another request.
func (a *modelAttempt) cancelOnLostGrant(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-a.grant.Lost:
			cancel(verdict.Fail(verdict.MayHaveRun, verdict.ReasonGrantLost, nil, "the scheduler revoked the grant"))
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// attemptError returns the error of a failed step. If the grant was lost, it returns that error
// instead of the connection error that resulted from it.
func (a *modelAttempt) attemptError(ctx context.Context, err error) error {
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
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	result, err := engine.Prefill(ctx, port.PrefillRequest{
		Stream: a.stream, Model: a.req.Model, Prompt: a.req.Prompt,
		Generated: a.generated, Priority: int(a.req.Class),
	})
	a.outcome.Prefill = time.Since(a.started)
	if err != nil {
		a.recordFailure(OutcomePrefillFailed, a.grant.Prefill, err)
		return result, err
	}
	a.Scheduler.PrefillDone(a.grant)
	if len(a.generated) == 0 {
		a.answer.PromptTokens, a.answer.CachedTokens = result.Tokens, result.CachedTokens
	}
	return result, nil
}

func (a *modelAttempt) transfer(ctx context.Context, engine port.Engine, source string, result port.PrefillResult) error {
	if err := sleepUntil(ctx, transferStart(time.Now(), a.grant.TransferAfter, result.TTL)); err != nil {
		return verdict.Fail(verdict.MayHaveRun, verdict.ReasonCancelled, err, "cancelled before the transfer")
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	err := engine.Import(ctx, port.ImportRequest{
		Stream: a.stream, Model: a.req.Model, Source: source, Handle: result.Handle, MaxTokens: a.req.MaxTokens,
	})
	if err != nil {
		a.recordFailure(OutcomeTransferFailed, a.grant.Decode, err)
		// The prefill has run, regardless of what the decode engine reports for the import.
		return atLeastMayHaveRun(err)
	}
	return nil
}

// transferStart returns the time at which to start a transfer: the planned time, but not later than
// half of the KV cache's remaining lifetime, which leaves the other half for the transfer. The
// planned time is an estimate: waiting beyond the lifetime of the cache wastes the whole prefill,
// whereas a transfer that starts too early only shares the link.
func transferStart(now, planned time.Time, lifetime time.Duration) time.Time {
	if latest := now.Add(lifetime / 2); planned.After(latest) {
		return latest
	}
	return planned
}

// decode forwards the answer. An interrupted stream is resumed once on the same engine, which still
// holds its KV cache, before the attempt fails. A stalled stream is not resumed, since the engine
// would stall for the same time again.
func (a *modelAttempt) decode(ctx context.Context, engine port.Engine) error {
	before := a.answer.OutputTokens
	err := a.streamTokens(ctx, engine)
	if err != nil && ctx.Err() == nil && !errors.Is(err, errStalled) && a.answer.OutputTokens > before {
		a.log.Info("resume", zap.Uint32("attempt", a.stream.Attempt), zap.Int("from", a.answer.OutputTokens), zap.Error(err))
		a.Metrics.CountRetry(a.req.Service, verdict.From(err).Reason)
		err = resumeError(err, a.streamTokens(ctx, engine))
	}
	a.outcome.Decode = time.Since(a.started) - a.outcome.FirstToken
	a.outcome.OutputTokens = a.answer.OutputTokens
	if err != nil {
		a.recordFailure(OutcomeDecodeFailed, a.grant.Decode, err)
		return atLeastMayHaveRun(err)
	}
	return nil
}

// resumeError selects the error to report for a resumed stream. An engine that has crashed and
// restarted refuses to resume the stream because it does not know it. In that case the original
// error is returned, since the refusal would hide the crash from crash tracking.
func resumeError(original, resumed error) error {
	if resumed != nil && verdict.From(resumed).Reason == verdict.ReasonUpstreamRefused {
		return original
	}
	return resumed
}

// errStalled is the error of a stream that sent no token within stallTimeout.
var errStalled = verdict.Fail(verdict.MayHaveRun, verdict.ReasonTimeout, nil, "no token for %v", stallTimeout)

// streamTokens forwards a decode stream from the first token that has not been forwarded yet.
func (a *modelAttempt) streamTokens(ctx context.Context, engine port.Engine) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A frozen engine keeps its connection open but sends nothing. Without the timer, the caller
	// would wait forever and the slot would remain occupied.
	stallTimer := time.AfterFunc(stallTimeout, func() { cancel(errStalled) })
	defer stallTimer.Stop()
	err := a.forwardFrames(ctx, engine, stallTimer)
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		// The engine adapter reports a cancelled context, which would look as if the caller had
		// disconnected.
		return errStalled
	}
	return err
}

// forwardFrames forwards the frames of one connection. Every accepted frame resets the stall timer.
func (a *modelAttempt) forwardFrames(ctx context.Context, engine port.Engine, stallTimer *time.Timer) error {
	frames, err := engine.Decode(ctx, port.DecodeRequest{
		Stream: a.stream, Model: a.req.Model, MaxTokens: a.req.MaxTokens,
		ResumeFrom: a.answer.OutputTokens, Priority: int(a.req.Class),
	})
	if err != nil {
		return err
	}
	defer frames.Close()
	filter := frameFilter{stream: a.stream, nextSeq: a.answer.OutputTokens, onDrop: a.recordDroppedFrame}
	for {
		frame, err := frames.Next()
		if err != nil {
			return streamEndError(err)
		}
		ok, err := filter.accept(frame)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		stallTimer.Reset(stallTimeout)
		if frame.Done {
			a.answer.FinishReason = frame.FinishReason
			return nil
		}
		if err := a.forwardToken(frame.Token); err != nil {
			return err
		}
	}
}

func (a *modelAttempt) forwardToken(text string) error {
	if a.outcome.FirstToken == 0 {
		a.outcome.FirstToken = time.Since(a.started)
	}
	if err := a.sink.Token(text); err != nil {
		return verdict.Fail(verdict.HasRun, verdict.ReasonCancelled, err, "the caller disconnected")
	}
	a.answer.OutputTokens++
	a.generated = append(a.generated, text)
	return nil
}

func (a *modelAttempt) recordDroppedFrame(cause string) {
	a.Metrics.Scope.Tagged(map[string]string{"cause": cause}).Counter("frames_dropped").Inc(1)
	a.log.Warn("frame dropped", zap.String("cause", cause), zap.String("upstream", a.grant.Decode))
}

// recordFailure sets the outcome reported to the scheduler: which upstream failed and how.
func (a *modelAttempt) recordFailure(kind group.OutcomeKind, upstream string, err error) {
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

// atLeastMayHaveRun raises a verdict of "not run", which refers to a single step only, to "may have
// run": the request's prefill has already run.
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
