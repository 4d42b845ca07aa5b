package gateway

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/room"
	"github.com/cairnworks/cairnworks/decision/speed"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/upstream"
)

const (
	// speedInterval is the least time between two updates of the speeds by which a pool places requests: an update
	// sorts the figures of all upstreams.
	speedInterval = 50 * time.Millisecond
	// progressInterval is the least time between two records of the progress of one stream.
	progressInterval = 200 * time.Millisecond
	// heardFresh is how long a figure of a hub, which has observed all instances' requests, is preferred to the own
	// one. A hub is asked every 500 ms.
	heardFresh = 1500 * time.Millisecond
	// heardTTL is how long a figure of a hub is used without an own one.
	heardTTL = 30 * time.Second
	// restartHearing is the time after a restart of an upstream in which figures of hubs may be those of its
	// previous run.
	restartHearing = 2 * time.Second
	// maxIdleSpeeds limits the figures of upstreams of a pool without requests in an answer to a poll: answers of a large
	// fleet have room for twelve in all (TestLargeFleetTrafficIsBounded). They are drawn anew for each answer.
	maxIdleSpeeds = 4
	// maxSpeedMetrics is the number of addresses of upstreams in the metrics of a pool.
	maxSpeedMetrics = 64
	// loggedChange is the factor by which a figure must change to be logged.
	loggedChange = 1.5
	// unusualSlowness is the factor by which an idle upstream must differ from the pool to be reported.
	unusualSlowness = 1.2
)

// heardSpeed is the figure of an upstream in an answer of a hub.
type heardSpeed struct {
	slowness float64
	at       time.Duration
}

// poolSpeeds are the speeds of the upstreams of a pool. A nil poolSpeeds knows none.
type poolSpeeds struct {
	serving   speed.Serving
	estimator *speed.Estimator
	heard     map[string]heardSpeed
	// restarted holds the upstreams that have restarted lately, with the time.
	restarted map[string]time.Duration
	// appliedAt is when the allocator's speeds were last set to applied.
	appliedAt time.Duration
	applied   map[string]float64
	// recentFigures are the observed figures at recentAt, for answers to polls.
	recentAt      time.Duration
	recentFigures map[string]float64
	// logged are the figures that were last logged, by upstream; others were 1.
	logged  map[string]float64
	changed func(e upstream.Entry, before, now float64, requests int)
	// metrics holds the addresses in the metrics.
	metrics map[string]bool
}

