package object

import "strings"

// RouteKind says what may be repeated.
type RouteKind string

const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteAtMostOnce requests may run at most once.
	RouteAtMostOnce RouteKind = "at_most_once"
	// RouteStreaming requests are answered by a stream of events, and run at most
	// once unless the route is resumable.
	RouteStreaming RouteKind = "streaming"
)

// Route sends the requests of a host whose path begins with a prefix to services.
// Of several routes that match, the one with the longest prefix holds.
type Route struct {
	Name string `json:"name"`
	// Host is compared with the request's host, without regard to case.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string    `json:"path_prefix"`
	Kind       RouteKind `json:"kind"`
	// Targets are the services that answer, with the share of each.
	Targets []Target `json:"targets"`
	// TimeoutMS is the longest that a request may go unanswered, in milliseconds;
	// 0 means that only the caller's own deadline holds.
	TimeoutMS int `json:"timeout_ms,omitempty"`
	// ObjectiveMS is the time within which an answer, or the first event of a
	// stream, is worth its full value to the caller, in milliseconds.
	ObjectiveMS int `json:"objective_ms,omitempty"`
	// EventGapMS is the longest pause between events of a stream that is still on
	// time, in milliseconds.
	EventGapMS int `json:"event_gap_ms,omitempty"`
	// Priority ranks the route's requests on a full service, 0 first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the most upstreams that one request may be sent to; 0 means 1.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Resumable streams may go on at another upstream after a whole event.
	Resumable bool `json:"resumable,omitempty"`
}

// Target is one service of a route.
type Target struct {
	Service string `json:"service"`
	// Weight is the share of the route's requests, relative to the other targets.
	Weight int `json:"weight"`
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStreaming && r.Resumable
}

// Attempts is the most upstreams that one request may be sent to.
func (r *Route) Attempts() int { return max(r.MaxAttempts, 1) }

// Pick returns the target for a point, a number spread evenly over all of its
// values.
func (r *Route) Pick(point uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	at := int(point % uint64(total))
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// routeKey identifies a route: no two of a set have the same host and prefix.
type routeKey struct{ host, prefix string }

func (r *Route) key() routeKey { return routeKey{strings.ToLower(r.Host), r.PathPrefix} }

func (x *Index) indexRoutes() {
	x.routes = make(map[routeKey]*Route, len(x.set.Routes))
	for i := range x.set.Routes {
		r := &x.set.Routes[i]
		x.routes[r.key()] = r
	}
}

// Route finds the route of a host and path: the one with the longest prefix that
// begins the path. The cost grows with the path's depth and not with the number
// of routes, since a set may have hundreds for one host.
func (x *Index) Route(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := x.routes[routeKey{host, path[:end+1]}]; ok {
			return r, true
		}
	}
	return nil, false
}
