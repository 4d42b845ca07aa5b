package object

import (
	"strconv"
	"strings"
)

// routes checks every route, and that no two claim the same host and prefix: which
// of them held would depend on the order of the text.
func (c *checker) routes() {
	claimed := make(map[routeKey]Ref)
	for _, r := range c.set.Routes {
		ref := Ref{TypeRoute, r.Name}
		c.routeForm(ref, r)
		c.targets(ref, r)
		if other, taken := claimed[r.key()]; taken {
			c.add(Fault{Kind: FaultDuplicate, Object: ref, Other: other, Field: "path_prefix", Given: r.Host + r.PathPrefix,
				Allowed: "each host and prefix in one route"})
			continue
		}
		claimed[r.key()] = ref
	}
}

func (c *checker) routeForm(ref Ref, r Route) {
	if r.Host == "" {
		c.add(Fault{Kind: FaultMissing, Object: ref, Field: "host", Allowed: "a host name"})
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.add(Fault{Kind: FaultBadValue, Object: ref, Field: "path_prefix", Given: r.PathPrefix, Allowed: "a path that begins and ends with a slash"})
	}
	switch r.Kind {
	case RouteIdempotent, RouteAtMostOnce:
		c.routeNotApplicable(ref, "resumable", r.Resumable, r.Kind)
	case RouteStreaming:
	default:
		c.add(Fault{Kind: FaultBadValue, Object: ref, Field: "kind", Given: string(r.Kind), Allowed: "idempotent, at_most_once, streaming"})
	}
	c.notNegative(ref, "timeout_ms", int64(r.TimeoutMS))
	c.notNegative(ref, "objective_ms", int64(r.ObjectiveMS))
	c.notNegative(ref, "event_gap_ms", int64(r.EventGapMS))
	c.notNegative(ref, "priority", int64(r.Priority))
	c.notNegative(ref, "max_attempts", int64(r.MaxAttempts))
}

func (c *checker) routeNotApplicable(ref Ref, field string, set bool, kind RouteKind) {
	if set {
		c.add(Fault{Kind: FaultNotApplicable, Object: ref, Field: field, Allowed: "nothing for kind " + string(kind)})
	}
}

// targets checks a route's split. A split whose weights are all zero would send
// everything to one service or nothing anywhere, and both surprise.
func (c *checker) targets(ref Ref, r Route) {
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
