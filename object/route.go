package object

import "strings"

// RouteKind determines whether requests may be retried.
type RouteKind string

const (
	// RouteIdempotent requests can safely run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteAtMostOnce requests may run at most once.
	RouteAtMostOnce RouteKind = "at_most_once"
	// RouteStreaming requests are answered with an event stream and run at most once
	// unless the route is resumable.
	RouteStreaming RouteKind = "streaming"
)

// Route maps the requests for a host whose path has a prefix to services. If several
// routes match, the one with the longest prefix applies.
type Route struct {
	Name string `json:"name"`
	// Host is compared with the request's host, ignoring case.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string    `json:"path_prefix"`
	Kind       RouteKind `json:"kind"`
	// Targets are the services that handle the requests, with the share of each.
	Targets []Target `json:"targets"`
	// TimeoutMS is the longest time for which a request may be unanswered, in
	// milliseconds; 0 means that only the caller's deadline applies.
	TimeoutMS int `json:"timeout_ms,omitempty"`
	// ObjectiveMS is the latency objective in milliseconds: the time within which the
	// response, or the first event of a stream, has its full value to the caller.
	ObjectiveMS int `json:"objective_ms,omitempty"`
	// EventGapMS is the longest gap between two events of a stream that still counts as on
	// time, in milliseconds.
	EventGapMS int `json:"event_gap_ms,omitempty"`
	// PatienceMS is how long callers of a streaming route wait for the first event, in
	// milliseconds; 0 means until their deadline.
	PatienceMS int `json:"patience_ms,omitempty"`
	// Priority ranks the route's requests when a service is full; 0 is served first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the most upstreams that one request may be sent to; 0 means 1.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Public routes require no key.
	Public bool `json:"public,omitempty"`
	// Resumable streams may continue at another upstream after any complete event.
	Resumable bool `json:"resumable,omitempty"`
}

// Target is a service to which a route sends requests.
type Target struct {
	Service string `json:"service"`
	// Weight is the share of the route's requests, relative to the other targets.
	Weight int `json:"weight"`
}

// MayRepeat reports whether requests of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStreaming && r.Resumable
}

// Attempts returns the most upstreams that one request may be sent to.
func (r *Route) Attempts() int { return max(r.MaxAttempts, 1) }

// Pick selects the service of a target by weight. Points must be uniformly distributed
// over the range of uint64; the same point always selects the same service.
func (r *Route) Pick(point uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	remaining := int(point % uint64(total))
	for _, t := range r.Targets {
		if remaining -= t.Weight; remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// routeKey is the host in lower case and the path prefix of a route, unique in a set.
type routeKey struct{ host, prefix string }

func (r *Route) key() routeKey { return routeKey{strings.ToLower(r.Host), r.PathPrefix} }

func (x *Index) indexRoutes() {
	x.routes = make(map[routeKey]*Route, len(x.set.Routes))
	for i := range x.set.Routes {
		r := &x.set.Routes[i]
		x.routes[r.key()] = r
	}
}

// Route returns the route for a host and path, the one with the longest matching prefix.
// The cost depends on the depth of the path and not on the number of routes, because a
// set may have hundreds for one host.
func (x *Index) Route(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := x.routes[routeKey{host, path[:end+1]}]; ok {
			return r, true
		}
	}
	return nil, false
}
