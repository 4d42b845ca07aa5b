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

// kept is a store whose id a test sets.
type kept struct {
	mu    sync.Mutex
	id    ID
	loads int
}

func (k *kept) Load(context.Context) (ID, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loads++
	if k.id == 0 {
		return 0, errors.New("down")
	}
	return k.id, nil
}

func (k *kept) set(id ID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.id = id
}

// inKeeper runs a test beside a keeper, in simulated time.
func inKeeper(t *testing.T, store *kept, test func(*Verifier, *observer.ObservedLogs)) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		k := NewVerifier(VerifierConfig{Store: store, Name: "rota", Logger: zap.New(core)})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- k.Run(ctx) }()
		test(k, logs)
		stop()
		<-ended
	})
}

// The log cannot be reached at the start. Until it can, those who give the same name are
// heard, or an instance that restarts during the outage would serve nobody; others are not.
func TestTheNameStandsInForTheIDUntilItIsRead(t *testing.T) {
	store := &kept{}
	inKeeper(t, store, func(k *Verifier, _ *observer.ObservedLogs) {
		assert.Equal(t, k.Check(Identity{ID: 7, Name: "rota"}, "b", "x"), SameName)
		assert.Equal(t, k.Check(Identity{ID: 7, Name: "other"}, "b", "x"), Undecided)
		store.set(7)
		time.Sleep(2 * retryMax)
		assert.Equal(t, k.Identity().ID, ID(7))
		assert.Equal(t, k.Check(Identity{ID: 7, Name: "other"}, "b", "x"), SameFleet)
		assert.Equal(t, k.Check(Identity{ID: 8, Name: "rota"}, "b", "x"), Stranger)
		assert.Equal(t, k.Check(Identity{Name: "rota"}, "b", "x"), SameName)
	})
}

// The log was replaced by an empty one: instances that started since go by its new id. Those
// that run must take it too, or the fleet stays split until they are restarted.
func TestAStrangerIsReasonToReadTheIDAgain(t *testing.T) {
	store := &kept{id: 7}
	inKeeper(t, store, func(k *Verifier, _ *observer.ObservedLogs) {
		time.Sleep(time.Minute)
		store.set(8)
		assert.Equal(t, k.Check(Identity{ID: 8, Name: "rota"}, "b", "x"), Stranger)
		synctest.Wait()
		assert.Equal(t, k.Check(Identity{ID: 8, Name: "rota"}, "b", "x"), SameFleet)
	})
}

// A stranger sends as often as it likes. It must not have the log read each time, nor fill
// the log file; one line must tell both names and ids and where it is.
func TestAStrangerCostsLittle(t *testing.T) {
	store := &kept{id: 7}
	inKeeper(t, store, func(k *Verifier, logs *observer.ObservedLogs) {
		for range 6000 {
			time.Sleep(10 * time.Millisecond)
			k.Check(Identity{ID: 8, Name: "tickets"}, "instance-2", "127.0.0.1:99")
		}
		store.mu.Lock()
		loads := store.loads
		store.mu.Unlock()
		assert.Assert(t, loads <= int(time.Minute/doubtInterval)+1, "%d reads in a minute", loads)
		lines := logs.FilterMessage("instance of another fleet is not heard").All()
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

// keyed is a topic of a keyed store; before is called ahead of each write.
type keyed struct {
	port.KeyedLog
	records []port.KeyedRecord
	end     uint64
	before  func()
}

func (k *keyed) Newest(context.Context, port.Topic) ([]port.KeyedRecord, uint64, error) {
	return k.records, k.end, nil
}

func (k *keyed) PutAt(_ context.Context, _ port.Topic, at uint64, key string, value []byte) error {
	if k.before != nil {
		before := k.before
		k.before = nil
		before()
	}
	if at != k.end {
		return port.ErrConflict
	}
	k.records = []port.KeyedRecord{{Key: key, Value: value, Offset: at}}
	k.end++
	return nil
}

// All instances of a deployment start within a moment and find no id. The first proposal
// holds and all read it.
func TestOneIDOfAKeyedStore(t *testing.T) {
	log := &keyed{}
	var second ID
	log.before = func() {
		var err error
		second, err = NewKeyedStore(log).Load(t.Context())
		assert.NilError(t, err)
	}
	first, err := NewKeyedStore(log).Load(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, first != 0)
	assert.Equal(t, first, second)
	third, err := NewKeyedStore(log).Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, third, first)
	log.records[0].Value = []byte("nonsense")
	_, err = NewKeyedStore(log).Load(t.Context())
	assert.ErrorContains(t, err, "not an id")
}
