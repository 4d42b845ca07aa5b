package gateway

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/outlier"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/upstream"
)

const (
	// verdictTTL is how long the ejections that a hub has reported count without another answer of it.
	verdictTTL = peerLoadTTL
	// hubsToEject is the number of hubs that must report an ejection, if as many answer and the home does not: one hub that
	// no longer hears how requests end keeps no upstream ejected.
	hubsToEject = 2
	// returnTime is how long an upstream that hubs no longer report as ejected gets only requests that may be repeated.
	returnTime = time.Second
	// firstTrialGap is the time between two choices in which an upstream is on its first trial. A full queue makes a choice
	// at each event, and an upstream that fails fast is the one with capacity.
	firstTrialGap = 250 * time.Millisecond
	// unusableRate is the failure rate at ejection from which no request uses the upstream as a last resort: it would more
	// probably fail, and have run, than be served after the refusal that it gets instead.
	unusableRate = 0.5
)

// failingPool decides which upstreams of a pool fail the requests they run. It is safe for concurrent use and may be used
// while the pool is locked; it never uses the pool.
type failingPool struct {
	service string
	role    upstream.Role
	log     *zap.Logger
	metrics *observe.Metrics
	random  func() float64
	// home returns the home of the service, whose verdict counts. Hubs hold and try an upstream at different times, so
	// that an upstream returns very late for instances that follow several of them.
	home func() (hub string)

	mu       sync.Mutex
	detector *outlier.Detector
	// heard are the ejections in the last answers of hubs; reported is when an upstream was last ejected by them.
	heard    map[string]hubVerdict
	reported map[string]time.Duration
	// tried is when an upstream on its first trial was last left among those to choose from.
	tried map[string]time.Duration
}

type hubVerdict struct {
	at      time.Duration
	ejected map[string]bool
}

// watchFailures starts to observe how requests of a pool end, if the feature is on.
func (g *Gateway) watchFailures(p *pool, service string, role upstream.Role) {
	if !g.Features.EjectFailing {
		return
	}
	f := &failingPool{
		service: service, role: role, log: g.log, metrics: g.Metrics, random: rand.Float64, home: func() string { h, _ := g.homeOf(service); return h.Name }, detector: outlier.New(outlier.DefaultConfig()),
		heard: make(map[string]hubVerdict), reported: make(map[string]time.Duration), tried: make(map[string]time.Duration),
	}
	p.mu.Lock()
	p.failing = f
	p.mu.Unlock()
	p.observeOutcomes(f.observe)
	g.outliers.watch(serviceRole{service, role}, f)
}

// observe takes outcomes of an upstream.
func (f *failingPool) observe(now time.Duration, id string, ended fleet.Totals) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record(f.detector.Observe(now, id, int(ended.Ended), int(ended.Failed)))
}

// record logs and counts changes of upstreams.
func (f *failingPool) record(changes []outlier.Change) {
	for _, c := range changes {
		fields := []zap.Field{
			zap.String("service", f.service), zap.Stringer("role", f.role), zap.String("upstream", c.ID), zap.Int("ended", c.Ended),
			zap.Int("failed", c.Failed), zap.Float64("pool_rate", math.Round(c.PoolRate*1000)/1000),
		}
		switch c.To {
		case outlier.Held:
			f.log.Warn("failing upstream ejected", append(fields, zap.Duration("for", c.Hold))...)
			f.metrics.CountEjection(f.service, f.role.String(), "ejected")
		case outlier.OnTrial:
			f.log.Info("failing upstream tried", zap.String("service", f.service), zap.Stringer("role", f.role), zap.String("upstream", c.ID))
			f.metrics.CountEjection(f.service, f.role.String(), "tried")
		case outlier.In:
			f.log.Info("failing upstream returned", fields...)
			f.metrics.CountEjection(f.service, f.role.String(), "returned")
		}
	}
}

// hear takes the ejections in a hub's answer to a poll. They replace those of its last answer.
func (f *failingPool) hear(now time.Duration, hub string, ejected map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[hub] = hubVerdict{now, ejected}
}

// forget drops all that is known of an upstream, which has been restarted.
func (f *failingPool) forget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detector.Forget(id)
	delete(f.reported, id)
	delete(f.tried, id)
	for _, v := range f.heard {
		delete(v.ejected, id)
	}
}

