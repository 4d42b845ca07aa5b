package fleetid

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port"
)

// fakeStore is a Store with a settable ID. Load fails while the ID is 0.
type fakeStore struct {
	mu    sync.Mutex
	id    ID
	loads int
}

func (s *fakeStore) Load(context.Context) (ID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	if s.id == 0 {
		return 0, errors.New("down")
	}
	return s.id, nil
}

func (s *fakeStore) set(id ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id = id
}

// runVerifier runs test with a running Verifier in a synctest bubble.
func runVerifier(t *testing.T, store *fakeStore, test func(*Verifier, *observer.ObservedLogs)) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		v := NewVerifier(VerifierConfig{Store: store, Name: "rota", Logger: zap.New(core)})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- v.Run(ctx) }()
		test(v, logs)
		stop()
		<-ended
	})
}

// While the log is unreachable at startup, instances with the same fleet name must be accepted, or
// an instance that restarts during the outage could not serve requests. Others must be rejected.
func TestNameIsComparedUntilIDIsLoaded(t *testing.T) {
	store := &fakeStore{}
	runVerifier(t, store, func(v *Verifier, _ *observer.ObservedLogs) {
		assert.Equal(t, v.Check(Identity{ID: 7, Name: "rota"}, "b", "x"), SameName)
		assert.Equal(t, v.Check(Identity{ID: 7, Name: "other"}, "b", "x"), Undecided)
		store.set(7)
		time.Sleep(2 * retryMax)
		assert.Equal(t, v.Identity().ID, ID(7))
		assert.Equal(t, v.Check(Identity{ID: 7, Name: "other"}, "b", "x"), SameFleet)
		assert.Equal(t, v.Check(Identity{ID: 8, Name: "rota"}, "b", "x"), Stranger)
		assert.Equal(t, v.Check(Identity{Name: "rota"}, "b", "x"), SameName)
	})
}

// If the log is replaced by an empty one, instances that start later use the new ID. Running
// instances must load it too, or the fleet stays split until they are restarted.
func TestStrangerTriggersReload(t *testing.T) {
	store := &fakeStore{id: 7}
	runVerifier(t, store, func(v *Verifier, _ *observer.ObservedLogs) {
		time.Sleep(time.Minute)
		store.set(8)
		assert.Equal(t, v.Check(Identity{ID: 8, Name: "rota"}, "b", "x"), Stranger)
		synctest.Wait()
		assert.Equal(t, v.Check(Identity{ID: 8, Name: "rota"}, "b", "x"), SameFleet)
	})
}

// An instance of another fleet may send at any rate. It must not trigger a load each time or fill
// the log file, and the log line must contain both names, both IDs and its address.
func TestStrangerReloadsAndLogLinesAreLimited(t *testing.T) {
	store := &fakeStore{id: 7}
	runVerifier(t, store, func(v *Verifier, logs *observer.ObservedLogs) {
		for range 6000 {
			time.Sleep(10 * time.Millisecond)
			v.Check(Identity{ID: 8, Name: "tickets"}, "instance-2", "127.0.0.1:99")
		}
		store.mu.Lock()
		loads := store.loads
		store.mu.Unlock()
		assert.Assert(t, loads <= int(time.Minute/reloadInterval)+1, "%d reads in a minute", loads)
		lines := logs.FilterMessage("ignoring instance of another fleet").All()
		assert.Assert(t, len(lines) >= 1 && len(lines) <= 2, "%d lines in a minute", len(lines))
		fields := lines[0].ContextMap()
		assert.Equal(t, fields["fleet"], "rota")
		assert.Equal(t, fields["fleet_id"], "7")
		assert.Equal(t, fields["other_fleet"], "tickets")
		assert.Equal(t, fields["other_id"], "8")
		assert.Equal(t, fields["other"], "instance-2")
		assert.Equal(t, fields["address"], "127.0.0.1:99")
	})
}

// fakeKeyedLog is a keyed log with a single topic. beforePut is called once, before the next write.
type fakeKeyedLog struct {
	port.KeyedLog
	records   []port.KeyedRecord
	end       uint64
	beforePut func()
}

func (l *fakeKeyedLog) Newest(context.Context, port.Topic) ([]port.KeyedRecord, uint64, error) {
	return l.records, l.end, nil
}

func (l *fakeKeyedLog) PutAt(_ context.Context, _ port.Topic, at uint64, key string, value []byte) error {
	if l.beforePut != nil {
		before := l.beforePut
		l.beforePut = nil
		before()
	}
	if at != l.end {
		return port.ErrConflict
	}
	l.records = []port.KeyedRecord{{Key: key, Value: value, Offset: at}}
	l.end++
	return nil
}

func (l *fakeKeyedLog) Put(context.Context, port.Topic, string, []byte) error { return nil }

// Instances that start concurrently find no ID and each propose one. The first proposal must win,
// and all instances must read it.
func TestConcurrentStartsAgreeOnKeyedStoreID(t *testing.T) {
	log := &fakeKeyedLog{}
	var second ID
	log.beforePut = func() {
		var err error
		second, err = NewKeyedStore(log, 0).Load(t.Context())
		assert.NilError(t, err)
	}
	first, err := NewKeyedStore(log, 0).Load(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, first != 0)
	assert.Equal(t, first, second)
	third, err := NewKeyedStore(log, 0).Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, third, first)
	log.records[0].Value = []byte("nonsense")
	_, err = NewKeyedStore(log, 0).Load(t.Context())
	assert.ErrorContains(t, err, "invalid fleet ID")
}

// Guards against a second ID if the store comes back from a copy that is older than the first, and an instance starts
// before the others have written the ID again.
func TestIDIsWrittenAgainAfterTheStoreCameBack(t *testing.T) {
	log := &fakeKeyedLog{end: port.Position(1, 0)}
	running := NewKeyedStore(log, 0)
	id, err := running.Load(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, !running.MayHaveLost())
	log.records, log.end = nil, port.Position(2, 0)
	now := time.Minute
	started := NewKeyedStore(log, time.Second)
	started.now = func() time.Duration { return now }
	_, err = started.Load(t.Context())
	assert.ErrorIs(t, err, errNoID)
	for range 2 {
		again, err := running.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, again, id)
	}
	read, err := started.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, read, id)
	assert.Assert(t, started.MayHaveLost())
	// An ID that an instance on its own has generated in a new era gives way to the one of the fleet.
	log.records, log.end = nil, port.Position(3, 0)
	alone := NewKeyedStore(log, time.Second)
	alone.now = func() time.Duration { return now }
	_, err = alone.Load(t.Context())
	assert.ErrorIs(t, err, errNoID)
	now += time.Second
	other, err := alone.Load(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, other != id)
	again, err := running.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, again, id)
	adopted, err := alone.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, adopted, id)
}
