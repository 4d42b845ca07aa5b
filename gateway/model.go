package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/waiting"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Limits and timings of model requests.
const (
	// maxPrefillQueueTokens limits the prompt tokens queued at a prefill engine by all instances
	// together. At 55 tokens per millisecond they take about 600 ms; with more, the first event
	// would be late.
	maxPrefillQueueTokens = 24_000
	// prefillAttempts is the number of prefill engines tried. Prefilling a prompt does not count as
	// running the request, so it may be repeated.
	prefillAttempts = 2
	// claimGrowthEvents is the number of events by which a request's claim grows when its answer
	// exceeds the estimate: about half a second of decoding.
	claimGrowthEvents = 10
	// reservedOutputTokens is the number of output tokens reserved at the engine in addition to the
	// prompt. Reserved memory is unavailable to other requests, so the reservation covers only the
	// start of the answer; the claims ensure that the rest fits.
	reservedOutputTokens = 720
	// reserveTimeout limits one reservation, which takes a round trip.
	reserveTimeout = 250 * time.Millisecond
	// reservationTTL is how long an engine keeps reserved memory: the longest prefill and its
	// transfer.
	reservationTTL = 1500 * time.Millisecond
	// enginesFullRetry is the Retry-After when no engine had enough memory.
	enginesFullRetry = 1500 * time.Millisecond
	// releaseTimeout limits the calls that free engine memory.
	releaseTimeout = 500 * time.Millisecond
)

// modelRun is the state of a model request and its attempts.
type modelRun struct {
	gateway    *Gateway
	admitted   *admittedCall
	dispatcher *dispatcher
	// claimedTokens is the engine memory that the request claims; estimatedOutput is the part of it
	// for the answer.
	claimedTokens, estimatedOutput int
	sends                          int
	// maxRan is the highest Ran of all attempts.
	maxRan verdict.Ran
	// except holds decode engines that are not tried again; full holds those that have just refused
	// a reservation.
	except, full map[string]bool
	// started is set once the caller has got events.
	started bool
}

// serveModel prefills the prompt at a prefill engine and generates the answer at a decode engine.
func (g *Gateway) serveModel(ctx context.Context, w http.ResponseWriter, a *admittedCall) *verdict.Verdict {
	run := &modelRun{gateway: g, admitted: a, dispatcher: g.dispatchers.get(a.service), except: make(map[string]bool), full: make(map[string]bool)}
	run.estimatedOutput = run.dispatcher.estimateOutput(a.call)
	run.claimedTokens = a.call.PromptTokens + run.estimatedOutput
	out := &stream{gateway: g, admitted: a, w: w, lastID: a.call.LastEventID}
	defer out.clearWriteDeadline()
	for {
		before := run.sends
		v := run.attempt(ctx, out)
		if v == nil {
			g.recordEnd(a, out.status, nil)
			return nil
		}
		run.maxRan = max(run.maxRan, v.Ran)
		if run.sends > before && run.mayRetry(ctx, out, v) {
			g.Metrics.CountRetry(a.service.Name, v.Reason)
			g.log.Info("retried", zap.String("request", a.call.ID), zap.String("reason", string(v.Reason)),
				zap.Int("sent", run.sends), zap.Int("prefills", a.call.sends.prefills), zap.String("after_event", out.lastID))
			continue
		}
		if out.started {
			g.recordEnd(a, out.status, v)
			panic(http.ErrAbortHandler)
		}
		v.Ran = max(v.Ran, run.maxRan)
		return v
	}
}

// mayRetry decides, after a failed attempt, whether the request is sent to another decode engine.
func (r *modelRun) mayRetry(ctx context.Context, out *stream, v *verdict.Verdict) bool {
	route := r.admitted.route
	if ctx.Err() != nil || r.sends >= route.Attempts() {
		return false
	}
	if v.Ran != verdict.NotRun && !route.MayRepeat() {
		return false
	}
	if out.started && !out.resumable() {
		return false
	}
	return r.gateway.sender.reserveRun(r.admitted.call)
}

