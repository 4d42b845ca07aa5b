package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/escrow"
	"github.com/cairnworks/cairnworks/decision/hub"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
)

// Limits and timings of quotas.
const (
	// emptyBucketTTL is how long the home is asked even for a small request after the organisation's
	// bucket was reported empty.
	emptyBucketTTL = time.Second
	// emptyReportInterval is the interval at which an empty bucket is reported.
	emptyReportInterval = 200 * time.Millisecond
	// unansweredQuotaRetry is the Retry-After if the home does not answer. By then another one has
	// been chosen.
	unansweredQuotaRetry = 300 * time.Millisecond
	// billReports is the number of reports that include a bill after its last change.
	billReports = 4
	// grantRetention is how long a grant is kept for duplicates, which arrive within the retries of
	// one ask.
	grantRetention = 2 * time.Second
	// runsPerInstance is the number of runs remembered per instance before ended ones are dropped.
	// A run that has been silent for long may merely be cut off.
	runsPerInstance = 4
	// toleranceRatio is the fraction of the quota's tolerance available to bursts and to tokens
	// held by instances. The rest is for requests that are sent some time after their tokens were
	// granted.
	toleranceRatio = 0.7
	// reservedWaitRatio is the fraction of its maximum wait for which a request begins to wait for
	// reserved tokens. The rest is for credit that arrives later than expected, so that the wait
	// still ends in a grant.
	reservedWaitRatio = 0.75
	// returnTimeRatio is the largest fraction of their remaining time after which callers come back.
	// Homes reserve tokens within it only.
	returnTimeRatio = 1.0 / 3
)

// QuotaBound is the amount by which the fleet may exceed a quota within a window.
type QuotaBound struct {
	Window time.Duration
	// Over is a fraction of the quota's tokens in the window; Slack is a number of tokens.
	Over, Slack float64
}

// widen returns the limit with its burst raised to what the bound allows, less the tokens that
// instances hold and forward late. The bound applies to what upstreams receive within a window; a
// bucket with only the configured burst would refuse requests that fit the window.
func (b QuotaBound) widen(limit escrow.Limit) escrow.Limit {
	tolerance := (limit.Rate*b.Window.Seconds()+limit.Burst)*b.Over + b.Slack
	limit.Burst += max(toleranceRatio*tolerance-escrow.MaxCredit.Seconds()*limit.Rate, 0)
	return limit
}

// QuotaNetwork connects instances for quota enforcement. The home of a quota is the hub that holds
// its bucket.
type QuotaNetwork interface {
	// Hubs returns the instances that hold buckets, including this one if it is a hub.
	Hubs() []fleet.Hub
	// Size returns the size of the fleet. While it is unknown, the homes are unknown too.
	Size() fleet.Size
	// RequestTokens asks a hub for tokens from one of its buckets.
	RequestTokens(ctx context.Context, hub string, a fleet.Ask) (fleet.Grant, error)
	// MarkSuspect marks a hub that does not answer, so that another replaces it.
	MarkSuspect(hub string)
}

// Quotas enforces the organisations' quotas together with the other instances. It is safe for
// concurrent use.
type Quotas struct {
	now   boottime.Clock
	bound QuotaBound
	self  fleet.Hub
	// inOrder is set if tokens are reserved for refused requests and urgent ones come first.
	inOrder bool

	mu          sync.Mutex
	network     QuotaNetwork
	distributor *escrow.CreditSource
	home        *escrow.Home
	// homes maps each shard to its home among the hubs.
	homes  [escrow.Shards]fleet.Hub
	hubs   []fleet.Hub
	limits map[fleet.Hash]escrow.Limit
	// names holds the names of the organisations with limits.
	names map[fleet.Hash]string
	// upstreams holds the buckets of upstreams that name the rate that they take.
	upstreams map[fleet.Hash]upstreamBucket
	// bills holds the tokens this instance has charged to the homes' buckets without asking.
	bills map[fleet.Run]map[fleet.Hash]*bill
	// emptyUntil holds the organisations with empty buckets and until when the buckets are assumed
	// to be empty.
	emptyUntil map[fleet.Hash]time.Duration
	// emptyReported holds the organisations with empty buckets here and when that was last reported.
	emptyReported map[fleet.Hash]time.Duration
	// unchecked bounds what this instance charges without asking.
	unchecked *escrow.Allowances
	// recentGrants holds recent answers by the ID of the ask.
	recentGrants map[uint64]recentGrant
}

