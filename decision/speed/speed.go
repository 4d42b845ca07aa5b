// Package speed learns how long each upstream of a pool takes for its work, relative to the others.
//
// Load pattern: a third of the engines takes 2.4 times as long as the others, for hours; an engine turns five
// times slower for some seconds; a plain upstream takes 2.5 times as long for 600 ms. One request in a hundred takes
// five times as long at any upstream. Without this, a place at a slow upstream counts the same as one at a fast
// upstream: in a replay of such engines, 5% of the streams pause for 278 ms or longer, with it for 130 ms
// (TestReplayOfUnevenEngines in decision/room).
//
// The time that a request takes also depends on the requests placed there beside it. Each sample is therefore divided
// by the time that it would take at an upstream of speed 1 with the same load (Serving):
//
//   - Slots: n requests at an upstream with s slots take max(1, n/s) times as long as one.
//   - Serial: a prompt takes the time of all tokens that are queued there, its own included.
//   - Batch: a token takes 1 + growth·n times as long as alone. The growth is learned from the changes of load at each
//     engine, not from differences between engines: slow engines run fewer requests, which would hide that they are slow.
//
// Of what remains, each upstream has two means: a long one, whose error is small, and a short one, which replaces
// the long one once they differ by more than the noise of the samples explains. A single sample counts with at most
// maxSample times the present figure, and figures are moved towards 1 by their standard error.
package speed

import (
	"math"
	"slices"
	"time"
)

// Serving is how the upstreams of a pool run the requests placed there.
type Serving int

const (
	// Slots upstreams run as many requests as they have slots and queue the others.
	Slots Serving = iota
	// Serial engines run one prompt after the other.
	Serial
	// Batch engines run all requests at once, and each token takes longer with more of them.
	Batch
)

const (
	// maxSample limits a sample relative to the present figure: a request that takes five times as long by chance
	// must not make an upstream slow, and an upstream that is five times slower is seen as such after two resets.
	// minSample limits what a damaged report can do.
	maxSample, minSample = 2.5, 0.2
	// minChange is the least factor by which the short mean must differ to replace the long one; deviations is the
	// number of standard errors by which it must differ.
	minChange  = 1.3
	deviations = 2.5
	// certainty is the number of standard errors by which figures are moved towards 1.
	certainty = 1
	// maxBatch limits the requests that a single sample counts for.
	maxBatch = 2
	// staleAfter is the time without samples after which a figure begins to approach 1, with the time constant
	// staleTime. Upstreams that get no requests because they were slow are tried again in this way.
	staleAfter = 2 * time.Second
	staleTime  = 5 * time.Second
	// minSlowness and maxSlowness limit figures.
	minSlowness, maxSlowness = 0.1, 10
	// maxTime and maxWork limit samples: no request takes longer or has more tokens.
	maxTime = 10 * time.Minute
	maxWork = 1 << 24
)

// Parameters of the growth of Batch engines.
const (
	growthWindow  = 2000
	minGrowthSeen = 50
	maxGrowth     = 0.5
	// defaultGrowth applies until the growth is known: 16 requests take about twice as long as one.
	defaultGrowth = 0.06
	// growthMeans is the number of samples in the means of an engine from which changes of load are measured.
	growthMeans = 64
	// maxOff is the relative difference from the mean up to which samples are used.
	maxOff = 0.6
)

// minNear is the least time by which the start of a request may differ from its placement by the home, which is a round
// trip away.
const minNear = 5 * time.Millisecond

// Sample is the work of one or several requests at an upstream.
type Sample struct {
	// Requests is the number of requests, 0 for a part of one.
	Requests int
	// Work is their work in requests or tokens, and Busy the sum of the times that they took.
	Work uint64
	Busy time.Duration
	// Placed and Tokens are the requests placed there at the end, these included, and their tokens. Slots is the
	// number of requests that the upstream runs at once.
	Placed, Tokens, Slots int
}

// mean is a weighted mean of the time per expected time.
type mean struct{ weight, busy, expected float64 }

