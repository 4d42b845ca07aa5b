package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/room"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// topic is a keyed topic in memory. lost makes writes take effect without an answer.
type topic struct {
	port.KeyedLog
	records []port.KeyedRecord
	lost    bool
}

func (k *topic) Newest(context.Context, port.Topic) ([]port.KeyedRecord, uint64, error) {
	newest := map[string]port.KeyedRecord{}
	for _, r := range k.records {
		newest[r.Key] = r
	}
	var out []port.KeyedRecord
	for _, r := range newest {
		out = append(out, r)
	}
	return out, uint64(len(k.records)), nil
}

func (k *topic) PutAt(_ context.Context, _ port.Topic, at uint64, key string, value []byte) error {
	if at != uint64(len(k.records)) {
		return port.ErrConflict
	}
	k.records = append(k.records, port.KeyedRecord{Key: key, Value: value, Offset: at})
	if k.lost {
		return errors.New("no answer")
	}
	return nil
}

// ordered notes the orders that engines get.
type ordered struct {
	orders []Order
	state  EngineState
	err    error
	before func()
	// gone is an engine that does not answer.
	gone string
	// asked are the engines whose state was read.
	asked []string
}

func (o *ordered) State(_ context.Context, e upstream.Entry) (EngineState, error) {
	if o.before != nil {
		o.before()
	}
	o.asked = append(o.asked, e.ID)
	if e.ID == o.gone {
		return EngineState{}, errors.New("connection refused")
	}
	return o.state, nil
}

func (o *ordered) Order(_ context.Context, _ upstream.Entry, order Order) error {
	o.orders = append(o.orders, order)
	return o.err
}

func keeper(w *world, log port.KeyedLog, engines EngineController, holder string) *roleKeeper {
	return &roleKeeper{
		RoleOptions: RoleOptions{Engines: engines, Log: log, Holder: holder, IsLeader: func(string) bool { return true }, Lease: time.Second},
		gateway:     w.gateway, wanted: map[string]int{}, quiet: map[string]time.Duration{}, seen: map[string]sighting{},
	}
}

func modelDesk(w *world) *desk {
	service := set().Services[1]
	d := w.gateway.desks.get(&service)
	d.sync()
	return d
}

// Guards against one crashed engine, which seems to have the least to do, that keeps all others
// from changing while requests are refused.
func TestCrashedEngineDoesNotStopTheChange(t *testing.T) {
	w := newWorld(t)
	d := modelDesk(w)
	crashed, _ := d.prefill.idlest(nil)
	engines := &ordered{state: EngineState{Role: upstream.Prefill}, gone: crashed.ID}
	k := keeper(w, &topic{}, engines, "a")
	assert.NilError(t, k.carryOut(t.Context(), d, upstream.Decode, 1))
	assert.Equal(t, len(engines.orders), 1)
	// One that others have failed to reach is not asked.
	w.gateway.suspects.fail(crashed)
	engines.asked = nil
	assert.NilError(t, k.carryOut(t.Context(), d, upstream.Decode, 1))
	assert.Equal(t, len(engines.asked), 1)
	assert.Assert(t, engines.asked[0] != crashed.ID)
}

// An engine changes its stage. Until its entry shows the new one it refuses what is
// sent to it, reservations or not, so that it must get nothing.
func TestChangingEngineGetsNothing(t *testing.T) {
	w := newWorld(t)
	engines := &ordered{state: EngineState{Role: upstream.Prefill, Orders: 3}}
	d := modelDesk(w)
	k := keeper(w, &topic{}, engines, "a")
	assert.NilError(t, k.carryOut(t.Context(), d, upstream.Decode, 1))
	assert.DeepEqual(t, engines.orders, []Order{{Role: upstream.Decode, Holder: "a", Token: 1, Expect: 3}})
	assert.Equal(t, len(d.prefill.away), 1)
	var changing string
	for id := range d.prefill.away {
		changing = id
	}
	for range 4 {
		e, ok := d.prefill.claim(room.Need{Tokens: 10}, nil)
		assert.Assert(t, !ok || e.ID != changing)
	}
	e := d.prefill.entries[changing]
	e.Role = upstream.Decode
	w.state.Directory.Put(e)
	d.sync()
	assert.Equal(t, len(d.prefill.away), 0)
	assert.Equal(t, len(d.decode.room.Engines()), 3)
}

// Two instances want to change engines at once. If both gave orders, engines would go
// to and fro between the stages, and those that do not check tokens obey both.
func TestOneHolderAtATime(t *testing.T) {
	w := newWorld(t)
	log := &topic{}
	engines := &ordered{state: EngineState{Role: upstream.Prefill}}
	d := modelDesk(w)
	first, second := keeper(w, log, engines, "a"), keeper(w, log, engines, "b")
	_, _, err := first.become(t.Context(), d.service)
	assert.NilError(t, err)
	_, _, err = second.become(t.Context(), d.service)
	assert.ErrorIs(t, err, errHeld)
	token, _, err := first.become(t.Context(), d.service)
	assert.NilError(t, err)
	assert.Equal(t, token, uint64(2))
	second.seen[d.service] = sighting{offset: 1, at: boottime.Now() - takeover*time.Second - time.Millisecond}
	token, _, err = second.become(t.Context(), d.service)
	assert.NilError(t, err, "a holder that was not seen renewing for several leases")
	assert.Equal(t, token, uint64(3))
	_, _, err = first.become(t.Context(), d.service)
	assert.ErrorIs(t, err, errHeld)
}