// attempt places the request, prefills its prompt and forwards its answer.
func (r *modelRun) attempt(ctx context.Context, out *stream) *verdict.Verdict {
	g := r.gateway
	r.dispatcher.sync()
	r.started = out.started
	target, v := r.acquirePlacement(ctx)
	if v != nil {
		return v
	}
	placed := time.Now()
	waited := placed.Sub(r.admitted.call.Arrived)
	g.Metrics.RecordStageDuration("placement", r.admitted.service.Name, waited)
	g.log.Info("placed", zap.String("request", r.admitted.call.ID), zap.String("upstream", target.entry.ID), zap.Int("tokens", r.claimedTokens),
		zap.Duration("waited", waited), zap.Float64("pool_free", r.dispatcher.decode.freeShare()), zap.Uint64("list", g.state.Directory.Version()))
	defer func() {
		if target.entry.ID != "" {
			r.dispatcher.release(target.entry, r.claimedTokens)
		}
	}()
	pace := eventPace{counted: out.events}
	out.onEvents = func(events int) {
		r.growClaim(target.entry, events)
		if out.buffer == nil {
			r.recordProgress(target.entry, &pace, events)
		}
	}
	source, from, v := r.prefill(ctx)
	if v != nil {
		r.dropReservation(target)
		return v
	}
	if v := r.confirmPlacement(ctx, &target); v != nil {
		r.freeHandle(from, source)
		return v
	}
	sendCtx, interrupt := context.WithCancel(ctx)
	defer interrupt()
	out.interrupt = interrupt
	answer, v := r.send(sendCtx, target, source, from, out.lastID)
	if v != nil {
		return v
	}
	started := time.Now()
	v = out.copy(answer)
	g.Metrics.RecordStageDuration("decode", r.admitted.service.Name, time.Since(started))
	if out.buffer != nil {
		// The pace was that of the caller.
		pace = eventPace{}
	}
	r.recordDecodeOutcome(ctx, target.entry, &pace, answer, v)
	if v == nil {
		g.outliers.recordSuccess(target.entry)
	}
	if v == nil && answer.Status == http.StatusOK {
		g.crashes.recordSuccess(r.admitted.call)
		r.dispatcher.recordCompletion(r.admitted.call, out.events*r.dispatcher.settings().EventTokens, r.claimedTokens, time.Since(placed))
	}
	if v != nil && ctx.Err() == nil {
		r.except[target.entry.ID] = true
		g.recordUpstreamFailure(ctx, r.admitted.call, target.entry, v)
	}
	return v
}

// recordProgress records the work of a stream that has not ended, now and then: a stream lasts seconds, in which the
// engine may turn slow.
func (r *modelRun) recordProgress(entry upstream.Entry, pace *eventPace, events int) {
	if work, busy := pace.advance(boottime.Now(), events, progressInterval); work > 0 && r.gateway.Features.UpstreamSpeed {
		r.gateway.recordOutcome(r.dispatcher.decode, entry.ID, outcome{progress: true, work: r.tokensOf(work), busy: busy})
	}
}

// tokensOf returns the tokens in a number of events.
func (r *modelRun) tokensOf(events int) int {
	return events * max(r.dispatcher.settings().EventTokens, 1)
}

// recordDecodeOutcome records how a stream of a decode engine has ended. A request that is quarantined for crashing engines
// does not count against the engine.
func (r *modelRun) recordDecodeOutcome(ctx context.Context, entry upstream.Entry, pace *eventPace, answer *Answer, v *verdict.Verdict) {
	switch {
	case v == nil && answer.Status < http.StatusInternalServerError:
		r.gateway.recordOutcome(r.dispatcher.decode, entry.ID, outcome{work: r.tokensOf(pace.events - pace.counted), busy: pace.last - pace.since})
	case v == nil || failedByUpstream(ctx, v) && r.gateway.crashes.refusal(r.admitted.call) == nil:
		r.gateway.recordOutcome(r.dispatcher.decode, entry.ID, outcome{failed: true})
	}
}

