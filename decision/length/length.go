// Package length estimates the number of output tokens of a request.
//
// Load pattern: callers set the same large output limit on all requests. Their hints of
// the output length are right in the median, but individual ones are often far off. A
// request claims memory on a decode engine for its entire run.
//
// Without it, claims of the output limit leave nearly half of the engines' memory unused at
// all times, and claims of the caller's hint are too small for every second request
// (TestEstimateBeatsHint measures the error of each).
//
// Output lengths and hints both vary by factors, so the model is a linear regression of
// the logarithm of the length on the logarithm of the hint, over the finished requests of
// a service. Where hints carry little information the slope is near zero and the mean
// length determines the result; where they are accurate the result follows them. The
// samples of all instances are combined: where sixty instances share the requests, each on
// its own would claim the output limit for its first 20 s (TestFleetKnowsLengthsSooner).
package length

import "math"

// Config holds the parameters of an Estimator.
type Config struct {
	// MinSamples is the number of finished requests required for an estimate.
	MinSamples float64
	// MaxWeight limits the weight of an instance's samples, so that recent requests count
	// more than older ones.
	MaxWeight float64
	// MinDeviation is the lowest standard deviation that is assumed for the logarithm of the
	// length.
	MinDeviation float64
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config { return Config{MinSamples: 12, MaxWeight: 200, MinDeviation: 0.1} }

// Estimator learns from the finished requests of one service. It is not safe for
// concurrent use.
type Estimator struct {
	cfg Config
	own Sums
	// peers holds the sums of other instances by name.
	peers map[string]Sums
}

// Sums summarises finished requests: their total weight N, and the weighted means of the
// logarithms of the callers' hints (X) and of the lengths (Y), of the squares of both
// and of their product.
type Sums struct{ N, X, Y, XX, XY, YY float64 }

// add combines two sets of requests.
func (s Sums) add(o Sums) Sums {
	n := s.N + o.N
	if n <= 0 {
		return Sums{}
	}
	mean := func(a, b float64) float64 { return (a*s.N + b*o.N) / n }
	return Sums{n, mean(s.X, o.X), mean(s.Y, o.Y), mean(s.XX, o.XX), mean(s.XY, o.XY), mean(s.YY, o.YY)}
}

// New returns an estimator without samples.
func New(cfg Config) *Estimator { return &Estimator{cfg: cfg, peers: make(map[string]Sums)} }

// OwnSums returns the sums of this instance.
func (e *Estimator) OwnSums() Sums { return e.own }

// SetPeer replaces the sums of another instance. Sums with zero weight remove it. A combined
// sum set with SetOthers is dropped.
func (e *Estimator) SetPeer(name string, s Sums) {
	delete(e.peers, allOthers)
	if s.N <= 0 {
		delete(e.peers, name)
		return
	}
	e.peers[name] = s
}

// allOthers is the key in Estimator.peers for the combined sums of all other instances.
const allOthers = ""

// SetOthers replaces the sums of all other instances with one combined sum.
func (e *Estimator) SetOthers(s Sums) {
	clear(e.peers)
	e.peers[allOthers] = s
}

// pooled returns the combined sums of all instances.
func (e *Estimator) pooled() Sums { return e.combine("", false) }

// SumsWithout returns the combined sums of all instances except one.
func (e *Estimator) SumsWithout(name string) Sums { return e.combine(name, true) }

// combine adds up the sums of all instances, except the named one if exclude is set.
func (e *Estimator) combine(name string, exclude bool) Sums {
	all := e.own
	for peer, s := range e.peers {
		if !exclude || peer != name {
			all = all.add(s)
		}
	}
	return all
}

// Observe adds a finished request: the caller's hint (0 if there is none) and the actual
// number of output tokens.
func (e *Estimator) Observe(hint, tokens int) {
	if tokens <= 0 {
		return
	}
	y := math.Log(float64(tokens))
	x, o := y, &e.own
	if hint > 0 {
		x = math.Log(float64(hint))
	} else if o.N > 0 {
		x = o.X
	}
	o.N = min(o.N+1, e.cfg.MaxWeight)
	w := 1 / o.N
	o.X += w * (x - o.X)
	o.Y += w * (y - o.Y)
	o.XX += w * (x*x - o.XX)
	o.XY += w * (x*y - o.XY)
	o.YY += w * (y*y - o.YY)
}

// fit returns the slope of the regression line and the standard deviation of the residuals,
// which is at least minDeviation.
func (s Sums) fit(minDeviation float64) (slope, deviation float64) {
	varX := s.XX - s.X*s.X
	cov := s.XY - s.X*s.Y
	if varX > 1e-6 {
		slope = min(max(cov/varX, 0), 1)
	}
	variance := s.YY - s.Y*s.Y - 2*slope*cov + slope*slope*varX
	return slope, max(math.Sqrt(max(variance, 0)), minDeviation)
}

// Estimate returns an upper bound for the number of output tokens: the predicted median plus
// the given number of standard deviations on the logarithmic scale. It is never above limit,
// the caller's output limit, and equals limit while there are too few samples.
func (e *Estimator) Estimate(hint, limit int, deviations float64) int {
	sums := e.pooled()
	if sums.N < e.cfg.MinSamples {
		return limit
	}
	slope, deviation := sums.fit(e.cfg.MinDeviation)
	y := sums.Y
	if hint > 0 {
		y += slope * (math.Log(float64(hint)) - sums.X)
	}
	return min(int(math.Exp(y+deviations*deviation)), limit)
}

// Samples returns the total weight of the samples of all instances.
func (e *Estimator) Samples() float64 { return e.pooled().N }
