package prefill

import "time"

const (
	// beliefLifetime is how long a stored prefix is believed without a new event
	// or use. Engines evict the least recently used prefixes and their events can
	// be lost; at peak an engine's prefix memory turns over within minutes, so
	// that an older belief is more often wrong than right.
	beliefLifetime = 2 * time.Minute
	// maxHolders bounds the upstreams remembered per prefix. When more than eight
	// hold it, one of them is nearly always free, and remembering the others
	// would make one lookup as long as the number of upstreams.
	maxHolders = 8
	// generationSize is the number of prefixes after which the older generation
	// is forgotten; with two generations of under 100 bytes an entry the index
	// stays under 7 MB of the instance's 128 MB.
	generationSize = 32768
)

// Index remembers which upstreams are believed to hold which prefixes. Events
// come late and with gaps, so that it is a hint: a wrong belief costs one prefill
// that takes as long as on any other upstream.
type Index struct {
	young, old map[uint64][]holder
	// epochs make Reset constant-time: a belief of an older epoch does not count.
	epochs map[int]uint32
}

type holder struct {
	at       time.Time
	upstream int
	epoch    uint32
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{young: make(map[uint64][]holder), epochs: make(map[int]uint32)}
}

// Store notes that an upstream stored or used the prefix at now.
func (x *Index) Store(now time.Time, upstream int, hash uint64) {
	holders := x.drop(upstream, hash)
	if len(holders) == maxHolders {
		holders = holders[1:]
	}
	holders = append(holders, holder{at: now, upstream: upstream, epoch: x.epochs[upstream]})
	if len(x.young) >= generationSize {
		x.old, x.young = x.young, make(map[uint64][]holder)
	}
	delete(x.old, hash)
	x.young[hash] = holders
}

// Remove notes that an upstream evicted the prefix.
func (x *Index) Remove(upstream int, hash uint64) {
	holders := x.drop(upstream, hash)
	if _, ok := x.young[hash]; ok {
		x.young[hash] = holders
	} else if _, ok := x.old[hash]; ok {
		x.old[hash] = holders
	}
}

// ResetUpstream forgets everything of one upstream, after a gap in its events or a restart.
func (x *Index) ResetUpstream(upstream int) { x.epochs[upstream]++ }

// Match calls visit with each upstream that is believed to hold a leading part of
// the prompt and the number of hashes (shortest prefix first) that it covers. An
// upstream may be visited again with a smaller number. The longest hash decides:
// an engine that holds a prefix holds all its beginnings, so that a lost event of
// a shorter one does not matter.
func (x *Index) Match(now time.Time, hashes []uint64, visit func(upstream, matched int)) {
	for i := len(hashes) - 1; i >= 0; i-- {
		for _, h := range x.holders(hashes[i]) {
			if h.epoch == x.epochs[h.upstream] && now.Sub(h.at) <= beliefLifetime {
				visit(h.upstream, i+1)
			}
		}
	}
}

func (x *Index) holders(hash uint64) []holder {
	if holders, ok := x.young[hash]; ok {
		return holders
	}
	return x.old[hash]
}

func (x *Index) drop(upstream int, hash uint64) []holder {
	holders := x.holders(hash)
	for i, h := range holders {
		if h.upstream == upstream {
			return append(holders[:i], holders[i+1:]...)
		}
	}
	return holders
}

// RemoveUpstream drops what is kept of an upstream whose number is not used again.
func (x *Index) RemoveUpstream(upstream int) {
	// Beliefs that are left carry an older epoch or age out; the number is never
	// given to another upstream.
	delete(x.epochs, upstream)
}
