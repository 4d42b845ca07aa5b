package rate

import (
	"sync"
	"time"
)

// homeFailures tracks the shards whose home did not respond. Without it every request would
// wait for the timeout of the same dead home.
type homeFailures struct {
	now    func() time.Duration
	mu     sync.Mutex
	shards [Shards]homeFailure
}

// homeFailure is the failure of one shard's home: the time of the first failure, zero if
// there is none, and the time until which requests skip the shard.
type homeFailure struct {
	since, until time.Duration
}

func (f *homeFailures) recordFailure(shard uint32) {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.shards[shard]
	if s.since == 0 {
		s.since = now
	}
	s.until = now + skipFailedFor
}

func (f *homeFailures) recordSuccess(shard uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shards[shard] = homeFailure{}
}

// shouldSkip reports whether to skip the shard without a call to its home.
func (f *homeFailures) shouldSkip(shard uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now() < f.shards[shard].until
}

// isRecent reports whether the shard's home failed recently and may soon respond again.
func (f *homeFailures) isRecent(shard uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.shards[shard]
	return s.since != 0 && f.now() < s.since+recentFailureWindow
}
