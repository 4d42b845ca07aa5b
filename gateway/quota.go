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

// Figures of quotas.
const (
	// smallShare is the part of the burst up to which a request is charged without asking: it
	// is small beside what a bucket may fall below nothing by, and its caller waits for
	// milliseconds only.
	smallShare = 0.02
	// shortTime is how long such requests ask as well once their organisation's bucket is
	// known to be empty.
	shortTime = time.Second
	// unansweredRetry is when a caller is told to come back where no home answers: by then
	// another one has been chosen.
	unansweredRetry = 300 * time.Millisecond
	// billsTold is how many reports tell of a bill after its last change.
	billsTold = 4
	// answersKept is how long the answer to an ask is kept for repetitions, which come
	// within the tries of one ask.
	answersKept = 2 * time.Second
	// runsKept is how many runs are remembered for each instance of the fleet. A run that is
	// silent for long may only be cut off.
	runsKept = 4
	// boundShare is the part of the bound on a quota that bursts and what instances hold may
	// use up. The rest is for requests that were granted tokens and are sent later.
	boundShare = 0.7
)

// QuotaBound is what the fleet may pass a quota by, in total over a window.
type QuotaBound struct {
	Window time.Duration
	// Over is a share of what the quota allows in the window, Slack is in tokens.
	Over, Slack float64
}

// widen returns a limit with the burst that the bound leaves room for, besides what instances
// hold and hand on late. The bound is on what upstreams see in a window; a bucket of the bare
// burst refuses requests that the window has room for.
func (b QuotaBound) widen(limit escrow.Limit) escrow.Limit {
	tolerance := (limit.Rate*b.Window.Seconds()+limit.Burst)*b.Over + b.Slack
	limit.Burst += max(boundShare*tolerance-escrow.Hold.Seconds()*limit.Rate, 0)
	return limit
}

// QuotaNetwork is how instances reach one another for quotas.
type QuotaNetwork interface {
	// Hubs are the instances that hold buckets, this one included if it does.
	Hubs() []fleet.Hub
	// Size is the size of the fleet. While it is not known, nobody's home is.
	Size() fleet.Size
	Ask(ctx context.Context, hub string, a fleet.Ask) (fleet.Grant, error)
	// Suspect makes another take the place of a hub that does not answer.
	Suspect(hub string)
}

// Quotas keeps the organisations' quotas with the other instances. It is safe for
// concurrent use.
type Quotas struct {
	now   boottime.Clock
	bound QuotaBound
	self  fleet.Hub

	mu      sync.Mutex
	network QuotaNetwork
	giver   *escrow.Giver
	home    *escrow.Home
	// homes is which of the hubs is the home of each shard.
	homes  [escrow.Shards]fleet.Hub
	hubs   []fleet.Hub
	limits map[fleet.Hash]escrow.Limit
	// bills are what this instance has spent at others' buckets without asking.
	bills map[fleet.Run]map[fleet.Hash]*bill
	// short are organisations with empty buckets, and until when that is believed.
	short map[fleet.Hash]time.Duration
	// answers are those given lately, by the ids of the asks.
	answers map[uint64]givenGrant
}

type bill struct {
	tokens int64
	// told is how many reports have told the total.
	told int
}

type givenGrant struct {
	grant fleet.Grant
	at    time.Duration
}

// NewQuotas returns quotas without organisations. Nothing may be spent at first, since it is
// not known what was spent before.
func NewQuotas(now boottime.Clock, self fleet.Member, bound QuotaBound) *Quotas {
	return &Quotas{
		now: now, bound: bound, self: fleet.Hub{Name: self.Name, Run: fleet.RunOf(self.Name, self.Incarnation)},
		giver: escrow.NewGiver(now()), home: escrow.NewHome(now()), limits: make(map[fleet.Hash]escrow.Limit),
		bills: make(map[fleet.Run]map[fleet.Hash]*bill), short: make(map[fleet.Hash]time.Duration), answers: make(map[uint64]givenGrant),
	}
}

// Connect sets the way to the other instances. It must be called before anything else.
func (q *Quotas) Connect(n QuotaNetwork) { q.network = n }

