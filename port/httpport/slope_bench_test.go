package httpport_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port/httpport"
	"github.com/cairnworks/cairnworks/port/httpport/wire"
	"github.com/cairnworks/cairnworks/stand"
)

// countingConn counts the HTTP bytes on a connection, without IP and TCP headers.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// benchPoll measures a call and reports the bytes that it sends and receives.
func benchPoll(b *testing.B, handler http.Handler, poll func(address string, client *http.Client) error) {
	b.Helper()
	server := httptest.NewServer(handler)
	b.Cleanup(server.Close)
	var sent, received atomic.Int64
	client := httpport.NewClient()
	client.Transport.(*http.Transport).DialContext = func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		return countingConn{conn, &sent, &received}, err
	}
	address := server.Listener.Addr().String()
	assert.NilError(b, poll(address, client))
	out, in, n := sent.Load(), received.Load(), 0
	for b.Loop() {
		n++
		assert.NilError(b, poll(address, client))
	}
	b.ReportMetric(float64(sent.Load()-out)/float64(n), "sent-B")
	b.ReportMetric(float64(received.Load()-in)/float64(n), "received-B")
}

// BenchmarkLogPoll measures a long poll of a stream without new records.
func BenchmarkLogPoll(b *testing.B) {
	for _, stream := range []string{"config", "rate", "once-12"} {
		b.Run(stream, func(b *testing.B) {
			log := stand.NewLog(stand.LogConfig{})
			b.Cleanup(log.Close)
			benchPoll(b, log.Handler(), func(address string, client *http.Client) error {
				_, err := httpport.NewLog(address, client).Read(context.Background(), stream, 12345, 1000, time.Millisecond)
				return err
			})
		})
	}
}

// BenchmarkListPoll measures a read of the instance list by its number of entries.
func BenchmarkListPoll(b *testing.B) {
	for _, entries := range []int{9, 100, 400, 600} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var listed []wire.Listed
			for n := range entries {
				listed = append(listed, wire.Listed{Name: fmt.Sprintf("waco-north-entry-%03d", n), Address: "10.123.123.123:7443", DataCentre: "waco-north"})
			}
			list := stand.NewList(stand.ListConfig{Instances: listed})
			benchPoll(b, list.Handler(), func(address string, client *http.Client) error {
				_, err := httpport.NewInstanceList(address, client).Instances(context.Background())
				return err
			})
		})
	}
}

// BenchmarkEnginePoll measures one polling round of a scheduler to an engine (load,
// streams and, for a prefill engine, cache events) by the number of streams that the
// engine holds, or by the number of events since the previous round.
func BenchmarkEnginePoll(b *testing.B) {
	for _, streams := range []int{0, 10, 20} {
		b.Run(fmt.Sprintf("decode/streams=%d", streams), func(b *testing.B) {
			benchPoll(b, engineStub(streams, 0), func(address string, client *http.Client) error {
				engine := httpport.NewEngine(address, client)
				if _, err := engine.Load(context.Background()); err != nil {
					return err
				}
				_, err := engine.Streams(context.Background())
				return err
			})
		})
	}
	for _, events := range []int{0, 10, 20} {
		b.Run(fmt.Sprintf("cache/events=%d", events), func(b *testing.B) {
			benchPoll(b, engineStub(0, events), func(address string, client *http.Client) error {
				_, err := httpport.NewEngine(address, client).CacheEvents(context.Background(), 12345)
				return err
			})
		})
	}
}

// engineStub returns an engine that answers polls with names as long as those of a
// large fleet.
func engineStub(streams, events int) http.Handler {
	held, stored := []wire.StreamState{}, []wire.CacheEvent{}
	for n := range streams {
		held = append(held, wire.StreamState{Phase: "decoding", Pieces: 4, Stream: wire.Stream{
			RequestID: fmt.Sprintf("waco-north-entry-123-%012d", n), Attempt: 1,
			Instance: "waco-north-entry-123", Incarnation: 1_790_000_000_000, Address: "10.123.123.123:7443",
		}})
	}
	for n := range events {
		stored = append(stored, wire.CacheEvent{Seq: uint64(12346 + n), Hash: 0x9e3779b97f4a7c15 * uint64(n+1), Stored: true})
	}
	mux := http.NewServeMux()
	answer := func(v any) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(v)
		}
	}
	mux.HandleFunc("GET /v1/load", answer(wire.Load{Role: "decode", Running: streams, Slots: 20, PiecesUsed: 4 * streams, Pieces: 400, Loaded: []string{"gilt-scribe"}, Start: "1790000000000"}))
	mux.HandleFunc("GET /v1/streams", answer(held))
	mux.HandleFunc("GET /v1/cache-events", answer(stored))
	return mux
}