// The machine is suspended between the write that made it the holder and its order.
// Another may hold by now.
func TestLateHolderGivesNoOrder(t *testing.T) {
	w := newWorld(t)
	engines := &ordered{state: EngineState{Role: upstream.Prefill}}
	k := keeper(w, &topic{}, engines, "a")
	d := modelDesk(w)
	err := k.order(t.Context(), d, orderTo(d, upstream.Decode, 1, boottime.Now()))
	assert.ErrorContains(t, err, "lease")
	assert.Equal(t, len(engines.orders), 0)
	// The write's answer is lost: whether this instance holds is not known.
	_, _, err = keeper(w, &topic{lost: true}, engines, "a").become(t.Context(), d.service)
	assert.Assert(t, err != nil)
}

// An order gets no answer and may be carried out seconds later. A second one would
// change another engine too.
func TestUnansweredOrderIsWaitedOut(t *testing.T) {
	w := newWorld(t)
	d := modelDesk(w)
	engines := &ordered{state: EngineState{Role: upstream.Prefill}, err: verdict.Fail(verdict.MayHaveRun, verdict.ReasonTimeout, nil, "no answer")}
	k := keeper(w, &topic{}, engines, "a")
	assert.NilError(t, k.carryOut(t.Context(), d, upstream.Decode, 1))
	assert.Assert(t, k.quiet[d.service] > boottime.Now()+roleUnknown/2)
	assert.Equal(t, len(d.prefill.away), 1)
	refusing := &ordered{state: EngineState{Role: upstream.Prefill}, err: verdict.Refuse(verdict.ReasonUpstreamRefused, 0, "no")}
	k = keeper(w, &topic{}, refusing, "a")
	assert.NilError(t, k.carryOut(t.Context(), d, upstream.Decode, 1))
	assert.Equal(t, len(d.prefill.away), 1, "an engine that refused the order serves on")
	busy := &ordered{state: EngineState{Role: upstream.Prefill, Busy: true}}
	assert.Assert(t, keeper(w, &topic{}, busy, "a").carryOut(t.Context(), d, upstream.Decode, 1) != nil)
	assert.Equal(t, len(busy.orders), 0)
}

// A change is wanted by the work that was measured, twice in a row, and by the one
// instance that leads.
func TestChangeIsConfirmed(t *testing.T) {
	w := newWorld(t)
	w.state.Directory.Put(upstream.Entry{ID: "prefill9", Service: "model", Address: "1.2.3.4:9", Role: upstream.Prefill, Slots: 4})
	d := modelDesk(w)
	for range 20 {
		d.prefilled(5_000, 10*time.Millisecond, false)
		d.finished(&Call{PromptTokens: 5_000}, 100, 1000, 10*time.Second)
	}
	engines := &ordered{state: EngineState{Role: upstream.Prefill}}
	k := keeper(w, &topic{}, engines, "a")
	k.look(t.Context(), d)
	assert.Equal(t, len(engines.orders), 0)
	k.look(t.Context(), d)
	assert.Equal(t, len(engines.orders), 1)
	k.look(t.Context(), d)
	k.look(t.Context(), d)
	assert.Equal(t, len(engines.orders), 1, "ordered again at once")
	k.quiet[d.service] = 0
	k.IsLeader = func(string) bool { return false }
	k.look(t.Context(), d)
	k.look(t.Context(), d)
	assert.Equal(t, len(engines.orders), 1)
}

// The holder was killed while an engine left, and another instance sees that too few
// engines prefill. Had it begun to watch only then, callers would wait out the leases.
func TestWatchedHolderIsReplacedAtOnce(t *testing.T) {
	w := newWorld(t)
	log := &topic{}
	d := modelDesk(w)
	_, _, err := keeper(w, log, &ordered{}, "a").become(t.Context(), d.service)
	assert.NilError(t, err)
	other := keeper(w, log, &ordered{}, "b")
	other.watch(t.Context())
	seen := other.seen[d.service]
	seen.at -= takeover*time.Second + time.Millisecond
	other.seen[d.service] = seen
	_, _, err = other.become(t.Context(), d.service)
	assert.NilError(t, err)
	restarted := keeper(w, log, &ordered{}, "b")
	_, _, err = restarted.become(t.Context(), d.service)
	assert.NilError(t, err, "an earlier run of the same instance")
}

// orderTo is an order to the engine with the least to do.
func orderTo(d *desk, to upstream.Role, token uint64, until time.Duration) roleOrder {
	from, pool := upstream.Decode, d.decode
	if to == upstream.Decode {
		from, pool = upstream.Prefill, d.prefill
	}
	entry, _ := pool.idlest(nil)
	return roleOrder{entry: entry, pool: pool, from: from, to: to, token: token, until: until}
}
