package rate

import (
	"sync"
	"time"
)

// doubts remembers shards whose home did not answer. Without it every request would
// wait for the same dead home anew.
type doubts struct {
	now    func() time.Duration
	mu     sync.Mutex
	shards [Shards]doubt
}

// doubt is about one shard; since is zero when there is none.
type doubt struct {
	since, until time.Duration
}

func (d *doubts) failed(shard uint32) {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.shards[shard]
	if s.since == 0 {
		s.since = now
	}
	s.until = now + doubtFor
}

func (d *doubts) answered(shard uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shards[shard] = doubt{}
}

// isDoubtful reports whether to pass over the shard without asking.
func (d *doubts) isDoubtful(shard uint32) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now() < d.shards[shard].until
}

// isFresh reports whether the shard's home may be back at once.
func (d *doubts) isFresh(shard uint32) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shards[shard]
	return s.since != 0 && d.now() < s.since+freshDoubt
}
