package escrow

import "time"

// windowSlots is into how many slots the window is divided by which spends are remembered.
const windowSlots = 64

// spends are what was taken of a bucket within its window, by slots of time. A slot is kept
// until all of it is older than the window.
type spends struct {
	// newest is the number of the newest slot since the clock's zero.
	newest int64
	tokens [windowSlots + 1]float64
}

// note remembers tokens that were taken of a bucket, or given back if negative.
func (b *bucket) note(now time.Duration, tokens float64) {
	if b.limit.Window <= 0 {
		return
	}
	if b.spent == nil {
		b.spent = &spends{}
	}
	b.spent.add(now, b.limit.Window, tokens)
}

// times is a part of a limit.
func (l Limit) times(part float64) Limit {
	l.Rate *= part
	l.Burst *= part
	return l
}

// note remembers how much less than the whole rate flowed in within a window.
func (in *intake) note(now, elapsed, window time.Duration) {
	if in.part() < 1 {
		in.parted, in.least = now, 1/evenness
		return
	}
	// From the least that counts as the whole it comes back in a window.
	back := 1.0
	if window > 0 {
		back = (1 - 1/evenness) * elapsed.Seconds() / window.Seconds()
	}
	in.least = min(in.inflow, in.least+back, 1)
}

// slotOf is the number of the slot that a time lies in, for a window.
func slotOf(now, window time.Duration) int64 { return int64(now / slotLength(window)) }

func slotLength(window time.Duration) time.Duration { return max(window/windowSlots, 1) }

func (s *spends) at(slot int64) *float64 { return &s.tokens[slot%int64(len(s.tokens))] }

func (s *spends) add(now, window time.Duration, tokens float64) {
	s.forget(slotOf(now, window))
	slot := s.at(s.newest)
	*slot = max(*slot+tokens, 0)
}

// forget drops the slots that are older than the window once a slot is the newest.
func (s *spends) forget(newest int64) {
	if newest-s.newest > windowSlots {
		*s = spends{newest: newest}
	}
	for ; s.newest < newest; s.newest++ {
		*s.at(s.newest + 1) = 0
	}
}

// level is how many tokens may be taken so that no part of the window holds more than the burst
// and the rate for its length.
func (s *spends) level(now time.Duration, limit Limit) float64 {
	if s == nil {
		return limit.Burst
	}
	length := slotLength(limit.Window)
	level, sum := limit.Burst, 0.0
	for slot := s.newest; slot >= max(slotOf(now, limit.Window)-windowSlots, s.newest-windowSlots, 0); slot-- {
		sum += *s.at(slot)
		since := max(now-time.Duration(slot+1)*length, 0)
		level = min(level, limit.Burst+limit.Rate*since.Seconds()-sum)
	}
	return level
}

// wait is the time until a level is reached if nothing is taken meanwhile.
func (s *spends) wait(now time.Duration, limit Limit, enough float64) time.Duration {
	length := slotLength(limit.Window)
	for d := length; d < limit.Window; d += length {
		if s.level(now+d, limit) >= enough {
			return d
		}
	}
	return limit.Window
}
