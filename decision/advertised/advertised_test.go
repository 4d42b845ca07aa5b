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

// Guards against a backoff that ends before its time, because a shorter one was asked for later.
func TestBackoffHoldsToTheLaterEnd(t *testing.T) {
	table := NewTable()
	start := time.Minute
	assert.Assert(t, table.RecordBackoff(start, 1, 3*time.Second))
	assert.Assert(t, !table.RecordBackoff(start+time.Second, 1, time.Second))
	left, backingOff := table.Backoff(start+2500*time.Millisecond, 1)
	assert.Assert(t, backingOff)
	assert.Equal(t, left, 500*time.Millisecond)
	table.Sweep(start+2500*time.Millisecond, func(Key) bool { return false })
	_, backingOff = table.Backoff(start+2500*time.Millisecond, 1)
	assert.Assert(t, backingOff, "the entry is away")
	assert.Assert(t, !table.RecordBackoff(start+2500*time.Millisecond, 1, time.Second))
	_, backingOff = table.Backoff(start+3200*time.Millisecond, 1)
	assert.Assert(t, backingOff)
	_, backingOff = table.Backoff(start+3500*time.Millisecond, 1)
	assert.Assert(t, !backingOff)
	table.Sweep(start+4*time.Second, func(Key) bool { return true })
	assert.Assert(t, table.IsEmpty())
}

// Guards against a run that leaves and is forgotten while it is listed, or by an instance that only others have
// told, and against runs that instances keep reporting to each other forever.
func TestLeavingIsRememberedWhileListed(t *testing.T) {
	table := NewTable()
	start := time.Minute
	assert.Assert(t, table.RecordLeaving(start, 1) && !table.RecordLeaving(start, 1))
	now := start
	for now < start+2*leavingRetention {
		now += leavingReportTime / 2
		table.Sweep(now, func(Key) bool { return true })
		assert.Assert(t, table.IsLeaving(1))
		assert.DeepEqual(t, table.LeavingToReport(now), []Key{1})
	}
	gone := func(Key) bool { return false }
	table.Sweep(now+leavingRetention, gone)
	assert.Assert(t, table.IsLeaving(1), "an outdated entry may come back")
	assert.Equal(t, len(table.LeavingToReport(now+leavingReportTime+1)), 0)
	table.Sweep(now+leavingRetention+1, gone)
	assert.Assert(t, table.IsEmpty())
}