// retain drops the upstreams that no longer exist.
func (f *failingPool) retain(exists func(id string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detector.Retain(exists)
	gone := func(id string, _ time.Duration) bool { return !exists(id) }
	maps.DeleteFunc(f.reported, gone)
	maps.DeleteFunc(f.tried, gone)
}

// reportedEjections returns the upstreams that the home reports as ejected, or hubs if it does not answer. The caller must
// hold the lock.
func (f *failingPool) reportedEjections(now time.Duration, home string) map[string]bool {
	if v, heard := f.heard[home]; heard && now-v.at <= verdictTTL {
		for id := range v.ejected {
			f.reported[id] = now
		}
		return v.ejected
	}
	votes := make(map[string]int)
	for hub, v := range f.heard {
		if now-v.at > verdictTTL {
			delete(f.heard, hub)
			continue
		}
		for id := range v.ejected {
			votes[id]++
		}
	}
	out := make(map[string]bool)
	for id, n := range votes {
		if n >= min(hubsToEject, len(f.heard)) {
			out[id], f.reported[id] = true, now
		}
	}
	return out
}

// choice holds the upstreams that a request must not use, those of them that it must not use even if no other one has
// capacity, and those not among them that only a request that may be repeated must use.
type choice struct{ ejected, unusable, trials map[string]bool }

// draw says how a choice treats upstreams on trial.
type draw int

const (
	// noDraw admits those past their first trials and uses no trial. It is for questions that place nothing.
	noDraw draw = iota
	// drawLater admits those past their first trials by their share.
	drawLater
	// drawFirst admits all by their share.
	drawFirst
)

// choose returns the ejected upstreams for one choice among the listed ones. Upstreams on trial are left out at random, so
// that they get their share of the choices.
func (f *failingPool) choose(now time.Duration, how draw, listed []string) choice {
	random := f.random
	if how == noDraw {
		random = func() float64 { return 0 }
	}
	home := f.home()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record(f.detector.Advance(now))
	own, out := f.detector.Out(), make(map[string]float64)
	c := choice{make(map[string]bool), make(map[string]bool), make(map[string]bool)}
	for id, rate := range own {
		share, first := f.detector.Share(id)
		last, before := f.tried[id]
		if random() >= share || first && (how != drawFirst || before && now-last < firstTrialGap) {
			out[id] = rate
		} else if first {
			f.tried[id] = now
			c.trials[id] = true
		}
	}
	for id := range f.reportedEjections(now, home) {
		if _, known := own[id]; !known {
			out[id] = 1 // The report does not state the rate.
		} else {
			out[id] = own[id]
		}
	}
	for id, at := range f.reported {
		if _, already := out[id]; now-at >= returnTime {
			delete(f.reported, id)
		} else if !already {
			c.trials[id] = true
		}
	}
	f.keepOne(out, listed)
	for id, rate := range out {
		c.ejected[id] = true
		if rate >= unusableRate {
			c.unusable[id] = true
		}
	}
	return c
}

// keepOne takes the upstream that fails least out of the ejected ones if there is no other one.
func (f *failingPool) keepOne(out map[string]float64, listed []string) {
	present := make(map[string]float64)
	for _, id := range listed {
		rate, ejected := out[id]
		if !ejected {
			return
		}
		present[id] = rate
	}
	if len(present) > 0 {
		delete(out, outlier.Least(present))
	}
}

// reportedTo returns the upstreams that a hub reports to an instance as ejected. One on trial is reported to a part of the
// instances that is as large as its share of the requests: the others use it.
func (f *failingPool) reportedTo(now time.Duration, instance string) map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record(f.detector.Advance(now))
	out := make(map[string]bool)
	for id := range f.detector.Out() {
		share, _ := f.detector.Share(id)
		if point := float64(fleet.HashOf(instance+"/"+id)) / math.MaxUint64; point >= share {
			out[id] = true
		}
	}
	return out
}

// watch makes the failing upstreams of a pool count as ejected.
func (o *outlierDetector) watch(of serviceRole, f *failingPool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failing[of] = f
}

// failingAmong returns the choices of the watched pools that the entries belong to.
func (o *outlierDetector) failingAmong(entries []upstream.Entry, how draw) choice {
	var all choice
	unreachable := o.ejectedByConnections(entries)
	o.mu.Lock()
	if len(o.failing) == 0 {
		o.mu.Unlock()
		return all
	}
	now, pools := o.now(), make(map[*failingPool][]string)
	for _, e := range entries {
		if f := o.failing[serviceRole{e.Service, e.Role}]; f != nil && !e.Leaving && !unreachable[e.ID] {
			pools[f] = append(pools[f], e.ID)
		}
	}
	o.mu.Unlock()
	for f, listed := range pools {
		c := f.choose(now, how, listed)
		all = choice{union(all.ejected, c.ejected), union(all.unusable, c.unusable), union(all.trials, c.trials)}
	}
	return all
}

// ejectedFor returns which of the entries a request must not use if others have capacity. First trials at failing upstreams
// are for requests that may be repeated.
func (o *outlierDetector) ejectedFor(entries []upstream.Entry, mayRepeat bool) map[string]bool {
	how := drawFirst
	if !mayRepeat {
		how = drawLater
	}
	c := o.failingAmong(entries, how)
	if !mayRepeat {
		c.ejected = union(c.ejected, c.trials)
	}
	return union(c.ejected, o.ejectedByConnections(entries))
}

// ejected returns which of the entries must not be used if others have capacity, for a request that may try failing ones.
func (o *outlierDetector) ejected(entries []upstream.Entry) map[string]bool {
	return o.ejectedFor(entries, true)
}

// unusable returns which of the entries must not be used even if no other one has capacity.
func (o *outlierDetector) unusable(entries []upstream.Entry) map[string]bool {
	return o.failingAmong(entries, noDraw).unusable
}

// addEjections marks in an answer to a poll which upstreams of the pool are ejected. The pool must be locked.
func (p *pool) addEjections(to string, loads map[fleet.Hash]fleet.Load) {
	if p.failing == nil {
		return
	}
	for id := range p.failing.reportedTo(boottime.Now(), to) {
		if _, listed := p.entries[id]; !listed {
			continue
		}
		hash := fleet.ShortHashOf(id)
		load := loads[hash]
		load.Ejected = true
		loads[hash] = load
	}
}

// applyEjections applies the ejections in an answer to a poll. The pool must be locked.
func (p *pool) applyEjections(now time.Duration, r *fleet.Report) {
	if p.failing == nil {
		return
	}
	ejected := make(map[string]bool)
	for hash, l := range r.Loads {
		if id, known := p.ids[hash]; known && l.Ejected {
			ejected[id] = true
		}
	}
	p.failing.hear(now, r.Instance, ejected)
}
