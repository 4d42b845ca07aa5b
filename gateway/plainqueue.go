package gateway

import (
	"context"
	"errors"
	"maps"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/room"
	"github.com/cairnworks/cairnworks/decision/waiting"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Limits and timings of the queues of plain services.
const (
	// placeRoundTrip is the time between the end of a request at an upstream and the start of the next one that
	// gets its place: the answer's way to the instance, the report to the home, the place and the request.
	placeRoundTrip = 5 * time.Millisecond
	// smallFleetRoundTrip is the same in a fleet without hubs, where an instance learns that a place of another one has
	// become free from the next report, up to 15 ms later.
	smallFleetRoundTrip = placeRoundTrip + 15*time.Millisecond
	// initialServiceTime is the expected service time while too few requests have ended.
	initialServiceTime = 20 * time.Millisecond
	// serviceTimeWindow is the number of recent requests that determine the expected service time, and
	// minServiceTimes the number from which it is known.
	serviceTimeWindow = 200
	minServiceTimes   = 8
	// maxServiceBatch and maxServiceFactor bound what one report changes: the number of requests, and their time as a
	// multiple of the mean.
	maxServiceBatch  = 20
	maxServiceFactor = 10
	// maxDeadlineLead is the largest share of the time that a request has left that is kept for its run.
	maxDeadlineLead = 0.5
	// aheadSteps is the number of steps in which the share of slots that become free during a round trip is computed.
	// Smaller steps would change the capacity with each outcome.
	aheadSteps = 8
	// plainShareUnits stands for the tokens of a request in the queue. It is what a request counts in the shares of organisations. The queue forgets an organisation
	// whose decayed sum is below one unit.
	plainShareUnits = 1000
	// plainMinWait is the wait of requests whose objective leaves less time, or that have none: about the time in
	// which a place becomes free.
	plainMinWait = 30 * time.Millisecond
	// plainLead is how many service times before its objective a request must be placed. With one, a request that is
	// placed in the last moment is late half of the time, and takes the place of one that would be on time.
	plainLead = 2
	// plainSpareGap is how long no request that can be on time may have been left waiting before late ones get places.
	plainSpareGap = 5 * time.Millisecond
	// plainMaxOvertaken is how long a request may be overtaken, which is any time: plain requests need equal
	// places, and one waits for longer than another only for lack of an upstream that may run it.
	plainMaxOvertaken = time.Hour
)

// plainQueueConfig returns the parameters of the queue of a plain service. The lead before the objective is learned and
// therefore part of each item; see dispatcher.queueItem.
func plainQueueConfig() waiting.Config {
	c := waiting.DefaultConfig()
	c.Lead, c.LateAnswers = 0, true
	// Places become free every few ms.
	c.SpareGap = plainSpareGap
	c.MinWait = plainMinWait
	c.MaxOvertaken = plainMaxOvertaken
	// The same range of times as that of spreadRetry.
	c.MinRetry, c.RetryJitter = plainRetry*(2-plainRetrySpread)/2, plainRetry*plainRetrySpread
	return c
}

// serviceTime is the mean time that recent requests took at the upstreams of a plain service. It is safe for concurrent
// use.
type serviceTime struct {
	mu sync.Mutex
	// busy is the sum of the times in seconds, and requests their number; older ones count less.
	busy, requests float64
}

// observe adds outcomes; see pool.observeOutcomes.
func (s *serviceTime) observe(_ time.Duration, _ string, ended fleet.Totals) {
	if ended.Work == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	work := min(float64(ended.Work), maxServiceBatch)
	// An instance that was suspended counts that time as well.
	took := min(ended.Busy.Seconds()/float64(ended.Work), maxServiceFactor*s.meanLocked().Seconds())
	keep := 1 - work/serviceTimeWindow
	s.busy = s.busy*keep + work*took
	s.requests = s.requests*keep + work
}

// mean returns the expected service time of a request.
func (s *serviceTime) mean() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meanLocked()
}

func (s *serviceTime) meanLocked() time.Duration {
	if s.requests < minServiceTimes {
		return initialServiceTime
	}
	return time.Duration(s.busy / s.requests * float64(time.Second))
}

// ahead returns the share of an upstream's slots that become free during a round trip, in parts of aheadSteps.
func (s *serviceTime) ahead(roundTrip time.Duration) int {
	mean := max(s.mean(), time.Microsecond)
	return min(max(int((aheadSteps*roundTrip+mean-1)/mean), 1), aheadSteps)
}

