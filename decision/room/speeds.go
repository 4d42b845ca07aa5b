package room

import (
	"slices"

	"github.com/cairnworks/cairnworks/decision/speed"
)

// Speeds are the speeds of the engines of a pool.
type Speeds struct {
	Serving speed.Serving
	// Slowness is the time that each engine takes for its work, relative to the median; engines that are not in it
	// count as 1. With nil, engines are chosen by their load.
	Slowness map[string]float64
	// Growth is the part by which a request at a Batch engine slows the others down.
	Growth float64
}

// SetSpeeds sets the speeds by which claims choose engines. If all are 1, engines are chosen by their load.
func (a *Allocator) SetSpeeds(s Speeds) {
	a.speeds, a.slowness = s, nil
	for i, e := range a.engines {
		slowness, known := s.Slowness[e.ID]
		if !known || slowness == 1 {
			continue
		}
		if a.slowness == nil {
			a.slowness = slices.Repeat([]float64{1}, len(a.engines))
		}
		a.slowness[i] = slowness
	}
}

// minGrowth keeps the load relevant if pauses do not seem to depend on it: a full engine runs out of memory.
const minGrowth = 0.01

// expectedTime returns the time that the request is expected to take at an engine, in units that are the same for all
// engines of the pool: until the end of the answer of a plain upstream, until a prompt has been read, or between two events
// at a decode engine. used is the load of the engine with the request, as a share of its capacity.
func (a *Allocator) expectedTime(e Engine, slowness float64, load Load, d Demand, used, bonus float64) float64 {
	switch a.speeds.Serving {
	case speed.Serial:
		if e.Memory > 0 {
			used = float64(load.Tokens+d.Tokens) / float64(e.Memory)
		}
		return slowness*used - bonus
	case speed.Batch:
		// The pauses grow with the memory in use as they do with the number of requests.
		return slowness * (1 + max(a.speeds.Growth, minGrowth)*float64(e.Slots)*(used-bonus))
	default:
		// A slower upstream with fewer requests is preferred to a queue at a faster one that the load alone would
		// give it to. Counting only what exceeds the slots would depend on the errors of the figures.
		return slowness*used - bonus
	}
}
