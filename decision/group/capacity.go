package group

import (
	"time"

	"github.com/cairnworks/cairnworks/object"
)

// grantInterval is the expected time in seconds between two grants while the service
// is full. The scarcest of serving slots, prefill slots and links determines it.
func (g *Group) grantInterval(now time.Time) float64 {
	interval := g.estimates.holdTime / float64(max(1, allowedRequests(g.servingUpstreams)))
	if g.cfg.Kind == object.KindModel {
		interval = max(interval, g.estimates.prefillTime/float64(max(1, allowedRequests(g.prefillUpstreams))))
		// A transfer uses one link of each role.
		links := min(usableCount(g.prefillUpstreams), usableCount(g.servingUpstreams))
		interval = max(interval, g.estimates.transferTime/float64(max(1, links)))
	}
	return interval
}

func usableCount(ups []*upstream) int {
	count := 0
	for _, u := range ups {
		if u.usable() {
			count++
		}
	}
	return count
}

func allowedRequests(ups []*upstream) int {
	total := 0
	for _, u := range ups {
		if u.usable() {
			total += u.capacity.Allowed()
		}
	}
	return total
}

// engineShare is the fraction of a serving upstream that the request would use,
// computed for the first usable one.
func (g *Group) engineShare(w *waiter) float64 {
	for _, u := range g.servingUpstreams {
		if u.usable() {
			return g.engineShareOn(u, u.capacity.PiecesFor(w.PromptTokens, w.MaxTokens))
		}
	}
	return 1
}

// engineShareOn is the fraction of the upstream's slots or of its memory that a
// request uses, whichever is larger.
func (g *Group) engineShareOn(u *upstream, pieces int) float64 {
	if u.spec.Slots == 0 {
		return initialEngineShare
	}
	share := 1 / float64(u.spec.Slots)
	if u.spec.Pieces > 0 {
		share = max(share, float64(pieces)/float64(u.spec.Pieces))
	}
	return min(1, share)
}
