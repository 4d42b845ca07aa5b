package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/verdict"
)

// Figures of admission.
const (
	// startRetry is when a caller is told to come back that reached an instance which has not
	// read all that it decides by: the reads take some hundred ms.
	startRetry = 500 * time.Millisecond
	// staleRetry is when a caller is told to come back that was refused since this
	// instance cannot tell which keys hold: by then the balancer has taken it out,
	// and the caller reaches another.
	staleRetry = 500 * time.Millisecond
	// certainMargin is how much younger than the time in which a new configuration must
	// be in force its proof must be for an unknown route or key to be refused for good.
	// With an older one the caller of a route that was just added would be told never to
	// ask again.
	certainMargin = 100 * time.Millisecond
	// minQuotaRetry is the least time after which a caller is told to come back.
	minQuotaRetry = 100 * time.Millisecond
	// quotaPatience is how long a request without an objective waits for tokens, quotaShare
	// the part of the objective that others wait. A prompt that is read later is still
	// answered in time.
	quotaPatience = 200 * time.Millisecond
	quotaShare    = 1.0 / 3
)

// admitted is a request that may run.
type admitted struct {
	call    *Call
	route   *object.Route
	service *object.Service
	index   *object.Index
	// upstream is the id of the one that was sent the request last.
	upstream string
	// charge is what was taken of the organisation's quota.
	charge int64
}

// find finds the route, the organisation and the service of a call.
func (g *Gateway) find(c *Call, key string) (*admitted, *verdict.Verdict) {
	if part := g.state.Missing(); part != NoPrerequisite {
		reason := verdict.ReasonStarting
		if part == PrerequisiteConfiguration {
			reason = verdict.ReasonNoConfiguration
		}
		return nil, verdict.Refuse(reason, startRetry, "this instance has not read the %s yet", part)
	}
	index := g.state.Index()
	route, ok := index.Route(hostName(c.Host), c.Path)
	if !ok {
		return nil, g.denied(verdict.ReasonUnknownService, "no route for this host and path")
	}
	a := &admitted{call: c, route: route, index: index}
	c.prio = route.Priority
	if !route.Public {
		if v := g.identify(a, key); v != nil {
			return nil, v
		}
	}
	name := route.Pick(hashPoint(c.ID))
	if a.service, ok = index.Service(name); !ok {
		return nil, verdict.Refuse(verdict.ReasonNoUpstream, time.Second, "the route's service %s is not configured", name)
	}
	g.setDeadline(c, route)
	return a, nil
}

// identify finds the organisation by the key.
func (g *Gateway) identify(a *admitted, key string) *verdict.Verdict {
	if !g.state.Fresh() {
		return g.stale()
	}
	if key == "" {
		return g.denied(verdict.ReasonUnauthenticated, "a key is needed")
	}
	hash := object.HashKey(key)
	k, organisation, ok := a.index.KeyByHash(hash)
	if !ok || k.Withdrawn {
		return g.denied(verdict.ReasonUnauthenticated, "the key is not known")
	}
	a.call.Organisation, a.call.keyHash = organisation.Name, hash
	if organisation.Priority != nil {
		a.call.prio = *organisation.Priority
	}
	return nil
}

// denied refuses for good what the configuration does not allow, if this instance
// is sure of it.
func (g *Gateway) denied(reason verdict.Reason, detail string) *verdict.Verdict {
	if g.state.Age() > g.ApplyTimeout-certainMargin {
		return g.stale()
	}
	return verdict.Refuse(reason, 0, "%s", detail)
}

func (g *Gateway) stale() *verdict.Verdict {
	return verdict.Refuse(verdict.ReasonNoConfiguration, staleRetry, "this instance has not reached the store for %v", g.state.Age().Round(time.Millisecond))
}

// setDeadline sets the time by which the request must have its final answer.
func (g *Gateway) setDeadline(c *Call, route *object.Route) {
	limit := defaultPatience
	if c.Timeout > 0 {
		limit = c.Timeout
	}
	if route.TimeoutMS > 0 {
		limit = min(limit, time.Duration(route.TimeoutMS)*time.Millisecond)
	}
	c.Deadline = c.Arrived.Add(limit)
}

// defaultPatience bounds requests whose caller and route name no limit.
const defaultPatience = time.Minute

// charge takes the request's tokens off its organisation's quota.
func (g *Gateway) charge(ctx context.Context, a *admitted) *verdict.Verdict {
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
	d := g.quotas.Take(ctx, c.Organisation, a.charge, quotaWait(a.route))
	g.Metrics.QuotaWait(d.Waited)
	if d.Admitted {
		g.Metrics.Quota("admitted")
		return nil
	}
	tokens := a.charge
	a.charge = 0
	switch {
	case ctx.Err() != nil:
		return verdict.Refuse(verdict.ReasonCancelled, 0, "the caller left")
	case d.Unanswered:
		g.Metrics.Quota("unanswered")
		return verdict.Refuse(verdict.ReasonRateHomeUnknown, d.Retry, "%s", d)
	}
	g.Metrics.Quota("refused")
	retry := max(min(d.Retry, time.Until(c.Deadline)), minQuotaRetry)
	return verdict.Refuse(verdict.ReasonRateLimited, retry, "the organisation's quota is used up: %d tokens asked, %s", tokens, d)
}

// quotaWait is how long a request waits for tokens.
func quotaWait(route *object.Route) time.Duration {
	if route.ObjectiveMS == 0 {
		return quotaPatience
	}
	return time.Duration(quotaShare * float64(route.ObjectiveMS) * float64(time.Millisecond))
}

// refund gives the charge of a request that did not run back.
func (g *Gateway) refund(a *admitted) {
	if a.charge > 0 {
		g.quotas.Refund(a.call.Organisation, a.charge)
		a.charge = 0
	}
}

// mayRun checks, right before a request is sent to an upstream, that what allowed
// it still holds: a request may have waited for long, or the machine may have been
// suspended, since its key was checked.
func (g *Gateway) mayRun(a *admitted) *verdict.Verdict {
	if a.call.Organisation == "" {
		return nil
	}
	if !g.state.Fresh() {
		return g.stale()
	}
	k, _, ok := g.state.Index().KeyByHash(a.call.keyHash)
	if !ok || k.Withdrawn {
		return verdict.Refuse(verdict.ReasonKeyWithdrawn, 0, "the key was withdrawn")
	}
	return nil
}

// hostName strips the port off a host.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// statusOf is the HTTP status of a verdict. 429 and 503 promise that the request
// has not run and will not; 502 and 504 promise nothing.
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
