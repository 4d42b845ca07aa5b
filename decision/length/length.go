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
// flat and the mean length decides; where they are good it follows them. What all
// instances have seen counts: where sixty share the requests, each alone claims the stated
// most for its first 20 s (TestFleetKnowsLengthsSooner).
package length

import "math"

// Config holds the figures of the package.
type Config struct {
	MinSamples   float64
	MaxWeight    float64
	MinDeviation float64
}

// DefaultConfig returns the default figures.
func DefaultConfig() Config { return Config{MinSamples: 12, MaxWeight: 200, MinDeviation: 0.1} }

// Estimator learns from the finished requests of one service. It is not safe for
// concurrent use.
type Estimator struct {
	cfg Config
	own Sums
	// peers is what other instances have seen, by name.
	peers map[string]Sums
}

// Sums is what was seen of finished requests: the weight of all, and weighted means of
// the logarithms of the estimates (X) and the lengths (Y), their squares and product.
type Sums struct{ N, X, Y, XX, XY, YY float64 }

// add joins two sets of requests.
func (s Sums) add(o Sums) Sums {
	n := s.N + o.N
	if n <= 0 {
		return Sums{}
	}
	mean := func(a, b float64) float64 { return (a*s.N + b*o.N) / n }
	return Sums{n, mean(s.X, o.X), mean(s.Y, o.Y), mean(s.XX, o.XX), mean(s.XY, o.XY), mean(s.YY, o.YY)}
}

// New returns an estimator that has seen nothing.
func New(cfg Config) *Estimator { return &Estimator{cfg: cfg, peers: make(map[string]Sums)} }

// OwnSums returns what this instance has seen.
func (e *Estimator) OwnSums() Sums { return e.own }

// SetPeer replaces what another instance has seen. Sums without weight forget it.
func (e *Estimator) SetPeer(name string, s Sums) {
	delete(e.peers, allOthers)
	if s.N <= 0 {
		delete(e.peers, name)
		return
	}
	e.peers[name] = s
}

// allOthers is the name under which the sum of all others is kept.
const allOthers = ""

// SetOthers replaces what all other instances have seen by their sum.
func (e *Estimator) SetOthers(s Sums) {
	clear(e.peers)
	e.peers[allOthers] = s
}

// pooled is what all instances have seen.
func (e *Estimator) pooled() Sums { return e.sum("", false) }

// SumsWithout is what all instances but one have seen.
func (e *Estimator) SumsWithout(name string) Sums { return e.sum(name, true) }

func (e *Estimator) sum(name string, without bool) Sums {
	all := e.own
	for peer, s := range e.peers {
		if !without || peer != name {
			all = all.add(s)
		}
	}
	return all
}

// Observe takes in a finished request: the caller's estimate, 0 for none, and the
// true number of tokens.
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

// fit returns the line from the logarithm of an estimate to that of the length, and
// the standard deviation around it.
func (s Sums) fit(least float64) (slope, spread float64) {
	varX := s.XX - s.X*s.X
	cov := s.XY - s.X*s.Y
	if varX > 1e-6 {
		slope = min(max(cov/varX, 0), 1)
	}
	left := s.YY - s.Y*s.Y - 2*slope*cov + slope*slope*varX
	return slope, max(math.Sqrt(max(left, 0)), least)
}

// Estimate returns the number of tokens that an answer will not exceed with the
// likelihood of some standard deviations above the middle, and at most limit, the
// most that the caller accepts.
func (e *Estimator) Estimate(hint, limit int, deviations float64) int {
	seen := e.pooled()
	if seen.N < e.cfg.MinSamples {
		return limit
	}
	slope, spread := seen.fit(e.cfg.MinDeviation)
	y := seen.Y
	if hint > 0 {
		y += slope * (math.Log(float64(hint)) - seen.X)
	}
	return min(int(math.Exp(y+deviations*spread)), limit)
}

// Samples is the weight of what all instances have seen.
func (e *Estimator) Samples() float64 { return e.pooled().N }
