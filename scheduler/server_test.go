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

// listedEngine answers polls with one running stream, after a delay.
type listedEngine struct {
	port.Engine
	delay     time.Duration
	cancelled chan port.StreamID

	mu      sync.Mutex
	streams []port.StreamState
}

func (e *listedEngine) Load(ctx context.Context) (port.Load, error) {
	time.Sleep(e.delay)
	return port.Load{Running: len(e.listed()), Slots: 1}, ctx.Err()
}

func (e *listedEngine) Streams(context.Context) ([]port.StreamState, error) { return e.listed(), nil }

func (e *listedEngine) listed() []port.StreamState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams
}

func (e *listedEngine) CacheEvents(context.Context, uint64) ([]port.CacheEvent, error) {
	return nil, nil
}

func (e *listedEngine) Cancel(_ context.Context, id port.StreamID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled <- id
	e.streams = nil
	return nil
}

// fixedSet is a catalogue of one model service with one slot.
type fixedSet struct{}

func (fixedSet) Service(string) (*object.Service, bool) {
	return &object.Service{Name: "pisar", Kind: object.KindModel, MaxWaitMS: 60_000}, true
}

func (fixedSet) Upstreams(string) []*object.Upstream {
	return []*object.Upstream{
		{Name: "p", Service: "pisar", Role: object.RolePrefill, Address: "prefill", Slots: 1},
		{Name: "d", Service: "pisar", Role: object.RoleDecode, Address: "decode", Slots: 1, Pieces: 400},
	}
}

func newTestServer(t *testing.T, decode *listedEngine) *Server {
	t.Helper()
	metrics := observe.NewMetrics()
	system := observe.NewActorSystem()
	self := request.Holder{Instance: "a", Incarnation: 1}
	s := NewServer(Config{
		Self: self, Catalogue: func() Catalogue { return fixedSet{} },
		Home: func(string) (request.Holder, bool) { return self, true },
		Dead: func(request.Holder) bool { return false },
		Engines: func(address string) port.Engine {
			if address == "decode" {
				return decode
			}
			return &listedEngine{}
		},
		System: system, Log: zap.NewNop(), Metrics: metrics,
	})
	t.Cleanup(func() {
		s.Close()
		system.Shutdown()
		_ = metrics.Close()
		// A message to an actor that has just ended starts a wait of the actor system, which must
		// be over before the bubble ends.
		time.Sleep(deadLetterWait)
	})
	return s
}

// deadLetterWait is longer than the time over which the actor system counts messages to actors that
// have ended.
const deadLetterWait = 5 * time.Second

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

// A scheduler takes over while a request of its predecessor still holds the only
// slot, and somebody asks before the engine's list has been read. Granted at once,
// the newcomer's prefill would be paid for and its import refused.
func TestANewSchedulerListensBeforeItGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := request.Holder{Instance: "b", Incarnation: 7}
		running := port.StreamState{Stream: port.StreamID{RequestID: "old", Attempt: 1, Owner: owner}, Phase: "decoding", Pieces: 1}
		engine := &listedEngine{delay: 100 * time.Millisecond, streams: []port.StreamState{running}, cancelled: make(chan port.StreamID, 8)}
		s := newTestServer(t, engine)
		began := time.Now()
		granted := make(chan time.Duration, 1)
		go func() {
			resp, err := reserve(s, "new")
			assert.Check(t, err == nil && resp.Grant != nil)
			granted <- time.Since(began)
		}()
		// Nobody renews the old request, so its lease runs out, its stream is
		// cancelled and only then is the slot free.
		assert.Equal(t, <-engine.cancelled, running.Stream)
		assert.Assert(t, <-granted >= LeaseTime)
	})
}

// An upstream that is out gets full weight for the one request that tries it.
// Operators who were shown the weight saw it as well in the middle of its illness.
func TestStatusShowsHealthAndNotTheWeightOfATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, &listedEngine{cancelled: make(chan port.StreamID, 8)})
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
