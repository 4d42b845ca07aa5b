// Package length estimates how many tokens a request's answer will have.
//
// Load pattern: callers state the most output they accept, which is the same large
// number for all, and an estimate that is right at the median and often far off. A
// decode engine's memory is claimed for the whole course of a request.
//
// Without it: claims of the stated most leave nearly half of the engines' memory
// unused at all times, and claims of the caller's estimate run over for every other
// request (TestEstimateBeatsHint measures the error of each).
//
// The lengths of answers and the callers' estimates both scatter by factors, so that
// the logarithms are fitted: a line through those of the finished requests of a
// service, from the estimate to the length. Where estimates say little the line is
// flat and the mean length decides; where they are good it follows them.
//
// Grounds for the figures:
//   - MinSamples 12: the spread of a fit through fewer is itself known to no better
//     than a fifth. Until then the stated most is claimed.
//   - Memory 200: the mix of a service changes over minutes, and 200 requests are a
//     minute of an instance's share.
//   - MinResidual 0.1: no estimate is better than a tenth, however lucky the last few
//     were.
package length

import "math"

// Config holds the figures; see the package comment for their grounds.
type Config struct {
	MinSamples  float64
	Memory      float64
	MinResidual float64
}

// DefaultConfig returns the figures of the package comment.
func DefaultConfig() Config { return Config{MinSamples: 12, Memory: 200, MinResidual: 0.1} }

// Estimator learns from the finished requests of one service. It is not safe for
// concurrent use.
type Estimator struct {
	cfg Config
	// n is the weight of all samples; the rest are weighted means.
	n, x, y, xx, xy, yy float64
}

// New returns an estimator that has seen nothing.
func New(cfg Config) *Estimator { return &Estimator{cfg: cfg} }

// Observe takes in a finished request: the caller's estimate, 0 for none, and the
// true number of tokens.
func (e *Estimator) Observe(hint, tokens int) {
	if tokens <= 0 {
		return
	}
	y := math.Log(float64(tokens))
	x := y
	if hint > 0 {
		x = math.Log(float64(hint))
	} else if e.n > 0 {
		x = e.x
	}
	e.n = min(e.n+1, e.cfg.Memory)
	w := 1 / e.n
	e.x += w * (x - e.x)
	e.y += w * (y - e.y)
	e.xx += w * (x*x - e.xx)
	e.xy += w * (x*y - e.xy)
	e.yy += w * (y*y - e.yy)
}

// fit returns the line from the logarithm of an estimate to that of the length, and
// the standard deviation around it.
func (e *Estimator) fit() (slope, spread float64) {
	varX := e.xx - e.x*e.x
	cov := e.xy - e.x*e.y
	if varX > 1e-6 {
		slope = min(max(cov/varX, 0), 1)
	}
	left := e.yy - e.y*e.y - 2*slope*cov + slope*slope*varX
	return slope, max(math.Sqrt(max(left, 0)), e.cfg.MinResidual)
}

// Estimate returns the number of tokens that an answer will not exceed with the
// likelihood of some standard deviations above the middle, and at most limit, the
// most that the caller accepts.
func (e *Estimator) Estimate(hint, limit int, deviations float64) int {
	if e.n < e.cfg.MinSamples {
		return limit
	}
	slope, spread := e.fit()
	y := e.y
	if hint > 0 {
		y += slope * (math.Log(float64(hint)) - e.x)
	}
	return min(int(math.Exp(y+deviations*spread)), limit)
}

// Samples is the weight of what was learnt.
func (e *Estimator) Samples() float64 { return e.n }
