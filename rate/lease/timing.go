package lease

import "time"

// driftMarginInverse is the inverse of the margin between a holder's period and the time
// that a successor waits. A margin of 1/400 covers two clocks that drift by 1/1000 in
// opposite directions: (1+d)/(1-d) = 1.002002 for d = 0.001. Ordinary quartz clocks are
// accurate to 1 in 10,000, and NTP slews by at most 1 in 2,000.
const driftMarginInverse = 400

// Timing holds the periods of the protocol.
type Timing struct {
	// Lease is T: how long a holder may spend after one proof.
	Lease time.Duration
	// LeaseWait is W: how long a successor waits until T has passed on any clock.
	LeaseWait time.Duration
	// Outage is L: how long a holder may spend without reading the log.
	Outage time.Duration
	// OutageWait is WL: how long a successor waits until L has passed on any clock.
	OutageWait time.Duration
	// ExtendAfter is the age of the last full read of the log at which the holder sends
	// Extend to its fence members.
	ExtendAfter time.Duration
	// Resend is the minimum time between two rounds of Extend or Fence for a term.
	Resend time.Duration
	// AppendRetry is how long to wait for an append to appear in the log before it is
	// repeated.
	AppendRetry time.Duration
	// Restate is how often a holder repeats its terms in the log. It must be a small
	// fraction of the log's retention.
	Restate time.Duration
	// ClaimDelay is how long a new instance follows the log and the membership before
	// its first claim.
	ClaimDelay time.Duration
	// UnknownDelay is how long a new instance waits before it claims a shard whose
	// open terms may have expired from the log. Their holders repeat them meanwhile.
	UnknownDelay time.Duration
	// MoveAfter is how long a shard must have been assigned to another instance before
	// that instance takes it from a live home.
	MoveAfter time.Duration
	// MoveEvery is the minimum time between two such moves to one instance.
	MoveEvery time.Duration
}

// DefaultTiming returns the timing for production.
//
// T is 3 s: five times the log's long poll of 0.6 s, so that one slow read does not stop
// a holder from spending, and short enough that the third of a rate held by a home that
// died is available again within seconds. L is 12 h, longer than a night without
// operators. Its cost is a long wait, which arises only if a home and a majority of its
// fence set end together and restart at new addresses before the home could choose
// another fence set.
func DefaultTiming() Timing {
	const lease = 3 * time.Second
	const outage = 12 * time.Hour
	return Timing{
		Lease:        lease,
		LeaseWait:    lease + lease/driftMarginInverse,
		Outage:       outage,
		OutageWait:   outage + outage/driftMarginInverse,
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