type bill struct {
	tokens int64
	// reports is the number of reports that have included the current total.
	reports int
}

type recentGrant struct {
	grant fleet.Grant
	at    time.Duration
}

// NewQuotas returns quotas without organisations. Nothing may be spent at first, because it is
// unknown what was spent before.
func NewQuotas(now boottime.Clock, self fleet.Member, bound QuotaBound) *Quotas {
	return &Quotas{
		now: now, bound: bound, self: fleet.Hub{Name: self.Name, Run: fleet.RunOf(self.Name, self.Incarnation)},
		distributor: escrow.NewCreditSource(now()), home: escrow.NewHome(now()), limits: make(map[fleet.Hash]escrow.Limit),
		upstreams: make(map[fleet.Hash]upstreamBucket),
		bills:     make(map[fleet.Run]map[fleet.Hash]*bill), emptyUntil: make(map[fleet.Hash]time.Duration),
		emptyReported: make(map[fleet.Hash]time.Duration), unchecked: escrow.NewAllowances(), recentGrants: make(map[uint64]recentGrant),
	}
}

// Connect sets the connection to the other instances. It must be called before any other method.
func (q *Quotas) Connect(n QuotaNetwork) { q.network = n }

// SetInOrder sets whether tokens are reserved for refused requests and urgent ones come first. It must
// be called before any other method.
func (q *Quotas) SetInOrder(on bool) { q.inOrder = on }