// send sends the request to a decode engine.
func (r *modelRun) send(ctx context.Context, target placement, source KVSource, from upstream.Entry, after string) (*Answer, *verdict.Verdict) {
	g := r.gateway
	r.sends++
	r.admitted.upstream = target.entry.ID
	started := time.Now()
	answer, err := g.Upstreams.Run(ctx, target.entry, r.admitted.call, RunOptions{
		Source: source, Reservation: target.reservation, LastEventID: after, Priority: r.admitted.call.priority,
	})
	if err == nil {
		r.admitted.endStated = answer.EndStated
		g.Metrics.RecordStageDuration("transfer", r.admitted.service.Name, time.Since(started))
		return answer, nil
	}
	v := verdict.From(err)
	if v.Reason == verdict.ReasonRetryBudgetSpent {
		r.sends--
		r.dropReservation(target)
		r.freeHandle(from, source)
		return nil, v
	}
	r.except[target.entry.ID] = true
	g.recordUpstreamFailure(ctx, r.admitted.call, target.entry, v)
	if failedWithPlace(ctx, v) && g.crashes.refusal(r.admitted.call) == nil {
		r.gateway.recordOutcome(r.dispatcher.decode, target.entry.ID, outcome{failed: true})
	}
	if v.Ran == verdict.NotRun {
		r.dropReservation(target)
		if !errors.Is(v, errNotSent) {
			r.dispatcher.withdrawRefusing(r.dispatcher.decode, target.entry)
		}
		r.freeHandle(from, source)
		g.setRetryAfter(r.admitted, upstream.Decode, v, enginesFullRetry)
	}
	return nil, v
}

// growClaim raises the claim of a request whose answer exceeds the estimate, by several events at a
// time.
func (r *modelRun) growClaim(entry upstream.Entry, events int) {
	eventTokens := r.dispatcher.settings().EventTokens
	if eventTokens <= 0 || (events+1)*eventTokens <= r.estimatedOutput || r.estimatedOutput >= r.admitted.call.MaxOutput {
		return
	}
	by := min(claimGrowthEvents*eventTokens, r.admitted.call.MaxOutput-r.estimatedOutput)
	r.estimatedOutput += by
	r.claimedTokens += by
	r.dispatcher.decode.resize(entry.ID, by)
	r.gateway.triggerReport()
}

// confirmPlacement checks, immediately before the request is sent, that its preconditions still hold. If the
// engine takes no requests any more, the request is placed at another one, which fetches the prompt's KV cache
// as well. Without a placement, target is empty.
func (r *modelRun) confirmPlacement(ctx context.Context, target *placement) *verdict.Verdict {
	for {
		v := r.gateway.checkStillAllowed(r.admitted)
		if v == nil && r.gateway.accepts(target.entry) {
			return nil
		}
		r.dropReservation(*target)
		if v != nil {
			return v
		}
		r.dispatcher.release(target.entry, r.claimedTokens)
		if *target, v = r.acquirePlacement(ctx); v != nil {
			return v
		}
		r.gateway.log.Info("placed again", zap.String("request", r.admitted.call.ID), zap.String("upstream", target.entry.ID))
	}
}

// placement is a claim at a decode engine with the engine's own reservation.
type placement struct {
	entry       upstream.Entry
	reservation string
}

