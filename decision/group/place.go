package group

import (
	"time"

	"github.com/cairnworks/cairnworks/decision/prefill"
	"github.com/cairnworks/cairnworks/decision/transfer"
	"github.com/cairnworks/cairnworks/object"
)

// place chooses the upstreams for a request. It returns nil if none can serve it now.
func (g *Group) place(now time.Time, w *waiter) *placementPlan {
	if g.cfg.Kind == object.KindPlain {
		return g.choosePlain(now, w)
	}
	plan := g.choosePrefill(now, w)
	if plan == nil {
		return nil
	}
	return g.chooseDecode(now, w, plan)
}

// placementPlan is a choice of upstreams for which nothing is reserved yet.
type placementPlan struct {
	prefillUpstream, servingUpstream *upstream
	pieces                           int
	uncachedTokens                   int
	expectedPrefill                  time.Duration
	// transferStart and transferDuration are the link time to book.
	transferStart    time.Time
	transferDuration time.Duration
}

func (g *Group) choosePlain(now time.Time, w *waiter) *placementPlan {
	var best *upstream
	var bestScore float64
	for _, u := range g.servingUpstreams {
		if !u.hasFreeSlot(now) || avoided(w, u, g.servingUpstreams) {
			continue
		}
		score := servingScore(now, u, 0, w.DataCentre)
		if best == nil || score < bestScore || (score == bestScore && u.lastUse < best.lastUse) {
			best, bestScore = u, score
		}
	}
	if best == nil {
		return nil
	}
	return &placementPlan{servingUpstream: best}
}

// servingScore is how full the upstream would be with the request, divided by its
// health. Lower is better.
func servingScore(now time.Time, u *upstream, pieces int, dataCentre string) float64 {
	score := u.capacity.Utilisation(now, pieces) / u.health
	if u.spec.DataCentre != dataCentre {
		score += remoteDataCentrePenalty
	}
	return score
}

// choosePrefill chooses the free prefill upstream that is expected to finish sending
// the result first. This includes the prefill of the uncached tokens, a network hop
// to another data centre, and the wait for the upstream's own link.
func (g *Group) choosePrefill(now time.Time, w *waiter) *placementPlan {
	hashes := len(w.PrefixHashes)
	if !g.cfg.tuning.disablePrefixAffinity {
		g.prefixIndex.Match(now, w.PrefixHashes, g.recordPrefixMatch)
	}
	var best placementPlan
	var bestEnd time.Duration
	for _, u := range g.prefillUpstreams {
		matched := u.matchedHashes
		u.matchedHashes = 0
		if !u.hasFreeSlot(now) || avoided(w, u, g.prefillUpstreams) {
			continue
		}
		plan := placementPlan{prefillUpstream: u}
		plan.uncachedTokens = prefill.UncachedTokens(w.PromptTokens, hashes, matched, g.cfg.PrefixBlockTokens)
		expectedTokens := g.indexPrecision.ExpectedUncached(w.PromptTokens, plan.uncachedTokens)
		plan.expectedPrefill = u.speed.Estimate(g.estimates.speed.Estimate(expectedTokens))
		if u.spec.DataCentre != w.DataCentre {
			plan.expectedPrefill += prefill.CrossDataCentreDelay
		}
		u.link.Expire(now)
		ready := now.Add(plan.expectedPrefill)
		transferDuration := transfer.Duration(&u.link, &transfer.Link{}, g.kvBytes(w))
		end := transfer.Earliest(&u.link, &transfer.Link{}, ready, transferDuration).Add(transferDuration).Sub(now)
		// Concurrent prefills on one upstream share its processors. The measured speed
		// already includes that; the factor keeps prefix affinity from sending too
		// many requests to one upstream.
		end = time.Duration(float64(end) * float64(u.capacity.Used(now).Requests+1) / u.health)
		if best.prefillUpstream == nil || end < bestEnd || (end == bestEnd && u.lastUse < best.prefillUpstream.lastUse) {
			best, bestEnd = plan, end
		}
	}
	if best.prefillUpstream == nil {
		return nil
	}
	return &best
}

func (g *Group) recordPrefixMatch(index, matched int) {
	if u := g.byIndex[index]; u != nil {
		u.matchedHashes = max(u.matchedHashes, matched)
	}
}

func (g *Group) kvBytes(w *waiter) int64 { return int64(w.PromptTokens) * g.cfg.KVBytesPerToken }

