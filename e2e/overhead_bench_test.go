package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/instance"
	"github.com/cairnworks/cairnworks/instance/embedded"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport"
	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// benchResponseTokens is the number of tokens of a measured response.
const benchResponseTokens = 200

// concurrentRequestsPerCore is the number of open requests per core in BenchmarkRequestsPerCore.
const concurrentRequestsPerCore = 16

// sample is the measurement of one request: the time to the first token, the total time and the
// number of tokens.
type sample struct {
	firstToken, total time.Duration
	tokens            int
}

// benchSetup is an in-process instance with two engines that respond immediately.
type benchSetup struct {
	callerAddress, key            string
	prefillAddress, decodeAddress string
}

func newBenchSetup(b *testing.B) benchSetup {
	b.Helper()
	platform, err := embedded.StartPlatform(context.Background())
	assert.NilError(b, err)
	b.Cleanup(platform.Close)
	p := benchSetup{key: platform.Key}
	p.prefillAddress, p.decodeAddress = startInstantEngine(b), startInstantEngine(b)
	set := platform.Set
	set.Limits = []object.Limit{{Name: "member", TokensPerSecond: 1_000_000_000, Burst: 10_000_000_000}}
	set.Upstreams = []object.Upstream{
		{Name: "p", Service: "pisar", Role: object.RolePrefill, Address: p.prefillAddress, DataCentre: "split-a", Slots: 64},
		{Name: "d", Service: "pisar", Role: object.RoleDecode, Address: p.decodeAddress, DataCentre: "split-a", Slots: 64, Pieces: 400, LinkBytesPerSecond: 25_000_000_000},
		set.Upstreams[len(set.Upstreams)-1],
	}
	_, err = config.NewPublisher(httpport.NewLog(platform.Log, nil)).Publish(context.Background(), set, 1, "bench")
	assert.NilError(b, err)
	i, err := instance.New(platform.Settings("bench"), zap.NewNop(), zap.NewAtomicLevel())
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = i.Run(ctx) }() // ends with the benchmark
	p.callerAddress = i.Addresses().Callers
	for deadline := time.Now().Add(waitTimeout); probeStatus(i.Addresses().Operators, "/readyz") != http.StatusOK; {
		if time.Now().After(deadline) {
			b.Fatalf("instance not ready within %v", waitTimeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return p
}

// startInstantEngine starts an engine that responds immediately, so that the benchmarks measure the
// request path and not the speed of a model. It returns the engine's address.
func startInstantEngine(b *testing.B) string {
	b.Helper()
	mux := http.NewServeMux()
	respond := func(v any) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) }
	}
	mux.HandleFunc("POST /v1/prefill", respond(wire.PrefillResult{Handle: "h", Tokens: 8, ExpiresMS: 800, Bytes: 1}))
	mux.HandleFunc("POST /v1/import", respond(struct{}{}))
	mux.HandleFunc("GET /v1/load", respond(wire.Load{Slots: 64}))
	mux.HandleFunc("GET /v1/streams", respond([]wire.StreamState{}))
	mux.HandleFunc("GET /v1/cache-events", respond([]wire.CacheEvent{}))
	mux.HandleFunc("POST /v1/decode", func(w http.ResponseWriter, r *http.Request) {
		var req wire.DecodeRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			return
		}
		control, lines := http.NewResponseController(w), json.NewEncoder(w)
		for n := range benchResponseTokens {
			_ = lines.Encode(wire.Frame{RequestID: req.RequestID, Attempt: req.Attempt, Seq: n, Token: "token "})
			_ = control.Flush()
		}
		_ = lines.Encode(wire.Frame{RequestID: req.RequestID, Attempt: req.Attempt, Seq: benchResponseTokens, Done: true, FinishReason: "length"})
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }() // ends with Close
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// runDirect makes the same calls to the engines as the request path, but without the daemon.
func (p benchSetup) runDirect(n int) (sample, error) {
	ctx, start := context.Background(), time.Now()
	id := port.StreamID{RequestID: "direct-" + strconv.Itoa(n), Attempt: 1}
	prefill, decode := httpport.NewEngine(p.prefillAddress, nil), httpport.NewEngine(p.decodeAddress, nil)
	result, err := prefill.Prefill(ctx, port.PrefillRequest{Stream: id, Prompt: benchPrompt(n)})
	if err != nil {
		return sample{}, err
	}
	if err := decode.Import(ctx, port.ImportRequest{Stream: id, Source: p.prefillAddress, Handle: result.Handle, MaxTokens: benchResponseTokens}); err != nil {
		return sample{}, err
	}
	frames, err := decode.Decode(ctx, port.DecodeRequest{Stream: id, MaxTokens: benchResponseTokens})
	if err != nil {
		return sample{}, err
	}
	defer frames.Close()
	var s sample
	for {
		frame, err := frames.Next()
		if err != nil {
			return s, err
		}
		if frame.Done {
			s.total = time.Since(start)
			return s, nil
		}
		s.recordToken(start)
	}
}

