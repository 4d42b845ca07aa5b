// Package escrow divides the organisations' token rates between instances so that no two of
// them spend the same token, whoever is cut off from whom.
//
// Load pattern: hundreds of instances share an organisation's requests, so that each sees one
// of it in many seconds, and its part of the rate never pays for a single long request. One
// organisation at times sends several times its rate. Instances die, freeze and lose one
// another meanwhile.
//
// Without it: instances that tell all others what they spend need messages that grow with the
// fleet's square, hear one another late or not at all, and fall back to parts of the rate that
// are too small to serve anything (TestLargeFleetServesWithinTheRate).
//
// Each instance owns an equal part of the time in which every rate flows. It hands its part on
// to the home of the organisation, one instance that all choose by the same rule, and the home
// turns the time that it was given into tokens in a bucket. What was handed on is gone for the
// giver, so that the parts add up to one rate at any moment: homes that two sides of a cut
// choose differently share it as the sides do, and a home that dies takes with it what it held
// and no more. Nobody needs to know which home is the right one, and no clocks are compared.
//
//   - Handed on time is told as a total for each receiver's run; lost, repeated and late
//     messages change nothing.
//   - A giver holds little (Hold): what flowed while it reached nobody is lost.
//   - A bucket takes in no more than one rate, however many give, since parts add up to more
//     while instances know too few of one another.
//   - A bucket holds no more of the burst than the part of the rate that flows into it. One
//     that others have turned away from does not keep a burst for the time when they return.
//   - A home that knows that another has taken its place hands over what it has left, as a
//     total as well.
//
// Organisations are gathered in shards, by which time is handed on: the size of a message does
// not depend on how many there are.
package escrow

import "time"

// Shards is the number of groups of organisations. All instances must use the same.
const Shards = 32

// ShardOf is the shard of an organisation by the hash of its name.
func ShardOf(hash uint64) int { return int(hash % Shards) }

// Run identifies one run of one instance.
type Run uint32

// MaxCredit is the most time that an instance keeps which it could not hand on, and the most that a
// home takes in at once. It is longer than the time between two reports to one hub.
const MaxCredit = 600 * time.Millisecond

// CreditSource is an instance's part of all rates. It is not safe for concurrent use. Times are of a
// clock that counts through suspensions.
type CreditSource struct {
	at   time.Duration
	held [Shards]time.Duration
	// given is the total that was handed to each run.
	given map[Run]*[Shards]time.Duration
}

// NewCreditSource returns the part of an instance that starts now. It holds nothing.
func NewCreditSource(now time.Duration) *CreditSource {
	return &CreditSource{at: now, given: make(map[Run]*[Shards]time.Duration)}
}

// Skip lets time pass in which nothing flows here, since the size of the fleet is not known.
func (g *CreditSource) Skip(now time.Duration) { g.at = max(g.at, now) }

// Accrue adds this instance's part of the time that has passed in a fleet of a size.
func (g *CreditSource) Accrue(now time.Duration, instances int) {
	elapsed := now - g.at
	if elapsed <= 0 {
		return
	}
	g.at = now
	size := time.Duration(max(instances, 1))
	for s := range g.held {
		g.held[s] = min(g.held[s]+elapsed/size, MaxCredit/size)
	}
}

// Transfer hands what is held of some shards to a run and returns the totals handed to it.
func (g *CreditSource) Transfer(to Run, shards []int) map[int]time.Duration {
	totals, known := g.given[to]
	if !known {
		totals = new([Shards]time.Duration)
		g.given[to] = totals
	}
	out := make(map[int]time.Duration, len(shards))
	for _, s := range shards {
		totals[s] += g.held[s]
		g.held[s] = 0
		out[s] = totals[s]
	}
	return out
}

// Forget drops the totals of runs that have ended.
func (g *CreditSource) Forget(ended func(Run) bool) {
	for run := range g.given {
		if ended(run) {
			delete(g.given, run)
		}
	}
}