// chooseDecode chooses the least loaded decode upstream that has a slot and enough
// memory, and to which the prefill result can be transferred before it expires.
func (g *Group) chooseDecode(now time.Time, w *waiter, plan *placementPlan) *placementPlan {
	ready := now.Add(plan.expectedPrefill)
	var bestScore float64
	for _, u := range g.servingUpstreams {
		if !u.hasFreeSlot(now) || avoided(w, u, g.servingUpstreams) {
			continue
		}
		pieces := u.capacity.PiecesFor(w.PromptTokens, w.MaxTokens)
		if !u.capacity.Fits(now, pieces) {
			continue
		}
		score := servingScore(now, u, pieces, plan.prefillUpstream.spec.DataCentre)
		if plan.servingUpstream != nil && (score > bestScore || (score == bestScore && u.lastUse > plan.servingUpstream.lastUse)) {
			continue
		}
		u.link.Expire(now)
		transferDuration := transfer.Duration(&plan.prefillUpstream.link, &u.link, g.kvBytes(w))
		transferStart := transfer.Earliest(&plan.prefillUpstream.link, &u.link, ready, transferDuration)
		if transferStart.Sub(ready) > g.maxLinkWait(transferDuration) {
			continue
		}
		plan.servingUpstream, plan.pieces, plan.transferDuration, plan.transferStart, bestScore = u, pieces, transferDuration, transferStart, score
	}
	if plan.servingUpstream == nil {
		return nil
	}
	return plan
}

// maxLinkWait is how long a prefill result may wait for a link so that its transfer
// ends before the result expires. A transfer that is too long for that may only
// start without a wait, and the engine decides whether it succeeds.
func (g *Group) maxLinkWait(transferDuration time.Duration) time.Duration {
	return max(0, time.Duration(g.cfg.tuning.transferBudgetShare*float64(g.cfg.KVExpiry))-transferDuration)
}

// issueGrant reserves the resources of the plan and records the grant.
func (g *Group) issueGrant(now time.Time, w *waiter, plan *placementPlan) {
	rec := &grantRecord{
		ActiveGrant: ActiveGrant{
			ID: g.nextGrantID, RequestID: w.ID, Organisation: w.Organisation,
			Decode: plan.servingUpstream.spec.Name, Pieces: plan.pieces,
		},
		class: w.Class, keyID: w.KeyID, grantedAt: now, cost: w.cost,
		engineShare: g.engineShareOn(plan.servingUpstream, plan.pieces), promptTokens: w.PromptTokens, uncachedTokens: plan.uncachedTokens, maxTokens: w.MaxTokens,
		expectedPrefill: plan.expectedPrefill, prefixHashes: w.PrefixHashes,
		prefillUpstream: plan.prefillUpstream, servingUpstream: plan.servingUpstream,
	}
	g.nextGrantID++
	g.useCounter++
	g.grants[rec.ID] = rec
	rec.expectedEnd = now.Add(plan.expectedPrefill + g.estimates.decodeTime(w.MaxTokens))
	plan.servingUpstream.addGrant(rec)
	g.addUsage(rec)
	plan.servingUpstream.lastUse = g.useCounter
	rec.runningAtGrant = plan.servingUpstream.capacity.Running()
	grant := &Grant{
		ID: rec.ID, RequestID: w.ID, Decode: rec.Decode, Pieces: plan.pieces,
		Queued: now.Sub(w.submitted),
	}
	if plan.prefillUpstream != nil {
		grant.Prefill = plan.prefillUpstream.spec.Name
		grant.TransferAfter = earliestTransfer(now, plan)
	}
	if plan.prefillUpstream != nil {
		g.holdPrefill(rec, plan)
	}
	g.estimates.observeGrant(now, w)
	g.decisions = append(g.decisions, Decision{RequestID: w.ID, Grant: grant})
}

func (g *Group) holdPrefill(rec *grantRecord, plan *placementPlan) {
	rec.Prefill = plan.prefillUpstream.spec.Name
	rec.prefilling = true
	rec.expectedFirstToken = plan.transferStart.Sub(rec.grantedAt) + plan.transferDuration + g.estimates.stepTime()
	g.estimates.observeTransfer(plan.transferDuration)
	if !g.prefillDoneReported {
		g.timedPrefills = append(g.timedPrefills, rec)
	}
	plan.prefillUpstream.capacity.AddGrant(0)
	plan.prefillUpstream.lastUse = g.useCounter
	rec.transferDuration = plan.transferDuration
	rec.bookLinks(plan.transferStart)
}

// earliestTransfer is when the transfer may start. It may be earlier than the booking
// if the links are free before, because otherwise the result of a prefill that ends
// much sooner than expected could expire while it waits for the booking.
func earliestTransfer(now time.Time, plan *placementPlan) time.Time {
	freeSince := transfer.FreeSince(&plan.prefillUpstream.link, &plan.servingUpstream.link, plan.transferStart)
	if freeSince.Before(now) {
		return now
	}
	return freeSince
}

func (rec *grantRecord) bookLinks(at time.Time) {
	rec.prefillUpstream.link.Book(rec.ID, at, rec.transferDuration)
	rec.servingUpstream.link.Book(rec.ID, at, rec.transferDuration)
}

func (rec *grantRecord) cancelLinks() {
	rec.servingUpstream.link.Cancel(rec.ID)
	if rec.prefillUpstream != nil {
		rec.prefillUpstream.link.Cancel(rec.ID)
	}
}
