package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/upstream"
)

// Two instances want to change engines at once. If both gave orders, engines would switch back and
// forth between the roles; engines that do not check tokens obey both.
func TestOneHolderAtATime(t *testing.T) {
	gw := newTestGateway(t)
	log := &memoryLog{}
	engines := &fakeEngines{state: EngineState{Role: upstream.Prefill}}
	d := modelDispatcher(gw)
	first, second := newTestRoles(gw, log, engines, "a"), newTestRoles(gw, log, engines, "b")
	_, _, err := first.acquireLease(t.Context(), d.service, roleChange{})
	assert.NilError(t, err)
	_, _, err = second.acquireLease(t.Context(), d.service, roleChange{})
	assert.ErrorIs(t, err, errHeldByOther)
	token, _, err := first.acquireLease(t.Context(), d.service, roleChange{})
	assert.NilError(t, err)
	assert.Equal(t, token, uint64(2))
	second.observed[d.service] = holderObservation{position: 1, firstSeen: boottime.Now() - takeoverLeases*time.Second - time.Millisecond}
	token, _, err = second.acquireLease(t.Context(), d.service, roleChange{})
	assert.NilError(t, err, "a holder that was not seen renewing for several leases")
	assert.Equal(t, token, uint64(3))
	_, _, err = first.acquireLease(t.Context(), d.service, roleChange{})
	assert.ErrorIs(t, err, errHeldByOther)
}

// Guards against two holders, or a fencing token that was used before, when the store comes back from a copy that lacks
// the lease.
func TestLeaseIsNotGivenOutAgainAfterTheStoreCameBack(t *testing.T) {
	gw := newTestGateway(t)
	log := &memoryLog{}
	d := modelDispatcher(gw)
	first, second := newTestRoles(gw, log, &fakeEngines{}, "a"), newTestRoles(gw, log, &fakeEngines{}, "b")
	second.observeHolders(t.Context())
	held, _, err := first.acquireLease(t.Context(), d.service, roleChange{})
	assert.NilError(t, err)
	log.goBack(0)
	_, _, err = second.acquireLease(t.Context(), d.service, roleChange{})
	assert.ErrorIs(t, err, errEraNotSettled)
	_, _, err = first.acquireLease(t.Context(), d.service, roleChange{})
	assert.ErrorIs(t, err, errEraNotSettled)
	second.eraSettled = boottime.Now()
	token, _, err := second.acquireLease(t.Context(), d.service, roleChange{})
	assert.NilError(t, err)
	assert.Assert(t, token > held, "token %d after %d", token, held)
	late := newTestRoles(gw, log, &fakeEngines{}, "c")
	late.eraSettled = boottime.Now() + late.Lease
	_, _, err = late.acquireLease(t.Context(), d.service, roleChange{})
	assert.ErrorIs(t, err, errEraNotSettled, "an instance that has just started does not know what the store has lost")
}

// The machine is suspended between the write that acquires the lease and the order. Another
// instance may hold the lease by then.
func TestExpiredLeaseHolderGivesNoOrder(t *testing.T) {
	gw := newTestGateway(t)
	engines := &fakeEngines{state: EngineState{Role: upstream.Prefill}}
	c := newTestRoles(gw, &memoryLog{}, engines, "a")
	d := modelDispatcher(gw)
	err := c.orderChange(t.Context(), d, leastLoadedOrder(d, upstream.Decode, 1, boottime.Now()))
	assert.ErrorContains(t, err, "lease")
	assert.Equal(t, len(engines.orders), 0)
	// If the write's answer is lost, it is unknown whether this instance holds the lease.
	_, _, err = newTestRoles(gw, &memoryLog{loseAnswers: true}, engines, "a").acquireLease(t.Context(), d.service, roleChange{})
	assert.Assert(t, err != nil)
}

// The holder was killed while an engine was leaving, and another instance sees that too few engines
// prefill. If it started observing the holder only then, callers would wait until the leases have
// passed.
func TestObservedHolderIsReplacedAtOnce(t *testing.T) {
	gw := newTestGateway(t)
	log := &memoryLog{}
	d := modelDispatcher(gw)
	_, _, err := newTestRoles(gw, log, &fakeEngines{}, "a").acquireLease(t.Context(), d.service, roleChange{})
	assert.NilError(t, err)
	other := newTestRoles(gw, log, &fakeEngines{}, "b")
	other.observeHolders(t.Context())
	seen := other.observed[d.service]
	seen.firstSeen -= takeoverLeases*time.Second + time.Millisecond
	other.observed[d.service] = seen
	_, _, err = other.acquireLease(t.Context(), d.service, roleChange{})
	assert.NilError(t, err)
	restarted := newTestRoles(gw, log, &fakeEngines{}, "b")
	_, _, err = restarted.acquireLease(t.Context(), d.service, roleChange{})
	assert.NilError(t, err, "an earlier run of the same instance")
}

