// Package health performs outlier detection: it derives a load-balancing weight for
// each upstream of a service from the outcomes of its requests.
//
// Load pattern: one upstream responds several times more slowly than its peers, or
// fails most of its requests, while its own load report, which is delayed, still
// shows free slots.
//
// Without it: a slow upstream keeps its share of the traffic and every tenth caller
// misses the latency target. An upstream that fails immediately always has free
// slots and attracts far more than its share (TestFaultyUpstream measures the effect
// on callers).
//
// Rules:
//   - Slowness is relative: the latency of each outcome is divided by its expected
//     latency, and an upstream's median is compared with the median of its peers.
//     If all upstreams are slow, the cause is overload rather than a faulty
//     upstream, and all weights stay unchanged.
//   - Up to EjectFactor times slower, the weight is the inverse of the slowness, so
//     that the upstream gets the load it can serve in its peers' time.
//   - Beyond that, or with more failures than the peers' failure rate explains, the
//     upstream is ejected and gets only probes and a minimal weight. After
//     successful probes its weight is restored in steps.
//   - At most a third of the upstreams are ejected at once (one of two). If half of
//     them fail, the others could not handle the load, and the cause lies elsewhere.
package health

import (
	"slices"
	"strings"
	"time"
)

// Config holds the parameters of outlier detection.
type Config struct {
	// Window is the number of most recent outcomes evaluated per upstream.
	Window int
	// MinSamples is the number of outcomes required before an upstream is evaluated
	// or used as a peer.
	MinSamples int
	// SignificanceLevel is the probability below which a number of failures is not
	// attributed to chance.
	SignificanceLevel float64
	// MinFailureRate is the lower bound on the failure rate assumed for the peers.
	MinFailureRate float64
	// SlowFactor is the relative slowness at which the weight starts to decrease,
	// EjectFactor the one at which the upstream is ejected.
	SlowFactor, EjectFactor float64
	// ProbeFactor is the maximum relative slowness of a successful probe.
	ProbeFactor float64
	// EjectedWeight is the weight of an ejected upstream.
	EjectedWeight float64
	// ProbeInterval and RecoveryProbeInterval are the minimum intervals between the
	// probes of an ejected and of a recovering upstream.
	ProbeInterval, RecoveryProbeInterval time.Duration
	// RecoveryWeights are the successive weights of a recovering upstream. Each
	// applies for at least RecoverySuccesses successful outcomes and
	// RecoveryStepTime.
	RecoveryWeights   []float64
	RecoverySuccesses int
	RecoveryStepTime  time.Duration
	// RetainedWeight is the weight of an outlier that is not ejected because the
	// limit on ejected upstreams is reached.
	RetainedWeight float64
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		Window: 16, MinSamples: 4,
		SignificanceLevel: 0.0001, MinFailureRate: 0.02,
		SlowFactor: 1.25, EjectFactor: 4, ProbeFactor: 2,
		EjectedWeight: 0.02, ProbeInterval: 5 * time.Second, RecoveryProbeInterval: 500 * time.Millisecond,
		RecoveryWeights: []float64{0.2, 0.5}, RecoverySuccesses: 4, RecoveryStepTime: time.Second,
		RetainedWeight: 0.3,
	}
}

// State is the health state of an upstream.
type State uint8

const (
	// Healthy upstreams are weighted by their relative speed.
	Healthy State = iota
	// Ejected upstreams get only probes and EjectedWeight.
	Ejected
	// Recovering upstreams get the RecoveryWeights in turn.
	Recovering
	// Retained upstreams are outliers that stay in rotation because too many others
	// are ejected.
	Retained
)

// String returns the state name used in metrics and operator output.
func (s State) String() string {
	return [...]string{"healthy", "out", "returning", "spared"}[s]
}

// Weight is the load-balancing weight of one upstream, relative to a healthy one.
type Weight struct {
	Upstream string
	// Weight is in (0, 1].
	Weight float64
	State  State
}

// Monitor evaluates the upstreams of one service and role. It is not safe for
// concurrent use.
type Monitor struct {
	cfg       Config
	upstreams []*upstream
	// weights caches the result of Weights; nil after a change.
	weights []Weight
}

type upstream struct {
	name  string
	state State
	// outcomes is a ring buffer of the most recent outcomes; next is the index of
	// the oldest one when the buffer is full.
	outcomes []outcome
	next     int
	// step is the index of the current weight in RecoveryWeights.
	step      int
	successes int
	stepStart time.Time
	// lastProbe is when NextProbe last returned this upstream.
	lastProbe time.Time
	// medianSlowness is 0 when too few outcomes have a known slowness.
	medianSlowness float64
	failures       int
}

type outcome struct {
	failed bool
	// slowness is the ratio of the latency to the expected latency, 0 when unknown.
	slowness float64
}

// New returns a monitor without upstreams.
func New(cfg Config) *Monitor { return &Monitor{cfg: cfg} }

