package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/room"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// memoryLog is a keyed log in memory. With loseAnswers, writes take effect but return an error.
type memoryLog struct {
	port.KeyedLog
	records     []port.KeyedRecord
	loseAnswers bool
	era         uint64
}

// goBack makes the log come back from a copy with the first n records.
func (k *memoryLog) goBack(n int) {
	k.era++
	k.records = slices.Clone(k.records[:n])
	for i := range k.records {
		k.records[i].Offset = port.Position(k.era, uint64(i))
	}
}

func (k *memoryLog) end() uint64 { return port.Position(k.era, uint64(len(k.records))) }

func (k *memoryLog) Newest(context.Context, port.Topic) ([]port.KeyedRecord, uint64, error) {
	newest := map[string]port.KeyedRecord{}
	for _, r := range k.records {
		newest[r.Key] = r
	}
	var out []port.KeyedRecord
	for _, r := range newest {
		out = append(out, r)
	}
	return out, k.end(), nil
}

func (k *memoryLog) PutAt(_ context.Context, _ port.Topic, at uint64, key string, value []byte) error {
	if at != k.end() {
		return port.ErrConflict
	}
	k.records = append(k.records, port.KeyedRecord{Key: key, Value: value, Offset: at})
	if k.loseAnswers {
		return errors.New("no answer")
	}
	return nil
}

// fakeEngines records the orders sent to engines.
type fakeEngines struct {
	mu     sync.Mutex
	orders []Order
	state  EngineState
	err    error
	before func()
	// unreachable is the ID of an engine that does not answer, and silent are those of more.
	unreachable string
	silent      map[string]bool
	// stateReads holds the IDs of the engines whose state was read.
	stateReads []string
}

func (o *fakeEngines) State(_ context.Context, e upstream.Entry) (EngineState, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.before != nil {
		o.before()
	}
	o.stateReads = append(o.stateReads, e.ID)
	if e.ID == o.unreachable || o.silent[e.ID] {
		return EngineState{}, errors.New("connection refused")
	}
	return o.state, nil
}

func (o *fakeEngines) Order(_ context.Context, _ upstream.Entry, order Order) error {
	o.orders = append(o.orders, order)
	return o.err
}

func newTestRoles(gw *testGateway, log port.KeyedLog, engines EngineController, holder string) *roleController {
	return newRoleController(gw.gateway, RoleOptions{Engines: engines, Log: log, Holder: holder, IsLeader: func(string) bool { return true }, Lease: time.Second, FirstStart: true})
}

func modelDispatcher(gw *testGateway) *dispatcher {
	service := testObjects().Services[1]
	d := gw.gateway.dispatchers.get(&service)
	d.sync()
	return d
}

// Guards against one crashed engine, which seems to be the least loaded, blocking the role changes
// of all other engines while requests are refused.
func TestCrashedEngineDoesNotBlockRoleChange(t *testing.T) {
	gw := newTestGateway(t)
	d := modelDispatcher(gw)
	crashed, _ := d.prefill.leastLoaded(nil)
	engines := &fakeEngines{state: EngineState{Role: upstream.Prefill}, unreachable: crashed.ID}
	c := newTestRoles(gw, &memoryLog{}, engines, "a")
	assert.NilError(t, c.applyChange(t.Context(), d, roleChange{to: upstream.Decode, count: 1}))
	assert.Equal(t, len(engines.orders), 1)
	// An engine that failed other requests is not asked.
	gw.gateway.outliers.recordFailure(crashed)
	engines.stateReads = nil
	assert.NilError(t, c.applyChange(t.Context(), d, roleChange{to: upstream.Decode, count: 1}))
	assert.Equal(t, len(engines.stateReads), 1)
	assert.Assert(t, engines.stateReads[0] != crashed.ID)
}

// An engine changes its role. Until its entry shows the new role it refuses all requests, with or
// without a reservation, so it must not get any.
func TestEngineChangingRoleGetsNoRequests(t *testing.T) {
	gw := newTestGateway(t)
	engines := &fakeEngines{state: EngineState{Role: upstream.Prefill, Orders: 3}}
	d := modelDispatcher(gw)
	c := newTestRoles(gw, &memoryLog{}, engines, "a")
	assert.NilError(t, c.applyChange(t.Context(), d, roleChange{to: upstream.Decode, count: 1}))
	assert.DeepEqual(t, engines.orders, []Order{{Role: upstream.Decode, Holder: "a", Token: 1, Expect: 3}})
	assert.Equal(t, len(d.prefill.withdrawn), 1)
	var changing string
	for id := range d.prefill.withdrawn {
		changing = id
	}
	for range 4 {
		e, ok := d.prefill.claim(room.Demand{Tokens: 10}, nil)
		assert.Assert(t, !ok || e.ID != changing)
	}
	e := d.prefill.entries[changing]
	e.Role = upstream.Decode
	gw.state.Directory.Put(e)
	d.sync()
	assert.Equal(t, len(d.prefill.withdrawn), 0)
	assert.Equal(t, len(d.decode.allocator.Engines()), 3)
}

