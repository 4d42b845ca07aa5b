// Package overload decides which new connections an instance refuses while it has more work than processor
// time.
//
// Load pattern: a load balancer sends most new connections of a data centre or a region to one instance,
// which gets ten to sixty times its usual requests and has the processor for a part of them.
//
// Without it: the instance reads all requests. Its checks and connections to upstreams time out, so that it
// takes these for unreachable, and most of what it has read is refused or late. A connection that is closed
// before its request has been read costs little, and its caller may send any request again at once, to
// another instance.
//
// The measure is the time that goroutines wait for the processor. While it is above the target, the share of
// new connections that are refused grows in each interval; below, it shrinks.
package overload

import "time"

// Config holds the parameters of a Gate.
type Config struct {
	// Target is the scheduling delay above which an interval counts as overloaded.
	Target time.Duration
	// Increase and Decrease are the changes of the refused share per interval with and without overload.
	Increase, Decrease float64
	// MaxShare is the highest share that is refused. The rest shows whether the overload has ended.
	MaxShare float64
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{Target: 50 * time.Millisecond, Increase: 0.2, Decrease: 0.05, MaxShare: 0.8}
}

// Gate decides which new connections are refused. It is not safe for concurrent use.
type Gate struct {
	cfg   Config
	share float64
	// due is the fraction of a connection that is due to be refused.
	due float64
}

// NewGate returns a gate that refuses nothing.
func NewGate(cfg Config) *Gate { return &Gate{cfg: cfg} }

// Observe updates the refused share after an interval, in which goroutines waited for the processor as long as
// delay, and returns the share.
func (g *Gate) Observe(delay time.Duration) float64 {
	if delay > g.cfg.Target {
		g.share = min(g.share+g.cfg.Increase, g.cfg.MaxShare)
	} else {
		g.share = max(g.share-g.cfg.Decrease, 0)
	}
	return g.share
}

// Refuse decides whether the next connection is refused. Refused connections are spread evenly among all.
func (g *Gate) Refuse() bool {
	if g.share == 0 {
		g.due = 0
		return false
	}
	g.due += g.share
	if g.due < 1 {
		return false
	}
	g.due--
	return true
}
