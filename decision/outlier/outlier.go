// Package outlier finds the upstreams of a pool that fail more of the requests they run than their pool and their own past
// explain, and brings them back with trial requests.
//
// Load pattern: one of three plain upstreams starts to fail everything it runs while its health check passes. It fails fast,
// so it looks idle and attracts requests; without ejection it fails a third of all requests for as long as the fault lasts.
// At the same time one request in seven fails at every upstream in normal operation, so that no fixed error rate tells the
// two apart.
//
// The test is a sequential likelihood ratio test (E. S. Page, "Continuous Inspection Schemes", Biometrika 41, 1954), run for
// three sizes of the fault at once. Each outcome is compared with the outcomes of the other upstreams in the same time.
// docs/design/failing-upstreams.md compares it with a Bayesian change-point detector.
package outlier

import (
	"math"
	"slices"
	"time"
)

// Config holds the parameters of a Detector; docs/design/failing-upstreams.md gives their grounds.
type Config struct {
	// Extra are the shares of the requests, of those that would have succeeded, that a fault to be found fails.
	Extra []float64
	// Threshold is the log likelihood ratio at which an upstream is ejected. A higher one takes longer and gives fewer
	// false alarms.
	Threshold float64
	// MinRate is the lowest failure rate that is taken as normal.
	MinRate float64
	// Hold is the time without requests after the first ejection. It doubles with each further one up to MaxHold, until
	// the upstream has stayed for Forget.
	Hold, MaxHold, Forget time.Duration
	// Evidence is the log likelihood ratio that decides a trial.
	Evidence float64
	// FirstShare is the share of an upstream's usual requests that it gets first on trial; each step multiplies it by Step.
	// Quiet is the time without outcomes after which it doubles.
	FirstShare, Step float64
	Quiet            time.Duration
}

// DefaultConfig returns the parameters of the product.
func DefaultConfig() Config {
	return Config{
		Extra: []float64{0.1, 0.4, 0.9}, Threshold: 13, MinRate: 0.02,
		Hold: time.Second, MaxHold: 2 * time.Second, Forget: time.Minute,
		Evidence: 3, FirstShare: 1.0 / 32, Step: 4, Quiet: time.Second,
	}
}

const (
	// priorWeight is the number of outcomes that the pool's long-term rate counts for beside the rate of the same time.
	priorWeight = 10
	// pastWeight is the number of outcomes that the assumption of no excess in an upstream's past counts for; maxPast
	// bounds the outcomes remembered as its past.
	pastWeight, maxPast = 200, 4000
	// maxBatch bounds the outcomes taken from one call, so that one report with false totals has a bounded weight.
	maxBatch = 500
	// trialOutcomes is the number of outcomes after which a trial without evidence against the upstream proceeds.
	trialOutcomes = 8
	// maxRate is the highest failure rate that is told apart from others. Without it, the difference between two rates near
	// 1 adds up to a false alarm while all upstreams fail.
	maxRate = 0.98
	// quietLimit is the highest share that silence alone leads to.
	quietLimit = 0.5
)

// State is what an upstream gets.
type State int

// States of an upstream.
const (
	// In gets requests as usual, Held none, and OnTrial a share of the usual ones.
	In State = iota
	Held
	OnTrial
)

// Change is the change of an upstream's state.
type Change struct {
	ID string
	To State
	// Ended and Failed are the outcomes of the upstream on which the change rests, PoolRate the failure rate of the others
	// in the same time.
	Ended, Failed int
	PoolRate      float64
	// Hold is the time without requests after an ejection.
	Hold time.Duration
}

// counts are outcomes.
type counts struct{ ended, failed float64 }

func (c counts) minus(o counts) counts { return counts{c.ended - o.ended, c.failed - o.failed} }

// test is one sequential test of an upstream. run are the upstream's outcomes since its start, and base the pool's outcomes
// at the start.
type test struct {
	run, base counts
}

// member is an upstream of the pool.
type member struct {
	tests []test
	// past counts outcomes before the run of the first test, and expected the failures among them that the pool explains.
	past     counts
	expected float64
	state    State
	// until is the end of the hold; holds is the number of holds in a row.
	until time.Duration
	holds int
	// returned is when the upstream last returned.
	returned time.Duration
	// share is the share of the usual requests on trial; moved is when it last changed or an outcome arrived.
	share float64
	moved time.Duration
	// rate is the failure rate at the ejection. trial are the outcomes of the trial step, and evidence is the log
	// likelihood ratio of health over failure in the trial.
	rate     float64
	trial    counts
	evidence float64
}

// Detector decides on the upstreams of one pool. It is not safe for concurrent use.
type Detector struct {
	cfg     Config
	members map[string]*member
	// pool are the outcomes of all upstreams that are in, and recent the same with exponential forgetting.
	pool, recent counts
	inCount      int
}

// New returns a detector that knows no upstreams.
func New(cfg Config) *Detector { return &Detector{cfg: cfg, members: make(map[string]*member)} }