// SetLimits sets the organisations' limits from a configuration.
func (q *Quotas) SetLimits(index *object.Index) {
	limits := make(map[fleet.Hash]escrow.Limit)
	names := make(map[fleet.Hash]string)
	byHash := make(map[uint64]escrow.Limit)
	for _, o := range index.Set().Organisations {
		limit, ok := index.Limit(o.Name)
		if !ok {
			continue
		}
		wide := q.bound.widen(escrow.Limit{Rate: float64(limit.TokensPerSecond), Burst: float64(limit.Burst)})
		limits[fleet.HashOf(o.Name)] = wide
		names[fleet.HashOf(o.Name)] = o.Name
		byHash[uint64(fleet.HashOf(o.Name))] = wide
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits, q.names = limits, names
	for key, b := range q.upstreams {
		byHash[uint64(key)] = b.limit
	}
	q.home.SetLimits(byHash)
}

// QuotaDecision is the result of Take.
type QuotaDecision struct {
	Admitted bool
	// Unanswered is set if no home answered, so that the state of the quota is unknown.
	Unanswered bool
	// Unknown is set if the home does not know the organisation yet.
	Unknown bool
	// Retry is the time until there are enough tokens.
	Retry time.Duration
	// Waited is the time spent waiting for tokens.
	Waited time.Duration
	// Slept is set if the request waited for reserved tokens.
	Slept bool
	// Home is the home that was asked last, empty if none is known yet. Level is the number of
	// tokens left in its bucket; Part is the fraction of the rate that the bucket receives.
	Home        string
	Level, Part float64
}

func (d QuotaDecision) String() string {
	if d.Unanswered && d.Home == "" {
		return "the quota's home is not known yet"
	}
	if d.Unanswered {
		return fmt.Sprintf("the quota's home %s does not answer", d.Home)
	}
	return fmt.Sprintf("%.0f tokens left at %s, which receives %.2f of the rate", d.Level, d.Home, d.Part)
}

// QuotaRequest is a request for tokens of an organisation's quota.
type QuotaRequest struct {
	Organisation string
	Tokens       int64
	// MaxWait is how long the request may wait for tokens.
	MaxWait time.Duration
	// Priority 0 is the highest. Left is how long the caller still waits.
	Priority int
	Left     time.Duration
	// RepeatKey returns what the request and its repetitions have in common.
	RepeatKey func() uint64
}

// Take takes tokens from an organisation's quota, all or none, waiting for them up to r.MaxWait. If
// quotas are in order, it waits only for tokens that the home has reserved for the request.
func (q *Quotas) Take(ctx context.Context, r QuotaRequest) QuotaDecision {
	org := fleet.HashOf(r.Organisation)
	if home, ok := q.chargeUnchecked(org, r.Tokens); ok {
		return QuotaDecision{Admitted: true, Home: home.Name}
	}
	ask := fleet.Ask{Organisation: org, Tokens: r.Tokens}
	if q.inOrder {
		ask.Priority, ask.RepeatKey = r.Priority, r.RepeatKey()
	}
	started, slept := q.now(), false
	for {
		waited := q.now() - started
		if q.inOrder {
			ask.Left = max(r.Left-waited, 0)
		}
		d := q.askHome(ctx, ask)
		d.Waited, d.Slept = q.now()-started, slept
		if d.Admitted || ctx.Err() != nil || d.Waited+d.Retry > r.MaxWait {
			return d
		}
		if q.inOrder && !d.Unanswered {
			if !slept && !worthWaiting(d, r.MaxWait, ask.Left) {
				return d
			}
			slept = true
		}
		// If the home did not answer, askHome has already waited.
		if (!d.Unanswered || d.Home == "") && !sleep(ctx, d.Retry) {
			return d
		}
	}
}

// worthWaiting reports whether the home has reserved tokens within a time that leaves room for a delay.
func worthWaiting(d QuotaDecision, maxWait, left time.Duration) bool {
	return !d.Unknown && float64(d.Retry) <= min(reservedWaitRatio*float64(maxWait), returnTimeRatio*float64(left))
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// askHome asks the home of a bucket for tokens.
func (q *Quotas) askHome(ctx context.Context, a fleet.Ask) QuotaDecision {
	q.mu.Lock()
	home, known := q.homeOf(a.Organisation)
	if !known {
		q.mu.Unlock()
		return QuotaDecision{Unanswered: true, Retry: unansweredQuotaRetry}
	}
	if home == q.self {
		d := q.takeLocal(q.now(), a)
		q.mu.Unlock()
		return QuotaDecision{Admitted: d.Granted, Unknown: d.Unknown, Retry: d.Retry, Home: home.Name, Level: d.Level, Part: d.Share}
	}
	q.mu.Unlock()
	g, err := q.network.RequestTokens(ctx, home.Name, a)
	if err != nil {
		if ctx.Err() == nil {
			q.network.MarkSuspect(home.Name)
		}
		return QuotaDecision{Unanswered: true, Retry: unansweredQuotaRetry, Home: home.Name}
	}
	if !g.Granted && !g.Unknown && !a.Upstream {
		// Small requests of the organisation ask too from now on.
		q.mu.Lock()
		q.emptyUntil[a.Organisation] = q.now() + emptyBucketTTL
		q.mu.Unlock()
	}
	return QuotaDecision{Admitted: g.Granted, Unknown: g.Unknown, Retry: g.Retry, Home: home.Name, Level: g.Level, Part: g.Part}
}

// takeLocal takes tokens from a bucket of this instance. The caller must hold the lock.
func (q *Quotas) takeLocal(now time.Duration, a fleet.Ask) escrow.Decision {
	q.distributeOwn(now)
	if !q.inOrder || a.Upstream {
		return q.home.Take(now, uint64(a.Organisation), a.Tokens)
	}
	return q.home.TakeInOrder(now, uint64(a.Organisation), escrow.Request{Tokens: a.Tokens, Priority: a.Priority, Left: a.Left, RepeatKey: a.RepeatKey})
}

// homeOf returns the home of an organisation, if known. The caller must hold the lock.
func (q *Quotas) homeOf(org fleet.Hash) (fleet.Hub, bool) {
	known := q.updateHomes()
	return q.homes[escrow.ShardOf(uint64(org))], known
}

// updateHomes reassigns the homes if the hubs have changed, and reports whether the homes are
// known. The caller must hold the lock.
func (q *Quotas) updateHomes() bool {
	if _, known := q.network.Size().Instances(); !known {
		return false
	}
	hubs := q.network.Hubs()
	if len(hubs) == 0 {
		hubs = []fleet.Hub{q.self}
	}
	if slices.Equal(hubs, q.hubs) {
		return true
	}
	hashes := make([]uint64, len(hubs))
	for i, h := range hubs {
		hashes[i] = uint64(fleet.HashOf(h.Name))
	}
	q.hubs = hubs
	for s, before := range q.homes {
		home := hubs[hub.HomeOf(s, hashes)]
		q.homes[s] = home
		if before == q.self && home != q.self {
			q.handOver(s, home)
		}
	}
	return true
}

// handOver transfers the remaining tokens of a shard's buckets to the home that replaces this
// instance. The caller must hold the lock.
func (q *Quotas) handOver(shard int, to fleet.Hub) {
	for org, tokens := range q.home.HandOver(shard) {
		q.addToBill(to, fleet.Hash(org), -tokens)
	}
}

// distributeOwn adds this instance's part of the rates to its own buckets. The caller must hold the
// lock.
func (q *Quotas) distributeOwn(now time.Duration) {
	n, known := q.network.Size().Instances()
	if !known {
		q.distributor.Skip(now)
		return
	}
	q.distributor.Accrue(now, n)
	if shards := q.shardsOf(q.self.Run); len(shards) > 0 {
		q.home.Receive(now, escrow.Run(q.self.Run), q.distributor.Transfer(escrow.Run(q.self.Run), shards))
	}
}

// shardsOf returns the shards whose home is run. The caller must hold the lock.
func (q *Quotas) shardsOf(run fleet.Run) []int {
	if !q.updateHomes() {
		return nil
	}
	var out []int
	for s, home := range q.homes {
		if home.Run == run {
			out = append(out, s)
		}
	}
	return out
}

// HandleAsk answers another instance's ask.
func (q *Quotas) HandleAsk(now time.Duration, a fleet.Ask) fleet.Grant {
	q.mu.Lock()
	defer q.mu.Unlock()
	if kept, answered := q.recentGrants[a.ID]; answered {
		return kept.grant
	}
	if a.Upstream {
		q.setUpstreamBucket(now, a.Organisation, a.PerSecond)
	}
	d := q.takeLocal(now, a)
	g := fleet.Grant{ID: a.ID, Granted: d.Granted, Unknown: d.Unknown, Retry: d.Retry, Level: d.Level, Part: d.Share}
	q.recentGrants[a.ID] = recentGrant{g, now}
	return g
}

// Sweep drops expired state. known reports whether a run belongs to the fleet.
func (q *Quotas) Sweep(known func(fleet.Run) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for id, kept := range q.recentGrants {
		if now-kept.at > grantRetention {
			delete(q.recentGrants, id)
		}
	}
	q.dropUnusedUpstreams(now)
	for org, until := range q.emptyUntil {
		if now > until {
			delete(q.emptyUntil, org)
		}
	}
	for org, last := range q.emptyReported {
		if now-last > emptyBucketTTL {
			delete(q.emptyReported, org)
		}
	}
	q.unchecked.Sweep(now)
	ended := func(run escrow.Run) bool { return !known(fleet.Run(run)) && fleet.Run(run) != q.self.Run }
	q.distributor.Forget(ended)
	for run := range q.bills {
		if ended(escrow.Run(run)) {
			delete(q.bills, run)
		}
	}
	if n, known := q.network.Size().Instances(); known && q.home.RunCount() > runsPerInstance*n {
		q.home.Forget(ended)
	}
}
