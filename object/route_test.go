package object

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func routeSet(routes ...Route) Set {
	return Set{
		Services: []Service{{Name: "s", Kind: KindPlain, Discovered: true}, {Name: "p", Kind: KindPlain, Discovered: true}},
		Routes:   routes,
	}
}

func newRoute(name, prefix string) Route {
	return Route{Name: name, Host: "h.example", PathPrefix: prefix, Kind: RouteIdempotent, Targets: []Target{{"s", 1}}}
}

func TestLongestPrefixWins(t *testing.T) {
	x := NewIndex(routeSet(newRoute("all", "/"), newRoute("a", "/a/"), newRoute("ab", "/a/b/")), 1)
	for path, want := range map[string]string{"/": "all", "/a": "all", "/a/": "a", "/a/b": "a", "/a/b/": "ab", "/a/b/c/d": "ab", "/a//b/": "a", "/ab/x": "all"} {
		r, ok := x.Route("H.example", path)
		assert.Assert(t, ok)
		assert.Equal(t, r.Name, want, path)
	}
	_, ok := x.Route("other", "/a/")
	assert.Assert(t, !ok)
}

// A set has several faults in its routes. If they were reported one at a time, the
// operator would need as many attempts; a report without the other object involved would
// make the operator search for it.
func TestRouteFaultsAreReportedTogether(t *testing.T) {
	bad := newRoute("bad", "a")
	bad.Host, bad.Kind, bad.Targets = "", "other", []Target{{"s", 0}, {"gone", -1}}
	twice, same := newRoute("twice", "/a/"), newRoute("same", "/a/")
	same.Host = "H.EXAMPLE"
	once := newRoute("once", "/o/")
	once.Kind, once.Resumable, once.Targets = RouteAtMostOnce, true, nil
	var got []string
	for _, f := range Check(routeSet(bad, twice, same, once)) {
		got = append(got, fmt.Sprintf("%s %s %s %s", f.Object.Name, f.Kind, f.Field, f.Other.Name))
	}
	assert.DeepEqual(t, got, []string{
		"bad missing host ", "bad bad_value kind ", "bad bad_value path_prefix ", "bad dangling targets gone",
		"bad out_of_range targets.weight ", "bad out_of_range targets.weight ",
		"once not_applicable resumable ", "once missing targets ", "same duplicate path_prefix twice",
	})
}

// Requests are distributed by weight; a target of weight 0 must get none.
func TestPickFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"s", 3}, {"never", 0}, {"p", 1}}}
	count := map[string]int{}
	for i := range uint64(4000) {
		count[r.Pick(i)]++
	}
	assert.DeepEqual(t, count, map[string]int{"s": 3000, "p": 1000})
	assert.Equal(t, (&Route{Targets: []Target{{"s", 0}}}).Pick(7), "s")
}

func TestEditChangesRoutes(t *testing.T) {
	old := routeSet(newRoute("a", "/a/"), newRoute("b", "/b/"))
	changed := newRoute("b", "/c/")
	edited := routeSet(changed, newRoute("d", "/d/"))
	assert.DeepEqual(t, EditBetween(old, edited).Apply(old).Routes, edited.Routes)
	assert.Equal(t, len(Diff(old, edited)), 3)
}
