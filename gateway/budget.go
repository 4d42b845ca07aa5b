package gateway

import (
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
)

// RetryBudget limits the load that retries add to a service, across the fleet.
type RetryBudget struct {
	// Ratio is the allowed ratio of retries to requests within the window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of retries allowed per window in addition to Ratio.
	Slack float64
	// FirstStart is set if the fleet starts for the first time, so that no retries can have been
	// sent before.
	FirstStart bool
}

// budgetUseRatio is the fraction of the budget that is used. The remainder is for requests that
// upstreams reject and that were not known to be retries when they were sent.
const budgetUseRatio = 0.7

// retryBudgets counts requests and retries per service at this instance. Each instance applies the
// ratio to its own requests and uses its share of the slack, so that the fleet stays within both
// even if instances are partitioned. It is safe for concurrent use.
type retryBudgets struct {
	limit     RetryBudget
	fleetSize func() fleet.Size
	// slackAvailableFrom is when this instance's share of the slack may be used. A restarted
	// instance does not know which retries it sent before: if all instances are killed at once
	// after using up their shares, the window would otherwise contain the slack twice.
	slackAvailableFrom time.Duration
	mu                 sync.Mutex
	byService          map[string]*retryWindow
}

type retryWindow struct {
	requests, retries []time.Duration
}

func newRetryBudgets(limit RetryBudget, fleetSize func() fleet.Size) *retryBudgets {
	b := &retryBudgets{limit: limit, fleetSize: fleetSize, byService: make(map[string]*retryWindow)}
	if !limit.FirstStart {
		b.slackAvailableFrom = boottime.Now() + limit.Window
	}
	return b
}

func (b *retryBudgets) window(name string) *retryWindow {
	s, known := b.byService[name]
	if !known {
		s = &retryWindow{}
		b.byService[name] = s
	}
	return s
}

// countRequest counts a request.
func (b *retryBudgets) countRequest(service string) {
	now := boottime.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.window(service)
	s.requests = append(dropBefore(s.requests, now-b.limit.Window), now)
}

// tryRetry takes one retry from the budget and reports whether there was one left.
func (b *retryBudgets) tryRetry(service string) bool {
	now := boottime.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.window(service)
	s.requests = dropBefore(s.requests, now-b.limit.Window)
	s.retries = dropBefore(s.retries, now-b.limit.Window)
	slack := b.fleetSize().PerInstance(b.limit.Slack)
	if now < b.slackAvailableFrom {
		slack = 0
	}
	if float64(len(s.retries)+1) > budgetUseRatio*(b.limit.Ratio*float64(len(s.requests))+slack) {
		return false
	}
	s.retries = append(s.retries, now)
	return true
}

// countRetry counts a retry that is made regardless of the budget.
func (b *retryBudgets) countRetry(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.window(service)
	s.retries = append(s.retries, boottime.Now())
}

// dropBefore returns times without those before from.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}
