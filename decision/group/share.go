package group

// share is what one organisation holds.
type share struct {
	grants  int
	engines float64
}

func (g *Group) addShare(h *held) {
	s := g.shares[h.Organisation]
	if s == nil {
		s = &share{}
		g.shares[h.Organisation] = s
	}
	s.grants++
	s.engines += h.engineShare
}

func (g *Group) dropShare(h *held) {
	s := g.shares[h.Organisation]
	s.grants--
	s.engines -= h.engineShare
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
