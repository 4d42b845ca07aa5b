package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/verdict"
)

// Limits and retry times of admission.
const (
	// startingRetry is the Retry-After of an instance that has not finished its initial reads,
	// which take a few hundred ms.
	startingRetry = 500 * time.Millisecond
	// staleRetry is the Retry-After of an instance whose configuration is too old to tell which
	// keys are valid. By then the load balancer has removed the instance and the caller reaches
	// another.
	staleRetry = 500 * time.Millisecond
	// permanentRefusalMargin is subtracted from ApplyTimeout to get the maximum age of the
	// configuration at which an unknown route or key is refused permanently. With an older
	// configuration, the caller of a newly added route would be told never to retry.
	permanentRefusalMargin = 100 * time.Millisecond
	// minQuotaRetry is the minimum Retry-After of a request over its quota if nothing is reserved for it.
	minQuotaRetry = 100 * time.Millisecond
	// defaultQuotaWait is how long a request without an objective waits for tokens; quotaWaitRatio
	// is the fraction of the objective that other requests wait. A prompt that is processed after
	// this wait can still be answered within its objective.
	defaultQuotaWait = 200 * time.Millisecond
	quotaWaitRatio   = 1.0 / 3
)

// admittedCall is a call with its resolved route and service.
type admittedCall struct {
	call    *Call
	route   *object.Route
	service *object.Service
	index   *object.Index
	// upstream is the ID of the upstream the request was last sent to.
	upstream string
	// endStated is set if that upstream states where its answer ends.
	endStated bool
	// charge is the number of tokens charged to the organisation's quota.
	charge int64
}

// resolveCall resolves the route, the organisation and the service of a call.
func (g *Gateway) resolveCall(c *Call, key string) (*admittedCall, *verdict.Verdict) {
	if missing := g.state.Missing(); missing != NoPrerequisite {
		reason := verdict.ReasonStarting
		if missing == PrerequisiteConfiguration {
			reason = verdict.ReasonNoConfiguration
		}
		return nil, verdict.Refuse(reason, startingRetry, "this instance has not read the %s yet", missing)
	}
	index := g.state.Index()
	route, ok := index.Route(hostName(c.Host), c.Path)
	if !ok {
		return nil, g.refusePermanently(verdict.ReasonUnknownService, "no route for this host and path")
	}
	a := &admittedCall{call: c, route: route, index: index}
	c.priority, c.Repeatable = route.Priority, route.MayRepeat()
	if !route.Public {
		if v := g.authenticate(a, key); v != nil {
			return nil, v
		}
	}
	name := route.Pick(hashPoint(c.ID))
	if a.service, ok = index.Service(name); !ok {
		return nil, verdict.Refuse(verdict.ReasonNoUpstream, time.Second, "the route's service %s is not configured", name)
	}
	c.sends.service = a.service.Name
	if a.service.Kind != object.KindModel {
		c.PromptParts = nil
	}
	g.setDeadline(c, route)
	return a, nil
}

// authenticate looks up the organisation by the key.
func (g *Gateway) authenticate(a *admittedCall, key string) *verdict.Verdict {
	if !g.state.Fresh() {
		return g.refuseStale()
	}
	if key == "" {
		return g.refusePermanently(verdict.ReasonUnauthenticated, "a key is required")
	}
	hash := object.HashKey(key)
	k, organisation, ok := a.index.KeyByHash(hash)
	if !ok || k.Withdrawn {
		return g.refusePermanently(verdict.ReasonUnauthenticated, "the key is unknown")
	}
	a.call.Organisation, a.call.keyHash = organisation.Name, hash
	if organisation.Priority != nil {
		a.call.priority = *organisation.Priority
	}
	return nil
}

// refusePermanently returns a refusal that must not be retried. If the configuration is not recent
// enough to be certain, it returns a retryable refusal instead.
func (g *Gateway) refusePermanently(reason verdict.Reason, detail string) *verdict.Verdict {
	if g.state.Age() > g.ApplyTimeout-permanentRefusalMargin {
		return g.refuseStale()
	}
	return verdict.Refuse(reason, 0, "%s", detail)
}

func (g *Gateway) refuseStale() *verdict.Verdict {
	return verdict.Refuse(verdict.ReasonNoConfiguration, staleRetry, "this instance has not reached the store for %v", g.state.Age().Round(time.Millisecond))
}

