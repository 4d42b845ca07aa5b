package load

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cairnworks/cairnworks/verdict"
)

// tokenCharge is the charge for one admitted request, in tokens. The request was admitted at some
// time between earliest and latest, and the difference between reserved and used was refunded by
// settledAt.
type tokenCharge struct {
	earliest, latest, settledAt time.Duration
	reserved, used              float64
}

// chargeOf returns the charge for an attempt. It returns false if the attempt was refused as not
// run or did not reach an instance: it was then not admitted, or its admission cannot be observed
// from outside.
func chargeOf(r *Result, a *Attempt) (tokenCharge, bool) {
	notRun := a.Outcome == OutcomeRefused && a.Ran == verdict.NotRun.String()
	if notRun || a.Outcome == OutcomeUnreachable {
		return tokenCharge{}, false
	}
	cost := r.cost()
	c := tokenCharge{earliest: a.SentAt, latest: a.LastByteAt, settledAt: a.LastByteAt, reserved: cost, used: cost}
	if a.FirstByteAt > 0 {
		c.latest = a.FirstByteAt
	}
	if r.Task.Kind.Form != FormCall {
		c.used = float64(r.PromptTokens + len(strings.Fields(a.Text)))
	}
	return c, true
}

// cost returns the charge at admission: the length of the prompt plus the maximum length of the
// answer, or the cost of the call.
func (r *Result) cost() float64 {
	if r.Task.Kind.Form == FormCall {
		return float64(r.Task.Kind.Cost)
	}
	return float64(r.PromptTokens + r.Task.MaxTokens)
}

// checkRates compares the usage of each organisation with its rate and burst, in every window that
// starts with one admission and ends with another.
func (c *checker) checkRates(results []*Result) {
	for i := range c.scenario.Organisations {
		o := &c.scenario.Organisations[i]
		if o.TokensPerSecond <= 0 {
			continue
		}
		var certain, refundable []tokenCharge
		for _, r := range results {
			if r.Task.Organisation == o {
				certain = append(certain, completeCharges(r)...)
				refundable = append(refundable, refundableCharges(r)...)
			}
		}
		c.checkRate(o, certain, refundable)
	}
}

// completeCharges returns the charges for a result's complete answers. Only these are certain, as
// other attempts may have been refunded in part.
func completeCharges(r *Result) []tokenCharge {
	var out []tokenCharge
	for _, a := range r.Attempts {
		if a.Outcome != OutcomeComplete || a.Replayed {
			continue
		}
		if c, ok := chargeOf(r, a); ok {
			out = append(out, c)
		}
	}
	return out
}

// refundGrace is how long after the end of an attempt, as observed by the caller, its refund may
// still arrive.
const refundGrace = 5 * time.Second

// refundableCharges returns a result's charges with the highest refund that is possible for each.
func refundableCharges(r *Result) []tokenCharge {
	var out []tokenCharge
	for _, a := range r.Attempts {
		c, ok := chargeOf(r, a)
		if !ok {
			continue
		}
		if a.Outcome != OutcomeComplete {
			c.used = 0
		}
		c.settledAt += refundGrace
		out = append(out, c)
	}
	return out
}

// checkRate counts in each window only the requests that were certainly admitted in it. A refund
// that arrives in the window for a request admitted before may be spent in it as well, so it is
// added to the bound.
func (c *checker) checkRate(o *Organisation, certain, refundable []tokenCharge) {
	byEnd := slices.Clone(certain)
	slices.SortFunc(byEnd, func(a, b tokenCharge) int { return cmp.Compare(a.latest, b.latest) })
	for _, first := range certain {
		got, bound := 0.0, o.Burst+refundsAfter(refundable, first.earliest)
		for _, next := range byEnd {
			if next.earliest < first.earliest {
				continue
			}
			got += next.used
			window := next.latest - first.earliest
			if allowed := bound + o.TokensPerSecond*window.Seconds(); got > allowed {
				c.addViolation(GuaranteeRateLimit, "%s used %.0f tokens in %s starting at %s; the limit was %.0f",
					o.Name, got, window, first.earliest, allowed)
				return
			}
		}
	}
}

// refundsAfter returns the sum of the refunds that may arrive after a time for requests that may
// have been admitted before it.
func refundsAfter(refundable []tokenCharge, begin time.Duration) float64 {
	sum := 0.0
	for _, c := range refundable {
		if c.earliest < begin && c.settledAt >= begin {
			sum += c.reserved - c.used
		}
	}
	return sum
}

// tokenBucket is an exact token bucket for the whole fleet, held in one process. It is the
// reference that refusals are judged by.
type tokenBucket struct {
	rate, burst, tokens float64
	at                  time.Duration
}

func (b *tokenBucket) advance(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// withinRate reports, for each of one organisation's results, whether an exact token bucket would
// have admitted it at its arrival, given the requests that the system did admit.
func withinRate(o *Organisation, results []*Result) map[*Result]bool {
	type event struct {
		at     time.Duration
		result *Result
		refund float64
	}
	var events []event
	for _, r := range results {
		events = append(events, event{at: r.Task.Arrival, result: r})
		if c, ok := chargeOf(r, r.final()); ok && c.reserved > c.used {
			events = append(events, event{at: c.settledAt, refund: c.reserved - c.used})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	bucket := tokenBucket{rate: o.TokensPerSecond, burst: o.Burst, tokens: o.Burst}
	within := map[*Result]bool{}
	for _, e := range events {
		bucket.advance(e.at)
		if e.result == nil {
			bucket.tokens = min(bucket.burst, bucket.tokens+e.refund)
			continue
		}
		cost := e.result.cost()
		within[e.result] = o.TokensPerSecond <= 0 || bucket.tokens >= cost
		if _, admitted := chargeOf(e.result, e.result.final()); admitted {
			bucket.tokens -= cost
		}
	}
	return within
}
