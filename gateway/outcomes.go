package gateway

import (
	"maps"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
)

// outcomeReportTime is how long the totals of an upstream are reported after they have last changed, so that a lost
// report is made up for.
const outcomeReportTime = 2 * time.Second

// maxRestartedTotals bounds the totals of an instance that has started again since its last report, which is at most
// peerLoadTTL old. Higher ones that have gone back are false.
const maxRestartedTotals = 64

// outcome is the end of a request at an upstream.
type outcome struct {
	// failed is set if the upstream has failed the request.
	failed bool
	// progress is set for work of a request that has not ended.
	progress bool
	// work is the work of an answered request, in requests or tokens, and busy the time that it took.
	work int
	busy time.Duration
}

// outcomes counts how the requests at the upstreams of a pool end, at this instance and, as far as they report here, at
// all others. It is not safe for concurrent use.
type outcomes struct {
	// own are the totals of this instance by upstream, and changed when these have last changed.
	own     map[string]fleet.Totals
	changed map[string]time.Duration
	// peers are the last totals of other instances by instance and upstream.
	peers map[string]map[string]fleet.Totals
	// observers are called with all new outcomes of an upstream, wherever they were observed. They are called with the
	// pool locked and must not use it.
	observers []func(now time.Duration, id string, ended fleet.Totals)
	// worked is when an upstream was last seen to answer a request, or to go on with its answer.
	worked map[string]time.Duration
	// failing are the upstreams that have failed all requests that have ended since they last worked.
	failing map[string]failureRun
	// onWork, if set, is called like observers with all new work, also that of requests that have not ended.
	onWork func(now time.Duration, id string, done fleet.Totals)
}

// failureRun is a series of requests that all failed.
type failureRun struct {
	first, last time.Duration
	count       uint64
}

func newOutcomes() outcomes {
	return outcomes{
		own: make(map[string]fleet.Totals), changed: make(map[string]time.Duration), peers: make(map[string]map[string]fleet.Totals),
		worked: make(map[string]time.Duration), failing: make(map[string]failureRun),
	}
}

// record adds an outcome of this instance.
func (o *outcomes) record(now time.Duration, id string, ended outcome) {
	added := fleet.Totals{Ended: 1}
	if ended.progress {
		added.Ended = 0
	}
	if ended.failed {
		added.Failed = 1
	} else {
		added.Work, added.Busy = uint64(max(ended.work, 0)), max(ended.busy, 0)
	}
	t := o.own[id]
	o.own[id] = fleet.Totals{Ended: t.Ended + added.Ended, Failed: t.Failed + added.Failed, Work: t.Work + added.Work, Busy: t.Busy + added.Busy}
	o.changed[id] = now
	o.notify(now, id, added)
}

// applyTotals applies totals of another instance. The first ones only serve as the base of the following: the outcomes in
// them may be of any age.
func (o *outcomes) applyTotals(now time.Duration, instance, id string, totals fleet.Totals) {
	if totals == (fleet.Totals{}) {
		return
	}
	last, known := o.peers[instance]
	if !known {
		last = make(map[string]fleet.Totals)
		o.peers[instance] = last
	}
	before, counted := last[id]
	if totals.Ended >= before.Ended && totals.Since(before) == totals && before != (fleet.Totals{}) {
		// They have been overtaken by newer ones of the same run.
		return
	}
	last[id] = totals
	if totals.Ended < before.Ended && totals.Ended > maxRestartedTotals {
		return
	}
	if added := totals.Since(before); counted && added.Failed <= added.Ended {
		o.notify(now, id, added)
	}
}

func (o *outcomes) notify(now time.Duration, id string, added fleet.Totals) {
	switch {
	case added.Ended > added.Failed || added.Work > 0:
		o.worked[id] = now
		delete(o.failing, id)
	case added.Failed > 0:
		run, failing := o.failing[id]
		if !failing {
			run.first = now
		}
		o.failing[id] = failureRun{run.first, now, run.count + uint64(added.Failed)}
	}
	if o.onWork != nil && added.Work > 0 {
		o.onWork(now, id, added)
	}
	if added.Ended == 0 {
		return
	}
	for _, observe := range o.observers {
		observe(now, id, added)
	}
}

// forgetPeer drops the totals of an instance that no longer reports.
func (o *outcomes) forgetPeer(instance string) { delete(o.peers, instance) }

// retain drops the totals of upstreams that no longer exist.
func (o *outcomes) retain(exists func(id string) bool) {
	for id := range o.own {
		if !exists(id) {
			delete(o.own, id)
			delete(o.changed, id)
		}
	}
	maps.DeleteFunc(o.worked, func(id string, _ time.Duration) bool { return !exists(id) })
	maps.DeleteFunc(o.failing, func(id string, _ failureRun) bool { return !exists(id) })
	for _, last := range o.peers {
		for id := range last {
			if !exists(id) {
				delete(last, id)
			}
		}
	}
}

// addChanged adds the totals that have changed lately to loads.
func (o *outcomes) addChanged(now time.Duration, loads map[fleet.Hash]fleet.Load) {
	for id, at := range o.changed {
		if now-at > outcomeReportTime {
			delete(o.changed, id)
			continue
		}
		hash := fleet.ShortHashOf(id)
		load := loads[hash]
		load.Totals = o.own[id]
		loads[hash] = load
	}
}

// recordOutcome records how a request of this instance has ended at an upstream, if a part of the gateway uses that.
func (g *Gateway) recordOutcome(p *pool, id string, ended outcome) {
	if !g.Features.EjectFailing && !g.Features.UpstreamSpeed && !g.Features.PlainQueue {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes.record(boottime.Now(), id, ended)
}

// signsOfWork returns when each upstream was last seen to work on a request, at any instance, and those that have failed
// all requests since.
func (p *pool) signsOfWork() (worked map[string]time.Duration, failing map[string]failureRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.outcomes.worked), maps.Clone(p.outcomes.failing)
}

// observeOutcomes sets a function that is called with all new outcomes of upstreams of the pool.
func (p *pool) observeOutcomes(observe func(now time.Duration, id string, ended fleet.Totals)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes.observers = append(p.outcomes.observers, observe)
}
