package split

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// observed returns an advisor that has seen twenty equal requests.
func observed(prompt int, share float64, took time.Duration) *Advisor {
	a := New(DefaultConfig())
	for range 20 {
		a.ObservePrefill(prompt, time.Duration(float64(prompt)/50_000*float64(time.Second)), false)
		a.ObserveRequest(prompt, share, took)
	}
	return a
}

// Guards against engines that keep their initial role when a service's work shifts between
// answers and prompts, so that one pool is idle while the other refuses requests.
func TestSplitFollowsWork(t *testing.T) {
	cases := []struct {
		name          string
		prompt        int
		share         float64
		took          time.Duration
		engines, have int
		want          int
	}{
		{"long answers", 5_000, 0.13, 3 * time.Second, 14, 5, 4},
		{"longer answers", 5_000, 0.2, 5 * time.Second, 14, 5, 2},
		{"long prompts", 20_000, 0.25, 500 * time.Millisecond, 14, 5, 11},
		{"already right", 5_000, 0.1, 3 * time.Second, 9, 3, 3},
	}
	for _, c := range cases {
		got, ok := observed(c.prompt, c.share, c.took).Recommend(c.engines, c.have)
		assert.Assert(t, ok)
		assert.Equal(t, got, c.want, c.name)
	}
}

// throughput returns the requests per second that a division can serve, which the more
// heavily loaded pool limits.
func throughput(prefill, engines int, prefillWork, decodeWork float64) float64 {
	return min(float64(prefill)/prefillWork, float64(engines-prefill)/decodeWork)
}

// Guards against a recommended division that serves less than the initial one, within a
// tolerance of 5 %. In most cases it serves more.
func TestRecommendedSplitServesNoLess(t *testing.T) {
	for _, prompt := range []int{1_000, 5_000, 10_000} {
		for _, share := range []float64{0.05, 0.1, 0.2} {
			a := observed(prompt, share, 3*time.Second)
			recommended, _ := a.Recommend(14, 5)
			prefillWork, decodeWork := float64(prompt)/50_000, share*3
			before, after := throughput(5, 14, prefillWork, decodeWork), throughput(recommended, 14, prefillWork, decodeWork)
			assert.Assert(t, after >= 0.95*before, "prompt %d, share %.2f: %.1f after %.1f requests/s with %d", prompt, share, after, before, recommended)
		}
	}
}

// Guards against engines that follow every small change of the estimates, which differ from
// second to second. They would be changing roles most of the time.
func TestSmallDifferencesChangeNothing(t *testing.T) {
	a := observed(5_000, 0.1, 3*time.Second)
	want, _ := a.Recommend(9, 3)
	for _, have := range []int{want} {
		again, _ := a.Recommend(9, have)
		assert.Equal(t, again, have)
	}
}

// Guards against a single cached prompt, which is prefilled at once, being taken for the
// engines' speed. It made one prefill engine look sufficient for all prompts, and callers
// waited for that engine for the rest of the day.
func TestOneFastPromptChangesNothing(t *testing.T) {
	for before := range 8 {
		a := New(DefaultConfig())
		for i := range 8 {
			took := 100 * time.Millisecond
			if i == before {
				took = 4 * time.Millisecond
			}
			a.ObservePrefill(5_000, took, false)
			a.ObserveRequest(5_000, 0.15, 3*time.Second)
		}
		got, ok := a.Recommend(14, 5)
		assert.Assert(t, ok)
		assert.Equal(t, got, 4)
	}
}

// Guards against a recommendation without observations or with a single engine.
func TestNoRecommendationWithoutData(t *testing.T) {
	_, ok := New(DefaultConfig()).Recommend(9, 3)
	assert.Assert(t, !ok)
	_, ok = observed(5_000, 0.1, time.Second).Recommend(1, 1)
	assert.Assert(t, !ok)
}

// Guards against instances that decide by their own requests alone. Where seventy instances
// share forty requests a second, one has enough observations only after many seconds, and
// until then decode engines refuse requests while prefill engines are idle.
func TestPeerStatsSpeedUpDecision(t *testing.T) {
	a := observedRequests(1)
	_, ok := a.Recommend(44, 15)
	assert.Assert(t, !ok, "one request was enough for a recommendation")
	for _, name := range []string{"b", "c", "d", "e", "f", "g"} {
		a.SetPeer(name, observedRequests(1).Stats())
	}
	want, ok := a.Recommend(44, 15)
	assert.Assert(t, ok)
	alone, _ := observedRequests(20).Recommend(44, 15)
	assert.Equal(t, want, alone, "the pooled observations of many lead to another result than those of one")
	for _, name := range []string{"b", "c", "d", "e", "f", "g"} {
		a.SetPeer(name, Stats{})
	}
	_, ok = a.Recommend(44, 15)
	assert.Assert(t, !ok, "removed instances are still counted")
}