// An order gets no answer and may be executed seconds later. A second order would change another
// engine as well.
func TestUnansweredOrderPausesChanges(t *testing.T) {
	gw := newTestGateway(t)
	d := modelDispatcher(gw)
	engines := &fakeEngines{state: EngineState{Role: upstream.Prefill}, err: verdict.Fail(verdict.MayHaveRun, verdict.ReasonTimeout, nil, "no answer")}
	c := newTestRoles(gw, &memoryLog{}, engines, "a")
	assert.NilError(t, c.applyChange(t.Context(), d, roleChange{to: upstream.Decode, count: 1}))
	assert.Assert(t, c.pausedUntil[d.service] > boottime.Now()+unansweredOrderPause/2)
	assert.Equal(t, len(d.prefill.withdrawn), 1)
	refusing := &fakeEngines{state: EngineState{Role: upstream.Prefill}, err: verdict.Refuse(verdict.ReasonUpstreamRefused, 0, "no")}
	c = newTestRoles(gw, &memoryLog{}, refusing, "a")
	assert.NilError(t, c.applyChange(t.Context(), d, roleChange{to: upstream.Decode, count: 1}))
	assert.Equal(t, len(d.prefill.withdrawn), 1, "an engine that refused the order remains in service")
	busy := &fakeEngines{state: EngineState{Role: upstream.Prefill, Busy: true}}
	assert.Assert(t, newTestRoles(gw, &memoryLog{}, busy, "a").applyChange(t.Context(), d, roleChange{to: upstream.Decode, count: 1}) != nil)
	assert.Equal(t, len(busy.orders), 0)
}

// A role change requires measurements that call for it in two consecutive checks, and is made only
// by the leader.
func TestRoleChangeNeedsConfirmation(t *testing.T) {
	gw := newTestGateway(t)
	gw.state.Directory.Put(upstream.Entry{ID: "prefill9", Service: "model", Address: "1.2.3.4:9", Role: upstream.Prefill, Slots: 4})
	d := modelDispatcher(gw)
	for range 20 {
		d.recordPrefill(5_000, 10*time.Millisecond, false)
		d.recordCompletion(&Call{PromptTokens: 5_000}, 100, 1000, 10*time.Second)
	}
	engines := &fakeEngines{state: EngineState{Role: upstream.Prefill}}
	c := newTestRoles(gw, &memoryLog{}, engines, "a")
	c.reconcile(t.Context(), d)
	assert.Equal(t, len(engines.orders), 0)
	c.reconcile(t.Context(), d)
	assert.Equal(t, len(engines.orders), 1)
	c.reconcile(t.Context(), d)
	c.reconcile(t.Context(), d)
	assert.Equal(t, len(engines.orders), 1, "ordered again immediately")
	c.pausedUntil[d.service] = 0
	c.IsLeader = func(string) bool { return false }
	c.reconcile(t.Context(), d)
	c.reconcile(t.Context(), d)
	assert.Equal(t, len(engines.orders), 1)
}

// leastLoadedOrder returns an order to the least loaded engine.
func leastLoadedOrder(d *dispatcher, to upstream.Role, token uint64, until time.Duration) roleOrder {
	from, pool := upstream.Decode, d.decode
	if to == upstream.Decode {
		from, pool = upstream.Prefill, d.prefill
	}
	entry, _ := pool.leastLoaded(nil)
	return roleOrder{entry: entry, pool: pool, from: from, to: to, token: token, until: until}
}

// Guards against orders to the last engines of a role, because the entries of runs that have crashed are counted beside
// those of their next runs.
func TestEndedRunsAreNotCounted(t *testing.T) {
	run := func(id, address string, started int64) upstream.Entry {
		return upstream.Entry{ID: id, Address: address, Started: started}
	}
	entries := []upstream.Entry{run("new", "1", 20), run("old", "1", 10), run("older", "1", 5), run("first", "2", 10), run("second", "2", 20), run("other", "3", 1), run("a", "4", 7), run("b", "4", 7)}
	assert.DeepEqual(t, endedRuns(entries), map[string]bool{"old": true, "older": true, "first": true})
}