func (m *mean) add(window, weight, busy, expected float64) {
	keep := math.Exp(-weight / window)
	m.weight, m.busy, m.expected = m.weight*keep+weight, m.busy*keep+busy, m.expected*keep+expected
}

func (m *mean) value() float64 { return m.busy / m.expected }

// state is what is known of one upstream.
type state struct {
	short, long mean
	// variance is that of one request's time relative to the mean.
	variance float64
	lastSeen time.Duration
	// pace and placed are means for the growth, over seen samples.
	pace, placed, seen float64
	// placements are the last placements, the next one being stored at next.
	placements [placementsKept]placement
	next       int
}

// placementsKept is the number of placements that are remembered for an upstream.
const placementsKept = 24

// placement is the load of an upstream when a request was placed there, this one included.
type placement struct {
	at               time.Duration
	requests, tokens int
}

// placedAt returns the placement nearest to a time, if it is near enough to be that of the request.
func (u *state) placedAt(at, busy time.Duration) (placement, bool) {
	var best placement
	distance := max(minNear, busy/4) + 1
	for _, p := range u.placements {
		if off := max(p.at-at, at-p.at); p.requests > 0 && off < distance {
			best, distance = p, off
		}
	}
	return best, best.requests > 0
}

// Estimator holds the figures of one pool. It is not safe for concurrent use.
type Estimator struct {
	serving   Serving
	upstreams map[string]*state
	// shortWindow and longWindow are the numbers of requests in the means.
	shortWindow, longWindow float64
	// seen, meanPlaced, squares and products are the sums of the regression that yields the growth.
	seen, meanPlaced, squares, products float64
}

// New returns an estimator without figures.
func New(serving Serving) *Estimator {
	e := &Estimator{serving: serving, upstreams: make(map[string]*state), shortWindow: 6, longWindow: 60}
	if serving == Slots {
		// The work of plain requests differs by more than that of tokens.
		e.shortWindow, e.longWindow = 12, 200
	}
	return e
}

// Growth returns the part by which a request at a Batch engine slows the others down.
func (e *Estimator) Growth() float64 {
	if e.seen < minGrowthSeen || e.squares <= 0 {
		return defaultGrowth
	}
	slope := e.products / e.squares
	return min(max(slope/max(1-slope*e.meanPlaced, 0.1), 0), maxGrowth)
}

// expected returns the time of the sample at speed 1, in units that are the same for all upstreams of the pool.
func (e *Estimator) expected(s Sample) float64 {
	work, requests := float64(s.Work), float64(max(s.Requests, 1))
	switch e.serving {
	case Serial:
		return max(float64(s.Tokens)*requests, work)
	case Batch:
		return work * (1 + e.Growth()*float64(max(s.Placed, 1)))
	default:
		return work * max(1, float64(s.Placed)/float64(max(s.Slots, 1)))
	}
}

// Place records that a request is placed at an upstream, with the requests and tokens placed there then, its own included.
// What a request waits for is what was there before it: when a queue builds up, that is less than at its end.
func (e *Estimator) Place(now time.Duration, id string, requests, tokens int) {
	if e.serving == Batch {
		return
	}
	u := e.state(id)
	u.placements[u.next] = placement{now, requests, tokens}
	u.next = (u.next + 1) % placementsKept
}

func (e *Estimator) state(id string) *state {
	u, known := e.upstreams[id]
	if !known {
		u = &state{variance: 1}
		e.upstreams[id] = u
	}
	return u
}

// Observe adds a sample.
func (e *Estimator) Observe(now time.Duration, id string, s Sample) {
	requests := max(s.Requests, 1)
	if s.Work == 0 || s.Busy <= 0 || s.Busy/time.Duration(requests) > maxTime || s.Work/uint64(requests) > maxWork {
		return
	}
	u := e.state(id)
	u.lastSeen = now
	busyEach := s.Busy / time.Duration(requests)
	if p, found := u.placedAt(now-busyEach, busyEach); found {
		s.Placed, s.Tokens = p.requests, p.tokens
	}
	if e.serving == Batch {
		e.observeGrowth(u, s)
	}
	weight := float64(min(requests, maxBatch))
	scale := weight / float64(requests)
	busy, expected := s.Busy.Seconds()*scale, e.expected(s)*scale
	if u.long.weight > 0 {
		ratio := min(max(busy/expected/u.long.value(), minSample), maxSample)
		busy = ratio * expected * u.long.value()
		off := ratio - 1
		u.variance += (1 - math.Exp(-weight/e.longWindow)) * (weight*off*off - u.variance)
	}
	u.short.add(e.shortWindow, weight, busy, expected)
	u.long.add(e.longWindow, weight, busy, expected)
	if u.changed(e.shortWindow) {
		u.long = u.short
	}
}