// acquirePlacement waits for capacity at a decode engine and reserves it there. This instance
// learns of other instances' claims with a delay of some milliseconds, whereas the engine's
// reservation is exact: without one, the request could find the engine full after its prompt was
// prefilled.
func (r *modelRun) acquirePlacement(ctx context.Context) (placement, *verdict.Verdict) {
	c := r.admitted.call
	refusal := func() *verdict.Verdict { return r.gateway.crashes.refusal(c) }
	item := &waiting.Item{
		Organisation: c.Organisation, Priority: c.priority, Tokens: r.claimedTokens, Output: r.estimatedOutput, Arrived: c.Arrived,
		Objective: time.Duration(r.admitted.route.ObjectiveMS) * time.Millisecond, Deadline: c.Deadline, RetrySeed: hashPoint(c.ID),
	}
	if r.gateway.Features.LateAnswers {
		r.describeWait(item)
	}
	for {
		if v := r.gateway.refuseIfNoneAvailable(r.admitted.service.Name, upstream.Decode, item.RetrySeed); v != nil {
			return placement{}, v
		}
		if v := r.gateway.refuseIfUnreachable(r.admitted, upstream.Decode); v != nil {
			return placement{}, v
		}
		entry, v := r.dispatcher.place(ctx, placementRequest{item: item, except: r.except, full: r.full, refusal: refusal})
		if v != nil {
			return placement{}, v
		}
		clear(r.full)
		if v := r.gateway.checkStillAllowed(r.admitted); v != nil {
			r.dispatcher.release(entry, r.claimedTokens)
			return placement{}, v
		}
		if _, ok := r.gateway.statements.take(ctx, entry); !ok {
			r.dispatcher.release(entry, r.claimedTokens)
			if ctx.Err() != nil {
				return placement{}, contextRefusal(ctx)
			}
			continue
		}
		if r.dispatcher.settings().ReservationMS <= 0 {
			return placement{entry: entry}, nil
		}
		reservation, v := r.reserve(ctx, entry)
		if v == nil && r.gateway.accepts(entry) {
			return placement{entry, reservation}, nil
		}
		if v == nil {
			// The engine has reserved the memory and said in the same answer that it leaves.
			r.dropReservation(placement{entry, reservation})
			r.dispatcher.release(entry, r.claimedTokens)
			continue
		}
		if v.Reason == verdict.ReasonUpstreamRefused {
			r.dispatcher.backOff(entry.ID)
		}
		r.dispatcher.release(entry, r.claimedTokens)
		if ctx.Err() != nil {
			return placement{}, contextRefusal(ctx)
		}
		if v.Reason != verdict.ReasonUpstreamRefused {
			r.gateway.recordUpstreamFailure(ctx, c, entry, v)
		} else {
			r.full[entry.ID] = true
		}
	}
}

// describeWait states for how long a request can be late, and how its repetition is recognised.
func (r *modelRun) describeWait(item *waiting.Item) {
	c := r.admitted.call
	if r.started {
		// The stream has begun and goes on at another engine. It is not late by the objective for
		// the first event.
		item.Arrived = time.Now()
		return
	}
	item.RepeatKey = uint64(fingerprint(c.identity()))
	if c.LastEventID == "" {
		item.Patience = time.Duration(r.admitted.route.PatienceMS) * time.Millisecond
	}
}

// reserve reserves memory at a decode engine.
func (r *modelRun) reserve(ctx context.Context, entry upstream.Entry) (string, *verdict.Verdict) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	ttl := min(reservationTTL, time.Duration(r.dispatcher.settings().ReservationMS)*time.Millisecond)
	reservation, err := r.gateway.Upstreams.Reserve(ctx, entry, r.admitted.call.PromptTokens+min(reservedOutputTokens, r.estimatedOutput), ttl)
	return reservation, verdict.From(err)
}

// dropReservation frees reserved memory that will not be used.
func (r *modelRun) dropReservation(target placement) {
	if target.reservation == "" {
		return
	}
	r.releaseAsync(target.entry, "reservation", func(ctx context.Context) error {
		return r.gateway.Upstreams.DropReservation(ctx, target.entry, target.reservation)
	})
}

// freeHandle frees a KV cache that will not be fetched.
func (r *modelRun) freeHandle(from upstream.Entry, source KVSource) {
	if source.Handle == "" {
		return
	}
	r.releaseAsync(from, "handle", func(ctx context.Context) error {
		return r.gateway.Upstreams.FreeHandle(ctx, from, source.Handle)
	})
}

// releaseAsync makes a call that frees memory in the background. If the call fails, the engine
// frees the memory itself after a few seconds.
func (r *modelRun) releaseAsync(entry upstream.Entry, what string, call func(context.Context) error) {
	log, id := r.gateway.log, r.admitted.call.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := call(ctx); err != nil {
			log.Debug("cannot free engine memory", zap.String("request", id), zap.String("upstream", entry.ID), zap.String("what", what), zap.Error(err))
		}
	}()
}

