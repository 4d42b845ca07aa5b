package upstream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const renewal = 1200 * time.Millisecond

// Guards against an upstream that has left and still gets requests beyond the bound, because a single
// failed read counts as an outage of the store.
func TestFailedReadDoesNotPostponeRemoval(t *testing.T) {
	r := Removals{RenewInterval: renewal}
	now := time.Minute
	r.CaughtUp(now, now)
	now += time.Second
	r.ReadFailed()
	now += time.Second
	r.Reachable(now)
	assert.Assert(t, r.Remove(now, "left"), "the removal is postponed after one failed read")
	r.CaughtUp(now, now-100*time.Millisecond)
	assert.Assert(t, r.Remove(now, "also left"))
}

// Guards against removals that are postponed for as long as the store rejects an instance that hears
// of all records from others.
func TestRejectedInstanceDoesNotPostponeRemovals(t *testing.T) {
	r := Removals{RenewInterval: renewal}
	for now := time.Minute; now < 2*time.Minute; now += 200 * time.Millisecond {
		r.ReadFailed()
		r.CaughtUp(now, now-time.Second)
		assert.Assert(t, r.Remove(now, "left"))
	}
}

// Guards against the loss of all upstreams whose entries expired during an outage of the store, for the
// time until they are registered again.
func TestRemovalsArePostponedAfterOutage(t *testing.T) {
	for _, outage := range []time.Duration{2 * renewal, 5 * time.Second, time.Minute} {
		r := Removals{RenewInterval: renewal}
		start := time.Minute
		r.CaughtUp(start, start)
		r.ReadFailed()
		now := start + outage
		r.Reachable(now)
		assert.Assert(t, !r.Remove(now, "expired") && !r.Remove(now, "gone"))
		assert.Assert(t, !r.Restore("other") && r.Restore("expired"))
		assert.Equal(t, len(r.CaughtUp(now+reregistrationTime-1, now)), 0)
		assert.DeepEqual(t, r.CaughtUp(now+reregistrationTime, now), []string{"gone"})
		assert.Assert(t, r.Remove(now+reregistrationTime, "left"))
	}
}

// Guards against removals before the first read that are taken for those after an outage.
func TestFirstReadIsNoOutage(t *testing.T) {
	r := Removals{RenewInterval: renewal}
	r.ReadFailed()
	r.CaughtUp(time.Minute, time.Minute)
	assert.Assert(t, r.Remove(time.Minute, "left"))
}
