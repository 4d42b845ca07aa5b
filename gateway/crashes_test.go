package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/quarantine"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/upstream"
)

// crashesWith returns the crashes of processes, each under another request with a part.
func crashesWith(part string, from, n int) (crashes []fleet.Crash) {
	for i := from; i < from+n; i++ {
		crashes = append(crashes, fleet.Crash{
			Fingerprint: quarantine.Attribute(1000 + i), Upstream: fleet.Hash(i), Parts: []quarantine.Attribute{partAttribute("aa"), partAttribute(part)},
			Age: time.Duration(from+n-i) * time.Second,
		})
	}
	return crashes
}

// condemn makes a part known as crashing engines to a gateway.
func (gw *testGateway) condemn(part string) {
	gw.gateway.crashes.recordSuccess(&Call{PromptParts: []string{"aa"}})
	gw.gateway.crashes.recordCrashes(gw.gateway.crashes.now(), crashesWith(part, 1, 3), true)
}

// modelRequest returns the headers of a model request with parts.
func modelRequest(parts string) map[string]string {
	return map[string]string{"Tokens": "100 100", "Parts": parts}
}

// Guards against requests with a part that crashes engines which reach one because they were queued, read or sent before
// the part was known, and against refusals of others.
func TestEachSendAsksForQuarantines(t *testing.T) {
	for _, stage := range []string{"admission", "reservation", "prefill", "send", "resumption"} {
		t.Run(stage, func(t *testing.T) {
			gw := newTestGateway(t)
			runs := 0
			gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
				runs++
				if stage == "resumption" && runs == 1 {
					gw.condemn("bad")
					return nil, crashedError()
				}
				return newAnswer(http.StatusOK, "id: 1\ndata: x\n\n")
			}
			sent := 0
			switch stage {
			case "admission":
				gw.condemn("bad")
			case "reservation":
				gw.reserve = func(upstream.Entry) (string, error) {
					gw.condemn("bad")
					return "", refusedError()
				}
			case "prefill":
				gw.reserve = func(upstream.Entry) (string, error) {
					gw.condemn("bad")
					return "r", nil
				}
				gw.prefill = func(upstream.Entry) (string, error) {
					sent++
					return "h", nil
				}
			case "send":
				gw.prefill = func(upstream.Entry) (string, error) {
					gw.condemn("bad")
					return "h", nil
				}
			}
			rec, _ := gw.request("/resumable/1", modelRequest("aa,bad"))
			if stage == "resumption" {
				assert.Equal(t, runs, 1)
				assert.Equal(t, rec.Code, http.StatusBadGateway, "it may have run")
			} else {
				assert.Equal(t, runs+sent, 0)
				assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
				assert.Assert(t, rec.Header().Get("Retry-After") != "")
			}
			gw.reserve, gw.prefill = nil, nil
			rec, _ = gw.request("/resumable/2", modelRequest("aa,other"))
			assert.Equal(t, rec.Code, http.StatusOK)
			rec, _ = gw.request("/read/2", map[string]string{"Parts": "aa,bad"})
			assert.Equal(t, rec.Code, http.StatusOK, "plain upstreams do not process prompts")
		})
	}
}

// Guards against a refused request that counts against a sound engine, and against one that is charged.
func TestRefusalForAPartBlamesNoEngine(t *testing.T) {
	gw := newTestGateway(t)
	gw.prefill = func(upstream.Entry) (string, error) {
		gw.condemn("bad")
		return "h", nil
	}
	gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return newAnswer(http.StatusOK, "id: 1\n\n")
	}
	gw.request("/draft/1", modelRequest("aa,bad"))
	assert.Equal(t, len(gw.gateway.outliers.ejected(gw.state.Directory.Service("model"))), 0)
	assert.Equal(t, gw.gateway.dispatchers.get(&object.Service{Name: "model"}).decode.availableEngines(), 2)
}

// Guards against a request that waits in the queue although it is known that it must not be sent.
func TestQueuedRequestIsRefusedAtOnce(t *testing.T) {
	gw := newTestGateway(t)
	done := make(chan int)
	held := make(chan struct{})
	gw.run = func(ctx context.Context, _ upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
		select {
		case <-held:
		case <-ctx.Done():
		}
		return newAnswer(http.StatusOK, "id: 1\n\n")
	}
	// The requests before it claim the memory of both engines.
	for n := range 2 {
		go gw.request(fmt.Sprint("/draft/full", n), map[string]string{"Tokens": "500 450", "Parts": "aa,x"})
	}
	full := func() bool {
		return gw.gateway.dispatchers.get(&object.Service{Name: "model"}).decode.totalRequests() == 2
	}
	for !full() {
		time.Sleep(time.Millisecond)
	}
	go func() {
		rec, _ := gw.request("/draft/queued", map[string]string{"Tokens": "500 450", "Parts": "aa,bad"})
		done <- rec.Code
	}()
	for gw.gateway.bufferedBodyBytes.Load() < 3*int64(len("body")) {
		time.Sleep(time.Millisecond)
	}
	gw.condemn("bad")
	started := time.Now()
	assert.Equal(t, <-done, http.StatusServiceUnavailable)
	close(held)
	t.Logf("refused after %v", time.Since(started))
}

