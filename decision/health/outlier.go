package health

import (
	"math"
	"slices"
)

// add records an outcome and recomputes the statistics of the window.
func (u *upstream) add(o outcome, cfg Config) {
	if len(u.outcomes) < cfg.Window {
		u.outcomes = append(u.outcomes, o)
	} else {
		u.outcomes[u.next] = o
		u.next = (u.next + 1) % cfg.Window
	}
	u.failures = 0
	slownesses := make([]float64, 0, len(u.outcomes))
	for _, o := range u.outcomes {
		if o.failed {
			u.failures++
		}
		if o.slowness > 0 {
			slownesses = append(slownesses, o.slowness)
		}
	}
	u.medianSlowness = 0
	if len(slownesses) >= cfg.MinSamples {
		u.medianSlowness = median(slownesses)
	}
}

func (u *upstream) reset() {
	u.outcomes, u.next = nil, 0
	u.medianSlowness, u.failures = 0, 0
}

// relativeSlowness is the ratio of the upstream's median slowness to that of its
// peers, 1 when either is unknown.
func (m *Monitor) relativeSlowness(u *upstream) float64 {
	peers := m.peerSlowness(u)
	if u.medianSlowness == 0 || peers == 0 {
		return 1
	}
	return u.medianSlowness / peers
}

// peerSlowness is the median of the peers' median slowness, 0 when no peer has
// enough outcomes.
func (m *Monitor) peerSlowness(u *upstream) float64 {
	var values []float64
	for _, peer := range m.peers(u) {
		if peer.medianSlowness > 0 {
			values = append(values, peer.medianSlowness)
		}
	}
	return median(values)
}

// peerFailureRate is the median failure rate of the peers, 0 when no peer has enough
// outcomes.
func (m *Monitor) peerFailureRate(u *upstream) float64 {
	var values []float64
	for _, peer := range m.peers(u) {
		if n := len(peer.outcomes); n >= m.cfg.MinSamples {
			values = append(values, float64(peer.failures)/float64(n))
		}
	}
	return median(values)
}

// peers returns the other upstreams that are neither ejected nor recovering.
func (m *Monitor) peers(u *upstream) []*upstream {
	peers := make([]*upstream, 0, len(m.upstreams))
	for _, peer := range m.upstreams {
		if peer != u && peer.state != Ejected && peer.state != Recovering {
			peers = append(peers, peer)
		}
	}
	return peers
}

// median sorts values and returns their median, 0 if there are none. For an even
// count it is the lower middle value, so that one slow or failing peer of two does
// not count as normal.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// failureThreshold is the lowest number of failures among n outcomes whose
// probability of being reached by chance, at the given failure rate, is below
// significance.
func failureThreshold(n int, rate, significance float64) int {
	if rate >= 1 {
		return n + 1
	}
	// term is the probability of exactly k failures, upperTail that of more than k.
	term := math.Pow(1-rate, float64(n))
	upperTail := 1 - term
	for k := 0; k < n; k++ {
		if upperTail < significance {
			return k + 1
		}
		term *= float64(n-k) / float64(k+1) * rate / (1 - rate)
		upperTail -= term
	}
	return n
}
