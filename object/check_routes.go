package object

import (
	"strconv"
	"strings"
)

// checkRoutes checks every route, and that no two have the same host and prefix. Which of
// the two applied would depend on their order in the set.
func (c *checker) checkRoutes() {
	seen := make(map[routeKey]Ref)
	for _, r := range c.set.Routes {
		ref := Ref{TypeRoute, r.Name}
		c.checkRouteFields(ref, r)
		c.checkTargets(ref, r)
		if other, taken := seen[r.key()]; taken {
			c.add(Fault{Kind: FaultDuplicate, Object: ref, Other: other, Field: "path_prefix", Given: r.Host + r.PathPrefix,
				Allowed: "each host and prefix in one route"})
			continue
		}
		seen[r.key()] = ref
	}
}

func (c *checker) checkRouteFields(ref Ref, r Route) {
	if r.Host == "" {
		c.add(Fault{Kind: FaultMissing, Object: ref, Field: "host", Allowed: "a host name"})
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.add(Fault{Kind: FaultBadValue, Object: ref, Field: "path_prefix", Given: r.PathPrefix, Allowed: "a path that begins and ends with a slash"})
	}
	switch r.Kind {
	case RouteIdempotent, RouteAtMostOnce:
		c.checkRouteFieldUnset(ref, "resumable", r.Resumable, r.Kind)
		c.checkRouteFieldUnset(ref, "patience_ms", r.PatienceMS != 0, r.Kind)
	case RouteStreaming:
	default:
		c.add(Fault{Kind: FaultBadValue, Object: ref, Field: "kind", Given: string(r.Kind), Allowed: "idempotent, at_most_once, streaming"})
	}
	c.checkNotNegative(ref, "timeout_ms", int64(r.TimeoutMS))
	c.checkNotNegative(ref, "objective_ms", int64(r.ObjectiveMS))
	c.checkNotNegative(ref, "event_gap_ms", int64(r.EventGapMS))
	c.checkNotNegative(ref, "patience_ms", int64(r.PatienceMS))
	c.checkNotNegative(ref, "priority", int64(r.Priority))
	c.checkNotNegative(ref, "max_attempts", int64(r.MaxAttempts))
}

func (c *checker) checkRouteFieldUnset(ref Ref, field string, set bool, kind RouteKind) {
	if set {
		c.add(Fault{Kind: FaultNotApplicable, Object: ref, Field: field, Allowed: "no value for kind " + string(kind)})
	}
}

// checkTargets checks the targets of a route and their weights. If all weights were zero,
// the route would send either all requests to one service or none to any, neither of
// which an operator expects.
func (c *checker) checkTargets(ref Ref, r Route) {
	if len(r.Targets) == 0 {
		c.add(Fault{Kind: FaultMissing, Object: ref, Field: "targets", Allowed: "at least one service"})
		return
	}
	total := 0
	for _, t := range r.Targets {
		if t.Weight < 0 {
			c.add(outOfRange(ref, "targets.weight", int64(t.Weight), "0 or more"))
		}
		total += t.Weight
	}
	if total <= 0 {
		c.add(Fault{Kind: FaultOutOfRange, Object: ref, Field: "targets.weight", Given: strconv.Itoa(total), Allowed: "weights with a sum above 0"})
	}
}