// changed reports whether the short mean differs from the long one by more than the noise.
func (u *state) changed(window float64) bool {
	if u.short.weight < window/2 || u.long.weight < 2*u.short.weight {
		return false
	}
	noise := deviations * math.Sqrt(u.variance/(2*u.short.weight))
	return math.Abs(math.Log(u.short.value()/u.long.value())) > max(math.Log(minChange), noise)
}

// observeGrowth measures how the time per token changes with the requests placed at the same engine.
func (e *Estimator) observeGrowth(u *state, s Sample) {
	pace, placed := s.Busy.Seconds()/float64(s.Work), float64(max(s.Placed, 1))
	if u.seen >= growthMeans/4 {
		off := pace/u.pace - 1
		// Samples of engines that change their speed, and requests that take longer by chance, say nothing of the load.
		if off < -maxOff || off > maxOff {
			pace = u.pace * (1 + min(max(off, -maxOff), maxOff))
		} else {
			keep, x := 1-1.0/growthWindow, placed-u.placed
			e.seen, e.squares, e.products = e.seen*keep+1, e.squares*keep+x*x, e.products*keep+x*off
			e.meanPlaced += (u.placed - e.meanPlaced) / min(e.seen, growthWindow)
		}
	}
	u.seen++
	part := 1 / min(u.seen, growthMeans)
	u.pace += part * (pace - u.pace)
	u.placed += part * (placed - u.placed)
}

// Forget drops the figure of an upstream that has restarted or no longer exists.
func (e *Estimator) Forget(id string) { delete(e.upstreams, id) }

// Retain drops the figures of upstreams that no longer exist.
func (e *Estimator) Retain(exists func(id string) bool) {
	for id := range e.upstreams {
		if !exists(id) {
			delete(e.upstreams, id)
		}
	}
}

// Slowness returns the time that each upstream takes for its work relative to the median of the pool. It contains
// only upstreams with enough samples.
func (e *Estimator) Slowness(now time.Duration) map[string]float64 {
	out := make(map[string]float64, len(e.upstreams))
	values := make([]float64, 0, len(e.upstreams))
	for id, u := range e.upstreams {
		if u.long.weight >= e.shortWindow*0.8 {
			out[id] = u.long.value()
			values = append(values, out[id])
		}
	}
	if len(values) == 0 {
		return out
	}
	slices.Sort(values)
	middle := (values[(len(values)-1)/2] + values[len(values)/2]) / 2
	for id, value := range out {
		u := e.upstreams[id]
		slowness := u.withoutNoise(value / middle)
		out[id] = Fade(min(max(slowness, minSlowness), maxSlowness), now-u.lastSeen)
	}
	return out
}

// withoutNoise moves a figure towards 1 by the error that it may have by chance. Of equal upstreams one would otherwise get
// requests that wait there while others are idle.
func (u *state) withoutNoise(slowness float64) float64 {
	logarithm, noise := math.Log(slowness), certainty*math.Sqrt(u.variance/(2*u.long.weight))
	return math.Exp(math.Copysign(max(math.Abs(logarithm)-noise, 0), logarithm))
}

// Valid reports whether a figure of another instance is possible.
func Valid(slowness float64) bool { return slowness >= minSlowness && slowness <= maxSlowness }

// Fade returns a figure whose last sample has the given age.
func Fade(slowness float64, age time.Duration) float64 {
	if age <= staleAfter {
		return slowness
	}
	return math.Pow(slowness, math.Exp(-float64(age-staleAfter)/float64(staleTime)))
}
