package gateway

import (
	"context"
	"errors"
	"maps"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/room"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Limits and timings of plain calls.
const (
	// plainRequestsPerSlot is the number of requests placed at a plain upstream per slot, including
	// the running ones. More requests would queue there for long while other upstreams may have
	// capacity.
	plainRequestsPerSlot = 4
	// plainRetry is the mean Retry-After when all upstreams are full.
	plainRetry = 400 * time.Millisecond
	// plainRetrySpread is the width of the range of Retry-After times, as a fraction of plainRetry
	// and centred on it.
	plainRetrySpread = 1.0
	// maxUnreachable is the number of unreachable upstreams that are tried before a request is
	// refused. Nothing was sent to them.
	maxUnreachable = 4
	// unreachableLimit is the time after which no further upstream is tried if the others could not be
	// reached.
	unreachableLimit = 600 * time.Millisecond
	// attemptObjectives is the number of objectives after which an attempt's answer is considered
	// lost.
	attemptObjectives = 4
	// attemptServiceTimes is the number of mean service times for which an attempt is given at least. One request in a
	// hundred takes five times the mean.
	attemptServiceTimes = 5
)

// plainPools holds the upstream pools of plain services, by service.
type plainPools struct {
	gateway *Gateway
	mu      sync.Mutex
	pools   map[string]*pool
}

func newPlainPools(g *Gateway) *plainPools {
	return &plainPools{gateway: g, pools: make(map[string]*pool)}
}

func (p *plainPools) get(service string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	plainPool, known := p.pools[service]
	if !known {
		plainPool = newPool()
		p.gateway.watchFailures(plainPool, service, upstream.Plain)
		p.gateway.enableSpeeds(service, upstream.Plain, plainPool)
		p.pools[service] = plainPool
	}
	return plainPool
}

func (p *plainPools) all() []*pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*pool, 0, len(p.pools))
	for _, plainPool := range p.pools {
		out = append(out, plainPool)
	}
	return out
}

func (p *plainPools) byService() map[string]*pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.pools)
}

func (p *plainPools) addLoads(loads map[fleet.Hash]fleet.Load) {
	for _, plainPool := range p.all() {
		plainPool.addOwnLoads(loads)
	}
}

func (p *plainPools) addLoadsExcept(except string, loads map[fleet.Hash]fleet.Load) {
	for _, plainPool := range p.all() {
		plainPool.addLoadsExcept(except, loads)
	}
}

func (p *plainPools) applyReport(r *fleet.Report) {
	now := boottime.Now()
	for _, plainPool := range p.all() {
		plainPool.applyReport(now, r)
	}
}

// servePlain runs a request at one upstream, retrying at others where the route allows it, and
// forwards the answer.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, a *admittedCall) *verdict.Verdict {
	run := &plainRun{gateway: g, admitted: a, pool: g.plainPools.get(a.service.Name), tried: make(map[string]bool)}
	if g.Features.PlainQueue {
		run.dispatcher = g.dispatchers.get(a.service)
	}
	answer, v := run.execute(ctx)
	if v != nil {
		g.setRetryAfter(a, upstream.Plain, v, plainRetryAfter(a.call.ID))
		return v
	}
	g.writeAnswer(w, a, answer)
	return nil
}

// plainRetryAfter returns the Retry-After of a refused request. The times are spread because full
// upstreams refuse many requests at once, and the callers would otherwise all return at the same
// time.
func plainRetryAfter(id string) time.Duration { return spreadRetry(hashPoint(id)) }

// spreadRetry returns a time around plainRetry that depends on a uniformly distributed seed.
func spreadRetry(seed uint64) time.Duration {
	fraction := float64(seed) / math.MaxUint64
	return time.Duration((1 + plainRetrySpread*(fraction-0.5)) * float64(plainRetry))
}

// plainRun is the state of a plain request and its attempts.
type plainRun struct {
	gateway  *Gateway
	admitted *admittedCall
	pool     *pool
	// dispatcher assigns places at the upstreams of the pool. It is nil without PlainQueue.
	dispatcher *dispatcher
	// placedExactly is set if the last place was assigned with the exact counts of all requests.
	placedExactly bool
	// tried holds the upstreams that are not tried again.
	tried            map[string]bool
	sends            int
	unreachableCount int
	// maxRan is the highest Ran of all attempts.
	maxRan verdict.Ran
	// lastFailure is an upstream's error response, forwarded if no retry gets a better one.
	lastFailure *bufferedAnswer
}

