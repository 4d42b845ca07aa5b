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
	// LeaseDuration is how long a grant is valid without a renewal. Instances renew every
	// RenewInterval, so a grant survives two consecutive lost renewals.
	LeaseDuration = 3 * time.Second
	// RenewInterval is how often an instance renews its grants.
	RenewInterval = time.Second
	// endedRetention is how long an ended attempt is remembered. A stream list read before the end
	// must not cause the attempt to be adopted again, and a list read afterwards shows that its
	// cancel was lost.
	endedRetention = 30 * time.Second
	// lostCancelDelay is the time after the end of an attempt from which its presence in a stream
	// list means that its cancel was lost. Cancels are retried for less than a second.
	lostCancelDelay = time.Second
	// maxTimerInterval is the maximum time between two checks for expired leases.
	maxTimerInterval = 250 * time.Millisecond
)

// serviceActor schedules one service. Its mailbox serialises reservations, releases and reports, so
// that the group needs no locks.
type serviceActor struct {
	service      string
	group        *group.Group
	pending      map[attemptKey]reserveMsg
	leases       map[attemptKey]*lease
	endedAt      map[attemptKey]time.Time
	addresses    map[string]string
	adoptedCount uint64
	// isHome reports whether this instance is the service's scheduler according to its own view of
	// the fleet. A former scheduler must not cancel streams whose grants are renewed at its
	// successor.
	isHome  func() bool
	isDead  func(request.Holder) bool
	engines port.EngineDialer
	log     *zap.Logger
	metrics *observe.Metrics
	// crashTracker tracks the prompts that were running when an upstream crashed. processes holds
	// the identifier of the engine process last reported by each upstream.
	crashTracker *quarantine.Tracker
	processes    map[string]string
	// excessReports counts, by upstream, consecutive reports with more running streams than leases.
	excessReports map[string]int
	health        *upstreamHealth
	warmup        warmup
	timer         *time.Timer
	isPlain       bool
}

// lease is a grant with its holder and its expiry time.
type lease struct {
	id      uint64
	key     attemptKey
	holder  request.Holder
	prefill string
	decode  string
	expires time.Time
	// prefillDone is set when the lease no longer occupies its prefill upstream.
	prefillDone  bool
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
		if a.warmup.done(now) {
			a.reserve(now, msg)
		} else {
			a.warmup.deferred = append(a.warmup.deferred, msg)
		}
	case withdrawMsg:
		a.withdraw(now, msg.key)
	case prefillDoneMsg:
		if l := a.leases[msg.key]; l != nil {
			l.prefillDone = true
			a.applyDecisions(now, a.group.PrefillDone(now, l.id))
		}
	case releaseMsg:
		a.recordOutcome(now, msg.key, msg.outcome)
		a.endAttempt(now, msg.key, msg.outcome)
	case renewMsg:
		msg.lost <- a.renew(now, msg)
	case reportMsg:
		a.handleReport(now, msg)
	case unreachableMsg:
		a.warmup.markReported(msg.upstream)
		a.metrics.Scope.Tagged(map[string]string{"upstream": msg.upstream}).Counter("upstream_unreachable").Inc(1)
	case cacheEventsMsg:
		a.applyCacheEvents(now, msg)
	case statusMsg:
		msg.replyTo <- statusReply{a.group.Status(now), a.advice(), a.health.stateNames()}
	case tickMsg:
	case *actor.Stopping:
		a.stop()
		return
	default:
		return
	}
	a.advance(ctx, now)
}

// advance processes all due work and sets the timer for the next event.
func (a *serviceActor) advance(ctx actor.Context, now time.Time) {
	for _, msg := range a.warmup.takeDeferred(now) {
		a.reserve(now, msg)
	}
	a.expireLeases(now)
	a.updateWeights(now)
	a.sampleBalance(now)
	decisions, next := a.group.Advance(now)
	a.applyDecisions(now, decisions)
	wait := maxTimerInterval
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
	clear(a.addresses)
	a.isPlain = msg.service.Kind == object.KindPlain
	a.health.configure(msg.upstreams)
	a.warmup.start(now, msg.upstreams)
	for _, u := range msg.upstreams {
		a.addresses[u.Name] = u.Address
		ups = append(ups, group.Upstream{
			Name: u.Name, Role: u.Role, DataCentre: u.DataCentre, Slots: u.Slots, Pieces: u.Pieces,
			PieceTokens: u.PieceTokens, LinkBytesPerSecond: u.LinkBytesPerSecond, Leaving: u.Leaving,
		})
	}
	a.applyDecisions(now, a.group.SetUpstreams(now, ups))
}

