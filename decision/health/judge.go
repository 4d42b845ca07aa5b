package health

import (
	"math"
	"slices"
)

// add takes an outcome in and renews what is derived from the window.
func (u *upstream) add(o outcome, cfg Config) {
	if len(u.outcomes) < cfg.Window {
		u.outcomes = append(u.outcomes, o)
	} else {
		u.outcomes[u.next] = o
		u.next = (u.next + 1) % cfg.Window
	}
	u.failed = 0
	known := make([]float64, 0, len(u.outcomes))
	for _, o := range u.outcomes {
		if o.failed {
			u.failed++
		}
		if o.slowness > 0 {
			known = append(known, o.slowness)
		}
	}
	u.median = 0
	if len(known) >= cfg.MinSamples {
		u.median = median(known)
	}
}

func (u *upstream) forget() {
	u.outcomes, u.next = nil, 0
	u.median, u.failed = 0, 0
}

// slowness is the upstream's median slowness over its peers', 1 when either is
// unknown.
func (m *Monitor) slowness(u *upstream) float64 {
	peers := m.peerSlowness(u)
	if u.median == 0 || peers == 0 {
		return 1
	}
	return u.median / peers
}

// peerSlowness is the median over the other upstreams that are not out, 0 when
// none has enough outcomes.
func (m *Monitor) peerSlowness(u *upstream) float64 {
	var values []float64
	for _, peer := range m.peers(u) {
		if peer.median > 0 {
			values = append(values, peer.median)
		}
	}
	return median(values)
}

// peerRate is the median failure rate of the other upstreams that are not out.
func (m *Monitor) peerRate(u *upstream) float64 {
	var values []float64
	for _, peer := range m.peers(u) {
		if n := len(peer.outcomes); n >= m.cfg.MinSamples {
			values = append(values, float64(peer.failed)/float64(n))
		}
	}
	return median(values)
}

func (m *Monitor) peers(u *upstream) []*upstream {
	peers := make([]*upstream, 0, len(m.upstreams))
	for _, peer := range m.upstreams {
		if peer != u && peer.state != Out && peer.state != Returning {
			peers = append(peers, peer)
		}
	}
	return peers
}

// median of values, 0 of none. Of an even number it is the lower one, so that one
// ill peer of two does not pass for normal.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// failureLimit is the least number of failures among n outcomes that chance brings
// with a probability below tail at a failure rate.
func failureLimit(n int, rate, tail float64) int {
	if rate >= 1 {
		return n + 1
	}
	// above is the probability of more than k failures.
	term := math.Pow(1-rate, float64(n))
	above := 1 - term
	for k := 0; k < n; k++ {
		if above < tail {
			return k + 1
		}
		term *= float64(n-k) / float64(k+1) * rate / (1 - rate)
		above -= term
	}
	return n
}
