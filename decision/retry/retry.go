// Package retry decides whether a failed attempt is tried again, and when.
//
// Load pattern: an upstream dies or stalls and every request on it fails in the
// same moment, or a pool is full and answers late, so that attempts time out
// while their work goes on.
//
// Without it: each request tries again at once and as often as it may. Three
// attempts turn a pool at 85 % of its rate into one at 255 %; the queue that a
// stall of some seconds leaves behind then never drains, because the retries it
// causes are more than the pool can do (TestStallEndsWithBudgetOnly measures what
// callers receive).
package retry

import (
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/verdict"
)

// Config holds the figures of the package.
type Config struct {
	// Ratio is the number of retries that each success pays for.
	Ratio float64
	// Reserve is the most retries saved up.
	Reserve float64
	// FloorPerSecond is the number of retries a second that need no successes.
	FloorPerSecond float64
	// Base is the mean backoff before the second attempt.
	Base time.Duration
	// MaxBackoff bounds the mean backoff.
	MaxBackoff time.Duration
	// MaxAttempts counts the first attempt as well.
	MaxAttempts int
	// MinUseful is the least time that must be left after the backoff for an
	// attempt to be worth its cost.
	MinUseful time.Duration
}

// DefaultConfig returns the default figures.
func DefaultConfig() Config {
	return Config{
		Ratio:          0.1,
		Reserve:        10,
		FloorPerSecond: 0.1,
		Base:           20 * time.Millisecond,
		MaxBackoff:     500 * time.Millisecond,
		MaxAttempts:    3,
		MinUseful:      20 * time.Millisecond,
	}
}

// Attempt is one failed attempt of a request.
type Attempt struct {
	Service string
	// Number of the attempt that failed, from 1.
	Number  int
	Verdict *verdict.Verdict
	// Repeatable requests may run more than once: prompts and idempotent calls.
	// Others are tried again only while the verdict says NotRun.
	Repeatable bool
	Now        time.Time
	Deadline   time.Time
}

// Decision is the answer to a failed attempt.
type Decision struct {
	Retry bool
	// Backoff before the next attempt.
	Backoff time.Duration
	// Reason that forbids a retry.
	Reason verdict.Reason
}

// Policy holds the retry budgets of an instance, one a service. It is safe for
// concurrent use. Its memory grows with the services that operators have named.
type Policy struct {
	cfg    Config
	random func() float64

	mu      sync.Mutex
	budgets map[string]*budget
}

// budget is a token bucket of retries that successes and time fill.
type budget struct {
	level float64
	last  time.Time
}

// New returns a policy with full reserves. random yields numbers in [0, 1); calls
// are serialised.
func New(cfg Config, random func() float64) *Policy {
	return &Policy{cfg: cfg, random: random, budgets: make(map[string]*budget)}
}

// Succeeded pays a share of a retry into the service's budget.
func (p *Policy) Succeeded(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.budget(service)
	b.level = min(p.cfg.Reserve, b.level+p.cfg.Ratio)
}

// Next implements route.Retrier for requests that may be repeated. For others use
// Decide.
func (p *Policy) Next(service string, attempt int, v *verdict.Verdict, now, deadline time.Time) (time.Duration, verdict.Reason, bool) {
	d := p.Decide(Attempt{
		Service: service, Number: attempt, Verdict: v, Repeatable: true, Now: now, Deadline: deadline,
	})
	return d.Backoff, d.Reason, d.Retry
}

// Decide answers a failed attempt and charges a retry to the service's budget.
func (p *Policy) Decide(a Attempt) Decision {
	if !a.Repeatable && a.Verdict.Ran != verdict.NotRun {
		return Decision{Reason: a.Verdict.Reason}
	}
	if !mayHelp(a.Verdict.Reason) || a.Number >= p.cfg.MaxAttempts {
		return Decision{Reason: a.Verdict.Reason}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := max(p.backoff(a.Number), a.Verdict.RetryAfter)
	if a.Now.Add(wait + p.cfg.MinUseful).After(a.Deadline) {
		return Decision{Reason: verdict.ReasonDeadlineUnmeetable}
	}
	if !p.charge(a.Service, a.Now) {
		return Decision{Reason: verdict.ReasonRetryBudgetSpent}
	}
	return Decision{Retry: true, Backoff: wait}
}

// mayHelp reports whether another upstream, scheduler or grant can do what this
// one could not. A full pool is not among the reasons: its queue has already
// refused, and asking again only lengthens it.
func mayHelp(r verdict.Reason) bool {
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

// backoff doubles with each attempt; half of it is random, so that requests which
// failed together do not come back together.
func (p *Policy) backoff(attempt int) time.Duration {
	mean := p.cfg.Base
	for range attempt - 1 {
		mean = min(2*mean, p.cfg.MaxBackoff)
	}
	return time.Duration((0.5 + p.random()) * float64(mean))
}

func (p *Policy) charge(service string, now time.Time) bool {
	b := p.budget(service)
	if !b.last.IsZero() && now.After(b.last) {
		b.level = min(p.cfg.Reserve, b.level+now.Sub(b.last).Seconds()*p.cfg.FloorPerSecond)
	}
	if b.last.IsZero() || now.After(b.last) {
		b.last = now
	}
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func (p *Policy) budget(service string) *budget {
	b, ok := p.budgets[service]
	if !ok {
		b = &budget{level: p.cfg.Reserve}
		p.budgets[service] = b
	}
	return b
}
