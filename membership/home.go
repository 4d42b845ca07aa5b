package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Home returns the member that rendezvous hashing picks for a key among those
// that are neither dead, left nor draining, or false when there is none. When a
// member comes or goes, only the keys it gains or had move.
func Home(key string, members []Member) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	for _, m := range members {
		if !eligible(m) {
			continue
		}
		s := score(key, m.Instance)
		if !found || s > bestScore || (s == bestScore && m.Instance < best.Instance) {
			best, bestScore, found = m, s, true
		}
	}
	return best, found
}

// Homes returns up to n members in the order in which they are homes of the key:
// the first is Home's, the second is Home's if the first were gone, and so on.
func Homes(key string, members []Member, n int) []Member {
	type scored struct {
		Member
		score uint64
	}
	candidates := make([]scored, 0, len(members))
	for _, m := range members {
		if eligible(m) {
			candidates = append(candidates, scored{m, score(key, m.Instance)})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Instance, b.Instance))
	})
	homes := make([]Member, 0, min(n, len(candidates)))
	for _, c := range candidates[:min(n, len(candidates))] {
		homes = append(homes, c.Member)
	}
	return homes
}

func eligible(m Member) bool { return !m.State.Terminal() && !m.Draining }

// score mixes the hashes of key and name. It depends on the name alone, so that a
// restarted instance gets its keys back.
func score(key, instance string) uint64 {
	h := xxhash.Sum64String(key) ^ (xxhash.Sum64String(instance) * 0x9e3779b97f4a7c15)
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}
