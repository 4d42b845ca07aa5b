package group

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// share is what one organisation holds.
type share struct {
	grants  int
	engines float64
	// interactive is the part of engines for interactive requests.
	interactive float64
}

func (g *Group) addShare(h *held) {
	s := g.shares[h.Organisation]
	if s == nil {
		s = &share{}
		g.shares[h.Organisation] = s
	}
	s.grants++
	s.engines += h.engineShare
	g.engines += h.engineShare
	if h.class == request.Interactive {
		s.interactive += h.engineShare
	}
}

func (g *Group) dropShare(h *held) {
	s := g.shares[h.Organisation]
	s.grants--
	s.engines -= h.engineShare
	g.engines -= h.engineShare
	if h.class == request.Interactive {
		s.interactive -= h.engineShare
	}
	if s.grants == 0 {
		delete(g.shares, h.Organisation)
	}
}

// mayClaim reports whether memory may be gathered for the request: its
// organisation must stay within an equal share of the engines. Requests that last
// a minute hold what they once got; an organisation that sends many of them would
// otherwise gather all memory as it comes free, and the short requests of others
// would be refused although those others use less than their share.
func (g *Group) mayClaim(w *waiter) bool {
	held := 0.0
	organisations := len(g.shares)
	if s := g.shares[w.Organisation]; s != nil {
		held = s.engines
	} else {
		organisations++
	}
	return held+g.engineShare(w) <= float64(usableCount(g.sinks))/float64(organisations)
}

// fairWait is how long a deferrable request waits when its organisation gets an
// equal share of the engines in use: what queues before it in its organisation, at
// the part of the share that its interactive requests leave.
func (g *Group) fairWait(w *waiter) time.Duration {
	own := 0.0
	organisations := len(g.shares)
	if s := g.shares[w.Organisation]; s != nil {
		own = s.interactive
	} else {
		organisations++
	}
	rate := g.engines/float64(organisations) - own
	if rate <= 0 {
		return forever
	}
	ahead := g.queue.OrganisationCost(request.Deferrable, w.Organisation) + w.cost
	return min(forever, seconds(ahead/rate))
}

// forever stands for a wait without end in estimates.
const forever = time.Hour
