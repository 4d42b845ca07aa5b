// Package hub chooses which instances of a fleet the others report to, and which of these hubs
// is the home of each subject.
//
// Load pattern: hundreds of instances, each with few requests, need to know which requests all
// others have placed and which statistics they have collected. A few of the machines have several
// times the processor time of the rest.
//
// Without it: all-to-all reports grow with the square of the fleet size. At 295 instances one
// round of reports of one instance occupies its link for a quarter of a second, during which
// answers are delayed.
//
// Rules:
//   - In a small fleet every instance is a hub, so that each reports to all.
//   - In a larger one the hubs are spread over the data centres, and within each the machines
//     with the most processor time are preferred.
//   - The home of a subject is chosen among the hubs by rendezvous hashing: when a hub is lost,
//     only the subjects that it was the home of move.
//
// Instances need not agree. Those that know different instances report to different hubs until
// they learn of better ones.
package hub

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// MaxFullMesh is the largest fleet size at which every instance reports to all others.
	MaxFullMesh = 16
	// Hubs is the number of hubs of a larger fleet. Each instance reports to all of them, and
	// losing one moves an eighth of the homes.
	Hubs = 8
)

// Candidate is an instance that may become a hub.
type Candidate struct {
	Name, DataCentre string
	// Hash is the hash of the name. It orders otherwise equal machines.
	Hash uint64
	// Millicores is its CPU limit in thousandths of a core.
	Millicores int
	// Settled reports that it has been running for a while. If a restarted instance became a
	// hub again at once, every restart would move its subjects twice.
	Settled bool
}

// sizeClass groups machines of similar processor time, among which the hash decides.
func (c Candidate) sizeClass() int { return bits.Len(uint(max(c.Millicores, 0))) }

// Choose returns the names of count hubs, or of all candidates in a fleet small enough for a full
// mesh, with the preferred hubs first. instances is the size of the fleet.
func Choose(candidates []Candidate, instances, count int) []string {
	ordered := slices.Clone(candidates)
	if instances <= MaxFullMesh {
		count = len(ordered)
	}
	slices.SortFunc(ordered, compare)
	return spreadByDataCentre(ordered, count)
}

func compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(b.sizeClass(), a.sizeClass()),
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

// spreadByDataCentre takes the best candidate of each data centre in turn. It passes over a data
// centre while another still has machines of a higher size class, because a weaker machine would
// fall behind.
func spreadByDataCentre(ordered []Candidate, count int) []string {
	var chosen []string
	for len(chosen) < count && len(ordered) > 0 {
		used := make(map[string]bool)
		first := ordered[0]
		var rest []Candidate
		for _, c := range ordered {
			same := c.Settled == first.Settled && c.sizeClass() == first.sizeClass()
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

// HomeOf returns the index of the hub that is the home of a subject, by rendezvous hashing over
// the hashes of the hubs. The list must not be empty.
func HomeOf(subject int, hubs []uint64) int {
	home, highest := 0, uint64(0)
	for i, hash := range hubs {
		if weight := mix(hash + uint64(subject)*goldenGamma); weight > highest {
			home, highest = i, weight
		}
	}
	return home
}

// goldenGamma is 2^64 divided by the golden ratio. Multiples of it are spread evenly over the
// 64-bit range.
const goldenGamma = 0x9e3779b97f4a7c15

// mix is the finalizer of SplitMix64 (Steele, Lea, Flood 2014): every output bit depends on every
// input bit.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
