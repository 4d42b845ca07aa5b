package scheduler

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/group"
	"github.com/cairnworks/cairnworks/decision/quarantine"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

const (
	// LeaseTime is how long a grant lives without a renewal. Instances renew every
	// RenewInterval, so two lost renewals in a row cost nothing.
	LeaseTime = 3 * time.Second
	// RenewInterval is how often an instance renews its grants.
	RenewInterval = time.Second
	// forgetEnded is how long an ended attempt is remembered, so that an engine's
	// list read before its end does not bring it back, and one read after it shows
	// that its cancel was lost.
	forgetEnded = 30 * time.Second
	// cancelAfterEnd is how long after its end a listed attempt is taken as one
	// whose cancel was lost. Cancels are tried for under a second.
	cancelAfterEnd = time.Second
	// maxTick bounds the time between two looks at leases.
	maxTick = 250 * time.Millisecond
)

// serviceActor schedules one service. Its mailbox puts reservations, releases
// and reports in one order, so that the group needs no locks.
type serviceActor struct {
	service  string
	group    *group.Group
	waiting  map[attemptKey]reserveMsg
	byKey    map[attemptKey]*lease
	ended    map[attemptKey]time.Time
	addrs    map[string]string
	nextHeld uint64
	// home reports whether this instance is the service's scheduler by its own
	// view. A former scheduler must not cancel streams that its successor renews.
	home    func() bool
	dead    func(request.Holder) bool
	engines port.EngineDialer
	log     *zap.Logger
	metrics *observe.Metrics
	// crashes counts the prompts that upstreams died of; processes holds each
	// upstream's process as last reported.
	crashes   *quarantine.Tracker
	processes map[string]string
	// excess counts the reports in a row with more streams than leases, by upstream.
	excess map[string]int
	health *upstreamHealth
	warmup warmup
	timer  *time.Timer
	plain  bool
}

// lease is a grant with its holder and the time it ends without a renewal.
type lease struct {
	id      uint64
	key     attemptKey
	holder  request.Holder
	prefill string
	decode  string
	expires time.Time
	// prefilled leases no longer use their prefill upstream.
	prefilled    bool
	fingerprint  uint64
	promptTokens int
}

// Receive implements actor.Actor.
func (a *serviceActor) Receive(ctx actor.Context) {
	now := time.Now()
	switch msg := ctx.Message().(type) {
	case configureMsg:
		a.configure(now, msg)
	case reserveMsg:
		if a.warmup.over(now) {
			a.reserve(now, msg)
		} else {
			a.warmup.parked = append(a.warmup.parked, msg)
		}
	case withdrawMsg:
		a.withdraw(now, msg.key)
	case prefillDoneMsg:
		if l := a.byKey[msg.key]; l != nil {
			l.prefilled = true
			a.apply(now, a.group.PrefillDone(now, l.id))
		}
	case releaseMsg:
		a.judge(now, msg.key, msg.outcome)
		a.end(now, msg.key, msg.outcome)
	case renewMsg:
		msg.lost <- a.renew(now, msg)
	case reportMsg:
		a.report(now, msg)
	case unreachableMsg:
		a.warmup.heard(msg.upstream)
		a.metrics.Scope.Tagged(map[string]string{"upstream": msg.upstream}).Counter("upstream_unreachable").Inc(1)
	case cacheMsg:
		a.cache(now, msg)
	case statusMsg:
		msg.answer <- statusReply{a.group.Status(now), a.advice(), a.health.describe()}
	case tickMsg:
	case *actor.Stopping:
		a.stop()
		return
	default:
		return
	}
	a.advance(ctx, now)
}

