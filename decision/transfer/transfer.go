// Package transfer books KV transfers on links of limited rate.
//
// Load pattern: many prefills end close together and their results leave through
// the same link or enter the same decode upstream. Without bookings the transfers
// share the rate, all of them slow down, and results expire (they live under a
// second) after their prefill was paid for. One notices by transfer failures that
// rise with load while every engine is healthy.
//
// Each link has a calendar of bookings. A transfer is booked before its prefill
// starts, at the first time after the prefill's expected end when both links are
// free; a placement whose result would wait too long is not made.
package transfer

import (
	"slices"
	"time"
)

// Link is the calendar of one upstream's link. The zero value is a link of
// unlimited rate without bookings.
type Link struct {
	// BytesPerSecond is the rate; 0 means unlimited.
	BytesPerSecond int64
	bookings       []booking
}

type booking struct {
	grant      uint64
	start, end time.Time
}

// Duration is the time that bytes take on the slower of two links, which is the
// length of their booking.
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

// Earliest is the first time from after on when both links are free for length.
func Earliest(a, b *Link, after time.Time, length time.Duration) time.Time {
	if length == 0 {
		return after
	}
	for {
		start := b.free(a.free(after, length), length)
		if start.Equal(after) {
			return start
		}
		// Both calendars are finite, so that the start moves past their last
		// bookings at the latest.
		after = start
	}
}

// free is the first time from after on when the link is free for length.
func (l *Link) free(after time.Time, length time.Duration) time.Time {
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

// FreeSince is the end of the last booking before start on either link; zero
// without one. From then on a transfer booked for start may use the links: a
// prefill that ends sooner than expected need not wait, and its result expire,
// while they are idle.
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

// Book enters a grant's transfer. The time must come from Earliest.
func (l *Link) Book(grant uint64, start time.Time, length time.Duration) {
	if l.BytesPerSecond == 0 || length == 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(l.bookings, start, func(b booking, t time.Time) int {
		return b.start.Compare(t)
	})
	l.bookings = slices.Insert(l.bookings, at, booking{grant: grant, start: start, end: start.Add(length)})
}

// Cancel takes a grant's booking out. Unknown grants are ignored.
func (l *Link) Cancel(grant uint64) {
	l.bookings = slices.DeleteFunc(l.bookings, func(b booking) bool { return b.grant == grant })
}

// Expire drops bookings that have ended.
func (l *Link) Expire(now time.Time) {
	keep := 0
	for keep < len(l.bookings) && !l.bookings[keep].end.After(now) {
		keep++
	}
	l.bookings = slices.Delete(l.bookings, 0, keep)
}

// Bookings is the number of transfers booked.
func (l *Link) Bookings() int { return len(l.bookings) }
