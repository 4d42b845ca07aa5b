package lease

import "time"

// driftMargin is the inverse of the margin between what a holder counts and what a
// successor waits: 1/400 covers two clocks that differ by 1/1000 each in opposite
// directions, (1+d)/(1-d) = 1.002002 for d = 0.001. Ordinary quartz clocks are within
// 1 in 10,000, and NTP slews by at most 1 in 2,000.
const driftMargin = 400

// Timing holds the periods of the protocol.
type Timing struct {
	// Lease is T: how long one proof lets a holder spend.
	Lease time.Duration
	// LeaseWait is W: how long a successor waits for T to pass on another clock.
	LeaseWait time.Duration
	// Outage is L: how long a holder may go without reading the log.
	Outage time.Duration
	// OutageWait is WL: how long a successor waits for L to pass on another clock.
	OutageWait time.Duration
	// ExtendAfter is the age of the last proof at which fence members are asked.
	ExtendAfter time.Duration
	// Resend is the least time between two rounds of Extend or Fence for a term.
	Resend time.Duration
	// AppendRetry is how long an append is given to show up in the log.
	AppendRetry time.Duration
	// Restate is how often a holder repeats its terms. It must be a small part of
	// the log's retention.
	Restate time.Duration
	// ClaimDelay is how long a fresh instance follows the log and the members before
	// its first claim.
	ClaimDelay time.Duration
	// UnknownDelay is how long a fresh instance waits before it claims a shard whose
	// open terms have expired from the log: their holders may repeat them.
	UnknownDelay time.Duration
	// MoveAfter is how long a shard's place must have been elsewhere before it is
	// taken from a live home.
	MoveAfter time.Duration
	// MoveEvery is the least time between two such moves to one instance.
	MoveEvery time.Duration
}

// DefaultTiming returns the periods used in the fleet.
//
// T is 3 s: five times the log's long poll of 0.6 s, so that a slow read does not end
// a right, and short enough that a dead home's third of a rate is back within
// seconds. L is 12 h: longer than a night without operators; the price is paid only
// where a home and a majority of its fence set end together, at new addresses,
// before the home could name another set.
func DefaultTiming() Timing {
	const lease = 3 * time.Second
	const outage = 12 * time.Hour
	return Timing{
		Lease:        lease,
		LeaseWait:    lease + lease/driftMargin,
		Outage:       outage,
		OutageWait:   outage + outage/driftMargin,
		ExtendAfter:  1500 * time.Millisecond,
		Resend:       time.Second,
		AppendRetry:  5 * time.Second,
		Restate:      5 * time.Minute,
		ClaimDelay:   time.Second,
		UnknownDelay: 10 * time.Minute,
		MoveAfter:    10 * time.Second,
		MoveEvery:    time.Second,
	}
}
