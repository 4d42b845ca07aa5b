package group

import (
	"time"

	"github.com/cairnworks/cairnworks/decision/prefill"
	"github.com/cairnworks/cairnworks/decision/transfer"
	"github.com/cairnworks/cairnworks/object"
)

// place finds upstreams for a request; nil if it fits nowhere now.
func (g *Group) place(now time.Time, w *waiter) *reservation {
	if g.cfg.Kind == object.KindPlain {
		return g.placePlain(now, w)
	}
	r := g.placePrefill(now, w)
	if r == nil {
		return nil
	}
	return g.placeDecode(now, w, r)
}

// reservation is a place found and not yet held.
type reservation struct {
	from, to *upstream
	pieces   int
	uncached int
	// prefill is the expected duration; transfer is the booked one.
	prefill  time.Duration
	transfer time.Duration
	// transferAt is the start of the booking.
	transferAt time.Time
}

func (g *Group) placePlain(now time.Time, w *waiter) *reservation {
	var best *upstream
	var bestScore float64
	for _, u := range g.sinks {
		if !u.free(now) || avoided(w, u, g.sinks) {
			continue
		}
		score := sinkScore(now, u, 0, w.DataCentre)
		if best == nil || score < bestScore || (score == bestScore && u.lastUse < best.lastUse) {
			best, bestScore = u, score
		}
	}
	if best == nil {
		return nil
	}
	return &reservation{to: best}
}

// sinkScore is how full the upstream will be, weighted by health; lower is better.
func sinkScore(now time.Time, u *upstream, pieces int, dataCentre string) float64 {
	score := u.account.Utilisation(now, pieces) / u.health
	if u.spec.DataCentre != dataCentre {
		score += dataCentreFill
	}
	return score
}

// placePrefill picks the free prefill upstream whose result is on its way first:
// prefill time after what is cached, hop, and the wait for its own link.
func (g *Group) placePrefill(now time.Time, w *waiter) *reservation {
	hashes := len(w.PrefixHashes)
	if !g.cfg.tune.noAffinity {
		g.cache.Match(now, w.PrefixHashes, g.noteMatch)
	}
	var best reservation
	var bestEnd time.Duration
	for _, u := range g.entries {
		matched := u.matched
		u.matched = 0
		if !u.free(now) || avoided(w, u, g.entries) {
			continue
		}
		r := reservation{from: u}
		r.uncached = prefill.UncachedTokens(w.PromptTokens, hashes, matched, g.cfg.PrefixBlockTokens)
		expected := g.trust.ExpectedUncached(w.PromptTokens, r.uncached)
		r.prefill = u.speed.Estimate(g.estimate.speed.Estimate(expected))
		if u.spec.DataCentre != w.DataCentre {
			r.prefill += prefill.CrossDataCentreDelay
		}
		u.link.Expire(now)
		ready := now.Add(r.prefill)
		length := transfer.Duration(&u.link, &transfer.Link{}, g.kvBytes(w))
		end := transfer.Earliest(&u.link, &transfer.Link{}, ready, length).Add(length).Sub(now)
		// Several prefills on one upstream share its processors. How much that slows
		// them is in the learnt speed; here it keeps affinity from heaping them up.
		end = time.Duration(float64(end) * float64(u.account.Used(now).Requests+1) / u.health)
		if best.from == nil || end < bestEnd || (end == bestEnd && u.lastUse < best.from.lastUse) {
			best, bestEnd = r, end
		}
	}
	if best.from == nil {
		return nil
	}
	return &best
}

func (g *Group) noteMatch(index, matched int) {
	if u := g.byIndex[index]; u != nil {
		u.matched = max(u.matched, matched)
	}
}

func (g *Group) kvBytes(w *waiter) int64 { return int64(w.PromptTokens) * g.cfg.KVBytesPerToken }

