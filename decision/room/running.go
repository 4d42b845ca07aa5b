package room

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is what a request asks of an engine.
type Demand struct {
	// Tokens of memory that it holds at its end, and Output the part of them that comes while it
	// runs. With an Output of 0 all are held from the beginning.
	Tokens, Output int
}

// runningRequest is a request that was placed here and whose memory grows while it runs.
type runningRequest struct {
	instance string
	begun    time.Duration
	need     Demand
}

// own is the instance's own name among those of running requests.
const own = ""

// Figures of running requests.
const (
	// leastRun is how long a request must have run to tell how fast answers grow, and to be ended by
	// a report: shorter ones were given up before they ran, and a report may have been made before
	// its sender knew of the place.
	leastRun = 700 * time.Millisecond
	// rateMemory is how many requests the growth is taken from.
	rateMemory = 64
	// leastEnds is how many must have ended for it to be known.
	leastEnds = 12
	// overdueShare is the part of its expected output that a request has left at least: of one that
	// has lasted longer than expected it is not known when it ends.
	overdueShare = 0.3
)

// growthRate is how fast answers grow and how well their ends are known.
type growthRate struct {
	n, output, seconds float64
	// errors are of those whose end was expected, squares the sum of their squared errors as
	// parts of what was expected.
	errors, squares float64
}

func (p *growthRate) learn(c runningRequest, now time.Duration) {
	keep := 1 - 1/float64(rateMemory)
	took := (now - c.begun).Seconds()
	if speed := p.perSecond(); speed > 0 {
		off := took*speed/float64(c.need.Output) - 1
		p.errors, p.squares = p.errors*keep+1, p.squares*keep+off*off
	}
	p.n, p.output, p.seconds = p.n*keep+1, p.output*keep+float64(c.need.Output), p.seconds*keep+took
}

// spread is the standard deviation of outputs from what was expected, as a part of that, at
// most 1.
func (p *growthRate) spread() float64 {
	if p.errors < leastEnds {
		return 1
	}
	return min(math.Sqrt(p.squares/p.errors), 1)
}

// perSecond is in output tokens of one request, 0 while it is not known.
func (p *growthRate) perSecond() float64 {
	if p.n < leastEnds || p.seconds <= 0 {
		return 0
	}
	return p.output / p.seconds
}

// Advance sets the time of what follows.
func (r *Allocator) Advance(now time.Duration) { r.now = now }

// begin notes a request that runs at an engine from now on.
func (r *Allocator) begin(instance, id string, n Demand) {
	if n.Output > 0 {
		r.running[id] = append(r.running[id], runningRequest{instance, r.now, n})
	}
}

// endOwn ends the own request whose claim is nearest to a size, unless all of them still run.
func (r *Allocator) endOwn(id string, tokens int) {
	best, apart, count := -1, 0, 0
	for i, c := range r.running[id] {
		if c.instance != own {
			continue
		}
		count++
		if d := max(c.need.Tokens-tokens, tokens-c.need.Tokens); best < 0 || d < apart {
			best, apart = i, d
		}
	}
	if count > r.own[id].Requests {
		r.end(id, best)
	}
}

// trim ends requests of another instance that are no longer among those that it tells of, the oldest
// first.
func (r *Allocator) trim(instance, id string, requests int) {
	for {
		first, count := -1, 0
		for i, c := range r.running[id] {
			if c.instance != instance {
				continue
			}
			if count++; first < 0 {
				first = i
			}
		}
		if count <= requests || r.now-r.running[id][first].begun < leastRun {
			return
		}
		r.end(id, first)
	}
}

// forget drops the requests of an instance that is silent. When they ended is not known.
func (r *Allocator) forget(instance string) {
	for id, list := range r.running {
		r.keep(id, slices.DeleteFunc(list, func(c runningRequest) bool { return c.instance == instance }))
	}
}

func (r *Allocator) end(id string, at int) {
	if c := r.running[id][at]; r.now-c.begun >= leastRun {
		r.growthRate.learn(c, r.now)
	}
	r.keep(id, slices.Delete(r.running[id], at, at+1))
}

func (r *Allocator) keep(id string, list []runningRequest) {
	if len(list) == 0 {
		delete(r.running, id)
		return
	}
	r.running[id] = list
}

// growth is the memory that a request holds now, and what is still to come.
type growth struct{ used, left float64 }

// peak is the most memory that an engine's requests will hold together, with one more. All grow
// at one growthRate and end at different times, which are known no better than past ends were; what is
// placed there by others and not known as a running request counts whole.
func (r *Allocator) peak(id string, load Load, n Demand) float64 {
	speed := r.growthRate.perSecond()
	if n.Output <= 0 || speed <= 0 {
		return float64(load.Tokens + n.Tokens)
	}
	known := 0
	grow := make([]growth, 0, len(r.running[id])+1)
	for _, c := range r.running[id] {
		known += c.need.Tokens
		grow = append(grow, c.demandAt(r.now, speed))
	}
	grow = append(grow, growth{float64(n.Tokens - n.Output), float64(n.Output)})
	return peakOf(grow) + r.growthRate.spread()*norm(grow) + float64(max(load.Tokens-known, 0))
}

// norm is the root of the sum of squares of what is still to come.
func norm(grow []growth) float64 {
	sum := 0.0
	for _, g := range grow {
		sum += g.left * g.left
	}
	return math.Sqrt(sum)
}

func (c runningRequest) demandAt(now time.Duration, speed float64) growth {
	output := float64(c.need.Output)
	come := min((now-c.begun).Seconds()*speed, output)
	return growth{float64(c.need.Tokens) - output + come, max(output-come, overdueShare*output)}
}

// highest is the most that requests hold together which grow alike: right before one of them
// ends.
func peakOf(grow []growth) float64 {
	slices.SortFunc(grow, func(a, b growth) int { return cmp.Compare(b.left, a.left) })
	most, used := 0.0, 0.0
	for i, g := range grow {
		used += g.used
		most = max(most, used+float64(i+1)*g.left)
	}
	return most
}
