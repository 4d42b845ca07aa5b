// Package transfer schedules KV transfers on links of limited rate.
//
// Load pattern: many prefills finish close together, and their results leave through the
// same link or enter the same decode upstream. Without bookings the transfers share the
// rate, all of them slow down, and results expire (they are kept for less than a second),
// which wastes their prefills. The symptom is transfer failures that rise with load
// while every engine is healthy.
//
// Each link has a schedule of bookings. A transfer is booked before its prefill starts, at
// the first time after the expected end of the prefill when both links are free. A
// placement whose result would wait too long is not made.
package transfer

import (
	"slices"
	"time"
)

// Link is the schedule of one upstream's link. The zero value is a link of unlimited
// rate without bookings.
type Link struct {
	// BytesPerSecond is the rate of the link; 0 means unlimited.
	BytesPerSecond int64
	bookings       []booking
}

type booking struct {
	grant      uint64
	start, end time.Time
}

// Duration returns the time that a transfer takes on the slower of two links, which is
// the length of its booking.
func Duration(a, b *Link, bytes int64) time.Duration {
	rate := a.BytesPerSecond
	if rate == 0 || (b.BytesPerSecond > 0 && b.BytesPerSecond < rate) {
		rate = b.BytesPerSecond
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// Earliest returns the first time, not before after, from which both links are free for
// length.
func Earliest(a, b *Link, after time.Time, length time.Duration) time.Time {
	if length == 0 {
		return after
	}
	for {
		start := b.earliest(a.earliest(after, length), length)
		if start.Equal(after) {
			return start
		}
		// This terminates because both schedules are finite: at the latest the start
		// moves past their last bookings.
		after = start
	}
}

// earliest returns the first time, not before after, from which the link is free for
// length.
func (l *Link) earliest(after time.Time, length time.Duration) time.Time {
	if l.BytesPerSecond == 0 {
		return after
	}
	for _, b := range l.bookings {
		if !after.Add(length).After(b.start) {
			return after
		}
		if after.Before(b.end) {
			after = b.end
		}
	}
	return after
}

// FreeSince returns the end of the last booking before start on either link, or zero
// without one. From then on a transfer booked for start may use the links, so that the
// result of a prefill that ends earlier than expected does not wait and expire while
// they are idle.
func FreeSince(a, b *Link, start time.Time) time.Time {
	since := a.freeSince(start)
	if other := b.freeSince(start); other.After(since) {
		return other
	}
	return since
}

func (l *Link) freeSince(start time.Time) time.Time {
	var since time.Time
	for _, b := range l.bookings {
		if !b.end.After(start) && b.end.After(since) {
			since = b.end
		}
	}
	return since
}

// Book adds the transfer of a grant. start must have been returned by Earliest.
func (l *Link) Book(grant uint64, start time.Time, length time.Duration) {
	if l.BytesPerSecond == 0 || length == 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(l.bookings, start, func(b booking, t time.Time) int {
		return b.start.Compare(t)
	})
	l.bookings = slices.Insert(l.bookings, at, booking{grant: grant, start: start, end: start.Add(length)})
}

// Cancel removes the booking of a grant. Unknown grants are ignored.
func (l *Link) Cancel(grant uint64) {
	l.bookings = slices.DeleteFunc(l.bookings, func(b booking) bool { return b.grant == grant })
}

// Expire removes the bookings that have ended.
func (l *Link) Expire(now time.Time) {
	keep := 0
	for keep < len(l.bookings) && !l.bookings[keep].end.After(now) {
		keep++
	}
	l.bookings = slices.Delete(l.bookings, 0, keep)
}

// Bookings returns the number of booked transfers.
func (l *Link) Bookings() int { return len(l.bookings) }
