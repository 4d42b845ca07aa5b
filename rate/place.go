package rate

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/rate/share"
	"github.com/cairnworks/cairnworks/request"
)

// groups is the number of groups of organisations. A group has one shard for each
// share, and its shards have different homes where there are enough instances, so that
// a death costs an organisation one share. With 21 groups 9 instances hold 7 shards
// each, and an append that names a holder's shards stays under 600 bytes.
const groups = 21

// Shards is the number of shards.
const Shards = groups * share.Count

// maxFence is the largest fence set. Two of five may be lost before a refresh.
const maxFence = 5

// shardOf returns the shard of one share of an organisation.
func shardOf(organisation string, shareIndex uint32) uint32 {
	group := uint32(xxhash.Sum64String(organisation) % groups)
	return group*share.Count + shareIndex
}

// homesOf places every shard by rendezvous hashing over the members' names, the
// shards of one group on different members while there are enough. A restarted
// instance keeps its places.
func homesOf(members []request.Holder) []request.Holder {
	homes := make([]request.Holder, Shards)
	for shard := range homes {
		sibling := shard / share.Count * share.Count
		homes[shard] = highest(members, homes[sibling:shard], uint64(shard))
	}
	return homes
}

// highest returns the member with the highest weight for a key that is not among
// used, or the highest of all if every member is used.
func highest(members, used []request.Holder, key uint64) request.Holder {
	var best, bestUnused request.Holder
	var bestWeight, unusedWeight uint64
	for _, m := range members {
		w := weight(m.Instance, key)
		if w >= bestWeight {
			best, bestWeight = m, w
		}
		if w >= unusedWeight && !slices.Contains(used, m) {
			bestUnused, unusedWeight = m, w
		}
	}
	if bestUnused.Instance != "" {
		return bestUnused
	}
	return best
}

func weight(instance string, key uint64) uint64 {
	var buf [64]byte
	b := binary.BigEndian.AppendUint64(buf[:0], key)
	return xxhash.Sum64(append(b, instance...))
}

// fenceFor chooses the fence set of an instance: one, three or five others. An even
// set would need as many survivors as the next larger odd one.
func fenceFor(self request.Holder, members []request.Holder) []request.Holder {
	var others []request.Holder
	for _, m := range members {
		if m.Instance != self.Instance {
			others = append(others, m)
		}
	}
	key := xxhash.Sum64String(self.Instance)
	slices.SortFunc(others, func(a, b request.Holder) int {
		return cmp.Or(cmp.Compare(weight(b.Instance, key), weight(a.Instance, key)), cmp.Compare(a.Instance, b.Instance))
	})
	size := min(len(others), maxFence)
	if size > 0 && size%2 == 0 {
		size--
	}
	return others[:size]
}

// viewer caches the view, since placing all shards among 400 members takes most of a
// millisecond and members change seldom.
type viewer struct {
	self    request.Holder
	members []request.Holder
	view    lease.View
	valid   bool
}

func (v *viewer) of(members []request.Holder, draining bool) lease.View {
	if draining {
		members = slices.DeleteFunc(slices.Clone(members), func(m request.Holder) bool {
			return lease.SameRun(m, v.self)
		})
	}
	if v.valid && slices.Equal(members, v.members) {
		return v.view
	}
	v.members = slices.Clone(members)
	v.view = lease.View{Members: v.members, Homes: homesOf(v.members), Fence: fenceFor(v.self, v.members)}
	v.valid = true
	return v.view
}
