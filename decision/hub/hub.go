// Package hub chooses which instances of a fleet the others report to, and which of them is
// the home of what.
//
// Load pattern: hundreds of instances, each with few requests, need to know what all have
// placed and learnt. A few of the machines can do several times what the rest can.
//
// Without it: reports from each to each grow with the fleet's square. At 295 instances one
// round of one instance takes a quarter of a second of its link, in which answers wait.
//
// Rules:
//   - In a small fleet every instance is a hub, so that each reports to all.
//   - In a large one the hubs are spread over the data centres, and in each the machines that
//     can do most come first.
//   - Among hubs, a subject's home is the one that comes first in an order that depends on the
//     subject: when a hub is lost, only what it was the home of moves.
//
// Nothing depends on all choosing the same. Instances that know different ones report to
// different hubs until they have heard of the better ones.
package hub

import (
	"cmp"
	"math/bits"
	"slices"
)

// Figures of fleets.
const (
	// MaxFullMesh is the number of instances up to which each reports to all.
	MaxFullMesh = 16
	// Hubs is the number of hubs of a larger fleet. Losing one moves an eighth of the homes;
	// each instance reports to every one.
	Hubs = 8
)

// Candidate is an instance that may be a hub.
type Candidate struct {
	Name, DataCentre string
	// Hash of the name orders machines that can do the same.
	Hash uint64
	// Millicores is the processor time that it may use, in thousandths of a core.
	Millicores int
	// Settled tells that it has run for a while. Were one that has started again to take its
	// place back, every restart would move what hubs are the homes of twice.
	Settled bool
}

// class puts machines that can do about the same together, so that which of them are chosen
// is left to chance.
func (c Candidate) class() int { return bits.Len(uint(max(c.Millicores, 0))) }

// Choose picks a number of hubs for a fleet of a size, the best first.
func Choose(candidates []Candidate, instances, count int) []string {
	ordered := slices.Clone(candidates)
	if instances <= MaxFullMesh {
		count = len(ordered)
	}
	slices.SortFunc(ordered, compare)
	return spread(ordered, count)
}

func compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(b.class(), a.class()),
		compareSettled(a, b),
		cmp.Compare(a.Hash, b.Hash),
		cmp.Compare(a.Name, b.Name),
	)
}

func compareSettled(a, b Candidate) int {
	switch {
	case a.Settled == b.Settled:
		return 0
	case a.Settled:
		return -1
	default:
		return 1
	}
}

// spread takes the best of each data centre in turn. A data centre whose best is of a lower
// class than what others still have waits, as its machine would be the one to fall behind.
func spread(ordered []Candidate, count int) []string {
	var chosen []string
	for len(chosen) < count && len(ordered) > 0 {
		used := make(map[string]bool)
		first := ordered[0]
		var rest []Candidate
		for _, c := range ordered {
			same := c.Settled == first.Settled && c.class() == first.class()
			if len(chosen) < count && same && !used[c.DataCentre] {
				used[c.DataCentre] = true
				chosen = append(chosen, c.Name)
				continue
			}
			rest = append(rest, c)
		}
		ordered = rest
	}
	return chosen
}

// HomeOf returns which of some hubs is the home of a numbered subject, by the place of its hash
// in the list. The list must not be empty.
func HomeOf(subject int, hubs []uint64) int {
	home, highest := 0, uint64(0)
	for i, hash := range hubs {
		if weight := mix(hash + uint64(subject)*golden); weight > highest {
			home, highest = i, weight
		}
	}
	return home
}

// golden is 2^64 divided by the golden ratio, which spreads consecutive numbers.
const golden = 0x9e3779b97f4a7c15

// mix is the finalizer of SplitMix64 (Steele, Lea, Flood 2014): each bit depends on all.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