// advance handles what is due and sets the timer for what comes next.
func (a *serviceActor) advance(ctx actor.Context, now time.Time) {
	for _, msg := range a.warmup.take(now) {
		a.reserve(now, msg)
	}
	a.expire(now)
	a.carryHealth(now)
	a.sampleBalance(now)
	decisions, next := a.group.Advance(now)
	a.apply(now, decisions)
	wait := maxTick
	if !next.IsZero() {
		wait = min(wait, max(next.Sub(now), time.Millisecond))
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	self, root := ctx.Self(), ctx.ActorSystem().Root
	a.timer = time.AfterFunc(wait, func() { root.Send(self, tickMsg{}) })
}

func (a *serviceActor) configure(now time.Time, msg configureMsg) {
	ups := make([]group.Upstream, 0, len(msg.upstreams))
	clear(a.addrs)
	a.plain = msg.service.Kind == object.KindPlain
	a.health.configure(msg.upstreams)
	a.warmup.begin(now, msg.upstreams)
	for _, u := range msg.upstreams {
		a.addrs[u.Name] = u.Address
		ups = append(ups, group.Upstream{
			Name: u.Name, Role: u.Role, DataCentre: u.DataCentre, Slots: u.Slots, Pieces: u.Pieces,
			PieceTokens: u.PieceTokens, LinkBytesPerSecond: u.LinkBytesPerSecond, Leaving: u.Leaving,
		})
	}
	a.apply(now, a.group.SetUpstreams(now, ups))
}

// reserve queues an attempt. A repeated reservation of a granted attempt, whose
// first answer was lost, gives the first grant back and does not take two slots.
func (a *serviceActor) reserve(now time.Time, msg reserveMsg) {
	if l := a.byKey[msg.key]; l != nil {
		a.end(now, msg.key, group.Outcome{Kind: group.OutcomeCancelled})
	}
	if refusal := a.quarantined(now, msg.req.Fingerprint); refusal != nil {
		a.metrics.Refused("scheduler", refusal)
		msg.answer <- reply{refusal: refusal}
		return
	}
	a.waiting[msg.key] = msg
	a.apply(now, a.group.Submit(now, msg.req))
}

func (a *serviceActor) withdraw(now time.Time, key attemptKey) {
	a.warmup.drop(key)
	if _, ok := a.waiting[key]; ok {
		delete(a.waiting, key)
		a.apply(now, a.group.Withdraw(now, key.String()))
		return
	}
	a.end(now, key, group.Outcome{Kind: group.OutcomeCancelled})
}

// apply hands decisions to the reservations that wait for them.
func (a *serviceActor) apply(now time.Time, decisions []group.Decision) {
	for _, d := range decisions {
		key, msg, ok := a.waitingFor(d.RequestID)
		if !ok {
			a.orphanDecision(now, d)
			continue
		}
		delete(a.waiting, key)
		if d.Refusal != nil {
			a.metrics.Refused("scheduler", d.Refusal)
			msg.answer <- reply{refusal: d.Refusal}
			continue
		}
		l := &lease{
			id: d.Grant.ID, key: key, holder: msg.holder, prefill: d.Grant.Prefill, decode: d.Grant.Decode,
			expires: now.Add(LeaseTime), fingerprint: msg.req.Fingerprint, promptTokens: msg.req.PromptTokens,
		}
		a.byKey[key] = l
		delete(a.ended, key)
		msg.answer <- reply{grant: d.Grant}
	}
}

func (a *serviceActor) waitingFor(requestID string) (attemptKey, reserveMsg, bool) {
	key, ok := parseAttemptKey(requestID)
	if !ok {
		return key, reserveMsg{}, false
	}
	msg, ok := a.waiting[key]
	return key, msg, ok
}

// orphanDecision gives back a grant whose asker is no longer waiting.
func (a *serviceActor) orphanDecision(now time.Time, d group.Decision) {
	if d.Grant != nil {
		a.apply(now, a.group.Release(now, d.Grant.ID, group.Outcome{Kind: group.OutcomeCancelled}))
	}
}

// end releases an attempt's grant. Ending it twice is harmless.
func (a *serviceActor) end(now time.Time, key attemptKey, outcome group.Outcome) {
	a.ended[key] = now
	l := a.byKey[key]
	if l == nil {
		return
	}
	delete(a.byKey, key)
	a.apply(now, a.group.Release(now, l.id, outcome))
}

// expire frees the grants whose holders stopped renewing them and cancels their
// streams: the holder is dead, paused or cut off, and its caller with it. What a
// holder has that the fleet has given up is freed without waiting for the lease.
func (a *serviceActor) expire(now time.Time) {
	dead := make(map[request.Holder]bool)
	for key, l := range a.byKey {
		if _, known := dead[l.holder]; !known {
			dead[l.holder] = a.dead(l.holder)
		}
		if now.Before(l.expires) && !dead[l.holder] {
			continue
		}
		a.log.Info("grant expired", zap.String("request", key.request), zap.Uint32("attempt", key.attempt),
			zap.String("holder", l.holder.Instance), zap.String("decode", l.decode))
		a.metrics.Scope.Counter("grants_expired").Inc(1)
		a.end(now, key, group.Outcome{Kind: group.OutcomeCancelled})
		if a.home() {
			a.cancel(l.stream(), l.prefill, l.decode)
		}
	}
	for key, at := range a.ended {
		if now.Sub(at) > forgetEnded {
			delete(a.ended, key)
		}
	}
}

func (l *lease) stream() port.StreamID {
	return port.StreamID{RequestID: l.key.request, Attempt: l.key.attempt, Owner: l.holder}
}

func (a *serviceActor) stop() {
	if a.timer != nil {
		a.timer.Stop()
	}
	refusal := verdict.Refuse(verdict.ReasonSchedulerUnavailable, time.Second, "the scheduler is shutting down")
	for _, msg := range a.waiting {
		msg.answer <- reply{refusal: refusal}
	}
	for _, msg := range a.warmup.parked {
		msg.answer <- reply{refusal: refusal}
	}
}
