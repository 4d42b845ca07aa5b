// Package retry decides whether and when a failed attempt is retried.
//
// Load pattern: an upstream crashes or stalls and all its requests fail at the same
// moment, or a pool is saturated and responds late, so that attempts time out while
// the pool still works on them.
//
// Without it: every request retries immediately and as often as allowed. Three
// attempts raise the load of a pool from 85 % to 255 % of its capacity. The backlog
// of a stall of a few seconds then never drains, because the retries it causes exceed
// the pool's capacity (TestBudgetRecoversFromStall measures the effect on callers).
package retry

import (
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/verdict"
)

// Config holds the parameters of retry budgets and backoff.
type Config struct {
	// RetriesPerSuccess is the number of retries that each success adds to the budget.
	RetriesPerSuccess float64
	// Burst is the maximum number of retries in the budget.
	Burst float64
	// RetriesPerSecond is the number of retries added per second without successes.
	RetriesPerSecond float64
	// BaseBackoff is the mean backoff before the second attempt.
	BaseBackoff time.Duration
	// MaxBackoff bounds the mean backoff.
	MaxBackoff time.Duration
	// MaxAttempts is the maximum number of attempts, including the first.
	MaxAttempts int
	// MinAttemptTime is the minimum time that must remain before the deadline after
	// the backoff; an attempt with less time is not worth its cost.
	MinAttemptTime time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		RetriesPerSuccess: 0.1,
		Burst:             10,
		RetriesPerSecond:  0.1,
		BaseBackoff:       20 * time.Millisecond,
		MaxBackoff:        500 * time.Millisecond,
		MaxAttempts:       3,
		MinAttemptTime:    20 * time.Millisecond,
	}
}

// Attempt is one failed attempt of a request.
type Attempt struct {
	Service string
	// Number is the number of the failed attempt, starting at 1.
	Number  int
	Verdict *verdict.Verdict
	// Repeatable is set for requests that may run more than once: prompts and
	// idempotent calls. Others are retried only if the verdict says NotRun.
	Repeatable bool
	Now        time.Time
	Deadline   time.Time
}

// Decision says whether and when to retry a failed attempt.
type Decision struct {
	Retry bool
	// Backoff is the delay before the next attempt.
	Backoff time.Duration
	// Reason is why the attempt is not retried.
	Reason verdict.Reason
}

// Policy holds the retry budgets of an instance, one per service. It is safe for
// concurrent use. Its memory grows with the number of configured services.
type Policy struct {
	cfg    Config
	random func() float64

	mu      sync.Mutex
	budgets map[string]*budget
}

// budget is a token bucket of retries, refilled by successes and over time.
type budget struct {
	available  float64
	lastRefill time.Time
}

// New returns a policy with full budgets. random returns numbers in [0, 1); calls to
// it are serialised.
func New(cfg Config, random func() float64) *Policy {
	return &Policy{cfg: cfg, random: random, budgets: make(map[string]*budget)}
}

// Succeeded adds RetriesPerSuccess to the service's budget.
func (p *Policy) Succeeded(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.budget(service)
	b.available = min(p.cfg.Burst, b.available+p.cfg.RetriesPerSuccess)
}

// Next implements route.Retrier for repeatable requests. Use Decide for others.
func (p *Policy) Next(service string, attempt int, v *verdict.Verdict, now, deadline time.Time) (time.Duration, verdict.Reason, bool) {
	d := p.Decide(Attempt{
		Service: service, Number: attempt, Verdict: v, Repeatable: true, Now: now, Deadline: deadline,
	})
	return d.Backoff, d.Reason, d.Retry
}

// Decide decides on a failed attempt. A retry is withdrawn from the service's budget.
func (p *Policy) Decide(a Attempt) Decision {
	if !a.Repeatable && a.Verdict.Ran != verdict.NotRun {
		return Decision{Reason: a.Verdict.Reason}
	}
	if !retryable(a.Verdict.Reason) || a.Number >= p.cfg.MaxAttempts {
		return Decision{Reason: a.Verdict.Reason}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := max(p.backoff(a.Number), a.Verdict.RetryAfter)
	if a.Now.Add(wait + p.cfg.MinAttemptTime).After(a.Deadline) {
		return Decision{Reason: verdict.ReasonDeadlineUnmeetable}
	}
	if !p.withdraw(a.Service, a.Now) {
		return Decision{Reason: verdict.ReasonRetryBudgetSpent}
	}
	return Decision{Retry: true, Backoff: wait}
}

// retryable reports whether another upstream, scheduler or grant may succeed after a
// failure for this reason. A full pool is not retryable: its queue has already refused
// the request, and retries would only lengthen it.
func retryable(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonUpstreamUnreachable, verdict.ReasonUpstreamCrashed,
		verdict.ReasonUpstreamRefused, verdict.ReasonTransferExpired,
		verdict.ReasonTruncated, verdict.ReasonTimeout,
		verdict.ReasonGrantLost, verdict.ReasonSchedulerUnavailable:
		return true
	default:
		return false
	}
}

// backoff returns the exponential backoff after an attempt, between half and one and a
// half times its mean. The jitter keeps requests that failed together from being
// retried together.
func (p *Policy) backoff(attempt int) time.Duration {
	mean := p.cfg.BaseBackoff
	for range attempt - 1 {
		mean = min(2*mean, p.cfg.MaxBackoff)
	}
	return time.Duration((0.5 + p.random()) * float64(mean))
}

func (p *Policy) withdraw(service string, now time.Time) bool {
	b := p.budget(service)
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		b.available = min(p.cfg.Burst, b.available+now.Sub(b.lastRefill).Seconds()*p.cfg.RetriesPerSecond)
	}
	if b.lastRefill.IsZero() || now.After(b.lastRefill) {
		b.lastRefill = now
	}
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

func (p *Policy) budget(service string) *budget {
	b, ok := p.budgets[service]
	if !ok {
		b = &budget{available: p.cfg.Burst}
		p.budgets[service] = b
	}
	return b
}
