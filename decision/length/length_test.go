package length

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// answers draws lengths of answers and callers' estimates of them, both of which
// scatter by factors.
func answers(rng *rand.Rand, n int) (hints, tokens []int) {
	for range n {
		true := min(5000*math.Exp(0.5*rng.NormFloat64()), 9360)
		hints = append(hints, int(true*math.Exp(0.5*rng.NormFloat64())))
		tokens = append(tokens, int(true))
	}
	return hints, tokens
}

// Callers' estimates are right at the median and often off by a factor. Memory that
// is claimed by them runs over for half of the requests, and memory claimed for the
// stated most stands unused; both cost callers their answers.
func TestEstimateBeatsHint(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	hints, tokens := answers(rng, 600)
	e := New(DefaultConfig())
	var ours, hint, most float64
	for i := range tokens {
		if i >= 100 {
			log := math.Log(float64(tokens[i]))
			ours += math.Abs(math.Log(float64(e.Estimate(hints[i], 9360, 0))) - log)
			hint += math.Abs(math.Log(float64(hints[i])) - log)
			most += math.Abs(math.Log(9360) - log)
		}
		e.Observe(hints[i], tokens[i])
	}
	assert.Assert(t, ours < 0.75*hint, "error %.2f, of the hints %.2f", ours/500, hint/500)
	assert.Assert(t, ours < 0.6*most, "error %.2f, of the stated most %.2f", ours/500, most/500)
}

// The claim is to be passed seldom where it lies above the middle.
func TestDeviationsCoverMore(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	hints, tokens := answers(rng, 1200)
	e := New(DefaultConfig())
	passed := 0
	for i := range tokens {
		if i >= 200 && tokens[i] > e.Estimate(hints[i], 9360, 1) {
			passed++
		}
		e.Observe(hints[i], tokens[i])
	}
	assert.Assert(t, passed > 50 && passed < 250, "%d of 1000 passed a claim at one deviation", passed)
}

// An instance that has just started knows nothing of a service's answers. A guess
// would fill an engine whose requests then run out of memory.
func TestUnknownServiceClaimsTheMost(t *testing.T) {
	e := New(DefaultConfig())
	for range 5 {
		e.Observe(100, 100)
	}
	assert.Equal(t, e.Estimate(100, 9360, 0), 9360)
}

// Callers that give no estimate are estimated by the mean, and senseless figures do
// no harm.
func TestMissingHints(t *testing.T) {
	e := New(DefaultConfig())
	for range 50 {
		e.Observe(0, 1000)
		e.Observe(-3, 0)
	}
	got := e.Estimate(0, 9360, 0)
	assert.Assert(t, got > 950 && got < 1050, "%d", got)
}

// Sixty instances share the requests of a service. What one has seen alone is too little
// for half a day's rush, and the stated most that it claims meanwhile keeps half of the
// engines' memory from others.
func TestFleetKnowsLengthsSooner(t *testing.T) {
	const most = 9_000
	e, all := New(DefaultConfig()), New(DefaultConfig())
	for peer := range 6 {
		other := New(DefaultConfig())
		for i := range 3 {
			hint, tokens := 1_000*(1+i), 1_200*(1+peer%3)*(1+i)/2
			other.Observe(hint, tokens)
			all.Observe(hint, tokens)
		}
		if 3*peer < int(DefaultConfig().MinSamples) {
			assert.Equal(t, e.Estimate(2_000, most, 0), most, "%d samples are enough", 3*peer)
		}
		e.SetPeer(string(rune('a'+peer)), other.OwnSums())
	}
	assert.Equal(t, e.Samples(), 18.0)
	together, alone := e.Estimate(2_000, most, 0.25), all.Estimate(2_000, most, 0.25)
	assert.Assert(t, together < most/2 && max(together-alone, alone-together) <= 1, "%d of all, %d of one that saw all", together, alone)
	for peer := range 6 {
		e.SetPeer(string(rune('a'+peer)), Sums{})
	}
	assert.Equal(t, e.Estimate(2_000, most, 0.25), most)
}