// SetLimits takes the organisations' limits from a configuration.
func (q *Quotas) SetLimits(index *object.Index) {
	limits := make(map[fleet.Hash]escrow.Limit)
	byHash := make(map[uint64]escrow.Limit)
	for _, o := range index.Set().Organisations {
		limit, ok := index.Limit(o.Name)
		if !ok {
			continue
		}
		wide := q.bound.widen(escrow.Limit{Rate: float64(limit.TokensPerSecond), Burst: float64(limit.Burst)})
		limits[fleet.HashOf(o.Name)] = wide
		byHash[uint64(fleet.HashOf(o.Name))] = wide
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits = limits
	q.home.SetLimits(byHash)
}

// QuotaDecision is the answer to a request for tokens.
type QuotaDecision struct {
	Admitted bool
	// Unanswered tells that no home answered, so that nothing is known of the quota.
	Unanswered bool
	// Retry is when there will be enough.
	Retry time.Duration
	// Waited is the time spent waiting for tokens.
	Waited time.Duration
	// Home was asked last, and is empty where none is known yet. Level is what it had left, Part
	// the part of the rate that it gets.
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
	return fmt.Sprintf("%.0f left at %s, which %.2f of the rate flows into", d.Level, d.Home, d.Part)
}

// Take takes tokens of an organisation's quota, all or none. It waits for them up to a time.
func (q *Quotas) Take(ctx context.Context, organisation string, tokens int64, patience time.Duration) QuotaDecision {
	org := fleet.HashOf(organisation)
	if home, ok := q.charge(org, tokens); ok {
		return QuotaDecision{Admitted: true, Home: home.Name}
	}
	begun := q.now()
	for {
		d := q.ask(ctx, org, tokens)
		d.Waited = q.now() - begun
		if d.Admitted || ctx.Err() != nil || d.Waited+d.Retry > patience {
			return d
		}
		// A home that does not answer was waited for by the ask.
		if (!d.Unanswered || d.Home == "") && !pause(ctx, d.Retry) {
			return d
		}
	}
}

// pause waits and reports whether the context still holds.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// charge charges a small request to its organisation's home without asking.
func (q *Quotas) charge(org fleet.Hash, tokens int64) (fleet.Hub, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit, known := q.limits[org]
	if !known {
		return fleet.Hub{}, false
	}
	if limit.Rate <= 0 {
		return q.self, true
	}
	if float64(tokens) > smallShare*limit.Burst || q.now() < q.short[org] {
		return fleet.Hub{}, false
	}
	home, known := q.homeOf(org)
	if known {
		q.bill(home, org, tokens)
	}
	return home, known
}

// bill charges tokens to a bucket; the lock is held.
func (q *Quotas) bill(home fleet.Hub, org fleet.Hash, tokens int64) {
	at, known := q.bills[home.Run]
	if !known {
		at = make(map[fleet.Hash]*bill)
		q.bills[home.Run] = at
	}
	b, known := at[org]
	if !known {
		b = &bill{}
		at[org] = b
	}
	b.tokens += tokens
	b.told = 0
	if home == q.self {
		q.home.Charge(escrow.Run(q.self.Run), uint64(org), b.tokens)
	}
}

// Refund gives back tokens of a request that did not run.
func (q *Quotas) Refund(organisation string, tokens int64) {
	org := fleet.HashOf(organisation)
	q.mu.Lock()
	defer q.mu.Unlock()
	if limit, known := q.limits[org]; !known || limit.Rate <= 0 {
		return
	}
	if home, known := q.homeOf(org); known {
		q.bill(home, org, -tokens)
	}
}

// ask asks the organisation's home for tokens.
func (q *Quotas) ask(ctx context.Context, org fleet.Hash, tokens int64) QuotaDecision {
	q.mu.Lock()
	home, known := q.homeOf(org)
	if !known {
		q.mu.Unlock()
		return QuotaDecision{Unanswered: true, Retry: unansweredRetry}
	}
	if home == q.self {
		d := q.take(q.now(), org, tokens)
		q.mu.Unlock()
		return QuotaDecision{Admitted: d.Granted, Retry: d.Retry, Home: home.Name, Level: d.Level, Part: d.Part}
	}
	q.mu.Unlock()
	g, err := q.network.Ask(ctx, home.Name, fleet.Ask{Organisation: org, Tokens: tokens})
	if err != nil {
		if ctx.Err() == nil {
			q.network.Suspect(home.Name)
		}
		return QuotaDecision{Unanswered: true, Retry: unansweredRetry, Home: home.Name}
	}
	return QuotaDecision{Admitted: g.Granted, Retry: g.Retry, Home: home.Name, Level: g.Level, Part: g.Part}
}

// take takes tokens out of a bucket here; the lock is held.
func (q *Quotas) take(now time.Duration, org fleet.Hash, tokens int64) escrow.Decision {
	q.giveOwn(now)
	return q.home.Take(now, uint64(org), tokens)
}

// homeOf is the home of an organisation, if it is known; the lock is held.
func (q *Quotas) homeOf(org fleet.Hash) (fleet.Hub, bool) {
	known := q.chooseHomes()
	return q.homes[escrow.ShardOf(uint64(org))], known
}

// chooseHomes chooses the homes anew where the hubs have changed, and reports whether they are
// known; the lock is held.
func (q *Quotas) chooseHomes() bool {
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

// handOver gives what is left in a shard's buckets to the home that has taken this one's place;
// the lock is held.
func (q *Quotas) handOver(shard int, to fleet.Hub) {
	for org, tokens := range q.home.HandOver(shard) {
		q.bill(to, fleet.Hash(org), -tokens)
	}
}

// giveOwn lets this instance's part of the rates flow into its own buckets; the lock is held.
func (q *Quotas) giveOwn(now time.Duration) {
	n, known := q.network.Size().Instances()
	if !known {
		q.giver.Pass(now)
		return
	}
	q.giver.Accrue(now, n)
	if shards := q.shardsOf(q.self.Run); len(shards) > 0 {
		q.home.Receive(now, escrow.Run(q.self.Run), q.giver.Give(escrow.Run(q.self.Run), shards))
	}
}

// shardsOf are the shards that a run is the home of; the lock is held.
func (q *Quotas) shardsOf(run fleet.Run) []int {
	if !q.chooseHomes() {
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

// FillReportFor adds to a report what its receiver is handed on, and what it is charged.
func (q *Quotas) FillReportFor(now time.Duration, to fleet.Run, r *fleet.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.giveOwn(now)
	if shards := q.shardsOf(to); len(shards) > 0 {
		r.Shares = q.giver.Give(escrow.Run(to), shards)
	}
	for org, b := range q.bills[to] {
		if b.told < billsTold {
			b.told++
			r.Bills = append(r.Bills, fleet.Bill{Organisation: org, Tokens: b.tokens})
		}
	}
}

// FillPollAnswer adds to an answer which buckets here are empty.
func (q *Quotas) FillPollAnswer(r *fleet.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, org := range q.home.Short() {
		r.Short = append(r.Short, fleet.Hash(org))
	}
}

// ApplyReport takes in what another instance hands on, charges and lacks.
func (q *Quotas) ApplyReport(now time.Duration, r *fleet.Report) {
	from := escrow.Run(fleet.RunOf(r.Instance, r.Incarnation))
	q.mu.Lock()
	defer q.mu.Unlock()
	q.home.Receive(now, from, r.Shares)
	for _, b := range r.Bills {
		q.home.Charge(from, uint64(b.Organisation), b.Tokens)
	}
	for _, org := range r.Short {
		q.short[org] = now + shortTime
	}
}

// HandleAsk answers another instance's ask.
func (q *Quotas) HandleAsk(now time.Duration, a fleet.Ask) fleet.Grant {
	q.mu.Lock()
	defer q.mu.Unlock()
	if kept, answered := q.answers[a.ID]; answered {
		return kept.grant
	}
	d := q.take(now, a.Organisation, a.Tokens)
	g := fleet.Grant{ID: a.ID, Granted: d.Granted, Unknown: d.Unknown, Retry: d.Retry, Level: d.Level, Part: d.Part}
	q.answers[a.ID] = givenGrant{g, now}
	return g
}

// Sweep drops what is no longer needed. known tells whether a run is one of the fleet's.
func (q *Quotas) Sweep(known func(fleet.Run) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for id, kept := range q.answers {
		if now-kept.at > answersKept {
			delete(q.answers, id)
		}
	}
	for org, until := range q.short {
		if now > until {
			delete(q.short, org)
		}
	}
	ended := func(run escrow.Run) bool { return !known(fleet.Run(run)) && fleet.Run(run) != q.self.Run }
	q.giver.Forget(ended)
	for run := range q.bills {
		if ended(escrow.Run(run)) {
			delete(q.bills, run)
		}
	}
	if n, known := q.network.Size().Instances(); known && q.home.Runs() > runsKept*n {
		q.home.Forget(ended)
	}
}