// Guards against a takeover that waits a full period from the attempt that failed, and not from when the holder was seen.
func TestTakeoverIsTriedWhenTheHolderMayBeReplaced(t *testing.T) {
	gw, c, _ := modelFleet(t, 3, 0)
	d := modelDispatcher(gw)
	log := &memoryLog{}
	_, _, err := newTestRoles(gw, log, &fakeEngines{}, "ended").acquireLease(t.Context(), d.service, roleChange{})
	assert.NilError(t, err)
	c.Log, c.Lease = log, time.Minute
	assert.Assert(t, c.observeHolders(t.Context()))
	delay := c.takeoverDelay(roleChange{reason: noEngine})
	seen := boottime.Now() - delay + c.Lease/2
	c.observed[d.service] = holderObservation{c.observed[d.service].position, seen}
	for range missingRoleConfirmations {
		c.reconcile(t.Context(), d)
	}
	assert.Assert(t, c.pausedUntil[d.service] <= seen+delay, "the next attempt is %v late", c.pausedUntil[d.service]-seen-delay)
	assert.Assert(t, c.confirmations[d.service] >= missingRoleConfirmations, "the change must be confirmed again")
}

// Guards against role changes that wait for an instance that has ended, although it gives no more orders, and against a
// second holder while it may.
func TestReleasedLeaseIsAcquiredAtOnce(t *testing.T) {
	missing := roleChange{reason: noEngine}
	gw, first, _ := modelFleet(t, 3, 0)
	d := modelDispatcher(gw)
	log := first.Log
	token, _, err := first.acquireLease(t.Context(), d.service, missing)
	assert.NilError(t, err)
	first.releaseIfUnused(t.Context(), d.service)
	second := newTestRoles(gw, log, &fakeEngines{}, "b")
	_, _, err = second.acquireLease(t.Context(), d.service, missing)
	assert.ErrorIs(t, err, errHeldByOther, "its orders may still arrive")
	expire := func() {
		held := first.held[d.service]
		assert.Assert(t, held.releaseAt >= boottime.Now()+first.Lease, "released before a lease has passed after its last order")
		held.releaseAt = 0
		first.held[d.service] = held
	}
	first.keepLease(d.service, time.Hour)
	expire()
	first.releaseIfUnused(t.Context(), d.service)
	assert.Equal(t, len(first.held), 0)
	_, _, err = second.acquireLease(t.Context(), d.service, roleChange{})
	assert.ErrorIs(t, err, errHeldByOther, "the effect of its orders may not be measured yet")
	next, _, err := second.acquireLease(t.Context(), d.service, missing)
	assert.NilError(t, err)
	assert.Assert(t, next > token)
	// A holder that was replaced releases nothing.
	first.held[d.service] = heldLease{position: token - 1}
	before := log.(*memoryLog).end()
	first.releaseIfUnused(t.Context(), d.service)
	assert.Equal(t, log.(*memoryLog).end(), before)
	_, _, err = first.acquireLease(t.Context(), d.service, missing)
	assert.ErrorIs(t, err, errHeldByOther)
}

// Guards against two holders whose orders are less than a lease apart when the first has ended without releasing its lease.
func TestTakeoverForAMissingRoleLeavesALeaseBetweenOrders(t *testing.T) {
	gw, c, _ := modelFleet(t, 3, 0)
	d := modelDispatcher(gw)
	c.Lease = time.Minute
	started := boottime.Now()
	_, until, err := newTestRoles(gw, c.Log, &fakeEngines{}, "ended").acquireLease(t.Context(), d.service, roleChange{})
	assert.NilError(t, err)
	for _, change := range []roleChange{{reason: noEngine}, {reason: silentEngines}, {}} {
		lastArrival := until - started + roleCallTimeout
		assert.Assert(t, c.takeoverDelay(change) >= lastArrival+c.Lease, "reason %v", change.reason)
	}
}
