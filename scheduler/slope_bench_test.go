package scheduler

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/peer"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/route"
)

// connStats counts the traffic on the client side of connections: bytes of HTTP/2 without the TCP
// and IP headers, and the number of writes.
type connStats struct {
	sent, received, writes atomic.Int64
}

type countingConn struct {
	net.Conn
	count *connStats
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.sent.Add(int64(n))
	c.count.writes.Add(1)
	return n, err
}

// stubScheduler responds like a scheduler with free slots. The names are as long as those of a
// fleet of 600 engines.
type stubScheduler struct {
	peerv1connect.UnimplementedSchedulerServiceHandler
	lastID   atomic.Uint64
	endCalls atomic.Int64
}

func (s *stubScheduler) Reserve(context.Context, *connect.Request[peerv1.ReserveRequest]) (*connect.Response[peerv1.ReserveResponse], error) {
	return connect.NewResponse(&peerv1.ReserveResponse{Grant: &peerv1.Grant{
		Id: 1_790_000_000_000<<20 + s.lastID.Add(1), Prefill: "gilt-scribe-prefill-123", Decode: "gilt-scribe-decode-123",
		LeaseMs: 3000, TransferAfterMs: 120, QueuedMs: 40,
	}}), nil
}

func (s *stubScheduler) PrefillDone(context.Context, *connect.Request[peerv1.PrefillDoneRequest]) (*connect.Response[peerv1.PrefillDoneResponse], error) {
	s.endCalls.Add(1)
	return connect.NewResponse(&peerv1.PrefillDoneResponse{}), nil
}

func (s *stubScheduler) Release(context.Context, *connect.Request[peerv1.ReleaseRequest]) (*connect.Response[peerv1.ReleaseResponse], error) {
	s.endCalls.Add(1)
	return connect.NewResponse(&peerv1.ReleaseResponse{}), nil
}

func (s *stubScheduler) Renew(context.Context, *connect.Request[peerv1.RenewRequest]) (*connect.Response[peerv1.RenewResponse], error) {
	return connect.NewResponse(&peerv1.RenewResponse{SchedulerIncarnation: 1_790_000_000_000}), nil
}

// newBenchClient returns a client that is connected to a stub scheduler through a countingConn.
func newBenchClient(b *testing.B) (*Client, *stubScheduler, *connStats) {
	b.Helper()
	stub, count := &stubScheduler{}, &connStats{}
	_, handler := peerv1connect.NewSchedulerServiceHandler(stub)
	server := httptest.NewUnstartedServer(nil)
	server.Config = peer.NewServer(handler, nil, "")
	server.Start()
	b.Cleanup(server.Close)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dial := func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		return countingConn{conn, count}, err
	}
	transport := &http.Transport{Protocols: protocols, DialContext: dial}
	b.Cleanup(transport.CloseIdleConnections)
	address := server.Listener.Addr().String()
	rpc := peerv1connect.NewSchedulerServiceClient(&http.Client{Transport: transport}, "http://"+address)
	client := NewClient(ClientConfig{
		Self: func() request.Holder {
			return request.Holder{Instance: "waco-north-entry-123", Incarnation: 1_790_000_000_000, Address: "10.123.123.123:7443"}
		},
		DataCentre: "waco-north",
		Home:       func(string) (request.Holder, bool) { return request.Holder{Address: address}, true },
		Dial:       func(string) peerv1connect.SchedulerServiceClient { return rpc },
		Log:        zap.NewNop(),
	})
	return client, stub, count
}

func newBenchRequest(n, hashes int) *request.Request {
	req := &request.Request{
		ID: fmt.Sprintf("waco-north-entry-123-%012d", n), Organisation: "organisation-01234", KeyID: "organisation-01234-1",
		Service: "gilt-scribe", Class: request.Interactive, Deadline: time.Now().Add(time.Hour),
		PromptTokens: 64 * hashes, MaxTokens: 390, Fingerprint: 0x9e3779b97f4a7c15, ConfigVersion: 12345,
	}
	for h := range hashes {
		req.PrefixHashes = append(req.PrefixHashes, 0x9e3779b97f4a7c15*uint64(h+1))
	}
	return req
}

