package room

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Need is what a request asks of an engine.
type Need struct {
	// Tokens of memory that it holds at its end, and Output the part of them that comes while it
	// runs. With an Output of 0 all are held from the beginning.
	Tokens, Output int
}

// course is a request that was placed here and whose memory grows while it runs.
type course struct {
	instance string
	begun    time.Duration
	need     Need
}

// own is the instance's own name among the courses.
const own = ""

// Figures of courses.
const (
	// leastCourse is how long a course must have lasted to tell the pace, and to be ended by
	// a report: shorter ones were given up before they ran, and a report may have been made before
	// its sender knew of the place.
	leastCourse = 700 * time.Millisecond
	// paceMemory is how many courses the pace is taken from.
	paceMemory = 64
	// leastPaces is how many must have ended for it to be known.
	leastPaces = 12
	// overdueShare is the part of its expected output that a course has left at least: of one that
	// has lasted longer than expected it is not known when it ends.
	overdueShare = 0.3
)

// pace is how fast answers grow and how well their ends are known.
type pace struct {
	n, output, seconds float64
	// errors are of those whose end was expected, squares the sum of their squared errors as
	// parts of what was expected.
	errors, squares float64
}

func (p *pace) learn(c course, now time.Duration) {
	keep := 1 - 1/float64(paceMemory)
	took := (now - c.begun).Seconds()
	if speed := p.of(); speed > 0 {
		off := took*speed/float64(c.need.Output) - 1
		p.errors, p.squares = p.errors*keep+1, p.squares*keep+off*off
	}
	p.n, p.output, p.seconds = p.n*keep+1, p.output*keep+float64(c.need.Output), p.seconds*keep+took
}

// spread is the standard deviation of outputs from what was expected, as a part of that, at
// most 1.
func (p *pace) spread() float64 {
	if p.errors < leastPaces {
		return 1
	}
	return min(math.Sqrt(p.squares/p.errors), 1)
}

// of is the pace in output tokens a second of one request, 0 while it is not known.
func (p *pace) of() float64 {
	if p.n < leastPaces || p.seconds <= 0 {
		return 0
	}
	return p.output / p.seconds
}

// Advance sets the time of what follows.
func (r *Room) Advance(now time.Duration) { r.now = now }

// begin notes a course at an engine.
func (r *Room) begin(instance, id string, n Need) {
	if n.Output > 0 {
		r.courses[id] = append(r.courses[id], course{instance, r.now, n})
	}
}

// endOwn ends the own course with a claim nearest to a size, unless all of them still run.
func (r *Room) endOwn(id string, tokens int) {
	best, apart, count := -1, 0, 0
	for i, c := range r.courses[id] {
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

// trim ends courses of another instance that no longer are among the requests that it tells of,
// the oldest first.
func (r *Room) trim(instance, id string, requests int) {
	for {
		first, count := -1, 0
		for i, c := range r.courses[id] {
			if c.instance != instance {
				continue
			}
			if count++; first < 0 {
				first = i
			}
		}
		if count <= requests || r.now-r.courses[id][first].begun < leastCourse {
			return
		}
		r.end(id, first)
	}
}

// forget drops the courses of an instance that is silent. When they ended is not known.
func (r *Room) forget(instance string) {
	for id, list := range r.courses {
		r.keep(id, slices.DeleteFunc(list, func(c course) bool { return c.instance == instance }))
	}
}

func (r *Room) end(id string, at int) {
	if c := r.courses[id][at]; r.now-c.begun >= leastCourse {
		r.pace.learn(c, r.now)
	}
	r.keep(id, slices.Delete(r.courses[id], at, at+1))
}

func (r *Room) keep(id string, list []course) {
	if len(list) == 0 {
		delete(r.courses, id)
		return
	}
	r.courses[id] = list
}

// growth is what a request holds now, and what is still to come.
type growth struct{ used, left float64 }

// peak is the most memory that an engine's requests will hold together, with one more. All grow
// at one pace and end at different times, which are known no better than past ends were; what is
// placed there and not known as a course counts whole.
func (r *Room) peak(id string, load Load, n Need) float64 {
	speed := r.pace.of()
	if n.Output <= 0 || speed <= 0 {
		return float64(load.Tokens + n.Tokens)
	}
	known := 0
	grow := make([]growth, 0, len(r.courses[id])+1)
	for _, c := range r.courses[id] {
		known += c.need.Tokens
		grow = append(grow, c.growth(r.now, speed))
	}
	grow = append(grow, growth{float64(n.Tokens - n.Output), float64(n.Output)})
	return highest(grow) + r.pace.spread()*norm(grow) + float64(max(load.Tokens-known, 0))
}

// norm is the root of the sum of squares of what is still to come.
func norm(grow []growth) float64 {
	sum := 0.0
	for _, g := range grow {
		sum += g.left * g.left
	}
	return math.Sqrt(sum)
}

func (c course) growth(now time.Duration, speed float64) growth {
	output := float64(c.need.Output)
	come := min((now-c.begun).Seconds()*speed, output)
	return growth{float64(c.need.Tokens) - output + come, max(output-come, overdueShare*output)}
}

// highest is the most that requests hold together which grow alike: right before one of them
// ends.
func highest(grow []growth) float64 {
	slices.SortFunc(grow, func(a, b growth) int { return cmp.Compare(b.left, a.left) })
	most, used := 0.0, 0.0
	for i, g := range grow {
		used += g.used
		most = max(most, used+float64(i+1)*g.left)
	}
	return most
}
