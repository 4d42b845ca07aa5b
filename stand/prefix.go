package stand

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// eventsKept bounds the cache events that an engine still tells; older ones are
// lost to a reader that comes late.
const eventsKept = 1024

// prefixCache remembers the hashes of prompt prefixes, least recently used out
// first, and tells of changes late and with gaps.
type prefixCache struct {
	max       int
	lossEvery uint64
	// recent lists the hashes, least recently used first.
	recent []uint64
	seq    uint64
	events []lateEvent
}

type lateEvent struct {
	due   time.Time
	event wire.CacheEvent
}

// match returns how many leading blocks are cached.
func (c *prefixCache) match(hashes []uint64) int {
	blocks := 0
	for blocks < len(hashes) && slices.Contains(c.recent, hashes[blocks]) {
		blocks++
	}
	return blocks
}

// store puts the blocks of a prompt in; due is when readers learn of it.
func (c *prefixCache) store(hashes []uint64, due time.Time) {
	for _, hash := range hashes {
		if at := slices.Index(c.recent, hash); at >= 0 {
			c.recent = slices.Delete(c.recent, at, at+1)
		} else {
			c.tell(hash, true, due)
		}
		c.recent = append(c.recent, hash)
	}
	for len(c.recent) > c.max {
		c.tell(c.recent[0], false, due)
		c.recent = c.recent[1:]
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
