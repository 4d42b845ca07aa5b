package gateway

import (
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
)

// RetryBudget bounds what repeated sends add to a service's load, over the fleet.
type RetryBudget struct {
	// Ratio of repeated sends to requests in a window.
	Ratio  float64
	Window time.Duration
	// Slack is how many repeated sends a window may hold besides.
	Slack float64
	// FirstStart tells that nothing can have been sent before.
	FirstStart bool
}

// budgetShare is the part of the budget that is used. The rest is for sends that
// upstreams reject and that were not known to be repeats when they were sent.
const budgetShare = 0.7

// budgets counts requests and repeated sends of each service at this instance. Each
// instance keeps to the ratio by its own requests and to its share of the slack, so
// that the fleet keeps to both whoever is cut off. It is safe for concurrent use.
type budgets struct {
	limit   RetryBudget
	members func() fleet.Size
	// slackFrom is when the share of the slack may be used. An instance that has just
	// started again does not know what it sent before; when all are killed at once, each
	// with its share used up, the window would hold the slack twice.
	slackFrom time.Duration
	mu        sync.Mutex
	byName    map[string]*budget
}

type budget struct {
	asks, repeats []time.Duration
}

func newBudgets(limit RetryBudget, members func() fleet.Size) *budgets {
	b := &budgets{limit: limit, members: members, byName: make(map[string]*budget)}
	if !limit.FirstStart {
		b.slackFrom = boottime.Now() + limit.Window
	}
	return b
}

func (b *budgets) service(name string) *budget {
	s, known := b.byName[name]
	if !known {
		s = &budget{}
		b.byName[name] = s
	}
	return s
}

// asked counts a request.
func (b *budgets) asked(service string) {
	now := boottime.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.asks = append(since(s.asks, now-b.limit.Window), now)
}

// repeat takes one repeated send off the budget, if there is one left.
func (b *budgets) repeat(service string) bool {
	now := boottime.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.asks = since(s.asks, now-b.limit.Window)
	s.repeats = since(s.repeats, now-b.limit.Window)
	slack := b.members().PerInstance(b.limit.Slack)
	if now < b.slackFrom {
		slack = 0
	}
	if float64(len(s.repeats)+1) > budgetShare*(b.limit.Ratio*float64(len(s.asks))+slack) {
		return false
	}
	s.repeats = append(s.repeats, now)
	return true
}

// count takes in a repeated send that is made in any case.
func (b *budgets) count(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.repeats = append(s.repeats, boottime.Now())
}

// since drops times before from.
func since(times []time.Duration, from time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}
