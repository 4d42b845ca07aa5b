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

// groupCount is the number of groups of organisations. A group has one shard for each share.
// The shards of a group have different homes if there are enough instances, so that the loss
// of an instance costs an organisation one share. With 21 groups, 9 instances hold 7 shards
// each, and an append that lists a holder's shards stays below 600 bytes.
const groupCount = 21

// Shards is the number of shards.
const Shards = groupCount * share.Count

// maxFenceSize is the maximum size of a fence set. Of five members two may fail before the
// set is replaced.
const maxFenceSize = 5

// shardOf returns the shard of one share of an organisation.
func shardOf(organisation string, shareIndex uint32) uint32 {
	group := uint32(xxhash.Sum64String(organisation) % groupCount)
	return group*share.Count + shareIndex
}

// assignHomes assigns every shard to a member by rendezvous hashing over the members' names,
// the shards of one group to different members if there are enough. A restarted instance
// keeps its shards.
func assignHomes(members []request.Holder) []request.Holder {
	homes := make([]request.Holder, Shards)
	for shard := range homes {
		firstOfGroup := shard / share.Count * share.Count
		homes[shard] = highestWeight(members, homes[firstOfGroup:shard], uint64(shard))
	}
	return homes
}

// highestWeight returns the member with the highest weight for key among those that are not
// in used, or among all members if each of them is in used.
func highestWeight(members, used []request.Holder, key uint64) request.Holder {
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

// fenceSetFor chooses the fence set of an instance: one, three or five others, or none. An
// even set would need as many survivors as the next larger odd set.
func fenceSetFor(self request.Holder, members []request.Holder) []request.Holder {
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
	size := min(len(others), maxFenceSize)
	if size > 0 && size%2 == 0 {
		size--
	}
	return others[:size]
}

// viewCache caches the view: the assignment of all shards to 400 members takes most of a
// millisecond, and the members rarely change.
type viewCache struct {
	self    request.Holder
	members []request.Holder
	view    lease.View
	valid   bool
}

func (v *viewCache) get(members []request.Holder, draining bool) lease.View {
	if draining {
		members = slices.DeleteFunc(slices.Clone(members), func(m request.Holder) bool {
			return lease.SameRun(m, v.self)
		})
	}
	if v.valid && slices.Equal(members, v.members) {
		return v.view
	}
	v.members = slices.Clone(members)
	v.view = lease.View{Members: v.members, Homes: assignHomes(v.members), Fence: fenceSetFor(v.self, v.members)}
	v.valid = true
	return v.view
}