// plainPlaces returns the number of places at a plain upstream: its slots, and the requests that end there during a
// round trip plus one standard deviation of their number, at most as many as it has slots.
func plainPlaces(slots, ahead int) int {
	slots = max(slots, 1)
	ending := float64(slots) * float64(ahead) / aheadSteps
	return slots + min(int(math.Ceil(ending+math.Sqrt(ending))), slots)
}

// newPlainDispatcher returns the dispatcher of a plain service.
func newPlainDispatcher(g *Gateway, service string) *dispatcher {
	d := newDispatcher(g, service)
	d.role, d.decode, d.queue = upstream.Plain, g.plainPools.get(service), waiting.New(plainQueueConfig())
	d.setQueueLength = g.Metrics.PlainQueueLength(service)
	d.decode.observeOutcomes(d.serviceTime.observe)
	return d
}

func (d *dispatcher) isPlain() bool { return d.role == upstream.Plain }

// preparePlain creates the dispatchers of all plain services, so that an instance that becomes a home already knows the
// loads that it has been told.
func (s *dispatcherSet) preparePlain() {
	index := s.gateway.state.Index()
	if index == nil || !s.gateway.Features.PlainQueue {
		return
	}
	services := index.Set().Services
	for i := range services {
		if services[i].Kind == object.KindPlain {
			s.get(&services[i]).sync()
		}
	}
}

// syncPlain updates the pool of a plain service from the directory.
func (d *dispatcher) syncPlain(near string) {
	roundTrip := smallFleetRoundTrip
	if d.gateway.reportsViaHubs() {
		roundTrip = placeRoundTrip
	}
	ahead := d.serviceTime.ahead(roundTrip)
	d.decode.sync(d.gateway.state.Directory, d.service, upstream.Plain, poolShape{near: near, ahead: ahead}, func(e upstream.Entry) room.Engine {
		return room.Engine{ID: e.ID, Slots: plainPlaces(e.Slots, ahead), SameDataCentre: near != "" && e.DataCentre == near}
	})
}

// queueItem returns the item that waits in the queue for a request. A plain request must be placed plainLead expected
// service times and a round trip before its objective. Before its deadline it must be placed early enough for one that takes
// several times as long: a request that was sent and runs out of time may have run, and is worse than a refusal.
func (d *dispatcher) queueItem(i waiting.Item) *waiting.Item {
	if !d.isPlain() {
		return &i
	}
	mean := d.serviceTime.mean()
	if i.Objective > 0 {
		i.Objective = max(i.Objective-plainLead*mean-placeRoundTrip, time.Millisecond)
	}
	left := time.Duration(maxDeadlineLead * float64(time.Until(i.Deadline)))
	i.Deadline = i.Deadline.Add(-min(attemptServiceTimes*mean+placeRoundTrip, max(left, 0)))
	i.Tokens, i.Output = plainShareUnits, 0
	return &i
}

// demand returns what a queued request claims. Plain requests claim a slot only.
func (d *dispatcher) demand(i *waiting.Item) room.Demand {
	if d.isPlain() {
		return room.Demand{}
	}
	return room.Demand{Tokens: i.Tokens, Output: i.Output}
}

// decidesWithoutHome reports whether this instance decides by its own knowledge although another one is the home.
func (d *dispatcher) decidesWithoutHome() bool {
	_, isHome := d.gateway.homeOf(d.service)
	return d.gateway.reportsViaHubs() && !isHome
}

// plainExclusions are the upstreams of a plain service that get no requests at the moment.
type plainExclusions struct {
	// limited are those whose limits are reached. here holds also those that have requested a backoff of this
	// instance, and share those at which it has its share of the places.
	limited, here, share map[string]bool
	// instances is the size of the fleet if this instance decides without its home, or 0.
	instances int
	// ejected get no requests if others are left, and unusable none in any case. trials get only requests that may be
	// repeated.
	ejected, unusable, trials map[string]bool
	// fullHere and fullElsewhere are set once there was no place for a request of this instance or of another one
	// that may run at any upstream. All further ones need the same.
	fullHere, fullElsewhere bool
}

func (d *dispatcher) plainExclusions(entries []upstream.Entry, u unavailable) *plainExclusions {
	outliers := d.gateway.outliers
	c := outliers.failingAmong(entries, drawFirst)
	x := &plainExclusions{limited: u.spentIDs(), ejected: union(c.ejected, outliers.ejectedByConnections(entries)), unusable: c.unusable, trials: c.trials}
	x.here = union(x.limited, u.backoffIDs())
	if instances, known := d.gateway.FleetSize().Instances(); known && d.decidesWithoutHome() {
		x.instances, x.share = instances, d.decode.beyondShare(instances)
	}
	return x
}

