package waiting

import (
	"slices"
	"time"
)

const (
	// maxBookings limits the memory for bookings of one queue to a few hundred KB.
	maxBookings = 4096
	// bookingEarly and bookingGrace are how much earlier and later than told a caller may return. The
	// round trip, the wait for the quota and the rounding of the time take some tens of ms.
	bookingEarly = 50 * time.Millisecond
	bookingGrace = 500 * time.Millisecond
	// returnShare is the part of the remaining time within which callers return, and returnMargin the
	// time of the refusal's way to the caller.
	returnShare  = 1.0 / 3
	returnMargin = 50 * time.Millisecond
	// minReturn is the shortest retry time, a few dispatches and round trips.
	minReturn = 50 * time.Millisecond
	// minSpareShare is the part of the placement rate that is expected to be spare at least, so that
	// retry times stay finite when the demand outside of overload is about the capacity.
	minSpareShare = 0.1
	// minOverload and maxOverload limit how long an overload is expected to last. With more than two
	// seconds hardly any caller could return within a third of its time, and a repetition waits some
	// seconds itself.
	minOverload = time.Second
	maxOverload = 2 * time.Second
)

// booking is capacity reserved for the repetition of a refused request.
type booking struct {
	key          uint64
	at           time.Time
	firstArrived time.Time
	tokens       float64
	level        int
}

// bookings holds the reservations in the order of their times.
type bookings struct{ list []booking }

// expire removes the bookings that were not used.
func (b *bookings) expire(now time.Time) {
	expired := 0
	for expired < len(b.list) && now.Sub(b.list[expired].at) > bookingGrace {
		expired++
	}
	b.list = slices.Delete(b.list, 0, expired)
}

// add inserts a booking, and reports false if there are too many.
func (b *bookings) add(n booking) bool {
	if len(b.list) >= maxBookings {
		return false
	}
	at, _ := slices.BinarySearchFunc(b.list, n.at, func(o booking, at time.Time) int {
		if o.at.After(at) {
			return 1
		}
		return -1
	})
	b.list = slices.Insert(b.list, at, n)
	return true
}

// take removes and returns the booking of a repetition that arrived as told. A request that has the key
// of a booking and arrives at another time is a new one with the same content.
func (b *bookings) take(key uint64, arrived time.Time) (booking, bool) {
	if key == 0 {
		return booking{}, false
	}
	for at, n := range b.list {
		if early := n.at.Sub(arrived); n.key == key && early <= bookingEarly && -early <= bookingGrace {
			b.list = slices.Delete(b.list, at, at+1)
			return n, true
		}
	}
	return booking{}, false
}

// tokens returns the reserved tokens of the same or a lower priority number.
func (b *bookings) tokens(level int) float64 {
	sum := 0.0
	for _, n := range b.list {
		if n.level <= level {
			sum += n.tokens
		}
	}
	return sum
}
