package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/slack"
)

// RetryBudget limits the load that repeated sends add to a service, across the fleet.
type RetryBudget struct {
	// Ratio is the allowed ratio of arrivals beyond the first of each request to requests within the window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of such arrivals allowed per window in addition to Ratio.
	Slack float64
	// FirstStart is set if the fleet starts for the first time, so that none can have been sent before.
	FirstStart bool
}

// Parameters of the budget.
const (
	// budgetUseRatio is the fraction of the budget that is used. Requests and arrivals are counted here at other
	// moments than they arrive.
	budgetUseRatio = 0.8
	// prefillShare is the fraction of it that prompts that are prefilled again may use: a decode engine can read a
	// prompt itself, but nothing replaces a run.
	prefillShare = 0.5
	// maxArrivalDelay is the longest time from a charge to the arrival that it is for.
	maxArrivalDelay = time.Second
	// fleetListMaxAge is the age up to which the list of instances is used to divide the slack.
	fleetListMaxAge = 8 * time.Second
)

// FleetView is what is known of the fleet's size.
type FleetView struct {
	// Instances is the number of instances, or 0 if it is unknown. AsOf is the time as of which it is known and
	// includes this instance; 0 means never.
	Instances int
	AsOf      time.Duration
}

// retryBudgets counts requests and the arrivals that are charged, per service at this instance. Each instance applies
// the ratio to its own requests and uses its share of the slack, so that the fleet stays within both even if instances
// are partitioned. It is safe for concurrent use.
type retryBudgets struct {
	limit     RetryBudget
	fleetView func() FleetView
	now       boottime.Clock
	mu        sync.Mutex
	slack     *slack.Share
	byService map[string]*budgetWindow
}

// budgetWindow holds the times of the requests for a service and of its charges.
type budgetWindow struct{ requests, charges []time.Duration }

func newRetryBudgets(limit RetryBudget, fleetView func() FleetView, now boottime.Clock) *retryBudgets {
	return &retryBudgets{
		limit: limit, fleetView: fleetView, now: now, byService: make(map[string]*budgetWindow),
		slack: slack.New(slack.Config{Window: limit.Window + maxArrivalDelay, MaxAge: fleetListMaxAge}, limit.FirstStart),
	}
}

// window returns the current window of a service. b.mu must be held.
func (b *retryBudgets) window(service string, now time.Duration) *budgetWindow {
	w, known := b.byService[service]
	if !known {
		w = &budgetWindow{}
		b.byService[service] = w
	}
	w.requests = dropBefore(w.requests, now-b.limit.Window)
	w.charges = dropBefore(w.charges, now-b.limit.Window-maxArrivalDelay)
	return w
}

// countRequest counts a request.
func (b *retryBudgets) countRequest(service string) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests = append(w.requests, now)
}

// observe records the size of the fleet, which must be done every few seconds. b.mu must be held.
func (b *retryBudgets) observe(now time.Duration) {
	if v := b.fleetView(); v.AsOf > 0 {
		b.slack.Observe(now, v.AsOf, v.Instances)
	}
}

// sweep records the size of the fleet while there are no charges.
func (b *retryBudgets) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observe(b.now())
}

// take charges n arrivals to a service's budget, of which the given fraction may be used. It returns the time of the
// charges, or ok as false without a charge if they do not fit.
func (b *retryBudgets) take(service string, n int, fraction float64) (at time.Duration, ok bool) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observe(now)
	w := b.window(service, now)
	allowed := b.limit.Ratio*float64(len(w.requests)) + b.slack.Of(now, b.limit.Slack)
	if float64(len(w.charges)+n) > fraction*budgetUseRatio*allowed {
		return 0, false
	}
	for range n {
		w.charges = append(w.charges, now)
	}
	return now, true
}

// giveBack returns a charge for an arrival that does not take place.
func (b *retryBudgets) giveBack(service string, at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, b.now())
	if i := slices.Index(w.charges, at); i >= 0 {
		w.charges = slices.Delete(w.charges, i, i+1)
	}
}

// dropBefore returns times without those before from.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}