// execute makes attempts until there is an answer to forward.
func (r *plainRun) execute(ctx context.Context) (*bufferedAnswer, *verdict.Verdict) {
	for {
		sends := r.sends
		buffered, v := r.attempt(ctx)
		if v == nil {
			r.lastFailure.discard()
			if !r.isRetryableFailure(buffered) {
				return buffered, nil
			}
			r.lastFailure = buffered
		}
		retry := r.mayRetry(ctx, v, r.sends > sends)
		if retry {
			continue
		}
		if r.lastFailure != nil {
			return r.lastFailure, nil
		}
		v.Ran = max(v.Ran, r.maxRan)
		return nil, v
	}
}

// isRetryableFailure reports whether the answer is a server error that another upstream may not
// return.
func (r *plainRun) isRetryableFailure(buffered *bufferedAnswer) bool {
	return buffered.status >= http.StatusInternalServerError && r.admitted.route.MayRepeat()
}

// mayRetry decides whether the request is sent again. v is nil if an upstream answered with a
// server error; sent is set if the failed attempt was sent to one.
func (r *plainRun) mayRetry(ctx context.Context, v *verdict.Verdict, sent bool) bool {
	if ctx.Err() != nil {
		return false
	}
	if v != nil && v.Reason == verdict.ReasonUpstreamUnreachable && v.Ran == verdict.NotRun {
		r.unreachableCount++
		return r.unreachableCount < maxUnreachable && time.Since(r.admitted.call.Arrived) < unreachableLimit
	}
	if v != nil && errors.Is(v, errNotSent) {
		return true
	}
	route := r.admitted.route
	if !sent || r.sends >= route.Attempts() {
		return false
	}
	notRun := v != nil && v.Ran == verdict.NotRun
	if !notRun && !route.MayRepeat() {
		return false
	}
	if !r.gateway.sender.reserveRun(r.admitted.call) {
		return false
	}
	reason := verdict.ReasonUpstreamRefused
	if v != nil {
		reason = v.Reason
	}
	r.gateway.Metrics.CountRetry(r.admitted.service.Name, reason)
	r.gateway.log.Info("retried", zap.String("request", r.admitted.call.ID), zap.String("reason", string(reason)), zap.Int("sent", r.sends))
	return true
}

// plainEngine returns the capacity of a plain upstream.
func (g *Gateway) plainEngine(e upstream.Entry) room.Engine {
	return room.Engine{ID: e.ID, Slots: max(e.Slots, 1) * plainRequestsPerSlot, SameDataCentre: e.DataCentre == g.DataCentre}
}

// attempt sends the request to one upstream.
func (r *plainRun) attempt(ctx context.Context) (*bufferedAnswer, *verdict.Verdict) {
	g, a := r.gateway, r.admitted
	if r.dispatcher != nil {
		r.dispatcher.sync()
	} else {
		r.pool.sync(g.state.Directory, a.service.Name, upstream.Plain, poolShape{near: g.DataCentre}, g.plainEngine)
		r.pool.setSampling(g.reportsViaHubs())
	}
	entry, v := r.claimWithinLimit(ctx)
	if v != nil {
		return nil, v
	}
	g.triggerReport()
	r.tried[entry.ID] = true
	a.upstream = entry.ID
	if v := g.checkStillAllowed(a); v != nil {
		r.release(entry)
		return nil, v
	}
	r.sends++
	ctx, cancel := context.WithCancelCause(ctx)
	end := func() {
		cancel(nil)
		r.release(entry)
	}
	started := boottime.Now()
	buffered, v := r.send(ctx, cancel, entry)
	if v != nil {
		r.recordFailure(ctx, entry, v)
		end()
		return nil, v
	}
	answered := outcome{failed: buffered.status >= http.StatusInternalServerError, work: 1, busy: boottime.Now() - started}
	if buffered.rest == nil {
		r.gateway.recordOutcome(r.pool, entry.ID, answered)
		r.recordSuccess(entry)
		end()
		return buffered, nil
	}
	buffered.rest.end = func(whole bool, err error) {
		if whole {
			r.gateway.recordOutcome(r.pool, entry.ID, answered)
			r.recordSuccess(entry)
		} else if err != nil {
			r.recordFailure(ctx, entry, truncated(err))
		}
		end()
	}
	return buffered, nil
}

