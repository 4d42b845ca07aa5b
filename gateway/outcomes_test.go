package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/fleet"
)

// Guards against outcomes that are counted twice, lost with a report, or taken from an earlier run of their sender.
func TestOutcomesOfOthersAreCountedOnce(t *testing.T) {
	o := newOutcomes()
	var seen fleet.Totals
	o.observers = append(o.observers, func(_ time.Duration, _ string, ended fleet.Totals) {
		seen = fleet.Totals{Ended: seen.Ended + ended.Ended, Failed: seen.Failed + ended.Failed, Work: seen.Work + ended.Work, Busy: seen.Busy + ended.Busy}
	})
	totals := func(ended, failed uint32) fleet.Totals {
		return fleet.Totals{Ended: ended, Failed: failed, Work: uint64(ended - failed), Busy: time.Duration(ended-failed) * time.Millisecond}
	}
	o.applyTotals(0, "b", "u", totals(100, 50))
	assert.Equal(t, seen, fleet.Totals{}, "their age is unknown")
	o.applyTotals(0, "b", "u", totals(103, 51))
	o.applyTotals(0, "b", "u", totals(103, 51))
	assert.Equal(t, seen, totals(3, 1))
	o.applyTotals(0, "b", "u", totals(110, 51))
	assert.Equal(t, seen, totals(10, 1), "the lost reports are made up for")
	o.applyTotals(0, "b", "u", totals(2, 2))
	assert.Equal(t, seen, totals(12, 3), "the sender has started again")
}

// Guards against totals that are lost with a single report, and against reports that grow with all upstreams ever used.
func TestTotalsAreReportedForSomeTime(t *testing.T) {
	o := newOutcomes()
	o.record(0, "u", outcome{failed: true})
	loads := make(map[fleet.Hash]fleet.Load)
	o.addChanged(outcomeReportTime, loads)
	assert.Equal(t, loads[fleet.ShortHashOf("u")].Totals, fleet.Totals{Ended: 1, Failed: 1})
	clear(loads)
	o.addChanged(outcomeReportTime+1, loads)
	assert.Equal(t, len(loads), 0)
}

// Guards against an upstream that counts as failing all requests although one was answered, or went on, in between.
func TestFailuresInARowEndWithWork(t *testing.T) {
	o := newOutcomes()
	failed, answered := outcome{failed: true}, outcome{work: 1}
	o.record(1, "u", failed)
	o.record(2, "u", failed)
	assert.Equal(t, o.failing["u"], failureRun{first: 1, last: 2, count: 2})
	for at, work := range []outcome{answered, {progress: true, work: 1}} {
		o.record(time.Duration(10+at), "u", work)
		assert.Equal(t, o.failing["u"], failureRun{})
		o.record(time.Duration(20+at), "u", failed)
	}
	o.applyTotals(30, "b", "u", fleet.Totals{Ended: 4, Failed: 4})
	o.applyTotals(31, "b", "u", fleet.Totals{Ended: 6, Failed: 6})
	assert.Equal(t, o.failing["u"], failureRun{first: 21, last: 31, count: 3})
	o.applyTotals(32, "b", "u", fleet.Totals{Ended: 8, Failed: 7, Work: 1})
	assert.Equal(t, o.failing["u"], failureRun{})
}
