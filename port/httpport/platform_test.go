package httpport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport"
	"github.com/cairnworks/cairnworks/port/httpport/wire"
	"github.com/cairnworks/cairnworks/stand"
	"github.com/cairnworks/cairnworks/verdict"
)

// setFaults sets the faults of a stand-in.
func setFaults(t *testing.T, address, faults string) {
	t.Helper()
	resp, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(faults))
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func TestPlainCallForwardsNamedFields(t *testing.T) {
	plain := stand.NewPlain(stand.PlainConfig{})
	service := httpport.NewPlainService(serve(t, plain), nil)
	resp, err := service.Call(context.Background(), port.ServiceRequest{
		RequestID: "r1", Organisation: "frames", IdempotencyKey: "k1", Method: http.MethodPost,
		Path: "/bookings/7", RawQuery: "leaf=3", ContentType: "application/json", Body: []byte(`{"n":1}`),
	})
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(body), `"query":"leaf=3"`), string(body))
	stats := plain.Stats()
	assert.Equal(t, stats.ByIdempotencyKey["k1"], 1)
	assert.Equal(t, stats.ByRequestID["r1"], 1)
	assert.Equal(t, stats.ByCall[stand.CallKey("POST", "/bookings/7", "leaf=3", []byte(`{"n":1}`))], 1)
}

// Guards against an answer that ends with its connection and counts as one whose end was stated.
func TestPlainAnswerSaysWhetherItsEndIsStated(t *testing.T) {
	for _, stated := range []bool{false, true} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !stated {
				w.Header().Set("Transfer-Encoding", "identity")
			}
			_, _ = io.WriteString(w, "x")
		}))
		defer server.Close()
		resp, err := httpport.NewPlainService(server.Listener.Addr().String(), nil).Call(context.Background(), port.ServiceRequest{Method: http.MethodPost, Path: "/x"})
		assert.NilError(t, err)
		defer resp.Body.Close()
		assert.Equal(t, resp.EndStated, stated)
	}
}

// Guards against a duplicate booking when a kept-alive connection breaks between
// request and response: net/http silently resends requests that have an
// Idempotency-Key header.
func TestPlainCallIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			plain := stand.NewPlain(stand.PlainConfig{})
			address := serve(t, plain)
			service := httpport.NewPlainService(address, httpport.NewClient())
			call := port.ServiceRequest{RequestID: "r1", IdempotencyKey: "k1", Method: method, Path: "/bookings"}
			// The first call leaves an idle connection, which the second call reuses.
			resp, err := service.Call(context.Background(), call)
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			setFaults(t, address, `{"lose_answers": 1}`)
			_, err = service.Call(context.Background(), call)
			checkVerdict(t, err, verdict.MayHaveRun, verdict.ReasonUpstreamCrashed)
			assert.Equal(t, plain.Stats().ByIdempotencyKey["k1"], 2)
		})
	}
}

func TestVerdictsOfFailures(t *testing.T) {
	plain := stand.NewPlain(stand.PlainConfig{})
	address := serve(t, plain)
	service := httpport.NewPlainService(address, nil)
	call := port.ServiceRequest{Method: http.MethodPost, Path: "/swap"}
	ctx := context.Background()

	setFaults(t, address, `{"refuse": true}`)
	_, err := service.Call(ctx, call)
	checkVerdict(t, err, verdict.NotRun, verdict.ReasonUpstreamRefused)

	setFaults(t, address, `{"down": true}`)
	_, err = service.Call(ctx, call)
	checkVerdict(t, err, verdict.MayHaveRun, verdict.ReasonUpstreamCrashed)

	_, err = httpport.NewPlainService(unusedAddress(t), nil).Call(ctx, call)
	checkVerdict(t, err, verdict.NotRun, verdict.ReasonUpstreamUnreachable)

	setFaults(t, address, `{"freeze": true}`)
	gone, cancel := context.WithCancel(ctx)
	go func() {
		waitFor(t, func() bool { return len(plain.Stats().Seen) == 3 })
		cancel()
	}()
	_, err = service.Call(gone, call)
	checkVerdict(t, err, verdict.MayHaveRun, verdict.ReasonCancelled)
	assert.Equal(t, plain.Stats().Runs, 0)
}

// unusedAddress returns an address without a listener.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

// The log appends a record but its response is lost. If the verdict were NotRun, the
// writer would append a second intent, and a booking could run twice.
func TestLostAppendMayHaveRun(t *testing.T) {
	log := stand.NewLog(stand.LogConfig{})
	address := serve(t, log)
	client := httpport.NewLog(address, nil)
	ctx := context.Background()
	first, err := client.Append(ctx, "once/0", port.Entry{ID: "a", Data: []byte("x")}, port.Entry{ID: "b"})
	assert.NilError(t, err)
	assert.Equal(t, first, uint64(1))

	setFaults(t, address, `{"lose_answers": 1}`)
	_, err = client.Append(ctx, "once/0", port.Entry{ID: "c"})
	checkVerdict(t, err, verdict.MayHaveRun, verdict.ReasonLogUnavailable)
	page, err := client.Read(ctx, "once/0", 2, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.Next, uint64(4))
	assert.Equal(t, len(page.Records), 2)
	assert.Equal(t, page.Records[1].ID, "c")

	setFaults(t, address, `{"refuse": true}`)
	_, err = client.Append(ctx, "once/0", port.Entry{ID: "d"})
	checkVerdict(t, err, verdict.NotRun, verdict.ReasonLogUnavailable)
}

func TestLogReadWaitsForRecord(t *testing.T) {
	log := stand.NewLog(stand.LogConfig{})
	client := httpport.NewLog(serve(t, log), nil)
	ctx := context.Background()
	pages := make(chan port.Page)
	go func() {
		page, _ := client.Read(ctx, "config", 1, 10, 20*time.Second)
		pages <- page
	}()
	waitFor(t, func() bool { return log.Stats().Reads > 0 })
	_, err := client.Append(ctx, "config", port.Entry{ID: "a"})
	assert.NilError(t, err)
	page := <-pages
	assert.Equal(t, len(page.Records), 1)
}

func TestLogDropsRecordsAfterRetention(t *testing.T) {
	log := stand.NewLog(stand.LogConfig{Retention: time.Millisecond})
	client := httpport.NewLog(serve(t, log), nil)
	ctx := context.Background()
	_, err := client.Append(ctx, "config", port.Entry{ID: "a"})
	assert.NilError(t, err)
	waitFor(t, func() bool {
		page, err := client.Read(ctx, "config", 1, 10, 0)
		return err == nil && page.First == 2 && page.Next == 2 && len(page.Records) == 0
	})
}

func TestListLags(t *testing.T) {
	list := stand.NewList(stand.ListConfig{Lag: 10 * time.Millisecond})
	client := httpport.NewInstanceList(serve(t, list), nil)
	list.SetUpstreams([]wire.Listed{{Name: "leaf-desk-1", Leaving: true}})
	waitFor(t, func() bool {
		listed, err := client.Upstreams(context.Background())
		return err == nil && len(listed) == 1 && listed[0].Leaving
	})
}

func TestWeightStoreStat(t *testing.T) {
	store := stand.NewWeights(stand.WeightsConfig{Models: map[string]int64{"pisar": 42}})
	bytes, err := httpport.NewWeightStore(serve(t, store), nil).Stat(context.Background(), "pisar")
	assert.NilError(t, err)
	assert.Equal(t, bytes, int64(42))
}
