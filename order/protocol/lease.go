package protocol

import "time"

// MaxLease bounds the lease of a claim. It is also the longest that one dead holder
// can keep others from an upstream that does not check tokens.
const MaxLease = 30 * time.Minute

// clockDrift is how much faster one instance's clock may run than another's, in
// hundredths; ordinary quartz drifts by less than one in ten thousand.
const clockDrift = 1

// travelTime is how long an order that was sent within the lease may still be on its
// way to the upstream.
const travelTime = 2 * time.Second

// Margin is what is waited beyond a lease before its holder counts as silent.
func Margin(lease time.Duration) time.Duration {
	return lease*clockDrift/100 + travelTime
}

// Lease is the time in which a holder may send its order.
type Lease struct {
	begun time.Time
	lease time.Duration
}

// NewLease returns a lease that began at a time on the holder's own clock, which must
// have been read before the claim was appended.
func NewLease(begun time.Time, lease time.Duration) Lease {
	return Lease{begun: begun, lease: lease}
}

// End is when the holder must have stopped sending.
func (l Lease) End() time.Time { return l.begun.Add(l.lease) }

// MaySend reports whether the order may be sent at a time of the holder's clock. The
// wall clock counts as well as the monotonic one, which stands still while a machine
// is suspended.
func (l Lease) MaySend(now time.Time) bool {
	elapsed := max(now.Sub(l.begun), now.Round(0).Sub(l.begun.Round(0)))
	return elapsed < l.lease
}
