package routed_test

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/instance/routed"
	"github.com/cairnworks/cairnworks/loopback"
	"github.com/cairnworks/cairnworks/platform"
	"github.com/cairnworks/cairnworks/settings"
)

// store is a fake of the platform's store. It keeps all records of its topics in memory and can
// simulate an outage.
type store struct {
	mu     sync.Mutex
	topics map[string][][2]string
	down   bool
	// refused are the topics whose calls fail.
	refused map[string]bool
	// forgotten is the number of oldest records that cannot be read individually any more, by
	// topic.
	forgotten map[string]int
}

func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], [2]string{key, value})
}

func (s *store) setRefused(topic string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused == nil {
		s.refused = make(map[string]bool)
	}
	s.refused[topic] = refused
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.refused[topic] {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	records := s.topics[topic]
	switch {
	case strings.HasSuffix(r.URL.Path, "append"):
		key := string(body[5 : 5+int(body[4])])
		s.topics[topic] = append(records, [2]string{key, string(body[5+int(body[4]):])})
	case strings.HasSuffix(r.URL.Path, "newest"):
		items := []map[string]any{}
		for i, record := range records {
			items = append(items, map[string]any{"key": record[0], "value": base64.StdEncoding.EncodeToString([]byte(record[1])), "offset": i})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "end": len(records)})
	default:
		from, _ := strconv.Atoi(query.Get("from"))
		if from < s.forgotten[topic] {
			w.WriteHeader(http.StatusGone)
			return
		}
		out := make([]byte, 16)
		for _, record := range records[from:] {
			out = binary.BigEndian.AppendUint32(out, uint32(1+len(record[0])+len(record[1])))
			out = append(append(append(out, byte(len(record[0]))), record[0]...), record[1]...)
		}
		_, _ = w.Write(out)
	}
}

const configuration = `{"version":%d,"routes":[{"name":"r","host":"h.example","path-prefix":"/x/","route-type":"unsafe","service":"s","timeout-ms":5000}],
 "services":[{"name":"s"}],"limits":{"max-header-bytes":16384,"max-body-bytes":1000,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"t","api-keys":[%s]}]}`

// fixture is an instance with a fake store and one upstream.
type fixture struct {
	store    *store
	engine   *httptest.Server
	settings settings.Routed
	stop     context.CancelFunc
	done     chan error
}

func freePort(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	assert.NilError(t, err)
	return address
}

func start(t *testing.T, engine http.HandlerFunc) *fixture { return startNamed(t, "a", engine) }

func startNamed(t *testing.T, name string, engine http.HandlerFunc) *fixture {
	t.Helper()
	f := prepare(t, name, engine)
	f.runUntilServing(t)
	return f
}

// runUntilServing starts the instance and waits until it serves.
func (f *fixture) runUntilServing(t *testing.T) {
	t.Helper()
	f.run(t)
	f.eventually(t, func() bool { return f.ready() })
	f.eventually(t, func() bool { status, _, err := f.request("k"); return err == nil && status == http.StatusOK })
}

