package room

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is the memory that a request requires.
type Demand struct {
	// Tokens is the memory used at the end of the request. Output is the part of it that is
	// allocated while the request runs; 0 means that all of it is used from the start.
	Tokens, Output int
}

// runningRequest is a request that was placed through this allocator and whose memory grows
// while it runs.
type runningRequest struct {
	instance string
	started  time.Duration
	demand   Demand
}

// self stands for the own instance in runningRequest.instance.
const self = ""

const (
	// minRunTime is the run time from which a request counts for the growth rate, and from which a
	// load report can end it. Shorter requests were cancelled before they ran, and a report may
	// have been sent before its sender knew of the placement.
	minRunTime = 700 * time.Millisecond
	// rateWindow is the number of recent requests that determine the growth rate.
	rateWindow = 64
	// minEnded is the number of ended requests from which the growth rate is known.
	minEnded = 12
	// minRemainingShare is the lowest share of its expected output that a running request is
	// assumed to have left. When a request that exceeds its expected length will end is unknown.
	minRemainingShare = 0.3
)

// growthRate estimates how fast the outputs of requests grow, and how accurately their lengths
// are predicted.
type growthRate struct {
	// weight is the number of ended requests in the estimate, output the tokens that they were
	// expected to generate, seconds their total run time; older requests count less.
	weight, output, seconds float64
	// errorWeight counts the ended requests that had a prediction, squaredErrors is the sum of
	// their squared relative errors.
	errorWeight, squaredErrors float64
}

// observe adds a request that ends now.
func (p *growthRate) observe(c runningRequest, now time.Duration) {
	keep := 1 - 1/float64(rateWindow)
	took := (now - c.started).Seconds()
	if speed := p.perSecond(); speed > 0 {
		off := took*speed/float64(c.demand.Output) - 1
		p.errorWeight, p.squaredErrors = p.errorWeight*keep+1, p.squaredErrors*keep+off*off
	}
	p.weight, p.output, p.seconds = p.weight*keep+1, p.output*keep+float64(c.demand.Output), p.seconds*keep+took
}

// deviation returns the standard deviation of the relative prediction error of outputs, at
// most 1.
func (p *growthRate) deviation() float64 {
	if p.errorWeight < minEnded {
		return 1
	}
	return min(math.Sqrt(p.squaredErrors/p.errorWeight), 1)
}

// perSecond returns the output tokens that one request generates per second, 0 while unknown.
func (p *growthRate) perSecond() float64 {
	if p.weight < minEnded || p.seconds <= 0 {
		return 0
	}
	return p.output / p.seconds
}

// Advance sets the current time for the calls that follow.
func (a *Allocator) Advance(now time.Duration) { a.now = now }

// startRunning records that a request starts running on an engine now.
func (a *Allocator) startRunning(instance, id string, d Demand) {
	if d.Output > 0 {
		a.running[id] = append(a.running[id], runningRequest{instance, a.now, d})
	}
}

// endNearestOwn ends the request of this instance whose demand is nearest to tokens. It does
// nothing if no more requests are running than this instance has claims: the released claim was
// then not that of a running request.
func (a *Allocator) endNearestOwn(id string, tokens int) {
	best, distance, count := -1, 0, 0
	for i, c := range a.running[id] {
		if c.instance != self {
			continue
		}
		count++
		if d := max(c.demand.Tokens-tokens, tokens-c.demand.Tokens); best < 0 || d < distance {
			best, distance = i, d
		}
	}
	if count > a.ownLoads[id].Requests {
		a.endAt(id, best)
	}
}

// endOldest ends requests of another instance, the oldest first, until no more are running than
// the instance reports.
func (a *Allocator) endOldest(instance, id string, requests int) {
	for {
		first, count := -1, 0
		for i, c := range a.running[id] {
			if c.instance != instance {
				continue
			}
			if count++; first < 0 {
				first = i
			}
		}
		if count <= requests || a.now-a.running[id][first].started < minRunTime {
			return
		}
		a.endAt(id, first)
	}
}

// dropRunning removes the requests of an instance that no longer reports. The growth rate does
// not learn from them, because the time at which they ended is unknown.
func (a *Allocator) dropRunning(instance string) {
	for id, list := range a.running {
		a.setRunning(id, slices.DeleteFunc(list, func(c runningRequest) bool { return c.instance == instance }))
	}
}

// endAt ends the running request at an index.
func (a *Allocator) endAt(id string, index int) {
	if c := a.running[id][index]; a.now-c.started >= minRunTime {
		a.growthRate.observe(c, a.now)
	}
	a.setRunning(id, slices.Delete(a.running[id], index, index+1))
}

func (a *Allocator) setRunning(id string, list []runningRequest) {
	if len(list) == 0 {
		delete(a.running, id)
		return
	}
	a.running[id] = list
}

// growth is the memory that a request uses now and the memory it is still expected to allocate.
type growth struct{ used, remaining float64 }

// peak predicts the highest total memory use of an engine's requests together with a new one.
// All outputs are assumed to grow at the same rate. A margin is added for the error of past
// predictions. Load that is not known as a running request counts with its full claim.
func (a *Allocator) peak(id string, load Load, d Demand) float64 {
	speed := a.growthRate.perSecond()
	if d.Output <= 0 || speed <= 0 {
		return float64(load.Tokens + d.Tokens)
	}
	known := 0
	requests := make([]growth, 0, len(a.running[id])+1)
	for _, c := range a.running[id] {
		known += c.demand.Tokens
		requests = append(requests, c.growthAt(a.now, speed))
	}
	requests = append(requests, growth{float64(d.Tokens - d.Output), float64(d.Output)})
	return peakOf(requests) + a.growthRate.deviation()*remainingNorm(requests) + float64(max(load.Tokens-known, 0))
}

// remainingNorm returns the root of the sum of squares of the remaining growth.
func remainingNorm(requests []growth) float64 {
	sum := 0.0
	for _, g := range requests {
		sum += g.remaining * g.remaining
	}
	return math.Sqrt(sum)
}

// growthAt returns the request's state at a time, given the output tokens it generates per second.
func (c runningRequest) growthAt(now time.Duration, speed float64) growth {
	output := float64(c.demand.Output)
	generated := min((now-c.started).Seconds()*speed, output)
	return growth{float64(c.demand.Tokens) - output + generated, max(output-generated, minRemainingShare*output)}
}

// peakOf returns the highest total memory use of requests that grow at the same rate. It occurs
// immediately before one of them ends. requests is sorted in place.
func peakOf(requests []growth) float64 {
	slices.SortFunc(requests, func(a, b growth) int { return cmp.Compare(b.remaining, a.remaining) })
	most, used := 0.0, 0.0
	for i, g := range requests {
		used += g.used
		most = max(most, used+float64(i+1)*g.remaining)
	}
	return most
}