func (s *sample) recordToken(start time.Time) {
	if s.tokens == 0 {
		s.firstToken = time.Since(start)
	}
	s.tokens++
}

// runThroughDaemon sends the same request through the daemon.
func (p benchSetup) runThroughDaemon(n int) (sample, error) {
	start := time.Now()
	body := `{"model":"pisar-small","stream":true,"max_tokens":` + strconv.Itoa(benchResponseTokens) + `,"prompt":"` + benchPrompt(n) + `"}`
	req, err := http.NewRequest(http.MethodPost, "http://"+p.callerAddress+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return sample{}, err
	}
	req.Header.Set("Authorization", "Bearer "+p.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return sample{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return sample{}, errors.New(string(text))
	}
	var s sample
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		line := scanner.Bytes()
		if bytes.Equal(line, []byte("data: [DONE]")) {
			s.total = time.Since(start)
			return s, nil
		}
		if len(line) > 0 {
			s.recordToken(start)
		}
	}
	return s, io.ErrUnexpectedEOF
}

func benchPrompt(n int) string { return "a ledger of gilded frames, number " + strconv.Itoa(n) }

// BenchmarkOverhead alternates requests directly to the engines and through the daemon, all in this
// process, and reports the overhead of the daemon. Allocations are counted for the whole process,
// including the simulated engines and the client, so the difference is the daemon's share.
func BenchmarkOverhead(b *testing.B) {
	p := newBenchSetup(b)
	kinds := []func(int) (sample, error){p.runDirect, p.runThroughDaemon}
	var first, afterFirst [2]time.Duration
	var tokens [2]int
	var allocated [2]uint64
	n := 0
	for b.Loop() {
		n++
		for k, run := range kinds {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			s, err := run(n)
			if err != nil {
				b.Fatal(err)
			}
			runtime.ReadMemStats(&after)
			first[k] += s.firstToken
			afterFirst[k] += s.total - s.firstToken
			tokens[k] += s.tokens
			allocated[k] += after.Mallocs - before.Mallocs
		}
	}
	perToken := func(k int) float64 { return float64(afterFirst[k].Nanoseconds()) / float64(tokens[k]) }
	b.ReportMetric(float64(first[1])/float64(first[0]), "first-token-ratio")
	b.ReportMetric(float64(first[1]-first[0])/float64(n)/1e3, "first-token-added-µs")
	b.ReportMetric(perToken(1)/perToken(0), "per-token-ratio")
	b.ReportMetric(float64(allocated[1])/float64(tokens[1])-float64(allocated[0])/float64(tokens[0]), "allocs-added/token")
}

// BenchmarkRequestsPerCore measures the rate of concurrent requests with short responses. Run it
// with -cpu 1 for the rate on one core, including the simulated engines and the clients.
func BenchmarkRequestsPerCore(b *testing.B) {
	for _, kind := range []string{"direct", "through"} {
		b.Run(kind, func(b *testing.B) {
			p := newBenchSetup(b)
			run := p.runDirect
			if kind == "through" {
				run = p.runThroughDaemon
			}
			var next atomic.Int64
			// Enough concurrent requests to keep the core busy while some of them wait.
			b.SetParallelism(concurrentRequestsPerCore)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := run(int(next.Add(1))); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}