// BenchmarkRequestWire measures the cost of one request between an entry instance and a remote
// scheduler: the calls Reserve, PrefillDone and Release, by the number of hashes of the prompt's
// leading blocks. Renewals are not included.
func BenchmarkRequestWire(b *testing.B) {
	for _, hashes := range []int{0, 16, 64} {
		b.Run(fmt.Sprintf("hashes=%d", hashes), func(b *testing.B) {
			client, stub, count := newBenchClient(b)
			ctx, n := context.Background(), 0
			run := func() {
				n++
				grant, err := client.Reserve(ctx, newBenchRequest(n, hashes), 1, nil)
				assert.NilError(b, err)
				callsBefore := stub.endCalls.Load()
				client.PrefillDone(grant)
				for stub.endCalls.Load() == callsBefore {
					time.Sleep(50 * time.Microsecond)
				}
				client.Release(grant, route.Outcome{Prefill: 150 * time.Millisecond, FirstToken: 300 * time.Millisecond, Decode: 20 * time.Second, OutputTokens: 390, Fingerprint: 0x9e3779b97f4a7c15})
				for stub.endCalls.Load() == callsBefore+1 {
					time.Sleep(50 * time.Microsecond)
				}
			}
			for range 20 {
				run()
			}
			before, first := takeSnapshot(b, count), n
			for b.Loop() {
				run()
			}
			reportUsage(b, count, before, n-first)
		})
	}
}

// BenchmarkRenewWire measures the cost of one renewal by the number of grants it contains.
func BenchmarkRenewWire(b *testing.B) {
	for _, grants := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("grants=%d", grants), func(b *testing.B) {
			client, _, count := newBenchClient(b)
			ctx := context.Background()
			for n := range grants {
				_, err := client.Reserve(ctx, newBenchRequest(n, 0), 1, nil)
				assert.NilError(b, err)
			}
			held := client.grantsByScheduler()
			for address, grants := range held {
				client.renew(ctx, address, grants)
			}
			before, n := takeSnapshot(b, count), 0
			for b.Loop() {
				n++
				for address, grants := range held {
					client.renew(ctx, address, grants)
				}
			}
			reportUsage(b, count, before, n)
		})
	}
}

// grantsByScheduler returns the grants that renewAll sends to each scheduler.
func (c *Client) grantsByScheduler() map[string][]*peerv1.HeldGrant {
	byScheduler := make(map[string][]*peerv1.HeldGrant)
	for key, held := range c.grants {
		byScheduler[held.scheduler.Address] = append(byScheduler[held.scheduler.Address], &peerv1.HeldGrant{
			Id: held.grant.ID, Service: held.grant.Service, RequestId: key.request, Attempt: key.attempt,
			Prefill: held.grant.Prefill, Decode: held.grant.Decode, Organisation: held.organisation,
		})
	}
	return byScheduler
}

// usageSnapshot holds the traffic counts and CPU time at one point in time.
type usageSnapshot struct {
	sent, received, writes int64
	cpu                    time.Duration
}

func takeSnapshot(b *testing.B, count *connStats) usageSnapshot {
	b.Helper()
	var used syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &used))
	return usageSnapshot{
		sent: count.sent.Load(), received: count.received.Load(), writes: count.writes.Load(),
		cpu: time.Duration(used.Utime.Nano() + used.Stime.Nano()),
	}
}

// reportUsage reports the average cost of n rounds since a snapshot. CPU time includes both the
// client and the server.
func reportUsage(b *testing.B, count *connStats, before usageSnapshot, n int) {
	b.Helper()
	now, rounds := takeSnapshot(b, count), float64(n)
	b.ReportMetric(float64(now.sent-before.sent)/rounds, "sent-B")
	b.ReportMetric(float64(now.received-before.received)/rounds, "received-B")
	b.ReportMetric(float64(now.writes-before.writes)/rounds, "writes")
	b.ReportMetric(float64((now.cpu-before.cpu).Microseconds())/rounds, "cpu-µs")
}
