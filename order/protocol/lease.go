package protocol

import "time"

// MaxLease bounds the lease of a claim. It is also the longest time for which a failed
// holder can block an upstream that does not check fencing tokens.
const MaxLease = 30 * time.Minute

// clockDriftPercent bounds the difference in rate between the clocks of two instances.
// Ordinary quartz clocks drift by less than 0.01%.
const clockDriftPercent = 1

// maxDeliveryDelay bounds how long after the end of the lease an order that was sent
// within it may still reach the upstream.
const maxDeliveryDelay = 2 * time.Second

// Margin returns the additional wait after a lease before its holder is assumed to have
// stopped sending. It covers clock drift and orders in transit.
func Margin(lease time.Duration) time.Duration {
	return lease*clockDriftPercent/100 + maxDeliveryDelay
}

// Lease is the period within which a holder may send its order.
type Lease struct {
	start    time.Time
	duration time.Duration
}

// NewLease returns a lease that starts at a time on the holder's own clock. The clock
// must have been read before the claim was appended.
func NewLease(start time.Time, duration time.Duration) Lease {
	return Lease{start: start, duration: duration}
}

// End returns the time by which the holder must stop sending.
func (l Lease) End() time.Time { return l.start.Add(l.duration) }

// MaySend reports whether the order may be sent at now on the holder's clock. It takes
// the larger of the monotonic and the wall clock time elapsed, because the monotonic
// clock stops while the machine is suspended.
func (l Lease) MaySend(now time.Time) bool {
	elapsed := max(now.Sub(l.start), now.Round(0).Sub(l.start.Round(0)))
	return elapsed < l.duration
}