// Guards against an instance that starts, or hears of crashes through a hub only, and sends what crashes engines.
func TestQuarantinesReachOtherInstances(t *testing.T) {
	gw := newTestGateway(t)
	gw.condemn("bad")
	bad := &Call{PromptParts: []string{"aa", "bad"}}
	sound := &Call{PromptParts: []string{"aa", "other"}}
	for _, lost := range []bool{false, true} {
		for _, hub := range []bool{false, true} {
			var r fleet.Report
			gw.gateway.crashes.addReport(boottime.Now(), &r, !hub)
			if lost {
				// The crashes are too old to be reported.
				r.Crashes = nil
			}
			other := newTestGateway(t)
			other.gateway.crashes.applyReport(boottime.Now(), &r, hub)
			assert.Assert(t, other.gateway.crashes.refusal(bad) != nil)
			assert.Assert(t, other.gateway.crashes.refusal(sound) == nil)
			if hub && !lost {
				var passedOn fleet.Report
				other.gateway.crashes.addReport(boottime.Now(), &passedOn, false)
				assert.Equal(t, len(passedOn.Crashes), 3)
			}
			// An answer at the other instance acquits the part everywhere.
			other.gateway.crashes.recordSuccess(bad)
			var acquittal fleet.Report
			other.gateway.crashes.applyReport(boottime.Now(), &r, false)
			other.gateway.crashes.addReport(boottime.Now(), &acquittal, true)
			third := newTestGateway(t)
			third.gateway.crashes.applyReport(boottime.Now(), &r, false)
			third.gateway.crashes.applyReport(boottime.Now(), &acquittal, false)
			assert.Assert(t, third.gateway.crashes.refusal(bad) == nil)
		}
	}
}

// keyedMemory is a store of one topic.
type keyedMemory struct {
	port.KeyedLog
	mu      sync.Mutex
	records map[string][]byte
	writes  int
}

func (m *keyedMemory) set(records map[string][]byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = records
}

func (m *keyedMemory) has(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.records[key] != nil
}

func (m *keyedMemory) Newest(context.Context, port.Topic) (out []port.KeyedRecord, next uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, value := range m.records {
		out = append(out, port.KeyedRecord{Key: key, Value: value})
	}
	return out, 0, nil
}

func (m *keyedMemory) Put(_ context.Context, _ port.Topic, key string, value []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if value == nil {
		delete(m.records, key)
	} else {
		m.records[key] = value
	}
	return nil
}

// Guards against quarantines that are missing in the store, or stored for ever, after it came back from a copy.
func TestQuarantinesAreStoredAgainAfterTheStoreCameBack(t *testing.T) {
	store := &keyedMemory{records: make(map[string][]byte)}
	gw := newTestGateway(t)
	gw.condemn("bad")
	var era atomic.Uint64
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- gw.gateway.RunQuarantines(ctx, QuarantineStore{Log: store, IsWriter: func() bool { return true }, Era: era.Load})
	}()
	key := partAttribute("bad").String()
	waitUntil(t, func() bool { return store.has(key) })
	store.set(map[string][]byte{"00000000000000ff": []byte(`{"part":true}`)})
	era.Add(1)
	waitUntil(t, func() bool { return store.has(key) && !store.has("00000000000000ff") })
	cancel()
	<-done
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition was not met within 10 s")
}

// Guards against a part that crashes engines again after all instances were killed, against stored quarantines that
// never end, and against calls of the store without a change.
func TestQuarantinesOutliveAllInstances(t *testing.T) {
	store := &keyedMemory{records: make(map[string][]byte)}
	gw := newTestGateway(t)
	gw.condemn("bad")
	stored := make(map[quarantine.Attribute]storedQuarantine)
	for range 5 {
		gw.gateway.storeQuarantines(t.Context(), store, stored)
	}
	assert.Equal(t, store.writes, 1)
	store.records["not an attribute"] = []byte("{}")
	store.records["12"] = []byte("not a quarantine")
	started := newTestGateway(t)
	restored, ok := started.gateway.readQuarantines(t.Context(), store)
	assert.Assert(t, ok)
	started.gateway.adoptQuarantines(restored)
	bad := &Call{PromptParts: []string{"aa", "bad"}}
	assert.Assert(t, started.gateway.crashes.refusal(bad) != nil)
	assert.Assert(t, started.gateway.LiftQuarantine(partAttribute("bad").String()))
	assert.Assert(t, !started.gateway.LiftQuarantine("x"))
	assert.Assert(t, started.gateway.crashes.refusal(bad) == nil)
	started.gateway.storeQuarantines(t.Context(), store, restored)
	assert.Equal(t, len(store.records), 2)
}