// enableSpeeds makes a pool place requests by the speeds of its upstreams, if that is on.
func (g *Gateway) enableSpeeds(service string, role upstream.Role, p *pool) {
	if !g.Features.UpstreamSpeed {
		return
	}
	serving := speed.Slots
	switch role {
	case upstream.Prefill:
		serving = speed.Serial
	case upstream.Decode:
		serving = speed.Batch
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.speeds = &poolSpeeds{
		serving: serving, estimator: speed.New(serving), heard: make(map[string]heardSpeed), restarted: make(map[string]time.Duration),
		logged: make(map[string]float64), metrics: make(map[string]bool),
		changed: func(e upstream.Entry, before, now float64, requests int) {
			g.log.Info("upstream speed changed", zap.String("service", service), zap.Stringer("role", role), zap.String("upstream", e.ID),
				zap.String("address", e.Address), zap.Float64("slowness", round(now)), zap.Float64("before", round(before)), zap.Int("requests", requests))
		},
	}
	p.outcomes.onWork = p.observeWork
}

// round rounds a figure to two digits after the point.
func round(f float64) float64 { return math.Round(f*100) / 100 }

// observeWork adds work done by an upstream to its figure. The caller must hold the lock.
func (p *pool) observeWork(now time.Duration, id string, done fleet.Totals) {
	e, known := p.entries[id]
	if !known {
		return
	}
	load := p.placedLoad(id)
	p.speeds.estimator.Observe(now, id, speed.Sample{
		Requests: int(done.Ended - done.Failed), Work: done.Work, Busy: done.Busy, Placed: load.Requests, Tokens: load.Tokens, Slots: e.Slots,
	})
}

// placedLoad returns the requests that are placed at an upstream and their tokens, without the claim of a withdrawal.
func (p *pool) placedLoad(id string) room.Load {
	load := p.allocator.Load(id)
	if tokens, withdrawn := p.withdrawn[id]; withdrawn {
		load.Requests, load.Tokens = load.Requests-1, load.Tokens-tokens
	}
	return load
}

// recordPlaced records a placement, if there was one. The caller must hold the lock.
func (p *pool) recordPlaced(id string, placed bool) {
	if p.speeds == nil || !placed {
		return
	}
	load := p.placedLoad(id)
	p.speeds.estimator.Place(boottime.Now(), id, load.Requests, load.Tokens)
}

// observed returns the figures that rest on observations of this instance and of those that report to it.
func (s *poolSpeeds) observed(now time.Duration) map[string]float64 {
	if s == nil {
		return nil
	}
	return s.estimator.Slowness(now)
}

// recent returns observed figures that are at most speedInterval old: a hub answers up to a hundred polls per second.
func (s *poolSpeeds) recent(now time.Duration) map[string]float64 {
	if s == nil {
		return nil
	}
	if s.recentFigures == nil || now-s.recentAt >= speedInterval {
		s.recentAt, s.recentFigures = now, s.observed(now)
	}
	return s.recentFigures
}

// isUnusual reports whether an upstream differs from its pool.
func isUnusual(slowness float64) bool {
	return slowness > unusualSlowness || slowness > 0 && slowness < 1/unusualSlowness
}

// hear stores a figure of a hub.
func (s *poolSpeeds) hear(now time.Duration, id string, slowness float64) {
	if s == nil || !speed.Valid(slowness) {
		return
	}
	if at, restarted := s.restarted[id]; restarted && now-at < restartHearing {
		return
	}
	s.heard[id] = heardSpeed{slowness, now}
}

// retain drops the figures of upstreams that are gone or have restarted.
func (s *poolSpeeds) retain(now time.Duration, before, entries map[string]upstream.Entry) {
	if s == nil {
		return
	}
	for id, old := range before {
		e, listed := entries[id]
		if listed && e.Started == old.Started {
			continue
		}
		s.estimator.Forget(id)
		delete(s.heard, id)
		delete(s.logged, id)
		delete(s.restarted, id)
		if listed {
			s.restarted[id] = now
		}
	}
	s.appliedAt, s.recentFigures = 0, nil
}

// current returns the figures by which requests are placed. An instance to which others report directly trusts what it
// has observed; others trust the hubs, and their own observations while they hear none.
func (s *poolSpeeds) current(now time.Duration, direct bool) map[string]float64 {
	out := s.observed(now)
	for id, h := range s.heard {
		_, known := out[id]
		age := now - h.at
		switch {
		case age > heardTTL:
			delete(s.heard, id)
		case !known || !direct && age <= heardFresh:
			out[id] = speed.Fade(h.slowness, age)
		}
	}
	return out
}

// applySpeeds passes the present figures to the allocator. The caller must hold the lock.
func (p *pool) applySpeeds(now time.Duration) {
	s := p.speeds
	if s == nil || s.appliedAt > 0 && now-s.appliedAt < speedInterval {
		return
	}
	s.appliedAt, s.applied = now, s.current(now, len(p.fullReport) > 0)
	p.allocator.SetSpeeds(room.Speeds{Serving: s.serving, Slowness: s.applied, Growth: s.estimator.Growth()})
	for id, slowness := range s.applied {
		before, logged := s.logged[id]
		if !logged {
			before = 1
		}
		if slowness >= before*loggedChange || slowness <= before/loggedChange {
			s.logged[id] = slowness
			s.changed(p.entries[id], before, slowness, p.allocator.Load(id).Requests)
		}
	}
}

// recordSpeeds updates the metrics of speeds.
func (g *Gateway) recordSpeeds() {
	if !g.Features.UpstreamSpeed {
		return
	}
	for service, p := range g.plainPools.byService() {
		g.recordPoolSpeeds(service, upstream.Plain, p)
	}
	for _, d := range g.dispatchers.ofModels() {
		g.recordPoolSpeeds(d.service, upstream.Decode, d.decode)
		g.recordPoolSpeeds(d.service, upstream.Prefill, d.prefill)
	}
}

func (g *Gateway) recordPoolSpeeds(service string, role upstream.Role, p *pool) {
	for address, slowness := range p.speedsByAddress(boottime.Now()) {
		g.Metrics.SetUpstreamSlowness(service, role.String(), address, slowness)
	}
}

// speedsByAddress returns the figures of up to maxSpeedMetrics addresses. An address keeps its place when its upstream
// has gone, because metrics cannot be removed; it is then 1.
func (p *pool) speedsByAddress(now time.Duration) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applySpeeds(now)
	out := make(map[string]float64, len(p.speeds.metrics))
	for address := range p.speeds.metrics {
		out[address] = 1
	}
	for id, slowness := range p.speeds.applied {
		address := p.entries[id].Address
		if _, known := p.speeds.metrics[address]; known || address != "" && len(p.speeds.metrics) < maxSpeedMetrics {
			p.speeds.metrics[address] = true
			out[address] = slowness
		}
	}
	return out
}

// eventPace measures the time between the events of a stream. The time until the first one is left out: it
// includes the transfer of the prompt.
type eventPace struct {
	// events have been read; counted of them have been recorded, the last of these at since.
	events, counted int
	since, last     time.Duration
	started         bool
}

// advance adds the events read by now. It returns the events that have not been recorded and their time, once that is at
// least the interval.
func (p *eventPace) advance(now time.Duration, events int, interval time.Duration) (int, time.Duration) {
	p.events, p.last = events, now
	if !p.started {
		p.started, p.counted, p.since = true, events, now
		return 0, 0
	}
	work, busy := events-p.counted, now-p.since
	if busy < interval {
		return 0, 0
	}
	p.counted, p.since = events, now
	return work, busy
}
