// Package balance recommends moving an upstream between the prefill and decode pools of
// a service when one of the pools is the bottleneck. It only advises; the change is made
// by operators, or by an order that they have allowed.
//
// Load pattern: the request mix of a service shifts, for example from long prompts with
// short outputs to short prompts with long outputs, so that one pool is saturated while
// the other has spare capacity.
//
// Without it, callers wait for one pool while engines of the other are idle
// (TestShiftOfMix measures the work that gets done). Following the momentary bottleneck
// would be no better: an engine that changes its role serves nobody for about a minute,
// and bursts would move engines back and forth.
package balance

import (
	"math"
	"time"
)

// Role is the role of a model upstream.
type Role uint8

// Roles of model upstreams.
const (
	Prefill Role = iota
	Decode
)

// String returns the name used in orders.
func (r Role) String() string {
	if r == Decode {
		return "decode"
	}
	return "prefill"
}

// opposite returns the other role.
func (r Role) opposite() Role { return 1 - r }

// Upstream is the state of one engine of the service in a sample.
type Upstream struct {
	Name string
	Role Role
	// Utilisation is the used share of its slots or of its memory, whichever is higher, from
	// 0 to 1.
	Utilisation float64
	// Ineligible reports whether the upstream cannot change its role or is leaving.
	Ineligible bool
}

// Config holds the parameters of an Advisor.
type Config struct {
	// HighUtilisation is the utilisation from which a pool is a bottleneck,
	// MaxDonorUtilisation the highest that the other pool may have after giving up an
	// upstream. MinGain is the least by which the change must lower the higher utilisation.
	HighUtilisation, MaxDonorUtilisation, MinGain float64
	// SmoothingTime is the time constant of the moving average of the utilisation. HoldTime
	// is how long a bottleneck must last before advice is given. Cooldown is the time
	// without advice after a change of the pools.
	SmoothingTime, HoldTime, Cooldown time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		HighUtilisation: 0.85, MaxDonorUtilisation: 0.75, MinGain: 0.05,
		SmoothingTime: 30 * time.Second, HoldTime: time.Minute, Cooldown: 5 * time.Minute,
	}
}

// Advice is a recommended role change.
type Advice struct {
	Upstream string
	To       Role
	// Utilisation is the smoothed utilisation of the pool that is to grow, Predicted the
	// higher utilisation of the two pools after the change.
	Utilisation, Predicted float64
}

// Advisor watches the pools of one service. It is not safe for concurrent use.
type Advisor struct {
	cfg  Config
	last time.Time
	// pools is indexed by role.
	pools [2]pool
	// bottleneckRole is the role of the pool that has been too small since bottleneckSince.
	bottleneckRole  Role
	bottleneckSince time.Time
	cooldownUntil   time.Time
	advice          Advice
	advised         bool
}

type pool struct {
	size int
	// utilisation is the sum over all upstreams in a sample, and the smoothed mean in an
	// Advisor.
	utilisation float64
}

// New returns an Advisor that has no samples yet.
func New(cfg Config) *Advisor { return &Advisor{cfg: cfg} }

// Observe adds a sample of all upstreams of the service. Samples are expected about once a
// second.
func (a *Advisor) Observe(now time.Time, upstreams []Upstream) {
	var pools [2]pool
	for _, u := range upstreams {
		pools[u.Role].size++
		pools[u.Role].utilisation += u.Utilisation
	}
	if a.changed(pools) {
		a.startCooldown(now)
	}
	a.smooth(now, pools)
	role, predicted, ok := a.bottleneck()
	if !ok || now.Before(a.cooldownUntil) {
		a.bottleneckSince, a.advised = time.Time{}, false
		return
	}
	if a.bottleneckSince.IsZero() || role != a.bottleneckRole {
		a.bottleneckRole, a.bottleneckSince, a.advised = role, now, false
	}
	if now.Sub(a.bottleneckSince) < a.cfg.HoldTime {
		return
	}
	a.selectUpstream(upstreams, predicted)
}

// Advice returns the currently recommended change, if any.
func (a *Advisor) Advice() (Advice, bool) { return a.advice, a.advised }

// changed reports whether the sizes of the pools differ from the previous sample: an
// upstream changed its role, was added or was removed.
func (a *Advisor) changed(pools [2]pool) bool {
	return !a.last.IsZero() && (pools[0].size != a.pools[0].size || pools[1].size != a.pools[1].size)
}

// startCooldown withholds advice until the load has settled after a change. Advice based on
// the load before it would recommend a second, unnecessary change.
func (a *Advisor) startCooldown(now time.Time) {
	a.cooldownUntil = now.Add(a.cfg.Cooldown)
	a.bottleneckSince, a.advised = time.Time{}, false
}

// smooth updates the moving averages with the totals of a sample.
func (a *Advisor) smooth(now time.Time, pools [2]pool) {
	share := 1.0
	if !a.last.IsZero() {
		share = 1 - math.Exp(-now.Sub(a.last).Seconds()/a.cfg.SmoothingTime.Seconds())
	}
	a.last = now
	for role := range pools {
		mean := 0.0
		if pools[role].size > 0 {
			mean = pools[role].utilisation / float64(pools[role].size)
		}
		a.pools[role].size = pools[role].size
		a.pools[role].utilisation += share * (mean - a.pools[role].utilisation)
	}
}

// bottleneck returns the pool that should get one upstream from the other, and the higher
// utilisation of the two after the change. The bool is false if no change is worthwhile.
func (a *Advisor) bottleneck() (Role, float64, bool) {
	role := Prefill
	if a.pools[Decode].utilisation > a.pools[Prefill].utilisation {
		role = Decode
	}
	bottleneck, donor := a.pools[role], a.pools[role.opposite()]
	if bottleneck.utilisation < a.threshold(role) || bottleneck.size == 0 || donor.size < 2 {
		return role, 0, false
	}
	bottleneckAfter := bottleneck.utilisation * float64(bottleneck.size) / float64(bottleneck.size+1)
	donorAfter := donor.utilisation * float64(donor.size) / float64(donor.size-1)
	predicted := max(bottleneckAfter, donorAfter)
	return role, predicted, donorAfter <= a.cfg.MaxDonorUtilisation && predicted <= bottleneck.utilisation-a.cfg.MinGain
}

// threshold returns the utilisation from which a pool is a bottleneck. It is lower while
// advice for that pool is active (hysteresis); the advice would otherwise flap with the load
// of each second.
func (a *Advisor) threshold(role Role) float64 {
	if a.advised && a.bottleneckRole == role {
		return a.cfg.HighUtilisation - 2*a.cfg.MinGain
	}
	return a.cfg.HighUtilisation
}

// selectUpstream recommends the least utilised eligible upstream of the donor pool. An upstream
// that is already recommended stays so while it is eligible.
func (a *Advisor) selectUpstream(upstreams []Upstream, predicted float64) {
	best := -1
	for i, u := range upstreams {
		if u.Role == a.bottleneckRole || u.Ineligible {
			continue
		}
		if a.advised && u.Name == a.advice.Upstream {
			best = i
			break
		}
		if best < 0 || u.Utilisation < upstreams[best].Utilisation ||
			u.Utilisation == upstreams[best].Utilisation && u.Name < upstreams[best].Name {
			best = i
		}
	}
	a.advised = best >= 0
	if a.advised {
		a.advice = Advice{
			Upstream: upstreams[best].Name, To: a.bottleneckRole,
			Utilisation: a.pools[a.bottleneckRole].utilisation, Predicted: predicted,
		}
	}
}
