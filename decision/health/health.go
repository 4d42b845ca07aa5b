// Package health gives each upstream of a service a weight from what its answers
// show.
//
// Load pattern: one upstream among its peers answers several times more slowly, or
// fails most of what it gets, while its own load report (late as it is) says that
// it has free slots.
//
// Without it: a slow upstream keeps its share and every tenth caller misses the
// target; one that fails at once always has free slots and draws far more than its
// share (TestOneBadUpstream measures what callers receive).
//
// Rules:
//   - Slowness is relative: an outcome's latency is divided by what was expected
//     for it, and an upstream's median is held against the median of its peers. A
//     fleet that is slow as a whole is overloaded, not ill, and nobody loses weight.
//   - Up to OutFactor times slower, the weight falls with the inverse of the
//     slowness: the upstream gets what it can do in its peers' time.
//   - Beyond, or at more failures than the peers' rate explains, it is taken out
//     and only tried by trickle. It comes back in steps of good outcomes.
//   - At most a third of the upstreams are out at once (one of two). When half the
//     fleet fails, the rest could not carry the load, and the cause is elsewhere.
package health

import (
	"slices"
	"strings"
	"time"
)

// Config holds the figures of the package.
type Config struct {
	// Window is the number of latest outcomes judged.
	Window int
	// MinSamples are needed before an upstream is judged or counts as a peer.
	MinSamples int
	// Tail is the probability below which a number of failures is not chance.
	Tail float64
	// MinRate is the least failure rate assumed of the peers.
	MinRate float64
	// SlowFactor is the slowness from which weight is lost, OutFactor that from
	// which the upstream is taken out.
	SlowFactor, OutFactor float64
	// TrialFactor is the slowness up to which a trial counts as good.
	TrialFactor float64
	// Trickle is the weight while out.
	Trickle float64
	// TrialInterval and ReturnInterval space the trials of an upstream that is out
	// or returning.
	TrialInterval, ReturnInterval time.Duration
	// Steps are the weights on the way back, each kept for StepGood good outcomes
	// and at least StepTime.
	Steps    []float64
	StepGood int
	StepTime time.Duration
	// Spared is the weight of an upstream that would be out but for the limit.
	Spared float64
}

// DefaultConfig returns the default figures.
func DefaultConfig() Config {
	return Config{
		Window: 16, MinSamples: 4,
		Tail: 0.0001, MinRate: 0.02,
		SlowFactor: 1.25, OutFactor: 4, TrialFactor: 2,
		Trickle: 0.02, TrialInterval: 5 * time.Second, ReturnInterval: 500 * time.Millisecond,
		Steps: []float64{0.2, 0.5}, StepGood: 4, StepTime: time.Second,
		Spared: 0.3,
	}
}

// State of an upstream.
type State uint8

// States of an upstream.
const (
	// Healthy upstreams have a weight by their speed.
	Healthy State = iota
	// Out upstreams only get trials.
	Out
	// Returning upstreams get more with each step.
	Returning
	// Spared upstreams are bad, but too many others are out.
	Spared
)

// String returns the name used in metrics and operator output.
func (s State) String() string {
	return [...]string{"healthy", "out", "returning", "spared"}[s]
}

// Weight is one upstream's share relative to a healthy one.
type Weight struct {
	Upstream string
	// Weight is above 0 and at most 1.
	Weight float64
	State  State
}

// Monitor judges the upstreams of one service and role. It is not safe for
// concurrent use.
type Monitor struct {
	cfg       Config
	upstreams []*upstream
	// weights are kept until the next change.
	weights []Weight
}

type upstream struct {
	name  string
	state State
	// outcomes is a ring of the latest; next is the oldest when full.
	outcomes []outcome
	next     int
	step     int
	good     int
	since    time.Time
	// tried is when the last trial was given out.
	tried time.Time
	// median slowness and number of failures of the outcomes.
	median float64
	failed int
}

type outcome struct {
	failed bool
	// slowness is the latency over the expected one, 0 when unknown.
	slowness float64
}

// New returns a monitor without upstreams.
func New(cfg Config) *Monitor { return &Monitor{cfg: cfg} }

// SetUpstreams names the upstreams to judge. Those already known keep their
// outcomes; new ones start healthy.
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

// Observe takes in the outcome of one request: whether the upstream answered, how
// long it took and how long it was expected to take. A timeout is an outcome that
// is not ok, with the time waited. Outcomes of unknown upstreams are ignored; a
// request that its caller cancelled is no outcome.
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
	if u.state == Out || u.state == Returning {
		m.judgeTrial(now, u, o)
		return
	}
	m.judge(now, u)
}

// judge takes an upstream out, if it must go and may.
func (m *Monitor) judge(now time.Time, u *upstream) {
	if len(u.outcomes) < m.cfg.MinSamples || !m.bad(u) {
		u.state = Healthy
		return
	}
	if m.outCount() >= maxOut(len(m.upstreams)) {
		u.state = Spared
		return
	}
	u.state = Out
	u.step, u.good = 0, 0
	u.since, u.tried = now, now
}

func (m *Monitor) bad(u *upstream) bool {
	limit := failureLimit(len(u.outcomes), max(m.peerRate(u), m.cfg.MinRate), m.cfg.Tail)
	return u.failed >= limit || m.slowness(u) >= m.cfg.OutFactor
}

// judgeTrial moves an upstream that is out by the outcome of a trial. Any bad
// trial starts over, so that a flapping upstream stays out.
func (m *Monitor) judgeTrial(now time.Time, u *upstream, o outcome) {
	peers := m.peerSlowness(u)
	slow := peers > 0 && o.slowness > m.cfg.TrialFactor*peers
	if o.failed || slow {
		u.state = Out
		u.step, u.good = 0, 0
		u.since = now
		return
	}
	u.good++
	if u.state == Out {
		u.state = Returning
		u.step, u.good = 0, 1
		u.since = now
		return
	}
	if u.good < m.cfg.StepGood || now.Sub(u.since) < m.cfg.StepTime {
		return
	}
	u.step++
	u.good = 0
	u.since = now
	if u.step >= len(m.cfg.Steps) {
		u.state = Healthy
		u.forget()
	}
}

// NextProbe names an upstream that is to get the next request whatever its weight, or
// false when none is due. The trial counts as given. A choice by weight alone would
// never try an upstream again as long as others have free slots.
func (m *Monitor) NextProbe(now time.Time) (string, bool) {
	for _, u := range m.upstreams {
		due := u.state == Out && now.Sub(u.tried) >= m.cfg.TrialInterval ||
			u.state == Returning && now.Sub(u.tried) >= m.cfg.ReturnInterval
		if due {
			u.tried = now
			return u.name, true
		}
	}
	return "", false
}

// Weights returns the weight of every upstream, by name. The slice is the caller's
// to read until the next call of another method.
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
	case Out:
		return m.cfg.Trickle
	case Returning:
		return m.cfg.Steps[u.step]
	case Spared:
		return m.cfg.Spared
	default:
		slowness := m.slowness(u)
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

func (m *Monitor) outCount() int {
	count := 0
	for _, u := range m.upstreams {
		if u.state == Out || u.state == Returning {
			count++
		}
	}
	return count
}

// maxOut is how many of n upstreams may be out: a third, but one of two.
func maxOut(n int) int {
	if n == 2 {
		return 1
	}
	return n / 3
}
