package load

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cairnworks/cairnworks/verdict"
)

// charged is one admitted request of an organisation, in tokens. It was admitted
// at some time between from and to.
type charged struct {
	from, to, done time.Duration
	cost, used     float64
}

// charge returns what an attempt was charged at admission and in the end, or
// false when it was not admitted or that cannot be told from outside.
func charge(r *Result, a *Attempt) (charged, bool) {
	notRun := a.Outcome == OutcomeRefused && a.Ran == verdict.NotRun.String()
	if notRun || a.Outcome == OutcomeUnreachable {
		return charged{}, false
	}
	cost := r.cost()
	c := charged{from: a.Sent, to: a.Last, done: a.Last, cost: cost, used: cost}
	if a.First > 0 {
		c.to = a.First
	}
	if r.Task.Kind.Form != FormCall {
		c.used = float64(r.PromptTokens + len(strings.Fields(a.Text)))
	}
	return c, true
}

// cost is the charge at admission: the prompt and the longest answer, or the
// call's cost.
func (r *Result) cost() float64 {
	if r.Task.Kind.Form == FormCall {
		return float64(r.Task.Kind.Cost)
	}
	return float64(r.PromptTokens + r.Task.MaxTokens)
}

// checkRates holds what each organisation got against its rate and burst, in
// every window that begins with one admission and ends with another.
func (c *checker) checkRates(results []*Result) {
	for i := range c.scenario.Organisations {
		o := &c.scenario.Organisations[i]
		if o.TokensPerSecond <= 0 {
			continue
		}
		var certain, refundable []charged
		for _, r := range results {
			if r.Task.Organisation == o {
				certain = append(certain, wholeCharges(r)...)
				refundable = append(refundable, refundableCharges(r)...)
			}
		}
		c.checkRate(o, certain, refundable)
	}
}

// wholeCharges returns the charges of a result's whole answers. Others may have
// been refunded in part, so that only these are certain.
func wholeCharges(r *Result) []charged {
	var out []charged
	for _, a := range r.Attempts {
		if a.Outcome != OutcomeWhole || a.Replayed {
			continue
		}
		if c, ok := charge(r, a); ok {
			out = append(out, c)
		}
	}
	return out
}

// settleGrace is how long after its end, as its caller saw it, an attempt's
// refund may still come.
const settleGrace = 5 * time.Second

// refundableCharges returns what of a result's charges may have been given back.
func refundableCharges(r *Result) []charged {
	var out []charged
	for _, a := range r.Attempts {
		c, ok := charge(r, a)
		if !ok {
			continue
		}
		if a.Outcome != OutcomeWhole {
			c.used = 0
		}
		c.done += settleGrace
		out = append(out, c)
	}
	return out
}

// checkRate counts in a window only requests that were certainly admitted inside
// it. A refund that comes back inside the window, of a request admitted before,
// may be spent in it as well and is added to the bound.
func (c *checker) checkRate(o *Organisation, certain, refundable []charged) {
	byEnd := slices.Clone(certain)
	slices.SortFunc(byEnd, func(a, b charged) int { return cmp.Compare(a.to, b.to) })
	for _, first := range certain {
		got, bound := 0.0, o.Burst+refundsAfter(refundable, first.from)
		for _, next := range byEnd {
			if next.from < first.from {
				continue
			}
			got += next.used
			window := next.to - first.from
			if allowed := bound + o.TokensPerSecond*window.Seconds(); got > allowed {
				c.broken(PromiseRate, "%s got %.0f tokens in %s from %s on; %.0f were allowed",
					o.Name, got, window, first.from, allowed)
				return
			}
		}
	}
}

// refundsAfter sums up the refunds that may come after a time, of requests that
// may have been admitted before it.
func refundsAfter(refundable []charged, begin time.Duration) float64 {
	sum := 0.0
	for _, c := range refundable {
		if c.from < begin && c.done >= begin {
			sum += c.cost - c.used
		}
	}
	return sum
}

// reference is an exact token bucket that one process keeps for the whole fleet:
// the naive version that refusals are judged by.
type reference struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *reference) advance(now time.Duration) {
	if now > b.at {
		b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// withinRate reports, for each of one organisation's results in order of arrival,
// whether an exact bucket would have admitted it, given what the system did admit.
func withinRate(o *Organisation, results []*Result) map[*Result]bool {
	type event struct {
		at     time.Duration
		result *Result
		refund float64
	}
	var events []event
	for _, r := range results {
		events = append(events, event{at: r.Task.At, result: r})
		if c, ok := charge(r, r.final()); ok && c.cost > c.used {
			events = append(events, event{at: c.done, refund: c.cost - c.used})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	bucket := reference{rate: o.TokensPerSecond, burst: o.Burst, level: o.Burst}
	within := map[*Result]bool{}
	for _, e := range events {
		bucket.advance(e.at)
		if e.result == nil {
			bucket.level = min(bucket.burst, bucket.level+e.refund)
			continue
		}
		cost := e.result.cost()
		within[e.result] = o.TokensPerSecond <= 0 || bucket.level >= cost
		if _, admitted := charge(e.result, e.result.final()); admitted {
			bucket.level -= cost
		}
	}
	return within
}
