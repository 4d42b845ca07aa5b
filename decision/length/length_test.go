package length

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// randomRequests returns random output lengths and callers' hints of them. Both have a
// log-normal distribution.
func randomRequests(rng *rand.Rand, n int) (hints, tokens []int) {
	for range n {
		length := min(5000*math.Exp(0.5*rng.NormFloat64()), 9360)
		hints = append(hints, int(length*math.Exp(0.5*rng.NormFloat64())))
		tokens = append(tokens, int(length))
	}
	return hints, tokens
}

// Guards against estimates that are hardly better than the callers' hints, which are right in the
// median and often off by a factor, or than the output limit. Claims of the former are too small
// for half of the requests, claims of the latter leave memory unused; both cost requests.
func TestEstimateBeatsHint(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	hints, tokens := randomRequests(rng, 600)
	e := New(DefaultConfig())
	var estimate, hint, limit float64
	for i := range tokens {
		if i >= 100 {
			actual := math.Log(float64(tokens[i]))
			estimate += math.Abs(math.Log(float64(e.Estimate(hints[i], 9360, 0))) - actual)
			hint += math.Abs(math.Log(float64(hints[i])) - actual)
			limit += math.Abs(math.Log(9360) - actual)
		}
		e.Observe(hints[i], tokens[i])
	}
	assert.Assert(t, estimate < 0.75*hint, "error of the estimate %.2f, of the hint %.2f", estimate/500, hint/500)
	assert.Assert(t, estimate < 0.6*limit, "error of the estimate %.2f, of the output limit %.2f", estimate/500, limit/500)
}

// Guards against claims above the median that are exceeded too often, or almost never.
func TestDeviationsCoverMore(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	hints, tokens := randomRequests(rng, 1200)
	e := New(DefaultConfig())
	exceeded := 0
	for i := range tokens {
		if i >= 200 && tokens[i] > e.Estimate(hints[i], 9360, 1) {
			exceeded++
		}
		e.Observe(hints[i], tokens[i])
	}
	assert.Assert(t, exceeded > 50 && exceeded < 250, "%d of 1000 exceeded an estimate of one standard deviation", exceeded)
}

// Guards against estimates from too few samples, as on an instance that has just started:
// engines would accept too many requests and run out of memory.
func TestUnknownServiceClaimsOutputLimit(t *testing.T) {
	e := New(DefaultConfig())
	for range 5 {
		e.Observe(100, 100)
	}
	assert.Equal(t, e.Estimate(100, 9360, 0), 9360)
}

// Guards against wrong estimates for callers that give no hint, which get the mean, and against
// invalid values that distort the samples.
func TestMissingHints(t *testing.T) {
	e := New(DefaultConfig())
	for range 50 {
		e.Observe(0, 1000)
		e.Observe(-3, 0)
	}
	got := e.Estimate(0, 9360, 0)
	assert.Assert(t, got > 950 && got < 1050, "%d", got)
}

// Guards against instances that estimate only from their own samples. Where sixty instances share
// the requests of a service, one alone has too few samples for half a day of peak load; it claims
// the output limit meanwhile and blocks half of the engines' memory.
func TestFleetKnowsLengthsSooner(t *testing.T) {
	const limit = 9_000
	e, all := New(DefaultConfig()), New(DefaultConfig())
	for peer := range 6 {
		other := New(DefaultConfig())
		for i := range 3 {
			hint, tokens := 1_000*(1+i), 1_200*(1+peer%3)*(1+i)/2
			other.Observe(hint, tokens)
			all.Observe(hint, tokens)
		}
		if 3*peer < int(DefaultConfig().MinSamples) {
			assert.Equal(t, e.Estimate(2_000, limit, 0), limit, "%d samples are enough", 3*peer)
		}
		e.SetPeer(string(rune('a'+peer)), other.OwnSums())
	}
	assert.Equal(t, e.Samples(), 18.0)
	combined, single := e.Estimate(2_000, limit, 0.25), all.Estimate(2_000, limit, 0.25)
	assert.Assert(t, combined < limit/2 && max(combined-single, single-combined) <= 1,
		"%d with the combined samples, %d with all samples on one instance", combined, single)
	for peer := range 6 {
		e.SetPeer(string(rune('a'+peer)), Sums{})
	}
	assert.Equal(t, e.Estimate(2_000, limit, 0.25), limit)
}
