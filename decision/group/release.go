package group

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/decision/placement"
	"github.com/cairnworks/cairnworks/decision/transfer"
)

// PrefillDone frees the prefill slot of a grant and keeps the rest. If the caller
// never calls it, prefill slots are freed after a timeout based on the estimate.
func (g *Group) PrefillDone(now time.Time, grantID uint64) []Decision {
	g.prefillDoneReported = true
	rec := g.grants[grantID]
	if rec == nil || !rec.prefilling {
		return nil
	}
	g.freePrefill(now, rec)
	g.estimates.observePrefill(now.Sub(rec.grantedAt))
	// The transfer can start now instead of at the expected end of the prefill. The
	// old booking would keep other transfers off an idle link.
	rec.cancelLinks()
	rec.bookLinks(transfer.Earliest(&rec.prefillUpstream.link, &rec.servingUpstream.link, now, rec.transferDuration))
	for _, hash := range rec.prefixHashes {
		g.prefixIndex.Store(now, rec.prefillUpstream.index, hash)
	}
	return g.dispatch(now)
}

// Release frees everything that a grant holds. It ignores unknown grants, so that a
// release may be repeated.
func (g *Group) Release(now time.Time, grantID uint64, out Outcome) []Decision {
	rec := g.grants[grantID]
	if rec == nil {
		return nil
	}
	delete(g.grants, grantID)
	g.freePrefill(now, rec)
	rec.servingUpstream.removeGrant(now, rec)
	g.removeUsage(rec)
	rec.cancelLinks()
	if !rec.adopted {
		g.recordOutcome(now, rec, out)
	}
	if u := g.byName[out.FailedUpstream]; u != nil && out.Kind == OutcomeUpstreamCrashed {
		g.prefixIndex.ResetUpstream(u.index)
	}
	if rec.servingUpstream.removed || (rec.prefillUpstream != nil && rec.prefillUpstream.removed) {
		g.deleteRemovedUpstreams()
	}
	g.capacityChanged = true
	g.resumeKeys()
	return g.dispatch(now)
}

func (g *Group) freePrefill(now time.Time, rec *grantRecord) {
	if !rec.prefilling {
		return
	}
	rec.prefilling = false
	g.capacityChanged = true
	rec.prefillUpstream.capacity.ReleaseGrant(now, 0)
}

// prefillTimeout is when the prefill slot is freed if PrefillDone is never called.
func (rec *grantRecord) prefillTimeout() time.Time {
	return rec.grantedAt.Add(time.Duration(prefillTimeoutFactor * float64(rec.expectedPrefill)))
}

func (g *Group) freeTimedOutPrefills(now time.Time) {
	if g.prefillDoneReported {
		g.timedPrefills = nil
		return
	}
	g.timedPrefills = slices.DeleteFunc(g.timedPrefills, func(rec *grantRecord) bool {
		if rec.prefilling && !rec.prefillTimeout().After(now) {
			g.freePrefill(now, rec)
		}
		return !rec.prefilling
	})
}

// recordOutcome updates the estimates and corrects the cost charged to the
// organisation to what the attempt actually used.
func (g *Group) recordOutcome(now time.Time, rec *grantRecord, out Outcome) {
	held := now.Sub(rec.grantedAt)
	prefillTime := min(held, rec.expectedPrefill)
	if out.Prefill > 0 {
		prefillTime = min(held, out.Prefill)
	}
	cost := prefillTime.Seconds() + (held-prefillTime).Seconds()*rec.engineShare
	g.queue.AdjustCharge(rec.class, rec.Organisation, rec.keyID, cost-rec.cost)
	g.estimates.observeRelease(held, cost)
	if out.Kind != OutcomeDone {
		return
	}
	g.estimates.observeAnswer(rec, out)
	if rec.prefillUpstream != nil && out.Prefill > 0 {
		g.recordPrefillTime(rec, out.Prefill)
		if !g.prefillDoneReported {
			g.estimates.observePrefill(out.Prefill)
		}
	}
	if out.OutputTokens > 1 && out.Decode > 0 {
		between := out.Decode / time.Duration(out.OutputTokens-1)
		rec.servingUpstream.capacity.Observe(now, placement.AnswerStats{
			Granted: rec.grantedAt, RunningAtGrant: rec.runningAtGrant,
			TimeBetweenTokens: between, Target: g.cfg.BetweenTokens,
			Policy:    g.cfg.tuning.limitPolicy,
			GroupSlow: g.estimates.stepTime() > g.cfg.BetweenTokens,
		})
	}
}

// recordPrefillTime updates the speed estimates from prompts that were expected to
// have no cached tokens. Other prompts update only the estimate of how reliable the
// prefix index is: if they updated the speed, errors of the index would look like
// slow engines.
func (g *Group) recordPrefillTime(rec *grantRecord, took time.Duration) {
	fullPrefill := g.estimates.speed.Estimate(rec.promptTokens)
	if rec.uncachedTokens == rec.promptTokens {
		rec.prefillUpstream.speed.Learn(fullPrefill, took)
		g.estimates.speed.Learn(rec.promptTokens, took)
		return
	}
	cachedPrefill := g.estimates.speed.Estimate(rec.uncachedTokens)
	g.indexPrecision.Learn(rec.prefillUpstream.speed.Estimate(fullPrefill), rec.prefillUpstream.speed.Estimate(cachedPrefill), took)
}
