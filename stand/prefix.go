package stand

import (
	"container/list"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// eventsKept bounds the cache events that an engine still tells; older ones are
// lost to a reader that comes late. It covers some seconds of long prompts.
const eventsKept = 16384

// prefixCache remembers the hashes of prompt prefixes, least recently used out
// first, and tells of changes late and with gaps.
type prefixCache struct {
	max       int
	lossEvery uint64
	// recent holds the hashes, least recently used first; places finds them.
	recent *list.List
	places map[uint64]*list.Element
	seq    uint64
	events []lateEvent
}

type lateEvent struct {
	due   time.Time
	event wire.CacheEvent
}

func newPrefixCache(max int, lossEvery uint64) *prefixCache {
	return &prefixCache{max: max, lossEvery: lossEvery, recent: list.New(), places: map[uint64]*list.Element{}}
}

// match returns how many leading blocks are cached.
func (c *prefixCache) match(hashes []uint64) int {
	for blocks, hash := range hashes {
		if c.places[hash] == nil {
			return blocks
		}
	}
	return len(hashes)
}

// store puts the blocks of a prompt in; due is when readers learn of it.
func (c *prefixCache) store(hashes []uint64, due time.Time) {
	for _, hash := range hashes {
		if place := c.places[hash]; place != nil {
			c.recent.MoveToBack(place)
			continue
		}
		c.places[hash] = c.recent.PushBack(hash)
		c.tell(hash, true, due)
	}
	for c.recent.Len() > c.max {
		oldest := c.recent.Remove(c.recent.Front()).(uint64)
		delete(c.places, oldest)
		c.tell(oldest, false, due)
	}
}

func (c *prefixCache) tell(hash uint64, stored bool, due time.Time) {
	c.seq++
	if c.seq%c.lossEvery == 0 {
		return
	}
	event := wire.CacheEvent{Seq: c.seq, Hash: hash, Stored: stored}
	c.events = append(c.events, lateEvent{due, event})
	if len(c.events) > eventsKept {
		c.events = c.events[1:]
	}
}

// after returns the events that are due and follow seq.
func (c *prefixCache) after(seq uint64, now time.Time) []wire.CacheEvent {
	out := []wire.CacheEvent{}
	for _, late := range c.events {
		if late.event.Seq > seq && !late.due.After(now) {
			out = append(out, late.event)
		}
	}
	return out
}