// Guards against one instance of seven that has seen a cached prompt determining the pooled
// speed.
func TestOneInstanceWithAFastPromptChangesNothing(t *testing.T) {
	a := observedRequests(4)
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		a.SetPeer(name, observedRequests(4).Stats())
	}
	before, _ := a.Recommend(44, 15)
	fast := observedRequests(4).Stats()
	fast.PrefillSpeed *= 30
	a.SetPeer("g", fast)
	after, _ := a.Recommend(44, 15)
	assert.Equal(t, after, before)
}

// observedRequests returns an advisor that has seen a number of equal requests.
func observedRequests(requests int) *Advisor {
	a := New(DefaultConfig())
	for range requests {
		a.ObservePrefill(5_000, 100*time.Millisecond, false)
		a.ObserveRequest(5_000, 0.13, 3*time.Second)
	}
	return a
}

// Guards against the first answers to finish being taken for all. When all instances of sixty
// engines restart during a burst, three hundred answers of one to six seconds run at once, and
// after a second and a half only the shortest have finished. Answers then look a third as long
// as they are: a fifth of the engines is ordered to prefill and ten seconds later back again,
// and callers are refused while they change.
func TestFirstFinishedRequestsAreShort(t *testing.T) {
	const running, engines, have = 300, 60, 20
	took := func(i int) time.Duration { return time.Second + 5*time.Second*time.Duration(i)/running }
	a := New(DefaultConfig())
	finish := func(until time.Duration) {
		for i := range running {
			if took(i) <= until {
				a.ObservePrefill(3_000, 120*time.Millisecond, false)
				a.ObserveRequest(3_000, 0.13, took(i))
			}
		}
	}
	finish(1500 * time.Millisecond)
	assert.Assert(t, a.TooFewFinished(running))
	early, _ := a.Recommend(engines, have)
	for range 3 {
		finish(6 * time.Second)
	}
	assert.Assert(t, !a.TooFewFinished(running))
	want, ok := a.Recommend(engines, have)
	assert.Assert(t, ok && early > want, "%d engines by the first answers, %d by all", early, want)
	assert.Assert(t, !observed(3_000, 0.13, 3*time.Second).TooFewFinished(5), "twenty finished requests are too few for five running")
}

// Guards against rounding the number of prefill engines up to four of five, which leaves a
// single decode engine that holds fewer answers than callers ask for.
func TestRoundingLeavesEnoughDecodeEngines(t *testing.T) {
	a := New(DefaultConfig())
	for range 20 {
		a.ObservePrefill(800, 31*time.Millisecond, false)
		a.ObserveRequest(800, 1.0/16, 205*time.Millisecond)
	}
	for have := 2; have <= 3; have++ {
		want, ok := a.Recommend(5, have)
		assert.Assert(t, ok)
		assert.Equal(t, want, 3, "with %d prefill engines", have)
	}
}

// Guards against the time that prompts wait behind others being taken for slow prefill. It
// would turn decode engines into prefill engines that are not needed, and callers would be
// refused for lack of decode capacity.
func TestWaitsAreNotSlowPrefill(t *testing.T) {
	a := New(DefaultConfig())
	for i := range 40 {
		uncontended := i%4 == 0
		took := 30 * time.Millisecond
		if !uncontended {
			took *= time.Duration(2 + i%3)
		}
		a.ObservePrefill(800, took, uncontended)
		a.ObserveRequest(800, 1.0/16, 280*time.Millisecond)
	}
	want, ok := a.Recommend(5, 3)
	assert.Assert(t, ok)
	assert.Equal(t, want, 3)
	assert.Assert(t, a.Stats().PrefillSpeed > 26_000, "%.0f tokens a second", a.Stats().PrefillSpeed)
}

// Guards against a role without engines that is never given one, since without it nothing is observed.
func TestBothRolesHaveEngines(t *testing.T) {
	cases := []struct{ engines, current, want int }{
		{0, 0, 0}, {1, 0, 0}, {1, 1, 0}, {2, 0, 1}, {2, 1, 1}, {2, 2, 1}, {3, 3, 2}, {3, 0, 1}, {9, 3, 3}, {9, 8, 8},
	}
	for _, c := range cases {
		assert.Equal(t, BothRoles(c.engines, c.current), c.want, "%d engines, %d of them prefill", c.engines, c.current)
		_, ok := New(DefaultConfig()).Recommend(c.engines, c.current)
		assert.Assert(t, !ok)
	}
}