// Forget drops the history of an upstream, which has ended or been restarted.
func (d *Detector) Forget(id string) {
	if m, known := d.members[id]; known {
		if m.state == In {
			d.inCount--
		}
		delete(d.members, id)
	}
}

// Retain drops the upstreams that no longer exist.
func (d *Detector) Retain(exists func(id string) bool) {
	for id := range d.members {
		if !exists(id) {
			d.Forget(id)
		}
	}
}

func (d *Detector) member(id string) *member {
	m, known := d.members[id]
	if !known {
		m = &member{tests: make([]test, len(d.cfg.Extra))}
		d.startTests(m)
		d.members[id] = m
		d.inCount++
	}
	return m
}

// startTests starts all tests of an upstream anew.
func (d *Detector) startTests(m *member) {
	for i := range m.tests {
		m.tests[i] = test{base: d.pool}
	}
}

// Observe takes outcomes of an upstream and returns the changes that follow.
func (d *Detector) Observe(now time.Duration, id string, ended, failed int) []Change {
	if ended <= 0 || failed < 0 || failed > ended {
		return nil
	}
	batch := counts{float64(ended), float64(failed)}
	if ended > maxBatch {
		batch = counts{maxBatch, batch.failed * maxBatch / batch.ended}
	}
	m := d.member(id)
	changes := d.advance(now, id, m, nil)
	switch m.state {
	case Held:
		// These requests were sent before the ejection.
		return changes
	case OnTrial:
		return d.observeTrial(now, id, m, batch, changes)
	}
	d.pool = counts{d.pool.ended + batch.ended, d.pool.failed + batch.failed}
	d.addRecent(batch)
	if change, alarm := d.runTests(id, m, batch); alarm && d.inCount > 1 {
		d.eject(now, m, &change)
		d.excludeFromPeers(m)
		return append(changes, change)
	}
	return changes
}

// addRecent adds to the long-term rate of the pool, which remembers some thousand outcomes.
func (d *Detector) addRecent(c counts) {
	keep := math.Exp(-c.ended / maxPast)
	d.recent = counts{d.recent.ended*keep + c.ended, d.recent.failed*keep + c.failed}
}

// peers returns the outcomes of other upstreams in the time of a test, with the long-term rate of the pool as further ones:
// after the start of a test there are too few for a rate.
func (d *Detector) peers(t *test) counts {
	others := d.pool.minus(t.base).minus(t.run)
	return counts{max(others.ended, 0) + priorWeight, max(others.failed, 0) + priorWeight*d.longTermRate()}
}

func (d *Detector) longTermRate() float64 {
	return (d.recent.failed + d.cfg.MinRate*priorWeight) / (d.recent.ended + priorWeight)
}

// rate returns the failure rate of outcomes, within the bounds that are told apart.
func (d *Detector) rate(c counts) float64 { return min(max(c.failed/c.ended, d.cfg.MinRate), maxRate) }

// excess returns the share of requests that an upstream has failed in its past beyond what the pool explains.
func (m *member) excess() float64 {
	return max(m.past.failed-m.expected, 0) / (m.past.ended + pastWeight)
}

// runTests adds outcomes to the tests of an upstream and reports whether one of them has reached the threshold.
func (d *Detector) runTests(id string, m *member, batch counts) (Change, bool) {
	for i := range m.tests {
		t := &m.tests[i]
		t.run = counts{t.run.ended + batch.ended, t.run.failed + batch.failed}
		peers := d.peers(t)
		score := d.score(t.run, peers, m.excess(), d.cfg.Extra[i])
		if score >= d.cfg.Threshold {
			m.rate = t.run.failed / t.run.ended
			return Change{ID: id, Ended: int(t.run.ended), Failed: int(t.run.failed), PoolRate: d.rate(peers)}, true
		}
		if score > 0 {
			continue
		}
		if i == 0 {
			m.past = counts{m.past.ended + t.run.ended, m.past.failed + t.run.failed}
			if others := d.pool.minus(t.base).minus(t.run); others.ended > 0 {
				m.expected += t.run.ended * min(max(others.failed/others.ended, 0), 1)
			} else {
				m.expected += t.run.failed
			}
			if m.past.ended > maxPast {
				m.past, m.expected = counts{m.past.ended / 2, m.past.failed / 2}, m.expected/2
			}
		}
		*t = test{base: d.pool}
	}
	return Change{}, false
}

// score returns the log likelihood ratio of two hypotheses about the outcomes of an upstream and of its peers: that the
// upstream fails the extra share of requests, or that all have one rate. Both samples are weighed: the rate of the peers is
// known from about as few outcomes as that of the upstream, so that taking it as exact gives false alarms.
func (d *Detector) score(own, peers counts, excess, extra float64) float64 {
	others := d.rate(peers)
	explained := own.ended * (1 - others) * excess
	together := d.rate(counts{own.ended + peers.ended, max(own.failed-explained, 0) + peers.failed})
	normal := others + (1-others)*excess
	return logRatio(own, min(normal+(1-normal)*extra, maxRate), min(together+(1-together)*excess, maxRate)) + logRatio(peers, others, together)
}

