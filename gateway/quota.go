package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/quota"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
)

// Quotas keeps the organisations' quotas with the other instances. It is safe for
// concurrent use.
type Quotas struct {
	now boottime.Clock

	mu     sync.Mutex
	ledger *quota.Ledger
	bound  QuotaBound
	// OnRestricted is told when this instance is restricted to its share, and when no
	// more; it must not call back. Nil is allowed.
	OnRestricted func(restricted bool)
	restricted   bool
	self         quota.MemberID
	// names and members resolve the short forms in reports.
	names   map[fleet.Hash]string
	members map[fleet.Run]quota.MemberID
}

// QuotaBound is what the fleet may pass a quota by, in total over a window.
type QuotaBound struct {
	Window time.Duration
	// Over is a share of what the quota allows in the window, Slack is in tokens.
	Over, Slack float64
}

// How the bound is used up. What is left of it, a fifth, is for what instances spend
// before they hear of one another.
const (
	// extraShare is the part that is added to every organisation's burst. The bound is
	// on what upstreams see in a window; a bucket of the bare burst refuses requests
	// that the window has room for.
	extraShare = 0.3
	// initialShare is the part that a fleet without any memory of the last seconds may
	// use up by what its buckets start with.
	initialShare = 0.5
)

// tolerance is what a quota may be passed by in a window, in tokens.
func (b QuotaBound) tolerance(limit quota.Limit) float64 {
	return (limit.Rate*b.Window.Seconds()+limit.Burst)*b.Over + b.Slack
}

// widen returns a limit with the burst that the bound leaves room for.
func (b QuotaBound) widen(limit quota.Limit) quota.Limit {
	limit.Burst += extraShare * b.tolerance(limit)
	return limit
}

// initial is what an account starts with when all instances start together: what
// was spent just before is not known to anybody any more.
func (b QuotaBound) initial(limit quota.Limit) float64 { return initialShare * b.tolerance(limit) }

// NewQuotas returns quotas without organisations. With firstStart the quotas start
// unused, since nothing can have been spent before.
func NewQuotas(now boottime.Clock, self fleet.Member, bound QuotaBound, firstStart bool) *Quotas {
	initial := bound.initial
	if firstStart {
		initial = func(limit quota.Limit) float64 { return limit.Burst }
	}
	id := quota.MemberID{Name: self.Name, Incarnation: self.Incarnation}
	return &Quotas{
		now: now, self: id, bound: bound, ledger: quota.New(quota.DefaultConfig(), id, now(), initial),
		names: make(map[fleet.Hash]string), members: make(map[fleet.Run]quota.MemberID),
	}
}

// SetLimits takes the organisations' limits from a configuration.
func (q *Quotas) SetLimits(index *object.Index) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	kept := make(map[string]bool)
	q.names = make(map[fleet.Hash]string)
	for _, o := range index.Set().Organisations {
		limit, ok := index.Limit(o.Name)
		if !ok {
			continue
		}
		kept[o.Name] = true
		q.names[fleet.HashOf(o.Name)] = o.Name
		q.ledger.SetLimit(now, o.Name, q.bound.widen(quota.Limit{Rate: float64(limit.TokensPerSecond), Burst: float64(limit.Burst)}))
	}
	q.ledger.KeepOnly(kept)
}

// SetMembers names the other instances.
func (q *Quotas) SetMembers(members []fleet.Member) {
	ids := make([]quota.MemberID, 0, len(members))
	q.mu.Lock()
	defer q.mu.Unlock()
	q.members = map[fleet.Run]quota.MemberID{fleet.RunOf(q.self.Name, q.self.Incarnation): q.self}
	for _, m := range members {
		id := quota.MemberID{Name: m.Name, Incarnation: m.Incarnation}
		ids = append(ids, id)
		q.members[fleet.RunOf(m.Name, m.Incarnation)] = id
	}
	q.ledger.SetMembers(q.now(), ids)
}

// Admit takes tokens of an organisation's quota.
func (q *Quotas) Admit(organisation string, tokens int64) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Admit(q.now(), organisation, tokens)
}

// Refund gives back tokens of a request that did not run.
func (q *Quotas) Refund(organisation string, tokens int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Refund(q.now(), organisation, tokens)
}

// Leads reports whether this instance comes first, in an order that depends on a
// subject, among those that it hears.
func (q *Quotas) Leads(subject string) bool { return q.Rank(subject) == 0 }

// Rank is the number of instances that come before this one, in an order that depends
// on a subject, among those that it hears.
func (q *Quotas) Rank(subject string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	own := fleet.HashOf(subject + q.self.Name)
	before := 0
	for _, id := range q.ledger.Audible(q.now()) {
		if fleet.HashOf(subject+id.Name) < own {
			before++
		}
	}
	return before
}

// Fill adds this instance's use to a report.
func (q *Quotas) Fill(now time.Duration, r *fleet.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if restricted := q.ledger.Restricted(now); restricted != q.restricted {
		q.restricted = restricted
		if q.OnRestricted != nil {
			q.OnRestricted(restricted)
		}
	}
	own := q.ledger.Report(now)
	r.Spends = make(map[fleet.Hash]fleet.Spend, len(own.Spent))
	for name, tokens := range own.Spent {
		r.Spends[fleet.HashOf(name)] = fleet.Spend{Tokens: tokens, Level: own.Level[name]}
	}
	for _, h := range own.Heard {
		r.Heard = append(r.Heard, fleet.Heard{Run: fleet.RunOf(h.Member.Name, h.Member.Incarnation), Age: now - h.At})
	}
}

// Take takes in another instance's use.
func (q *Quotas) Take(now time.Duration, r *fleet.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	in := quota.Report{
		From:  quota.MemberID{Name: r.Instance, Incarnation: r.Incarnation},
		Spent: make(map[string]int64, len(r.Spends)), Level: make(map[string]float64, len(r.Spends)),
	}
	for hash, s := range r.Spends {
		if name, known := q.names[hash]; known {
			in.Spent[name], in.Level[name] = s.Tokens, s.Level
		}
	}
	for _, h := range r.Heard {
		id, known := q.members[h.Run]
		if !known {
			continue
		}
		in.Heard = append(in.Heard, quota.Heard{Member: id, At: now - h.Age})
	}
	q.ledger.Hear(now, in)
}

// Restricted reports whether only shares of the quotas may be spent here.
func (q *Quotas) Restricted() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Restricted(q.now())
}

// Describe tells what a refusal for an organisation rests on, for the log.
func (q *Quotas) Describe(organisation string, tokens int64) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	v := q.ledger.View(q.now(), organisation)
	return fmt.Sprintf("%d tokens asked, %.0f left, %.0f own, rate %.0f, burst %.0f, %d instances, %d silent, restricted %v",
		tokens, v.Level, v.Own, v.Limit.Rate, v.Limit.Burst, v.Members, v.Silent, v.Restricted)
}
