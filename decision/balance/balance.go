// Package balance names the upstream that should change between prefill and
// decode when one of the two pools limits a service. It only advises; operators,
// or an order they have allowed, carry it out.
//
// Load pattern: the mix of a service shifts, from long prompts with short answers
// to the opposite, so that one pool is full while the other has room.
//
// Without it: callers wait for one pool beside idle engines of the other
// (TestShiftOfMix measures what callers receive). Following each moment's
// bottleneck is no better: an engine that changes role serves nobody for about a
// minute, and bursts would move engines to and fro.
package balance

import (
	"math"
	"time"
)

// Role of a model upstream.
type Role uint8

// Roles.
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

func (r Role) other() Role { return 1 - r }

// Upstream is one engine of the service at a sample.
type Upstream struct {
	Name string
	Role Role
	// Utilisation is the used share of its slots or memory, whichever is higher, 0 to 1.
	Utilisation float64
	// Ineligible upstreams cannot change role or are leaving.
	Ineligible bool
}

// Config holds the figures of the package.
type Config struct {
	HighUtilisation, MaxDonorUtilisation, MinGain float64
	SmoothingTime, HoldTime, Cooldown             time.Duration
}

// DefaultConfig returns the default figures.
func DefaultConfig() Config {
	return Config{
		HighUtilisation: 0.85, MaxDonorUtilisation: 0.75, MinGain: 0.05,
		SmoothingTime: 30 * time.Second, HoldTime: time.Minute, Cooldown: 5 * time.Minute,
	}
}

// Advice is a proposed change of role.
type Advice struct {
	Upstream string
	To       Role
	// Utilisation is the smoothed load of the pool that is to grow, Predicted the higher
	// load of both pools after the change.
	Utilisation, Predicted float64
}

// Advisor watches one service. It is not safe for concurrent use.
type Advisor struct {
	cfg  Config
	last time.Time
	// pools by role.
	pools [2]pool
	// wanting is the role that has been too small since since.
	wanting Role
	since   time.Time
	quiet   time.Time
	advice  Advice
	given   bool
}

type pool struct {
	size int
	busy float64
}

// New returns an advisor that has seen nothing.
func New(cfg Config) *Advisor { return &Advisor{cfg: cfg} }

// Observe takes in a sample of all upstreams of the service, a second or so after
// the last.
func (a *Advisor) Observe(now time.Time, upstreams []Upstream) {
	var pools [2]pool
	for _, u := range upstreams {
		pools[u.Role].size++
		pools[u.Role].busy += u.Utilisation
	}
	if a.changed(pools) {
		a.startOver(now)
	}
	a.smooth(now, pools)
	role, predicted, ok := a.bottleneck()
	if !ok || now.Before(a.quiet) {
		a.since, a.given = time.Time{}, false
		return
	}
	if a.since.IsZero() || role != a.wanting {
		a.wanting, a.since, a.given = role, now, false
	}
	if now.Sub(a.since) < a.cfg.HoldTime {
		return
	}
	a.name(upstreams, predicted)
}

// Advice returns the change that is advised now, if any.
func (a *Advisor) Advice() (Advice, bool) { return a.advice, a.given }

// changed reports whether the pools' sizes differ from the last sample's: a change
// was carried out, or an upstream came or went.
func (a *Advisor) changed(pools [2]pool) bool {
	return !a.last.IsZero() && (pools[0].size != a.pools[0].size || pools[1].size != a.pools[1].size)
}

// startOver waits for the load to settle. Advice on the load of before the change
// would ask for a second one that is not needed.
func (a *Advisor) startOver(now time.Time) {
	a.quiet = now.Add(a.cfg.Cooldown)
	a.since, a.given = time.Time{}, false
}

func (a *Advisor) smooth(now time.Time, pools [2]pool) {
	share := 1.0
	if !a.last.IsZero() {
		share = 1 - math.Exp(-now.Sub(a.last).Seconds()/a.cfg.SmoothingTime.Seconds())
	}
	a.last = now
	for role := range pools {
		mean := 0.0
		if pools[role].size > 0 {
			mean = pools[role].busy / float64(pools[role].size)
		}
		a.pools[role].size = pools[role].size
		a.pools[role].busy += share * (mean - a.pools[role].busy)
	}
}

// bottleneck names the pool that should grow by one from the other.
func (a *Advisor) bottleneck() (Role, float64, bool) {
	role := Prefill
	if a.pools[Decode].busy > a.pools[Prefill].busy {
		role = Decode
	}
	small, giver := a.pools[role], a.pools[role.other()]
	if small.busy < a.high(role) || small.size == 0 || giver.size < 2 {
		return role, 0, false
	}
	relieved := small.busy * float64(small.size) / float64(small.size+1)
	loaded := giver.busy * float64(giver.size) / float64(giver.size-1)
	predicted := max(relieved, loaded)
	return role, predicted, loaded <= a.cfg.MaxDonorUtilisation && predicted <= small.busy-a.cfg.MinGain
}

// high is the load from which a pool is too small. Advice that stands is withdrawn
// only well below it, or it would come and go with each second's load.
func (a *Advisor) high(role Role) float64 {
	if a.given && a.wanting == role {
		return a.cfg.HighUtilisation - 2*a.cfg.MinGain
	}
	return a.cfg.HighUtilisation
}

// name picks the least busy upstream of the giving pool and keeps to it while it
// remains possible.
func (a *Advisor) name(upstreams []Upstream, predicted float64) {
	best := -1
	for i, u := range upstreams {
		if u.Role == a.wanting || u.Ineligible {
			continue
		}
		if a.given && u.Name == a.advice.Upstream {
			best = i
			break
		}
		if best < 0 || u.Utilisation < upstreams[best].Utilisation ||
			u.Utilisation == upstreams[best].Utilisation && u.Name < upstreams[best].Name {
			best = i
		}
	}
	a.given = best >= 0
	if a.given {
		a.advice = Advice{
			Upstream: upstreams[best].Name, To: a.wanting,
			Utilisation: a.pools[a.wanting].busy, Predicted: predicted,
		}
	}
}