// claimPlain claims a place for a queued request. Upstreams that are ejected here or at the instance that asks are used
// only if no other upstream may run the request; a full upstream that may is waited for.
func (d *dispatcher) claimPlain(queued *queuedRequest, x *plainExclusions) (upstream.Entry, bool) {
	base, share, full := x.here, x.share, &x.fullHere
	if queued.remote != nil {
		base, share, full = x.limited, nil, &x.fullElsewhere
	}
	// Requests that may be repeated and others need the same places if there are no trials.
	anywhere := len(queued.except)+len(queued.avoid)+len(x.trials) == 0
	if anywhere && *full {
		return upstream.Entry{}, false
	}
	except := union(union(base, queued.except), x.unusable)
	if !queued.repeatable {
		except = union(except, x.trials)
	}
	if best := union(except, union(x.ejected, queued.avoid)); d.decode.offersOther(best) {
		except = best
	}
	entry, ok := queued.claim(d.decode, union(except, share))
	if ok && x.instances > 0 && queued.remote == nil {
		x.share = d.decode.beyondShare(x.instances)
	}
	*full = *full || anywhere && !ok
	return entry, ok
}

// recordQueueLength updates the metric of the queue of a plain service.
func (d *dispatcher) recordQueueLength() {
	if d.setQueueLength != nil {
		d.setQueueLength(d.queue.Len())
	}
}

// logHomeChange logs when another instance than before assigns the places of a plain service.
func (d *dispatcher) logHomeChange() {
	if !d.gateway.reportsViaHubs() {
		return
	}
	home, isSelf := d.gateway.homeOf(d.service)
	d.mu.Lock()
	before := d.lastHome
	d.lastHome = home.Name
	d.mu.Unlock()
	if before != home.Name {
		d.gateway.log.Info("placement home changed", zap.String("service", d.service), zap.String("home", home.Name), zap.String("before", before), zap.Bool("self", isSelf))
	}
}

// reportFull stops claims at a plain upstream that has refused a request as full, here and at the home.
func (d *dispatcher) reportFull(entry upstream.Entry) {
	d.backOff(entry.ID)
	if home, isRemote := d.remoteHome(); isRemote {
		d.gateway.placementHomes.EndClaim(home.Name, fleet.Claim{Service: fleet.HashOf(d.service), Full: []fleet.Hash{fleet.ShortHashOf(entry.ID)}})
	}
}

// queue waits for a place at an upstream of the service's queue.
func (r *plainRun) queue(ctx context.Context) (upstream.Entry, *verdict.Verdict) {
	g, d, c := r.gateway, r.dispatcher, r.admitted.call
	d.logHomeChange()
	started := time.Now()
	request := placementRequest{
		item: &waiting.Item{
			Organisation: c.Organisation, Priority: c.priority, Arrived: c.Arrived, Objective: time.Duration(r.admitted.route.ObjectiveMS) * time.Millisecond,
			Deadline: c.Deadline, RetrySeed: hashPoint(c.ID), RepeatKey: uint64(fingerprint(c.identity())),
		},
		except: maps.Clone(r.tried), repeatable: r.admitted.route.MayRepeat(), refusal: func() *verdict.Verdict { return g.crashes.refusal(c) },
	}
	entry, v, byHome := d.placeAtHome(ctx, request)
	local := !byHome && d.decidesWithoutHome()
	r.placedExactly = !local
	if !byHome {
		entry, v = d.placeLocally(ctx, request)
	}
	result := observe.PlaceAssigned
	switch {
	case v != nil:
		result = observe.PlaceRefused
	case local:
		result = observe.PlaceLocal
	}
	waited := time.Since(started)
	g.Metrics.RecordPlainPlace(d.service, result, waited)
	if v == nil {
		g.log.Info("placed", zap.String("request", c.ID), zap.String("upstream", entry.ID), zap.Duration("waited", waited), zap.Bool("without_home", local))
	}
	return entry, v
}

// refusedAsFull reports whether an upstream has refused a request that it was sent, without running it.
func refusedAsFull(ctx context.Context, v *verdict.Verdict) bool {
	return v.Reason == verdict.ReasonUpstreamRefused && v.Ran == verdict.NotRun && !errors.Is(v, errNotSent) && ctx.Err() == nil
}

// applyLoads applies changes of another instance's loads.
func (p *plainPools) applyLoads(now time.Duration, instance string, loads map[fleet.Hash]fleet.Load) {
	for _, plainPool := range p.all() {
		plainPool.applyLoads(now, instance, loads)
	}
}
