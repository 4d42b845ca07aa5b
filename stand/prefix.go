package stand

import (
	"container/list"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// maxEvents is how many cache events an engine retains; readers that fall behind miss
// older ones. It covers several seconds of long prompts.
const maxEvents = 16384

// prefixCache is an LRU cache of the hashes of prompt prefixes. It reports changes as
// events that are delayed and sometimes lost.
type prefixCache struct {
	max       int
	lossEvery uint64
	// lru lists the hashes, least recently used first; elements maps each hash to its
	// list element.
	lru      *list.List
	elements map[uint64]*list.Element
	seq      uint64
	events   []delayedEvent
}

type delayedEvent struct {
	due   time.Time
	event wire.CacheEvent
}

func newPrefixCache(max int, lossEvery uint64) *prefixCache {
	return &prefixCache{max: max, lossEvery: lossEvery, lru: list.New(), elements: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks that are cached.
func (c *prefixCache) match(hashes []uint64) int {
	for blocks, hash := range hashes {
		if c.elements[hash] == nil {
			return blocks
		}
	}
	return len(hashes)
}

// store adds the blocks of a prompt. Readers can see the resulting events from due on.
func (c *prefixCache) store(hashes []uint64, due time.Time) {
	for _, hash := range hashes {
		if element := c.elements[hash]; element != nil {
			c.lru.MoveToBack(element)
			continue
		}
		c.elements[hash] = c.lru.PushBack(hash)
		c.emit(hash, true, due)
	}
	for c.lru.Len() > c.max {
		oldest := c.lru.Remove(c.lru.Front()).(uint64)
		delete(c.elements, oldest)
		c.emit(oldest, false, due)
	}
}

func (c *prefixCache) emit(hash uint64, stored bool, due time.Time) {
	c.seq++
	if c.seq%c.lossEvery == 0 {
		return
	}
	event := wire.CacheEvent{Seq: c.seq, Hash: hash, Stored: stored}
	c.events = append(c.events, delayedEvent{due, event})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// after returns the events that follow seq and are due.
func (c *prefixCache) after(seq uint64, now time.Time) []wire.CacheEvent {
	out := []wire.CacheEvent{}
	for _, delayed := range c.events {
		if delayed.event.Seq > seq && !delayed.due.After(now) {
			out = append(out, delayed.event)
		}
	}
	return out
}
