// Package escrow divides each organisation's token rate between the instances so that no two of
// them spend the same token, even while the fleet is partitioned.
//
// Load pattern: hundreds of instances share an organisation's requests, so each sees one of them
// every many seconds, and a fixed share of the rate never suffices for a single long request. At
// times one organisation sends several times its rate. Meanwhile instances crash, freeze and
// lose contact with one another.
//
// Without it: instances that broadcast what they spend need a number of messages that grows with
// the square of the fleet size, receive one another's late or not at all, and fall back to
// shares of the rate that are too small to serve anything
// (TestLargeFleetServesWithinTheRate).
//
// Each instance accrues credit, an equal share of the elapsed time; a second of credit is worth
// one second of any organisation's rate. The instance transfers its credit to the home of the
// organisation, an instance that all choose by the same rule, and the home converts the credit into
// tokens in a bucket. Transferred credit is deducted from the sender, so at any moment the shares add up to
// one rate: if the two sides of a partition choose different homes, each home receives the shares
// of its side, and a home that crashes loses only the tokens that it held. Instances need not
// agree on which home is the right one, and no clocks are compared.
//
//   - Transferred credit is reported as a cumulative total for each run of the receiver, so that
//     lost, duplicated and late messages change nothing.
//   - A sender retains little credit (MaxCredit): what accrues beyond that while it can reach no
//     home is lost.
//   - A bucket accepts no more than one rate, however many instances send to it, because shares
//     add up to more than one rate while instances know too few of one another.
//   - A bucket keeps no larger fraction of the burst than its share of the rate. A bucket whose
//     senders have changed to another home does not retain a burst until they return.
//   - A home that learns that another has replaced it hands over what is left in its buckets,
//     also as a cumulative total.
//
// Credit is transferred by shard, a group of organisations, so that the size of a message does
// not depend on the number of organisations.
package escrow

import "time"

// Shards is the number of groups of organisations. It must be the same on all instances.
const Shards = 32

// ShardOf returns the shard of an organisation, given the hash of its name.
func ShardOf(hash uint64) int { return int(hash % Shards) }

// Run identifies one run of one instance.
type Run uint32

// MaxCredit is the most credit that the whole fleet retains while it cannot be transferred, each
// instance an equal share of it, and the most that a home accepts at once. It is longer than the
// interval between two reports to one hub.
const MaxCredit = 600 * time.Millisecond

// CreditSource accrues an instance's share of all rates. It is not safe for concurrent use. Times
// are readings of a clock that keeps running while the machine is suspended.
type CreditSource struct {
	updated time.Duration
	credit  [Shards]time.Duration
	// sent is the total credit transferred to each run.
	sent map[Run]*[Shards]time.Duration
}

// NewCreditSource returns the source of an instance that starts now, without any credit.
func NewCreditSource(now time.Duration) *CreditSource {
	return &CreditSource{updated: now, sent: make(map[Run]*[Shards]time.Duration)}
}

// Skip advances the time without accruing credit. It is for times when the fleet size is unknown.
func (c *CreditSource) Skip(now time.Duration) { c.updated = max(c.updated, now) }

// Accrue adds this instance's share of the elapsed time, given the number of instances.
func (c *CreditSource) Accrue(now time.Duration, instances int) {
	elapsed := now - c.updated
	if elapsed <= 0 {
		return
	}
	c.updated = now
	size := time.Duration(max(instances, 1))
	for s := range c.credit {
		c.credit[s] = min(c.credit[s]+elapsed/size, MaxCredit/size)
	}
}

// Transfer moves the credit of the given shards to a run and returns the totals transferred to
// that run so far.
func (c *CreditSource) Transfer(to Run, shards []int) map[int]time.Duration {
	totals, known := c.sent[to]
	if !known {
		totals = new([Shards]time.Duration)
		c.sent[to] = totals
	}
	out := make(map[int]time.Duration, len(shards))
	for _, s := range shards {
		totals[s] += c.credit[s]
		c.credit[s] = 0
		out[s] = totals[s]
	}
	return out
}

// Forget drops the totals of runs that have ended.
func (c *CreditSource) Forget(ended func(Run) bool) {
	for run := range c.sent {
		if ended(run) {
			delete(c.sent, run)
		}
	}
}