// prefill prefills the prompt. It returns an empty source if no prefill engine could; the request
// has not run in that case, because prefilling runs nothing.
func (r *modelRun) prefill(ctx context.Context) (KVSource, upstream.Entry, *verdict.Verdict) {
	g, c := r.gateway, r.admitted.call
	tried := make(map[string]bool)
	var lastFailure *verdict.Verdict
	for range prefillAttempts {
		if ctx.Err() != nil {
			return KVSource{}, upstream.Entry{}, contextRefusal(ctx)
		}
		if v := g.checkStillAllowed(r.admitted); v != nil {
			return KVSource{}, upstream.Entry{}, v
		}
		entry, ok := r.claimPrefillWithinLimit(ctx, tried)
		if !ok {
			break
		}
		tried[entry.ID] = true
		handle, v := r.prefillAt(ctx, entry)
		if v == nil {
			return KVSource{Address: entry.Address, Handle: handle}, entry, nil
		}
		if v.Reason == verdict.ReasonRetryBudgetSpent {
			break
		}
		g.recordUpstreamFailure(ctx, c, entry, v)
		if v.Reason == verdict.ReasonUpstreamRefused {
			g.outliers.recordFailure(entry)
			r.dispatcher.withdrawRefusing(r.dispatcher.prefill, entry)
		}
		lastFailure = v
	}
	if ctx.Err() != nil {
		return KVSource{}, upstream.Entry{}, contextRefusal(ctx)
	}
	// The decode engine prefills the prompt itself, at half the speed and interleaved with the
	// decoding of other requests. That is better than no answer.
	g.log.Info("prompt left to the decode engine", zap.String("request", c.ID), zap.Int("tried", len(tried)), zap.NamedError("last", lastFailure.OrNil()))
	return KVSource{}, upstream.Entry{}, nil
}

// claimPrefillWithinLimit claims capacity at a prefill engine whose limit leaves room for the request.
func (r *modelRun) claimPrefillWithinLimit(ctx context.Context, tried map[string]bool) (upstream.Entry, bool) {
	tokens := r.admitted.call.PromptTokens
	for ctx.Err() == nil {
		entry, ok := r.dispatcher.claimPrefill(ctx, tokens, tried)
		if !ok {
			return upstream.Entry{}, false
		}
		if _, ok := r.gateway.statements.take(ctx, entry); ok {
			return entry, true
		}
		r.dispatcher.prefill.release(entry.ID, tokens)
		r.dispatcher.reportLoad(r.dispatcher.prefill, entry.ID)
	}
	return upstream.Entry{}, false
}

func (r *modelRun) prefillAt(ctx context.Context, entry upstream.Entry) (string, *verdict.Verdict) {
	tokens := r.admitted.call.PromptTokens
	alone := r.dispatcher.prefill.engineRequests(entry.ID) == 1
	r.gateway.triggerReport()
	defer func() {
		r.dispatcher.prefill.release(entry.ID, tokens)
		r.dispatcher.reportLoad(r.dispatcher.prefill, entry.ID)
	}()
	ctx, cancel := context.WithTimeout(ctx, r.dispatcher.prefillTimeout(tokens))
	defer cancel()
	started := time.Now()
	handle, err := r.gateway.Upstreams.Prefill(ctx, entry, r.admitted.call)
	if err != nil {
		v := verdict.From(err)
		if failedWithPlace(ctx, v) {
			r.gateway.recordOutcome(r.dispatcher.prefill, entry.ID, outcome{failed: true})
		}
		return "", v
	}
	r.gateway.recordOutcome(r.dispatcher.prefill, entry.ID, outcome{work: tokens, busy: time.Since(started)})
	r.dispatcher.recordPrefill(tokens, time.Since(started), alone)
	r.gateway.Metrics.RecordStageDuration("prefill", r.admitted.service.Name, time.Since(started))
	r.gateway.outliers.recordSuccess(entry)
	return handle, nil
}
