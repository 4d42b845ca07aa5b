package group

import (
	"time"

	"github.com/cairnworks/cairnworks/object"
)

// interval is the expected time in seconds between two grants while the service
// is full, from the scarcest of decode slots, prefill places and links.
func (g *Group) interval(now time.Time) float64 {
	interval := g.estimate.hold / float64(max(1, allowed(g.sinks)))
	if g.cfg.Kind == object.KindModel {
		interval = max(interval, g.estimate.prefillTime/float64(max(1, allowed(g.entries))))
		// A transfer takes one link of each role.
		links := min(usableCount(g.entries), usableCount(g.sinks))
		interval = max(interval, g.estimate.transferTime/float64(max(1, links)))
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

func allowed(ups []*upstream) int {
	total := 0
	for _, u := range ups {
		if u.usable() {
			total += u.account.Allowed()
		}
	}
	return total
}

// engineShare is the part of a decode upstream that the request takes, judged by
// the first usable one.
func (g *Group) engineShare(w *waiter) float64 {
	for _, u := range g.sinks {
		if u.usable() {
			return g.shareOf(u, u.account.PiecesFor(w.PromptTokens, w.MaxTokens))
		}
	}
	return 1
}

// shareOf is the larger of the parts of slots and memory that a request holds.
func (g *Group) shareOf(u *upstream, pieces int) float64 {
	if u.spec.Slots == 0 {
		return startEngineShare
	}
	share := 1 / float64(u.spec.Slots)
	if u.spec.Pieces > 0 {
		share = max(share, float64(pieces)/float64(u.spec.Pieces))
	}
	return min(1, share)
}
