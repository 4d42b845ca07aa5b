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

func aRoute(name, prefix string) Route {
	return Route{Name: name, Host: "h.example", PathPrefix: prefix, Kind: RouteIdempotent, Targets: []Target{{"s", 1}}}
}

func TestLongestPrefixHolds(t *testing.T) {
	x := NewIndex(routeSet(aRoute("all", "/"), aRoute("a", "/a/"), aRoute("ab", "/a/b/")), 1)
	for path, want := range map[string]string{"/": "all", "/a": "all", "/a/": "a", "/a/b": "a", "/a/b/": "ab", "/a/b/c/d": "ab", "/a//b/": "a", "/ab/x": "all"} {
		r, ok := x.Route("H.example", path)
		assert.Assert(t, ok)
		assert.Equal(t, r.Name, want, path)
	}
	_, ok := x.Route("other", "/a/")
	assert.Assert(t, !ok)
}

// Operators write a set with several faults in its routes. Told one at a time they
// would publish as often; told without the other object they would look for it.
func TestFaultsOfRoutesAreNamedInOneRun(t *testing.T) {
	bad := aRoute("bad", "a")
	bad.Host, bad.Kind, bad.Targets = "", "other", []Target{{"s", 0}, {"gone", -1}}
	twice, same := aRoute("twice", "/a/"), aRoute("same", "/a/")
	same.Host = "H.EXAMPLE"
	once := aRoute("once", "/o/")
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

// A split sends requests by weight: a target of weight 0 must get none.
func TestPickFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"s", 3}, {"never", 0}, {"p", 1}}}
	count := map[string]int{}
	for i := range uint64(4000) {
		count[r.Pick(i)]++
	}
	assert.DeepEqual(t, count, map[string]int{"s": 3000, "p": 1000})
	assert.Equal(t, (&Route{Targets: []Target{{"s", 0}}}).Pick(7), "s")
}

func TestRoutesTravelAsEdits(t *testing.T) {
	old := routeSet(aRoute("a", "/a/"), aRoute("b", "/b/"))
	changed := aRoute("b", "/c/")
	edited := routeSet(changed, aRoute("d", "/d/"))
	assert.DeepEqual(t, EditBetween(old, edited).Apply(old).Routes, edited.Routes)
	assert.Equal(t, len(Diff(old, edited)), 3)
}
