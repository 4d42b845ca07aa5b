// Package slack divides an amount per sliding window among the instances of a fleet, which use their shares without
// asking one another: the retries that a service takes in addition to a ratio of its requests, while most instances
// end at once, others take their place, and some are cut off from the list of instances.
//
// The shares of all runs together never exceed the amount in any window. Each divides it by the largest number of
// instances that it knew within a window, and uses nothing unless it has known the list without a gap for as long:
// whoever uses a share in the same window was then in every list that the others have used.
package slack

import "time"

// Config holds the parameters of a Share.
type Config struct {
	// Window is the window of the amount.
	Window time.Duration
	// MaxAge is the age up to which a list of instances is used. It must not exceed the time after which an instance
	// that no longer renews its entry disappears from the list.
	MaxAge time.Duration
}

// Share is one run's share. It is not safe for concurrent use. Times are of a clock that includes suspensions.
type Share struct {
	cfg Config
	// known is set once the list of instances has been observed; asOf is the time as of which it was known last.
	known bool
	asOf  time.Duration
	// usableFrom is the time from which the share may be used.
	usableFrom time.Duration
	// sizes are the numbers of instances known since a window ago, each larger than those after it.
	sizes []size
}

type size struct {
	instances int
	// until is the last time at which this was the size.
	until time.Duration
}

// New returns the share of a run that starts now. firstStart is set if no run has used a share before.
func New(cfg Config, firstStart bool) *Share {
	s := &Share{cfg: cfg}
	if !firstStart {
		s.usableFrom = never
	}
	return s
}

// never is the start of a share of which the list of instances is not known yet.
const never = time.Duration(1<<63 - 1)

// span is the time over which the list must be known.
func (s *Share) span() time.Duration { return s.cfg.Window + s.cfg.MaxAge }

// Observe records the number of instances, this one included, as of a time. This run must be in the list by then. It
// must be called more often than MaxAge: what happened in longer gaps counts as unknown.
func (s *Share) Observe(now, asOf time.Duration, instances int) {
	if instances <= 0 || now-asOf > s.cfg.MaxAge {
		return
	}
	gap := s.known && asOf-s.asOf > s.cfg.MaxAge
	if gap || !s.known && s.usableFrom == never {
		s.usableFrom = now + s.span()
	}
	s.known, s.asOf = true, max(s.asOf, asOf)
	if last := len(s.sizes) - 1; last >= 0 {
		s.sizes[last].until = now
	}
	for len(s.sizes) > 0 && s.sizes[len(s.sizes)-1].instances <= instances {
		s.sizes = s.sizes[:len(s.sizes)-1]
	}
	s.sizes = append(s.sizes, size{instances, now})
}

// Of returns this run's share of the amount, or 0 if it may use none.
func (s *Share) Of(now time.Duration, amount float64) float64 {
	if !s.known || now-s.asOf > s.cfg.MaxAge || now < s.usableFrom {
		return 0
	}
	for len(s.sizes) > 1 && s.sizes[0].until < now-s.span() {
		s.sizes = s.sizes[1:]
	}
	return amount / float64(s.sizes[0].instances)
}
