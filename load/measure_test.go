package load

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func surgeScenario() *Scenario {
	surge := Surge{From: Duration{10 * time.Second}, To: Duration{20 * time.Second}, Factor: 4}
	s := &Scenario{
		Name: "s", Seed: 7, Duration: Duration{40 * time.Second}, Instances: make([]Instance, 9),
		Organisations: []Organisation{{Name: "a", RateFactor: 1}, {Name: "b", RateFactor: 1, Surges: []Surge{surge}}},
		Kinds:         []Kind{{Name: "k", Form: FormText, RequestsPerSecond: 50, Model: "m", PromptTokens: [2]int{10, 30000}, MaxTokens: [2]int{1, 9}}},
	}
	s.setDefaults()
	return s
}

func TestScheduleIsSeededAndFollowsSurges(t *testing.T) {
	s := surgeScenario()
	tasks, again := Schedule(s), Schedule(s)
	assert.Equal(t, len(tasks), len(again))
	counts := map[string]int{}
	for i, task := range tasks {
		assert.Equal(t, *task, *again[i])
		assert.Assert(t, task.PromptTokens >= 10 && task.PromptTokens <= 30000)
		if task.Arrival >= 10*time.Second && task.Arrival < 20*time.Second {
			counts[task.Organisation.Name]++
		}
	}
	// The expected counts are 500 and 2000; the seed is fixed.
	assert.Assert(t, counts["a"] > 400 && counts["a"] < 600, "%v", counts)
	assert.Assert(t, counts["b"] > 1800 && counts["b"] < 2200, "%v", counts)
}

// Adding a kind to the mix must not move the arrivals of the others, or two runs could not be
// compared pair by pair.
func TestAddedKindKeepsOtherArrivals(t *testing.T) {
	s := surgeScenario()
	before := Schedule(s)
	extra := s.Kinds[0]
	extra.Name, extra.RequestsPerSecond = "extra", 1
	s.Kinds = append(s.Kinds, extra)
	var kept []time.Duration
	for _, task := range Schedule(s) {
		if task.Kind.Name == "k" {
			kept = append(kept, task.Arrival)
		}
	}
	assert.Equal(t, len(kept), len(before))
	for i, task := range before {
		assert.Equal(t, kept[i], task.Arrival)
	}
}

// An organisation sends ten requests at once with a burst for four. The first four are within its
// rate limit, so refusing one of these is a fault of the router.
func TestWithinRateMatchesExactTokenBucket(t *testing.T) {
	o := &Organisation{Name: "a", TokensPerSecond: 10, Burst: 40}
	kind := &Kind{Form: FormCall, Cost: 10}
	var results []*Result
	for i := range 10 {
		a := &Attempt{Outcome: OutcomeComplete}
		if i == 1 || i >= 5 {
			a = &Attempt{Outcome: OutcomeRefused, Ran: "not_run", Reason: "rate_limited"}
		}
		results = append(results, &Result{Task: &Task{Kind: kind, Organisation: o}, Attempts: []*Attempt{a}})
	}
	within := withinRate(o, results)
	for i, r := range results {
		// The second was refused, so its tokens were available to the fifth.
		assert.Equal(t, within[r], i < 5, "%d", i)
	}
}

func reportOf(seed uint64, good ...int) *Report {
	r := &Report{Scenario: "s", Seed: seed, Seconds: 10, Tasks: 100}
	for _, n := range good {
		r.Tenths = append(r.Tenths, Interval{Good: n, WorstShare: 1})
	}
	return r
}

func TestComparePairsTenths(t *testing.T) {
	a := []*Report{reportOf(1, 10, 20), reportOf(2, 40, 0)}
	b := []*Report{reportOf(2, 20, 5), reportOf(1, 10, 40)}
	all, err := Compare(a, b)
	assert.NilError(t, err)
	goodput := all[0]
	assert.Equal(t, goodput.Pairs, 3)
	assert.Equal(t, goodput.Median, 1.0)
	assert.Equal(t, goodput.FirstQuartile, 0.75)
	assert.Equal(t, goodput.ThirdQuartile, 1.5)
	assert.Assert(t, math.IsNaN(all[2].Median))
	_, err = Compare(a, b[:1])
	assert.ErrorContains(t, err, "no run of s with seed 1 and 100 requests")
}

func TestSlopesFitLine(t *testing.T) {
	var reports []*Report
	for rate := 1; rate <= 3; rate++ {
		reports = append(reports, &Report{Tasks: rate * 10, Seconds: 10, Processes: []ProcessUsage{
			{Name: "entry-1", Cores: 0.1 + 0.02*float64(rate), PeakMB: 40},
			{Name: "entry-2", Ended: true, Cores: 9},
		}})
	}
	all := Slopes(reports)
	assert.Equal(t, len(all), 2)
	assert.Equal(t, all[1].Group, "entry")
	assert.Assert(t, math.Abs(all[1].PerRequest-0.02) < 1e-9)
	assert.Assert(t, math.Abs(all[1].Intercept-0.1) < 1e-9)
	assert.Assert(t, all[1].Residual < 1e-9)
}

func TestExampleScenarios(t *testing.T) {
	for _, name := range []string{"jadran", "brazos"} {
		s, err := ReadScenario("../scenarios/" + name + ".json")
		assert.NilError(t, err)
		assert.Assert(t, len(Schedule(s)) > 1000, name)
	}
}
