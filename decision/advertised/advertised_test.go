package advertised

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func limited(rate float64, at time.Duration) Statement {
	return Statement{Limited: true, PerSecond: rate, At: at}
}

// Guards against an older statement, heard from another instance, that replaces a newer one.
func TestNewestStatementHolds(t *testing.T) {
	table := NewTable()
	assert.Assert(t, table.Record(1, limited(4.9, 10)))
	assert.Assert(t, !table.Record(1, limited(4.9, 11)), "the rate has not changed")
	assert.Assert(t, !table.Record(1, limited(50, 9)))
	s, ok := table.Limit(1)
	assert.Assert(t, ok && s.PerSecond == 4.9)
	assert.Assert(t, table.Record(1, limited(0, 12)))
	assert.Assert(t, table.Record(1, Statement{At: 20}))
	assert.Assert(t, !table.Record(1, limited(4.9, 19)), "the limit has ended since")
	_, ok = table.Limit(1)
	assert.Assert(t, !ok)
}

// Guards against memory for upstreams that never name a rate, and for those that are gone.
func TestOnlyLimitedUpstreamsAreKept(t *testing.T) {
	table := NewTable()
	assert.Assert(t, !table.Record(1, Statement{At: 5}))
	table.Record(2, limited(1, 5))
	table.Record(3, limited(1, 5))
	table.Record(4, limited(1, 5))
	table.MarkSpent(5, 2, time.Second)
	table.Record(4, Statement{At: 6})
	exists := func(key Key) bool { return key != 2 }
	table.Sweep(endRetention, exists)
	assert.DeepEqual(t, table.Keys(), []Key{3, 4})
	_, spent := table.Spent(6, 2)
	assert.Assert(t, !spent)
	table.Sweep(endRetention+7, exists)
	assert.DeepEqual(t, table.Keys(), []Key{3})
}

// Guards against an upstream that names zero and is never asked again whether it still does.
func TestZeroRateLeavesATrial(t *testing.T) {
	s := limited(0, 1)
	assert.Assert(t, s.Rate() > 0)
	const allowedPerWindow, window = 5.0, 4.0
	assert.Assert(t, s.Burst()+s.Rate()*window <= allowedPerWindow)
}

// Guards against requests that are sent before there is room again, and after a limit has ended.
func TestSpentUntilRoom(t *testing.T) {
	table := NewTable()
	table.Record(1, limited(2, 1))
	start := time.Minute
	table.MarkSpent(start, 1, 3*time.Second)
	retry, spent := table.Spent(start+maxRecheck/2, 1)
	assert.Assert(t, spent)
	assert.Equal(t, retry, 3*time.Second-maxRecheck/2)
	_, spent = table.Spent(start+maxRecheck, 1)
	assert.Assert(t, !spent, "the rate may have changed")
	table.MarkSpent(start, 1, 0)
	_, spent = table.Spent(start+minRecheck-1, 1)
	assert.Assert(t, spent)
	table.Record(1, Statement{At: start + 1})
	_, spent = table.Spent(start+1, 1)
	assert.Assert(t, !spent, "the limit has ended")
}
