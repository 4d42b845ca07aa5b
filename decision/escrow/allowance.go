package escrow

import "time"

const (
	// uncheckedRatio is the fraction of the burst up to which a request is small. A small request may be
	// charged without asking the home.
	uncheckedRatio = 0.02
	// uncheckedRate is the multiple of the rate that all instances together may charge without asking. A
	// fleet whose requests arrive evenly and within the quota never needs to ask.
	uncheckedRate = 1.2
	// uncheckedBurst is the fraction of the burst that they may charge at once.
	uncheckedBurst = 0.25
	// allowanceIdleTime is the age from which an unused allowance is dropped.
	allowanceIdleTime = time.Minute
)

// IsSmall reports whether a request may be charged without asking.
func (l Limit) IsSmall(tokens int64) bool { return float64(tokens) <= uncheckedRatio*l.Burst }

// Allowances bounds what one instance charges to homes without asking: an equal share of a little more
// than each rate. Charges arrive at the home with a delay, and it takes as long until the instance learns
// that a bucket is empty. It is not safe for concurrent use.
type Allowances struct{ byOrganisation map[uint64]*allowance }

type allowance struct {
	level   float64
	updated time.Duration
}

// NewAllowances returns allowances none of which has been used.
func NewAllowances() *Allowances {
	return &Allowances{byOrganisation: make(map[uint64]*allowance)}
}

// Take uses the allowance for a request and reports whether it suffices. It always holds one request that was
// not used lately: in a large fleet, an equal share of the burst is less than that.
func (a *Allowances) Take(now time.Duration, org uint64, limit Limit, tokens int64, instances int) bool {
	size := float64(max(instances, 1))
	need := float64(tokens)
	most := max(uncheckedBurst*limit.Burst/size, need)
	own, known := a.byOrganisation[org]
	if !known {
		own = &allowance{level: most, updated: now}
		a.byOrganisation[org] = own
	}
	own.level = min(own.level+max(now-own.updated, 0).Seconds()*uncheckedRate*limit.Rate/size, most)
	own.updated = now
	if own.level < need {
		return false
	}
	own.level -= need
	return true
}

// Sweep drops allowances that were not used lately.
func (a *Allowances) Sweep(now time.Duration) {
	for org, own := range a.byOrganisation {
		if now-own.updated > allowanceIdleTime {
			delete(a.byOrganisation, org)
		}
	}
}