// prepare returns a fixture whose instance is not running yet.
func prepare(t *testing.T, name string, engine http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{store: &store{topics: map[string][][2]string{}}, engine: httptest.NewServer(engine), done: make(chan error, 1)}
	t.Cleanup(f.engine.Close)
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.store.put("keyed.op", "config", fmt.Sprintf(configuration, 1, `"k"`))
	f.store.put("keyed.servers", "ghost", `{"service":7}`)
	f.store.put("keyed.servers", "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":4,"state":"ready","seq":1}`, f.engine.Listener.Addr()))
	f.settings = settings.DefaultRouted()
	f.settings.Instance, f.settings.DataCentre, f.settings.FirstStart = name, "z", true
	f.settings.Callers, f.settings.Readiness, f.settings.Reports, f.settings.Metrics = freePort(t), freePort(t), freePort(t), freePort(t)
	f.settings.MaxRefusedShare = 0
	f.settings.Store, f.settings.GraceS = server.Listener.Addr().String(), 2
	return f
}

// run starts the instance.
func (f *fixture) run(t *testing.T) {
	t.Helper()
	i, err := routed.New(f.settings, platform.NewDependencies(f.settings), zap.NewNop())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	f.stop = cancel
	go func() { f.done <- i.Run(ctx) }()
	t.Cleanup(cancel)
}

// eventually waits up to 10 s until condition returns true.
func (f *fixture) eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition was not met within 10 s")
}

func (f *fixture) ready() bool {
	resp, err := http.Get("http://" + f.settings.Readiness + platform.PathReady)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fixture) request(key string) (int, *http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.settings.Callers+"/x/1", strings.NewReader("b"))
	if err != nil {
		return 0, nil, err
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", "1")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp, err
}

func respondSigned(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Response-Signature", "s")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	fmt.Fprint(w, "ok")
}

// A key that a new version of the configuration no longer contains must be refused. Invalid
// configurations and entries that do not describe an upstream must be ignored. Metrics must be
// served.
func TestConfigurationIsFollowed(t *testing.T) {
	f := start(t, respondSigned)
	f.store.put("keyed.op", "config", "{not a configuration")
	f.store.put("keyed.op", "config", fmt.Sprintf(configuration, 5, `"other"`))
	f.eventually(t, func() bool { status, _, _ := f.request("k"); return status == http.StatusUnauthorized })
	status, _, err := f.request("other")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	f.eventually(t, func() bool { return strings.Contains(f.metrics(t), "cairnworks_configuration_version 5") })
	for _, name := range []string{
		`cairnworks_refusals{ran="not_run",reason="unauthenticated",stage="gateway"}`, `cairnworks_answers{service="s",status="200"}`,
		`cairnworks_stage_seconds_bucket{service="s",stage="admission",le="0.001"}`, `cairnworks_quota{decision="admitted"}`,
		`cairnworks_store_calls{call="since",result="ok",topic="configuration"}`, "cairnworks_store_seconds_bucket",
		"cairnworks_configuration_age_seconds", "cairnworks_ready 1", "cairnworks_upstreams 1", "cairnworks_instances 1", "cairnworks_hubs 1", "cairnworks_hub 1",
	} {
		t.Log("waiting for metric", name)
		f.eventually(t, func() bool { return strings.Contains(f.metrics(t), name) })
	}
}

// metrics returns the metrics page.
func (f *fixture) metrics(t *testing.T) string {
	t.Helper()
	resp, err := http.Get("http://" + f.settings.Metrics + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	doc, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(doc)
}

// If the store is unreachable for longer than a withdrawn key may still be accepted, the instance
// cannot know which keys are valid. It must refuse requests and report that it is not ready until
// the store is reachable again.
func TestKeysAreRejectedAfterLongStoreOutage(t *testing.T) {
	t.Parallel()
	f := start(t, respondSigned)
	f.store.setDown(true)
	f.eventually(t, func() bool { status, _, _ := f.request("k"); return status == http.StatusServiceUnavailable })
	assert.Assert(t, !f.ready())
	f.store.setDown(false)
	f.eventually(t, func() bool { status, _, _ := f.request("k"); return status == http.StatusOK })
}

// An instance that is stopped while it handles a request, and while the load balancer still sends
// new ones, must answer all of them and tell callers to close their connections.
func TestShutdownAnswersPendingRequests(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	var slow atomic.Bool
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		if slow.CompareAndSwap(true, false) {
			close(entered)
			<-release
		}
		respondSigned(w, r)
	})
	slow.Store(true)
	first := make(chan error, 1)
	go func() {
		status, _, err := f.request("k")
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		first <- err
	}()
	<-entered
	f.stop()
	f.eventually(t, func() bool { return !f.ready() })
	status, resp, err := f.request("k")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, resp.Close, "the answer does not close the connection")
	close(release)
	assert.NilError(t, <-first)
	assert.NilError(t, <-f.done)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	records := f.store.topics["keyed.instances"]
	assert.Equal(t, records[len(records)-1], [2]string{"a", ""}, "the entry was not removed")
}

// An upstream that left during a store outage must be removed, even if its absence is found by a
// full read during the time in which removed entries are kept. It once received work indefinitely.
func TestUpstreamMissingAfterOutageIsRemoved(t *testing.T) {
	t.Parallel()
	f := start(t, respondSigned)
	f.store.setDown(true)
	f.eventually(t, func() bool { return !f.ready() })
	f.store.mu.Lock()
	remaining := f.store.topics["keyed.servers"][:0:0]
	for _, record := range f.store.topics["keyed.servers"] {
		if record[0] != "i-1" {
			remaining = append(remaining, record)
		}
	}
	// Discard the history, so that the instance reads the full list.
	f.store.topics["keyed.servers"] = append(remaining, [2]string{"ghost", `{"service":8}`}, [2]string{"ghost", `{"service":9}`})
	f.store.forgotten = map[string]int{"keyed.servers": len(f.store.topics["keyed.servers"])}
	f.store.mu.Unlock()
	f.store.setDown(false)
	f.eventually(t, func() bool { status, _, err := f.request("k"); return err == nil && status == http.StatusOK })
	f.eventually(t, func() bool {
		status, _, err := f.request("k")
		return err == nil && status == http.StatusServiceUnavailable
	})
}

// An instance that has not read the list of instances must not spend quotas as if it were the only
// instance of the fleet.
func TestInstanceWithoutInstanceListSpendsNoQuota(t *testing.T) {
	t.Parallel()
	f := prepare(t, "a", respondSigned)
	f.store.put("keyed.op", "config", `{"version":2,"routes":[{"name":"r","host":"h.example","path-prefix":"/x/","route-type":"unsafe","service":"s","timeout-ms":5000}],
 "services":[{"name":"s"}],"limits":{"max-header-bytes":16384,"max-body-bytes":1000,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"t","api-keys":["k"],"rate-per-s":1000,"burst":1000}]}`)
	f.store.setRefused("keyed.instances", true)
	f.run(t)
	f.eventually(t, func() bool { _, _, err := f.request("k"); return err == nil })
	for range 100 {
		status, _, err := f.request("k")
		assert.Assert(t, err != nil || status == http.StatusServiceUnavailable, "status %d", status)
		time.Sleep(20 * time.Millisecond)
	}
	f.store.setRefused("keyed.instances", false)
	f.eventually(t, func() bool { status, _, err := f.request("k"); return err == nil && status == http.StatusOK })
}
