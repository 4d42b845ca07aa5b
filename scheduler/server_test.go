package scheduler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
)

// fakeEngine reports the given streams and responds to load requests after a delay.
type fakeEngine struct {
	port.Engine
	delay     time.Duration
	cancelled chan port.StreamID

	mu      sync.Mutex
	streams []port.StreamState
}

func (e *fakeEngine) Load(ctx context.Context) (port.Load, error) {
	time.Sleep(e.delay)
	return port.Load{Running: len(e.listed()), Slots: 1}, ctx.Err()
}

func (e *fakeEngine) Streams(context.Context) ([]port.StreamState, error) { return e.listed(), nil }

func (e *fakeEngine) listed() []port.StreamState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams
}

func (e *fakeEngine) CacheEvents(context.Context, uint64) ([]port.CacheEvent, error) {
	return nil, nil
}

func (e *fakeEngine) Cancel(_ context.Context, id port.StreamID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled <- id
	e.streams = nil
	return nil
}

// testCatalogue contains one model service with one prefill and one decode upstream, each with one
// slot.
type testCatalogue struct{}

func (testCatalogue) Service(string) (*object.Service, bool) {
	return &object.Service{Name: "pisar", Kind: object.KindModel, MaxWaitMS: 60_000}, true
}

func (testCatalogue) Upstreams(string) []*object.Upstream {
	return []*object.Upstream{
		{Name: "p", Service: "pisar", Role: object.RolePrefill, Address: "prefill", Slots: 1},
		{Name: "d", Service: "pisar", Role: object.RoleDecode, Address: "decode", Slots: 1, Pieces: 400},
	}
}

func newTestServer(t *testing.T, decode *fakeEngine) *Server {
	t.Helper()
	metrics := observe.NewMetrics()
	system := observe.NewActorSystem()
	self := request.Holder{Instance: "a", Incarnation: 1}
	s := NewServer(Config{
		Self: self, Catalogue: func() Catalogue { return testCatalogue{} },
		Home:   func(string) (request.Holder, bool) { return self, true },
		IsDead: func(request.Holder) bool { return false },
		Engines: func(address string) port.Engine {
			if address == "decode" {
				return decode
			}
			return &fakeEngine{}
		},
		System: system, Log: zap.NewNop(), Metrics: metrics,
	})
	t.Cleanup(func() {
		s.Close()
		system.Shutdown()
		_ = metrics.Close()
		// A message to a stopped actor starts a timer in the actor system, which must expire before
		// the synctest bubble ends.
		time.Sleep(actorShutdownWait)
	})
	return s
}

// actorShutdownWait is longer than the interval in which the actor system counts dead letters, that
// is, messages to stopped actors.
const actorShutdownWait = 5 * time.Second

func reserve(s *Server, id string) (*peerv1.ReserveResponse, error) {
	resp, err := s.Reserve(context.Background(), connect.NewRequest(&peerv1.ReserveRequest{
		Service: "pisar", Organisation: "o", RequestId: id, Attempt: 1, Class: uint32(request.Interactive),
		PromptTokens: 10, MaxTokens: 10, BudgetMs: 60_000,
	}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Guards against granting a slot that is still in use after a takeover. A reservation arrives
// before the new scheduler has read the stream list, while a request granted by the previous
// scheduler occupies the only slot. If it were granted immediately, its prefill would be wasted
// because the engine would refuse the import.
func TestNewSchedulerReadsStreamListsBeforeGranting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := request.Holder{Instance: "b", Incarnation: 7}
		running := port.StreamState{Stream: port.StreamID{RequestID: "old", Attempt: 1, Owner: owner}, Phase: "decoding", Pieces: 1}
		engine := &fakeEngine{delay: 100 * time.Millisecond, streams: []port.StreamState{running}, cancelled: make(chan port.StreamID, 8)}
		s := newTestServer(t, engine)
		start := time.Now()
		granted := make(chan time.Duration, 1)
		go func() {
			resp, err := reserve(s, "new")
			assert.Check(t, err == nil && resp.Grant != nil)
			granted <- time.Since(start)
		}()
		// The old request is not renewed: its lease expires and its stream is cancelled before the
		// slot becomes free.
		assert.Equal(t, <-engine.cancelled, running.Stream)
		assert.Assert(t, <-granted >= LeaseDuration)
	})
}

// Guards against reporting a failing upstream as healthy. An upstream in state "out" has full
// weight for the one request that probes it, so a status derived from the weight showed it as
// healthy while it was still failing.
func TestStatusReportsUnhealthyUpstreamDuringProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, &fakeEngine{cancelled: make(chan port.StreamID, 8)})
		for n := range 40 {
			id := fmt.Sprint(n)
			resp, err := reserve(s, id)
			assert.NilError(t, err)
			if resp.Grant == nil {
				break
			}
			_, err = s.Release(context.Background(), connect.NewRequest(&peerv1.ReleaseRequest{
				Service: "pisar", RequestId: id, Attempt: 1,
				Outcome: &peerv1.Outcome{Kind: peerv1.Outcome_KIND_DECODE_FAILED, FailedUpstream: "d"},
			}))
			assert.NilError(t, err)
		}
		time.Sleep(10 * time.Second)
		resp, err := s.Status(context.Background(), connect.NewRequest(&peerv1.StatusRequest{Service: "pisar"}))
		assert.NilError(t, err)
		health := map[string]string{}
		for _, u := range resp.Msg.Upstreams {
			health[u.Name] = u.Health
		}
		assert.Equal(t, health["p"], "healthy")
		assert.Assert(t, health["d"] == "out" || health["d"] == "spared", health["d"])
	})
}
