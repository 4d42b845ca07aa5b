package prefill

import "time"

const (
	// entryTTL is how long an entry is valid without a new event or use. Engines evict
	// the least recently used prefixes, and their events can be lost. At peak an
	// engine's prefix cache turns over within minutes, so that older entries are more
	// often wrong than right.
	entryTTL = 2 * time.Minute
	// maxHolders bounds the upstreams stored per prefix. If more than eight hold a
	// prefix, one of them nearly always has a free slot, and storing the others would
	// make the cost of a lookup proportional to the number of upstreams.
	maxHolders = 8
	// generationSize is the number of prefixes per generation. A full current
	// generation replaces the previous one, which is discarded. Two generations at
	// under 100 bytes per entry keep the index below 7 MB of the instance's 128 MB.
	generationSize = 32768
)

// Index tracks which upstreams probably have which prefixes in their cache. It is only
// a hint, because cache events are delayed and can be lost. A stale entry costs one
// prefill that takes as long as on any other upstream.
type Index struct {
	current, previous map[uint64][]holder
	// epochs holds the current epoch of each upstream, so that ResetUpstream takes
	// constant time: entries of an older epoch are invalid.
	epochs map[int]uint32
}

type holder struct {
	lastSeen time.Time
	upstream int
	epoch    uint32
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{current: make(map[uint64][]holder), epochs: make(map[int]uint32)}
}

// Store records that an upstream stored or used the prefix at now.
func (x *Index) Store(now time.Time, upstream int, hash uint64) {
	holders := x.removeHolder(upstream, hash)
	if len(holders) == maxHolders {
		holders = holders[1:]
	}
	holders = append(holders, holder{lastSeen: now, upstream: upstream, epoch: x.epochs[upstream]})
	if len(x.current) >= generationSize {
		x.previous, x.current = x.current, make(map[uint64][]holder)
	}
	delete(x.previous, hash)
	x.current[hash] = holders
}

// Remove records that an upstream evicted the prefix.
func (x *Index) Remove(upstream int, hash uint64) {
	holders := x.removeHolder(upstream, hash)
	if _, ok := x.current[hash]; ok {
		x.current[hash] = holders
	} else if _, ok := x.previous[hash]; ok {
		x.previous[hash] = holders
	}
}

// ResetUpstream invalidates all entries of an upstream, after a gap in its events or a
// restart.
func (x *Index) ResetUpstream(upstream int) { x.epochs[upstream]++ }

// Match calls visit for each upstream that probably has a prefix of the prompt in its
// cache, with the number of leading hashes (shortest prefix first) that it covers. An
// upstream may be visited again with a smaller number. The longest match counts: an
// engine that holds a prefix also holds all shorter ones, so that a lost event of a
// shorter one does not matter.
func (x *Index) Match(now time.Time, hashes []uint64, visit func(upstream, matched int)) {
	for i := len(hashes) - 1; i >= 0; i-- {
		for _, h := range x.holders(hashes[i]) {
			if h.epoch == x.epochs[h.upstream] && now.Sub(h.lastSeen) <= entryTTL {
				visit(h.upstream, i+1)
			}
		}
	}
}

func (x *Index) holders(hash uint64) []holder {
	if holders, ok := x.current[hash]; ok {
		return holders
	}
	return x.previous[hash]
}

// removeHolder removes the upstream from the holders of the prefix, in place, and
// returns the others.
func (x *Index) removeHolder(upstream int, hash uint64) []holder {
	holders := x.holders(hash)
	for i, h := range holders {
		if h.upstream == upstream {
			return append(holders[:i], holders[i+1:]...)
		}
	}
	return holders
}

// RemoveUpstream removes an upstream whose number is not used again.
func (x *Index) RemoveUpstream(upstream int) {
	// Remaining entries have an older epoch or expire; the number is never assigned
	// to another upstream.
	delete(x.epochs, upstream)
}