// setDeadline sets the time by which the request must be answered.
func (g *Gateway) setDeadline(c *Call, route *object.Route) {
	limit := defaultTimeout
	if c.Timeout > 0 {
		limit = c.Timeout
	}
	if route.TimeoutMS > 0 {
		limit = min(limit, time.Duration(route.TimeoutMS)*time.Millisecond)
	}
	c.Deadline = c.Arrived.Add(limit)
}

// defaultTimeout limits requests if neither the caller nor the route sets a timeout.
const defaultTimeout = time.Minute

// chargeQuota charges the request's tokens to its organisation's quota.
func (g *Gateway) chargeQuota(ctx context.Context, a *admittedCall) *verdict.Verdict {
	c := a.call
	if c.Organisation == "" {
		return nil
	}
	a.charge = int64(c.PromptTokens) + int64(c.MaxOutput)
	if !c.HasTokenCounts {
		a.charge = 1
		if limit, ok := a.index.Limit(c.Organisation); ok {
			a.charge = limit.CallTokens
		}
	}
	d := g.quotas.Take(ctx, QuotaRequest{
		Organisation: c.Organisation, Tokens: a.charge, MaxWait: quotaWait(a.route), Priority: c.priority, Left: timeLeft(c),
		RepeatKey: func() uint64 { return uint64(fingerprint(c.identity())) },
	})
	g.Metrics.RecordQuotaWait(d.Waited)
	if d.Slept && ctx.Err() == nil {
		g.quotaReporter.countWait(d)
	}
	if d.Admitted {
		g.Metrics.CountQuotaDecision("admitted")
		return nil
	}
	tokens := a.charge
	a.charge = 0
	switch {
	case ctx.Err() != nil:
		return verdict.Refuse(verdict.ReasonCancelled, 0, "the caller disconnected")
	case d.Unanswered:
		g.Metrics.CountQuotaDecision("unanswered")
		return verdict.Refuse(verdict.ReasonRateHomeUnavailable, d.Retry, "%s", d)
	}
	g.Metrics.CountQuotaDecision("refused")
	retry := d.Retry
	if !g.Features.QuotaOrder {
		retry = max(min(retry, time.Until(c.Deadline)), minQuotaRetry)
	}
	return verdict.Refuse(verdict.ReasonRateLimited, retry, "the organisation's quota is exhausted: %d tokens requested, %s", tokens, d)
}

// timeLeft returns how much longer the caller waits.
func timeLeft(c *Call) time.Duration {
	if c.Timeout > 0 {
		return c.Timeout - time.Since(c.Arrived)
	}
	return time.Until(c.Deadline)
}

// quotaWait returns how long a request waits for tokens.
func quotaWait(route *object.Route) time.Duration {
	if route.ObjectiveMS == 0 {
		return defaultQuotaWait
	}
	return time.Duration(quotaWaitRatio * float64(route.ObjectiveMS) * float64(time.Millisecond))
}

// refund returns the charge of a request that did not run.
func (g *Gateway) refund(a *admittedCall) {
	if a.charge > 0 {
		g.quotas.Refund(a.call.Organisation, a.charge)
		a.charge = 0
	}
}

// checkStillAllowed repeats the checks of the key and of quarantines immediately before a request is sent to an
// upstream: since the first check, the request may have waited for long or the machine may have
// been suspended.
func (g *Gateway) checkStillAllowed(a *admittedCall) *verdict.Verdict {
	if v := g.crashes.refusal(a.call); v != nil {
		return v
	}
	if a.call.Organisation == "" {
		return nil
	}
	if !g.state.Fresh() {
		return g.refuseStale()
	}
	k, _, ok := g.state.Index().KeyByHash(a.call.keyHash)
	if !ok || k.Withdrawn {
		return verdict.Refuse(verdict.ReasonKeyWithdrawn, 0, "the key was withdrawn")
	}
	return nil
}

// hostName strips the port from a host.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// statusOf returns the HTTP status of a verdict. 429 and 503 guarantee that the request has not run
// and will not run; 502 and 504 guarantee nothing.
func statusOf(v *verdict.Verdict) int {
	if v.Ran != verdict.NotRun {
		if v.Reason == verdict.ReasonTimeout {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch v.Reason {
	case verdict.ReasonBadRequest:
		return http.StatusBadRequest
	case verdict.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.ReasonUnauthenticated, verdict.ReasonKeyWithdrawn:
		return http.StatusUnauthorized
	case verdict.ReasonUnknownService:
		return http.StatusNotFound
	case verdict.ReasonRateLimited:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}