// reserve queues an attempt. If the attempt already has a grant because the reply to an earlier
// reservation was lost, that grant is released first, so that the attempt does not take two slots.
func (a *serviceActor) reserve(now time.Time, msg reserveMsg) {
	if l := a.leases[msg.key]; l != nil {
		a.endAttempt(now, msg.key, group.Outcome{Kind: group.OutcomeCancelled})
	}
	if refusal := a.checkQuarantine(now, msg.req.Fingerprint); refusal != nil {
		a.metrics.CountRefusal("scheduler", refusal)
		msg.replyTo <- reserveReply{refusal: refusal}
		return
	}
	a.pending[msg.key] = msg
	a.applyDecisions(now, a.group.Submit(now, msg.req))
}

func (a *serviceActor) withdraw(now time.Time, key attemptKey) {
	a.warmup.removeDeferred(key)
	if _, ok := a.pending[key]; ok {
		delete(a.pending, key)
		a.applyDecisions(now, a.group.Withdraw(now, key.String()))
		return
	}
	a.endAttempt(now, key, group.Outcome{Kind: group.OutcomeCancelled})
}

// applyDecisions replies to the pending reservations that the decisions are for.
func (a *serviceActor) applyDecisions(now time.Time, decisions []group.Decision) {
	for _, d := range decisions {
		key, msg, ok := a.findPending(d.RequestID)
		if !ok {
			a.releaseUnclaimed(now, d)
			continue
		}
		delete(a.pending, key)
		if d.Refusal != nil {
			a.metrics.CountRefusal("scheduler", d.Refusal)
			msg.replyTo <- reserveReply{refusal: d.Refusal}
			continue
		}
		l := &lease{
			id: d.Grant.ID, key: key, holder: msg.holder, prefill: d.Grant.Prefill, decode: d.Grant.Decode,
			expires: now.Add(LeaseDuration), fingerprint: msg.req.Fingerprint, promptTokens: msg.req.PromptTokens,
		}
		a.leases[key] = l
		delete(a.endedAt, key)
		msg.replyTo <- reserveReply{grant: d.Grant}
	}
}

func (a *serviceActor) findPending(requestID string) (attemptKey, reserveMsg, bool) {
	key, ok := parseAttemptKey(requestID)
	if !ok {
		return key, reserveMsg{}, false
	}
	msg, ok := a.pending[key]
	return key, msg, ok
}

// releaseUnclaimed releases a grant whose reservation is no longer pending.
func (a *serviceActor) releaseUnclaimed(now time.Time, d group.Decision) {
	if d.Grant != nil {
		a.applyDecisions(now, a.group.Release(now, d.Grant.ID, group.Outcome{Kind: group.OutcomeCancelled}))
	}
}

// endAttempt releases an attempt's grant. It is idempotent.
func (a *serviceActor) endAttempt(now time.Time, key attemptKey, outcome group.Outcome) {
	a.endedAt[key] = now
	l := a.leases[key]
	if l == nil {
		return
	}
	delete(a.leases, key)
	a.applyDecisions(now, a.group.Release(now, l.id, outcome))
}

// expireLeases releases the grants whose holders stopped renewing them and cancels their streams:
// the holder is dead, paused or partitioned, and its caller no longer receives the answer. If the
// fleet has declared a holder dead, its grants are released without waiting for the lease to
// expire.
func (a *serviceActor) expireLeases(now time.Time) {
	dead := make(map[request.Holder]bool)
	for key, l := range a.leases {
		if _, known := dead[l.holder]; !known {
			dead[l.holder] = a.isDead(l.holder)
		}
		if now.Before(l.expires) && !dead[l.holder] {
			continue
		}
		a.log.Info("grant expired", zap.String("request", key.request), zap.Uint32("attempt", key.attempt),
			zap.String("holder", l.holder.Instance), zap.String("decode", l.decode))
		a.metrics.Scope.Counter("grants_expired").Inc(1)
		a.endAttempt(now, key, group.Outcome{Kind: group.OutcomeCancelled})
		if a.isHome() {
			a.cancelStream(l.streamID(), l.prefill, l.decode)
		}
	}
	for key, at := range a.endedAt {
		if now.Sub(at) > endedRetention {
			delete(a.endedAt, key)
		}
	}
}

func (l *lease) streamID() port.StreamID {
	return port.StreamID{RequestID: l.key.request, Attempt: l.key.attempt, Owner: l.holder}
}

func (a *serviceActor) stop() {
	if a.timer != nil {
		a.timer.Stop()
	}
	refusal := verdict.Refuse(verdict.ReasonSchedulerUnavailable, time.Second, "the scheduler is shutting down")
	for _, msg := range a.pending {
		msg.replyTo <- reserveReply{refusal: refusal}
	}
	for _, msg := range a.warmup.deferred {
		msg.replyTo <- reserveReply{refusal: refusal}
	}
}
