package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Home returns the member that rendezvous hashing selects for a key among those that are
// neither dead, left nor draining, or false if there is none. When a member joins or
// leaves, only the keys that it gains or had move.
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

// Homes returns up to n members in order of preference as home of the key: the first is the
// one that Home returns, the second is the one that Home would return without the first,
// and so on.
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

// score combines the hashes of a key and an instance name. Of the instance it depends only on
// the name, so that a restarted instance gets its keys back.
func score(key, instance string) uint64 {
	h := xxhash.Sum64String(key) ^ (xxhash.Sum64String(instance) * 0x9e3779b97f4a7c15)
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}