// modelFleet returns a controller of a fleet whose model service has the given engines, and which has served nothing.
func modelFleet(t *testing.T, prefill, decode int) (*testGateway, *roleController, *fakeEngines) {
	t.Helper()
	gw := newTestGateway(t)
	for _, e := range gw.state.Directory.Service("model") {
		gw.state.Directory.Remove(e.ID)
	}
	for n := range prefill + decode {
		role := upstream.Prefill
		if n >= prefill {
			role = upstream.Decode
		}
		gw.state.Directory.Put(upstream.Entry{ID: fmt.Sprint("e", n), Service: "model", Address: fmt.Sprint("1.2.3.5:", n), Role: role, Slots: 4})
	}
	engines := &fakeEngines{}
	return gw, newTestRoles(gw, &memoryLog{}, engines, "a"), engines
}

// Guards against a role that stays without engines at an instance that has measured nothing and got no requests, and
// against orders while entries may be missing only because the store was unavailable.
func TestMissingRoleNeedsNoMeasurements(t *testing.T) {
	cases := []struct {
		prefill, decode int
		to              upstream.Role
		orders          int
	}{
		{3, 0, upstream.Decode, 1}, {1, 0, upstream.Decode, 1}, {0, 3, upstream.Prefill, 1}, {0, 1, 0, 0}, {1, 1, 0, 0}, {8, 1, 0, 0},
	}
	for _, k := range cases {
		gw, c, engines := modelFleet(t, k.prefill, k.decode)
		engines.state = EngineState{Role: upstream.Prefill}
		if k.to == upstream.Prefill {
			engines.state.Role = upstream.Decode
		}
		for range missingRoleConfirmations - 1 {
			for _, d := range gw.gateway.modelDispatchers() {
				c.reconcile(t.Context(), d)
			}
		}
		assert.Equal(t, len(engines.orders), 0)
		for range 3 {
			for _, d := range gw.gateway.modelDispatchers() {
				c.reconcile(t.Context(), d)
			}
		}
		assert.Equal(t, len(engines.orders), k.orders, "%d prefill, %d decode", k.prefill, k.decode)
		if k.orders > 0 {
			assert.Equal(t, engines.orders[0].Role, k.to)
		}
	}
}

// Guards against a second engine that is taken from a role while the first, ordered by an instance that has ended, is
// still changing, and against an engine whose change never ends.
func TestMissingRoleWaitsForAnEarlierOrder(t *testing.T) {
	gw, c, engines := modelFleet(t, 3, 0)
	engines.state = EngineState{Role: upstream.Prefill, Busy: true}
	check := func() {
		for range missingRoleConfirmations {
			c.reconcile(t.Context(), modelDispatcher(gw))
		}
	}
	check()
	check()
	assert.Equal(t, len(engines.stateReads), 1, "no engine is asked while one is changing")
	assert.Equal(t, len(engines.orders), 0)
	stuck := engines.stateReads[0]
	engines.before = func() { engines.state.Busy = len(engines.stateReads)%2 == 1 }
	c.pausedUntil[modelDispatcher(gw).service] = 0
	check()
	assert.Equal(t, engines.stateReads[1], stuck)
	assert.Equal(t, len(engines.orders), 1, "another engine is ordered")
}

// Guards against orders that take the last engine that answers from its role, because the others are listed and answer nothing.
func TestLastAnsweringEngineKeepsItsRole(t *testing.T) {
	gw, c, engines := modelFleet(t, 2, 4)
	d := modelDispatcher(gw)
	for range 20 {
		d.recordPrefill(50_000, 10*time.Second, false)
		d.recordCompletion(&Call{PromptTokens: 50_000}, 1, 1, 10*time.Millisecond)
	}
	engines.state = EngineState{Role: upstream.Decode}
	engines.silent = map[string]bool{"e3": true, "e4": true, "e5": true}
	for range 2 * roleConfirmations {
		c.reconcile(t.Context(), d)
	}
	assert.Equal(t, len(engines.orders), 0)
	delete(engines.silent, "e5")
	for range 2 * roleConfirmations {
		c.reconcile(t.Context(), d)
	}
	assert.Equal(t, len(engines.orders), 1, "one can be spared")
}

// Guards against engines that are asked for their state while they show by requests that they answer.
func TestWorkingEnginesAreNotAsked(t *testing.T) {
	gw, c, engines := modelFleet(t, 2, 2)
	gw.gateway.Features.EjectFailing = true
	d := modelDispatcher(gw)
	for _, e := range gw.state.Directory.Service("model") {
		gw.gateway.recordOutcome(d.pool(e.Role), e.ID, outcome{work: 1})
	}
	c.reconcile(t.Context(), d)
	assert.Equal(t, len(engines.stateReads), 0)
}
