package group

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/decision/placement"
	"github.com/cairnworks/cairnworks/decision/transfer"
)

// PrefillDone frees the prefill place of a grant whose decode goes on. A driver
// that never calls it has its prefill places freed at their estimated end.
func (g *Group) PrefillDone(now time.Time, grantID uint64) []Decision {
	g.tellsPrefill = true
	h := g.grants[grantID]
	if h == nil || !h.prefilling {
		return nil
	}
	g.freePrefill(now, h)
	g.estimate.prefillHeld(now.Sub(h.granted))
	// The transfer starts now, not when the prefill was expected to end; a booking
	// left there would keep others off a link that is idle.
	h.unbook()
	h.book(transfer.Earliest(&h.from.link, &h.to.link, now, h.transfer))
	for _, hash := range h.prefix {
		g.cache.Store(now, h.from.index, hash)
	}
	return g.dispatch(now)
}

// Release frees everything that a grant holds. Unknown grants are ignored, so
// that a release can be repeated.
func (g *Group) Release(now time.Time, grantID uint64, out Outcome) []Decision {
	h := g.grants[grantID]
	if h == nil {
		return nil
	}
	delete(g.grants, grantID)
	g.freePrefill(now, h)
	h.to.unhold(now, h)
	g.dropShare(h)
	h.unbook()
	if !h.adopted {
		g.learn(now, h, out)
	}
	if u := g.byName[out.FailedUpstream]; u != nil && out.Kind == OutcomeUpstreamCrashed {
		g.cache.Reset(u.index)
	}
	if h.to.gone || (h.from != nil && h.from.gone) {
		g.forgetGone()
	}
	g.changed = true
	g.resume()
	return g.dispatch(now)
}

func (g *Group) freePrefill(now time.Time, h *held) {
	if !h.prefilling {
		return
	}
	h.prefilling = false
	g.changed = true
	h.from.account.ReleaseGrant(now, 0)
}

// prefillBy is when a prefill place is taken for free without being told.
func (h *held) prefillBy() time.Time {
	return h.granted.Add(time.Duration(prefillGrace * float64(h.prefillEstimate)))
}

func (g *Group) freeUntoldPrefills(now time.Time) {
	if g.tellsPrefill {
		g.untold = nil
		return
	}
	g.untold = slices.DeleteFunc(g.untold, func(h *held) bool {
		if h.prefilling && !h.prefillBy().After(now) {
			g.freePrefill(now, h)
		}
		return !h.prefilling
	})
}

// learn feeds the estimates and settles the organisation's charge by what the
// attempt really used.
func (g *Group) learn(now time.Time, h *held, out Outcome) {
	took := now.Sub(h.granted)
	prefilled := min(took, h.prefillEstimate)
	if out.Prefill > 0 {
		prefilled = min(took, out.Prefill)
	}
	cost := prefilled.Seconds() + (took-prefilled).Seconds()*h.engineShare
	g.queue.Settle(h.class, h.Organisation, h.key, cost-h.cost)
	g.estimate.released(took, cost)
	if out.Kind != OutcomeDone {
		return
	}
	g.estimate.answered(h, out)
	if h.from != nil && out.Prefill > 0 {
		g.learnPrefill(h, out.Prefill)
		if !g.tellsPrefill {
			g.estimate.prefillHeld(out.Prefill)
		}
	}
	if out.OutputTokens > 1 && out.Decode > 0 {
		between := out.Decode / time.Duration(out.OutputTokens-1)
		h.to.account.Observe(now, placement.ResponseStats{
			Granted: h.granted, RunningAtGrant: h.runningAtGrant,
			TimeBetweenTokens: between, Target: g.cfg.BetweenTokens,
			Policy:    g.cfg.tune.limit,
			GroupSlow: g.estimate.step() > g.cfg.BetweenTokens,
		})
	}
}

// learnPrefill learns the speed from prompts without believed cached tokens, and
// from the others how far beliefs hold. Learnt from all, wrong beliefs would pass
// for slow engines.
func (g *Group) learnPrefill(h *held, took time.Duration) {
	without := g.estimate.speed.Estimate(h.prompt)
	if h.uncached == h.prompt {
		h.from.speed.Learn(without, took)
		g.estimate.speed.Learn(h.prompt, took)
		return
	}
	with := g.estimate.speed.Estimate(h.uncached)
	g.trust.Learn(h.from.speed.Estimate(without), h.from.speed.Estimate(with), took)
}
