package waiting

import (
	"math"
	"time"
)

const (
	// rateBucket and rateBuckets define the window of the placement and arrival rates. In bursts the
	// rates change within a second.
	rateBucket  = 100 * time.Millisecond
	rateBuckets = 10
	// minPlacements and minFullTime are what a placement rate must rest on. With 20 placements two
	// standard deviations are 45 %.
	minPlacements = 20
	minFullTime   = 300 * time.Millisecond
	// rateDeviations is the number of standard deviations by which rates are assumed to favour the
	// request when its refusal is considered: for random placements, one refusal in 40 is wrong.
	rateDeviations = 2
	// calmWindow is the time over which the arrival rate outside of overload decays, and minCalmTime
	// is the time that it must rest on.
	calmWindow  = 10 * time.Second
	minCalmTime = time.Second
	// overloadGap is how long no request that can be on time may have been left waiting for an
	// overload to be over: the gap between some tens of arrivals or placements.
	overloadGap = 250 * time.Millisecond
	// priorityLevels is the number of priorities with separate rates; the highest numbers share one.
	priorityLevels = 8
)

// total is a sum of tokens and of their squares, from which its deviation follows.
type total struct{ tokens, squares float64 }

func (t *total) add(tokens float64) {
	t.tokens += tokens
	t.squares += tokens * tokens
}

func (t *total) addTotal(o total) {
	t.tokens += o.tokens
	t.squares += o.squares
}

// bound returns the sum, moved by a number of standard deviations.
func (t total) bound(deviations float64) float64 {
	return max(t.tokens+deviations*math.Sqrt(t.squares), 0)
}

type rateSample struct {
	placed     total
	placements int
	// full is the part of the bucket's time in which requests waited because none fitted.
	full     time.Duration
	arrivals [priorityLevels]total
}

// rates learns how many tokens per second are placed while requests wait, and how many arrive.
type rates struct {
	buckets [rateBuckets]rateSample
	// bucketStart is the start of the current bucket, buckets[current].
	bucketStart time.Time
	current     int
	last, begun time.Time
	// full is set while requests wait because none of them fits.
	full bool
	// calm holds the arrivals outside of overload and calmTime the time in which they came, both
	// decaying over calmWindow.
	calm     float64
	calmTime float64
	// overloadedAt is when a request that could be on time was last left waiting, overloadedSince the
	// begin of that overload.
	overloadedAt, overloadedSince time.Time
}

// advance accounts for the time since the last call.
func (r *rates) advance(now time.Time) {
	if r.last.IsZero() {
		r.last, r.begun, r.bucketStart = now, now, now
		return
	}
	elapsed := max(now.Sub(r.last), 0)
	r.last = now
	if r.full {
		r.buckets[r.current].full += min(elapsed, rateBucket)
	}
	if !r.overloaded(now) {
		keep := math.Exp(-elapsed.Seconds() / calmWindow.Seconds())
		r.calm *= keep
		r.calmTime = r.calmTime*keep + elapsed.Seconds()
	}
	if now.Sub(r.bucketStart) >= rateBuckets*rateBucket {
		r.buckets = [rateBuckets]rateSample{}
		r.bucketStart = now
	}
	for now.Sub(r.bucketStart) >= rateBucket {
		r.bucketStart = r.bucketStart.Add(rateBucket)
		r.current = (r.current + 1) % rateBuckets
		r.buckets[r.current] = rateSample{}
	}
}

func levelOf(priority int) int { return min(max(priority, 0), priorityLevels-1) }

func tokensOf(i *Item) float64 { return float64(max(i.Tokens, 1)) }

// recordArrival records a request that can be on time.
func (r *rates) recordArrival(now time.Time, i *Item) {
	r.buckets[r.current].arrivals[levelOf(i.Priority)].add(tokensOf(i))
	if !r.overloaded(now) {
		r.calm += tokensOf(i)
	}
}

// recordPlacement records a placed request. Placements count only while requests wait: otherwise they
// show the demand and not the capacity.
func (r *rates) recordPlacement(i *Item) {
	if r.full {
		r.buckets[r.current].placed.add(tokensOf(i))
		r.buckets[r.current].placements++
	}
}

// recordState records what a dispatch left waiting.
func (r *rates) recordState(now time.Time, full, onTimeLeft bool) {
	r.full = full
	if onTimeLeft {
		if !r.overloaded(now) {
			r.overloadedSince = now
		}
		r.overloadedAt = now
	}
}

// overloaded reports whether requests that could be on time were left waiting lately.
func (r *rates) overloaded(now time.Time) bool { return r.leftWaiting(now) <= overloadGap }

// leftWaiting returns the time since a request that could be on time was last left waiting.
func (r *rates) leftWaiting(now time.Time) time.Duration {
	if r.overloadedAt.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(r.overloadedAt)
}

// estimate is what the rates of the last second say, in tokens per second.
type estimate struct {
	// known is set if there were enough placements.
	known bool
	// placing is the placement rate, placingMost its upper bound.
	placing, placingMost float64
	// arriving is the arrival rate of all requests that can be on time, arrivingBefore a lower bound
	// of the rate of those with a lower priority number.
	arriving       float64
	arrivingBefore [priorityLevels]float64
	// calm is the arrival rate outside of overload.
	calm       float64
	overloaded bool
	// overload is how long the present overload has lasted.
	overload time.Duration
}

func (r *rates) estimate(now time.Time) estimate {
	var placed total
	var arrivals [priorityLevels]total
	var full time.Duration
	placements := 0
	for _, b := range r.buckets {
		placed.addTotal(b.placed)
		placements += b.placements
		full += b.full
		for level := range arrivals {
			arrivals[level].addTotal(b.arrivals[level])
		}
	}
	e := estimate{overloaded: r.overloaded(now)}
	if e.overloaded {
		e.overload = now.Sub(r.overloadedSince)
	}
	window := min(now.Sub(r.begun), (rateBuckets-1)*rateBucket+now.Sub(r.bucketStart)).Seconds()
	window = max(window, minFullTime.Seconds())
	var before total
	for level, t := range arrivals {
		e.arrivingBefore[level] = before.bound(-rateDeviations) / window
		before.addTotal(t)
	}
	e.arriving = before.tokens / window
	if r.calmTime >= minCalmTime.Seconds() {
		e.calm = r.calm / r.calmTime
	}
	if placements < minPlacements || full < minFullTime {
		return e
	}
	e.known = true
	e.placing, e.placingMost = placed.tokens/full.Seconds(), placed.bound(rateDeviations)/full.Seconds()
	return e
}

// honoursBookings reports whether booked requests may be placed before newcomers: no rates show that more
// requests that can be on time arrive than are placed. Otherwise the overload has lasted longer than expected,
// and the booked capacity does not exist yet.
func (e estimate) honoursBookings() bool {
	return !e.overloaded || !e.known || e.arriving < e.placing
}