// placeDecode picks the emptiest decode upstream that has a slot and the memory,
// and to which the result can be transferred before it expires.
func (g *Group) placeDecode(now time.Time, w *waiter, r *reservation) *reservation {
	ready := now.Add(r.prefill)
	var bestScore float64
	for _, u := range g.sinks {
		if !u.free(now) || avoided(w, u, g.sinks) {
			continue
		}
		pieces := u.account.PiecesFor(w.PromptTokens, w.MaxTokens)
		if !u.account.Fits(now, pieces) {
			continue
		}
		score := sinkScore(now, u, pieces, r.from.spec.DataCentre)
		if r.to != nil && (score > bestScore || (score == bestScore && u.lastUse > r.to.lastUse)) {
			continue
		}
		u.link.Expire(now)
		length := transfer.Duration(&r.from.link, &u.link, g.kvBytes(w))
		at := transfer.Earliest(&r.from.link, &u.link, ready, length)
		if at.Sub(ready) > g.longestLinkWait(length) {
			continue
		}
		r.to, r.pieces, r.transfer, r.transferAt, bestScore = u, pieces, length, at, score
	}
	if r.to == nil {
		return nil
	}
	return r
}

// longestLinkWait is how long a prefill result may wait for a link so that its
// transfer, which takes length, ends before the result expires. A transfer that
// takes longer than a result lives may only start at once: whether it can succeed
// is the engine's to say.
func (g *Group) longestLinkWait(length time.Duration) time.Duration {
	return max(0, time.Duration(g.cfg.tune.kvSafePart*float64(g.cfg.KVExpiry))-length)
}

// grant holds what the reservation found.
func (g *Group) grant(now time.Time, w *waiter, r *reservation) {
	h := &held{
		ActiveGrant: ActiveGrant{
			ID: g.nextID, RequestID: w.ID, Organisation: w.Organisation,
			Decode: r.to.spec.Name, Pieces: r.pieces,
		},
		class: w.Class, key: w.KeyID, granted: now, cost: w.cost,
		engineShare: g.shareOf(r.to, r.pieces), prompt: w.PromptTokens, uncached: r.uncached, maxTokens: w.MaxTokens,
		prefillEstimate: r.prefill, prefix: w.PrefixHashes,
		from: r.from, to: r.to,
	}
	g.nextID++
	g.uses++
	g.grants[h.ID] = h
	h.expectedEnd = now.Add(r.prefill + g.estimate.decodeTime(w.MaxTokens))
	r.to.hold(h)
	g.addShare(h)
	r.to.lastUse = g.uses
	h.runningAtGrant = r.to.account.Running()
	grant := &Grant{
		ID: h.ID, RequestID: w.ID, Decode: h.Decode, Pieces: r.pieces,
		Queued: now.Sub(w.submitted),
	}
	if r.from != nil {
		grant.Prefill = r.from.spec.Name
		grant.TransferAfter = transferAfter(now, r)
	}
	if r.from != nil {
		g.holdPrefill(h, r)
	}
	g.estimate.granted(now, w)
	g.out = append(g.out, Decision{RequestID: w.ID, Grant: grant})
}

func (g *Group) holdPrefill(h *held, r *reservation) {
	h.Prefill = r.from.spec.Name
	h.prefilling = true
	h.firstToken = r.transferAt.Sub(h.granted) + r.transfer + g.estimate.step()
	g.estimate.booked(r.transfer)
	if !g.tellsPrefill {
		g.untold = append(g.untold, h)
	}
	r.from.account.AddGrant(0)
	r.from.lastUse = g.uses
	h.transfer = r.transfer
	h.book(r.transferAt)
}

// transferAfter is when the transfer may start. That is before its booking if the
// links are free then, because a prefill that ends much sooner than expected would
// otherwise wait for the booking until its result expires.
func transferAfter(now time.Time, r *reservation) time.Time {
	since := transfer.FreeSince(&r.from.link, &r.to.link, r.transferAt)
	if since.Before(now) {
		return now
	}
	return since
}

func (h *held) book(at time.Time) {
	h.from.link.Book(h.ID, at, h.transfer)
	h.to.link.Book(h.ID, at, h.transfer)
}

func (h *held) unbook() {
	h.to.link.Cancel(h.ID)
	if h.from != nil {
		h.from.link.Cancel(h.ID)
	}
}