// logRatio returns the log likelihood ratio of a failure rate over another.
func logRatio(c counts, rate, over float64) float64 {
	return c.failed*math.Log(rate/over) + (c.ended-c.failed)*math.Log((1-rate)/(1-over))
}

// eject ends requests to an upstream for a time.
func (d *Detector) eject(now time.Duration, m *member, c *Change) {
	if m.state == In {
		d.inCount--
		if m.returned > 0 && now-m.returned > d.cfg.Forget {
			m.holds = 0
		}
	}
	c.To, c.Hold = Held, min(d.cfg.Hold<<min(m.holds, 8), d.cfg.MaxHold)
	m.state, m.until = Held, now+c.Hold
	m.holds++
}

// excludeFromPeers takes the failing run of an ejected upstream out of what the others are compared with. Otherwise a second
// failing upstream of three would be compared with the first one.
func (d *Detector) excludeFromPeers(ejected *member) {
	for _, m := range d.members {
		if m.state != In {
			continue
		}
		for i := range m.tests {
			t := &m.tests[i]
			run := ejected.tests[i].run
			if t.base.ended > ejected.tests[i].base.ended {
				*t = test{base: d.pool}
				continue
			}
			t.base = counts{t.base.ended + run.ended, t.base.failed + run.failed}
		}
	}
}

// advance applies the passing of time to an upstream.
func (d *Detector) advance(now time.Duration, id string, m *member, changes []Change) []Change {
	switch {
	case m.state == Held && now >= m.until:
		m.state, m.share, m.moved = OnTrial, d.cfg.FirstShare, now
		m.trial, m.evidence = counts{}, 0
		changes = append(changes, Change{ID: id, To: OnTrial})
	case m.state == OnTrial && now-m.moved >= d.cfg.Quiet:
		m.share, m.moved = max(m.share, min(m.share*2, quietLimit)), now
	}
	return changes
}

// observeTrial judges outcomes on trial: whether the upstream fails like its pool or as at its ejection.
func (d *Detector) observeTrial(now time.Duration, id string, m *member, batch counts, changes []Change) []Change {
	m.moved = now
	m.trial = counts{m.trial.ended + batch.ended, m.trial.failed + batch.failed}
	healthy := min(max(d.longTermRate(), d.cfg.MinRate), maxRate)
	failing := min(max(m.rate, healthy+(1-healthy)*d.cfg.Extra[0]), maxRate)
	if failing <= healthy {
		// The pool now fails as much as this upstream did; that is no ground to keep it out.
		failing = healthy + (1-healthy)/2
	}
	m.evidence += logRatio(batch, healthy, failing)
	change := Change{ID: id, Ended: int(m.trial.ended), Failed: int(m.trial.failed), PoolRate: healthy}
	switch {
	case m.evidence <= -d.cfg.Evidence:
		d.eject(now, m, &change)
		return append(changes, change)
	case m.evidence >= d.cfg.Evidence || m.trial.ended >= trialOutcomes && m.evidence > 0:
		m.trial, m.evidence = counts{}, 0
		if m.share *= d.cfg.Step; m.share < 1 {
			return changes
		}
		m.state, m.returned = In, now
		d.inCount++
		d.startTests(m)
		change.To = In
		return append(changes, change)
	}
	return changes
}

// Advance applies the passing of time to all upstreams and returns the changes that follow.
func (d *Detector) Advance(now time.Duration) []Change {
	var changes []Change
	for id, m := range d.members {
		if m.state != In {
			changes = d.advance(now, id, m, changes)
		}
	}
	return changes
}

// Share returns the share of its usual requests that an upstream gets, and whether they are its first trials, which ought to
// be requests that may be repeated.
func (d *Detector) Share(id string) (share float64, first bool) {
	m, known := d.members[id]
	switch {
	case !known || m.state == In:
		return 1, false
	case m.state == Held:
		return 0, true
	}
	return m.share, m.share < d.cfg.FirstShare*d.cfg.Step
}

// Out returns the upstreams that are held or on trial, with their failure rates when they were ejected.
func (d *Detector) Out() map[string]float64 {
	var out map[string]float64
	for id, m := range d.members {
		if m.state == In {
			continue
		}
		if out == nil {
			out = make(map[string]float64)
		}
		out[id] = m.rate
	}
	return out
}

// Least returns the upstream of out that has failed the fewest; it is the one to use if no other exists.
func Least(out map[string]float64) string {
	ids := make([]string, 0, len(out))
	for id := range out {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return slices.MinFunc(ids, func(a, b string) int {
		switch {
		case out[a] < out[b]:
			return -1
		case out[a] > out[b]:
			return 1
		}
		return 0
	})
}