// SetUpstreams replaces the set of upstreams. Upstreams that were already present
// keep their state and outcomes; new ones start healthy.
func (m *Monitor) SetUpstreams(names []string) {
	next := make([]*upstream, 0, len(names))
	for _, name := range names {
		u := m.find(name)
		if u == nil {
			u = &upstream{name: name}
		}
		next = append(next, u)
	}
	slices.SortFunc(next, func(a, b *upstream) int { return strings.Compare(a.name, b.name) })
	m.upstreams = next
	m.weights = nil
}

// Observe records the outcome of one request: whether the upstream responded, its
// latency and the expected latency. A timeout is recorded with ok false and the
// time waited. Outcomes of unknown upstreams are ignored; requests that were
// cancelled by their caller must not be recorded.
func (m *Monitor) Observe(now time.Time, name string, ok bool, latency, expected time.Duration) {
	u := m.find(name)
	if u == nil {
		return
	}
	o := outcome{failed: !ok}
	if ok && expected > 0 {
		o.slowness = float64(latency) / float64(expected)
	}
	m.weights = nil
	u.add(o, m.cfg)
	if u.state == Ejected || u.state == Recovering {
		m.evaluateProbe(now, u, o)
		return
	}
	m.evaluate(now, u)
}

// evaluate ejects the upstream if it is an outlier and the limit on ejected
// upstreams allows it.
func (m *Monitor) evaluate(now time.Time, u *upstream) {
	if len(u.outcomes) < m.cfg.MinSamples || !m.isOutlier(u) {
		u.state = Healthy
		return
	}
	if m.ejectedCount() >= maxEjected(len(m.upstreams)) {
		u.state = Retained
		return
	}
	u.state = Ejected
	u.step, u.successes = 0, 0
	u.stepStart, u.lastProbe = now, now
}

func (m *Monitor) isOutlier(u *upstream) bool {
	limit := failureThreshold(len(u.outcomes), max(m.peerFailureRate(u), m.cfg.MinFailureRate), m.cfg.SignificanceLevel)
	return u.failures >= limit || m.relativeSlowness(u) >= m.cfg.EjectFactor
}

// evaluateProbe updates the state of an ejected or recovering upstream after a
// probe. Any failed or slow probe restarts the recovery, so that a flapping
// upstream stays ejected.
func (m *Monitor) evaluateProbe(now time.Time, u *upstream, o outcome) {
	peers := m.peerSlowness(u)
	slow := peers > 0 && o.slowness > m.cfg.ProbeFactor*peers
	if o.failed || slow {
		u.state = Ejected
		u.step, u.successes = 0, 0
		u.stepStart = now
		return
	}
	u.successes++
	if u.state == Ejected {
		u.state = Recovering
		u.step, u.successes = 0, 1
		u.stepStart = now
		return
	}
	if u.successes < m.cfg.RecoverySuccesses || now.Sub(u.stepStart) < m.cfg.RecoveryStepTime {
		return
	}
	u.step++
	u.successes = 0
	u.stepStart = now
	if u.step >= len(m.cfg.RecoveryWeights) {
		u.state = Healthy
		u.reset()
	}
}

// NextProbe returns an upstream that is due for a probe and must get the next request
// regardless of its weight, or false if none is due. It counts the probe as sent.
// Selection by weight alone would never probe an ejected upstream while others have
// free slots.
func (m *Monitor) NextProbe(now time.Time) (string, bool) {
	for _, u := range m.upstreams {
		due := u.state == Ejected && now.Sub(u.lastProbe) >= m.cfg.ProbeInterval ||
			u.state == Recovering && now.Sub(u.lastProbe) >= m.cfg.RecoveryProbeInterval
		if due {
			u.lastProbe = now
			return u.name, true
		}
	}
	return "", false
}

// Weights returns the weight of every upstream, sorted by name. The slice is
// read-only and valid until the next call of another method.
func (m *Monitor) Weights() []Weight {
	if m.weights != nil {
		return m.weights
	}
	m.weights = make([]Weight, len(m.upstreams))
	for i, u := range m.upstreams {
		m.weights[i] = Weight{Upstream: u.name, Weight: m.weight(u), State: u.state}
	}
	return m.weights
}

func (m *Monitor) weight(u *upstream) float64 {
	switch u.state {
	case Ejected:
		return m.cfg.EjectedWeight
	case Recovering:
		return m.cfg.RecoveryWeights[u.step]
	case Retained:
		return m.cfg.RetainedWeight
	default:
		slowness := m.relativeSlowness(u)
		if slowness < m.cfg.SlowFactor {
			return 1
		}
		return 1 / slowness
	}
}

func (m *Monitor) find(name string) *upstream {
	for _, u := range m.upstreams {
		if u.name == name {
			return u
		}
	}
	return nil
}

func (m *Monitor) ejectedCount() int {
	count := 0
	for _, u := range m.upstreams {
		if u.state == Ejected || u.state == Recovering {
			count++
		}
	}
	return count
}

// maxEjected is the maximum number of ejected upstreams out of n: a third, but one of
// two.
func maxEjected(n int) int {
	if n == 2 {
		return 1
	}
	return n / 3
}