// release ends the claim at an upstream. The outcome of the request must have been recorded: the load that is reported
// to the home contains it.
func (r *plainRun) release(entry upstream.Entry) {
	if r.dispatcher != nil {
		r.dispatcher.release(entry, 0)
		return
	}
	r.pool.release(entry.ID, 0)
}

// send sends the request to an upstream and reads its answer up to maxBufferedAnswer bytes. cancel must end ctx.
func (r *plainRun) send(ctx context.Context, cancel context.CancelCauseFunc, entry upstream.Entry) (*bufferedAnswer, *verdict.Verdict) {
	g, a := r.gateway, r.admitted
	timer := time.AfterFunc(r.attemptTimeout(time.Now()), func() {
		if r.attemptsLeft() && g.sender.reserveRun(a.call) {
			cancel(errAttemptTimeout)
		}
	})
	defer timer.Stop()
	answer, err := g.Upstreams.Run(ctx, entry, a.call, RunOptions{Priority: a.call.priority})
	if err != nil {
		v := verdict.From(err)
		if context.Cause(ctx) == errAttemptTimeout {
			v.Reason = verdict.ReasonTimeout
		}
		return nil, v
	}
	a.endStated = answer.EndStated
	buffered, err := bufferAnswer(answer, g.answerMemory)
	if err != nil {
		return nil, truncated(err)
	}
	return buffered, nil
}

// truncated returns the verdict of an answer that ended early.
func truncated(cause error) *verdict.Verdict {
	return verdict.Fail(verdict.MayHaveRun, verdict.ReasonTruncated, cause, "the upstream's answer was truncated")
}

// recordSuccess records an answer that was read to its end.
func (r *plainRun) recordSuccess(entry upstream.Entry) {
	r.gateway.outliers.recordSuccess(entry)
	r.gateway.crashes.recordSuccess(r.admitted.call)
}

// errAttemptTimeout cancels an attempt so that the request can be sent to another upstream.
var errAttemptTimeout = errors.New("attempt timed out; another upstream is tried")

// attemptTimeout returns how long an attempt may take before another upstream is tried. Otherwise
// an upstream that ran the request and lost the answer, or that hangs, would hold the request until
// its deadline. During a burst all answers are slow, and retries within the objective would double
// the load when capacity is scarcest.
func (r *plainRun) attemptTimeout(now time.Time) time.Duration {
	route := r.admitted.route
	if !route.MayRepeat() || route.ObjectiveMS == 0 {
		return defaultTimeout
	}
	slow := attemptObjectives * time.Duration(route.ObjectiveMS) * time.Millisecond
	timeout := min(slow, r.admitted.call.Deadline.Sub(now)/2)
	if r.dispatcher == nil {
		return timeout
	}
	// A request that was placed late has little time left, and its answer is still likelier than that of another attempt.
	return max(timeout, attemptServiceTimes*r.dispatcher.serviceTime.mean())
}

// attemptsLeft reports whether the route allows another attempt.
func (r *plainRun) attemptsLeft() bool {
	return r.admitted.route.MayRepeat() && r.sends < r.admitted.route.Attempts()
}

// recordFailure records a failed attempt.
func (r *plainRun) recordFailure(ctx context.Context, entry upstream.Entry, v *verdict.Verdict) {
	if v.Reason == verdict.ReasonUpstreamUnreachable && v.Ran == verdict.NotRun || errors.Is(v, errNotSent) {
		r.sends--
	}
	r.maxRan = max(r.maxRan, v.Ran)
	r.gateway.recordUpstreamFailure(ctx, r.admitted.call, entry, v)
	failed := failedByUpstream(ctx, v)
	if r.placedExactly {
		failed = failedWithPlace(ctx, v)
	}
	if failed && r.gateway.crashes.refusal(r.admitted.call) == nil {
		r.gateway.recordOutcome(r.pool, entry.ID, outcome{failed: true})
	}
	if r.dispatcher != nil && refusedAsFull(ctx, v) {
		r.dispatcher.reportFull(entry)
	}
}

// failedByUpstream reports whether a failed attempt counts against the upstream, and not against its caller, the link
// to it, or an announced limit. A refusal of a request that has not run does not count: the upstream may have been full.
func failedByUpstream(ctx context.Context, v *verdict.Verdict) bool {
	switch v.Reason {
	case verdict.ReasonTimeout:
		return true
	case verdict.ReasonUpstreamCrashed, verdict.ReasonTruncated:
		return ctx.Err() == nil
	case verdict.ReasonUpstreamRefused:
		return ctx.Err() == nil && v.Ran != verdict.NotRun
	}
	return false
}

// failedWithPlace is failedByUpstream for a request that had a place at the upstream: a refusal counts, too.
func failedWithPlace(ctx context.Context, v *verdict.Verdict) bool {
	return failedByUpstream(ctx, v) || v.Reason == verdict.ReasonUpstreamRefused && ctx.Err() == nil
}

// recordUpstreamFailure records a failed attempt against the upstream.
func (g *Gateway) recordUpstreamFailure(ctx context.Context, c *Call, entry upstream.Entry, v *verdict.Verdict) {
	if ctx.Err() != nil && v.Reason != verdict.ReasonTimeout {
		return
	}
	if v.Ran != verdict.NotRun && (v.Reason == verdict.ReasonUpstreamCrashed || v.Reason == verdict.ReasonTruncated) {
		g.crashes.recordBrokenOff(c, entry)
	}
	switch v.Reason {
	case verdict.ReasonUpstreamUnreachable:
		g.outliers.recordUnreachable(entry, v.Cause)
	case verdict.ReasonUpstreamCrashed, verdict.ReasonTimeout:
		g.outliers.recordFailure(entry)
	case verdict.ReasonWrongUpstream:
		g.state.Directory.MarkGone(entry)
	}
	g.log.Info("attempt failed", zap.String("request", c.ID), zap.String("upstream", entry.ID), zap.String("address", entry.Address),
		zap.Stringer("role", entry.Role), zap.String("reason", string(v.Reason)), zap.Stringer("ran", v.Ran), zap.Error(v.Cause))
}

// claimWithinLimit claims capacity at an upstream whose limit leaves room for the request.
func (r *plainRun) claimWithinLimit(ctx context.Context) (upstream.Entry, *verdict.Verdict) {
	for {
		entry, v := r.claim(ctx)
		if v != nil {
			return upstream.Entry{}, v
		}
		if _, ok := r.gateway.statements.take(ctx, entry); ok {
			return entry, nil
		}
		r.release(entry)
		if ctx.Err() != nil {
			return upstream.Entry{}, contextRefusal(ctx)
		}
	}
}

// claim claims capacity at an upstream.
func (r *plainRun) claim(ctx context.Context) (upstream.Entry, *verdict.Verdict) {
	entries := r.gateway.state.Directory.Service(r.admitted.service.Name)
	if v := r.gateway.refuseIfUnreachable(r.admitted, upstream.Plain); v != nil {
		return upstream.Entry{}, v
	}
	unavailable := r.gateway.statements.unavailable(entries)
	except := union(r.tried, unavailable.ids())
	if r.dispatcher != nil && r.pool.offersOther(union(except, r.gateway.outliers.unusable(entries))) {
		return r.queue(ctx)
	}
	if entry, ok := r.pool.claim(room.Demand{}, union(except, r.gateway.outliers.ejectedFor(entries, r.admitted.route.MayRepeat()))); ok {
		return entry, nil
	}
	// An ejected upstream is better than none, unless it fails most of the requests that it runs.
	if entry, ok := r.pool.claim(room.Demand{}, union(except, r.gateway.outliers.unusable(entries))); ok {
		return entry, nil
	}
	if v := r.gateway.refuseIfNoneAvailable(r.admitted.service.Name, upstream.Plain, hashPoint(r.admitted.call.ID)); v != nil {
		return upstream.Entry{}, v
	}
	if len(unavailable.spent) > 0 {
		retry := max(slices.Min(slices.Collect(maps.Values(unavailable.spent))), plainRetryAfter(r.admitted.call.ID))
		return upstream.Entry{}, verdict.Refuse(verdict.ReasonUpstreamLimited, retry, "upstreams of %s have reached the rates that they take", r.admitted.service.Name)
	}
	return upstream.Entry{}, verdict.Refuse(verdict.ReasonNoUpstream, 0, "no upstream of %s has capacity", r.admitted.service.Name)
}
