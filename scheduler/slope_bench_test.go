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

// wireCount counts what the client side of connections sends and receives: bytes of
// HTTP/2 on TCP, without the headers of IP and TCP, and the calls that carry them.
type wireCount struct {
	sent, received, writes atomic.Int64
}

type countedConn struct {
	net.Conn
	count *wireCount
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.sent.Add(int64(n))
	c.count.writes.Add(1)
	return n, err
}

// stubScheduler answers as a scheduler with free places does, with names of the
// length that a fleet of 600 engines needs.
type stubScheduler struct {
	peerv1connect.UnimplementedSchedulerServiceHandler
	next  atomic.Uint64
	ended atomic.Int64
}

func (s *stubScheduler) Reserve(context.Context, *connect.Request[peerv1.ReserveRequest]) (*connect.Response[peerv1.ReserveResponse], error) {
	return connect.NewResponse(&peerv1.ReserveResponse{Grant: &peerv1.Grant{
		Id: 1_790_000_000_000<<20 + s.next.Add(1), Prefill: "gilt-scribe-prefill-123", Decode: "gilt-scribe-decode-123",
		LeaseMs: 3000, TransferAfterMs: 120, QueuedMs: 40,
	}}), nil
}

func (s *stubScheduler) PrefillDone(context.Context, *connect.Request[peerv1.PrefillDoneRequest]) (*connect.Response[peerv1.PrefillDoneResponse], error) {
	s.ended.Add(1)
	return connect.NewResponse(&peerv1.PrefillDoneResponse{}), nil
}

func (s *stubScheduler) Release(context.Context, *connect.Request[peerv1.ReleaseRequest]) (*connect.Response[peerv1.ReleaseResponse], error) {
	s.ended.Add(1)
	return connect.NewResponse(&peerv1.ReleaseResponse{}), nil
}

func (s *stubScheduler) Renew(context.Context, *connect.Request[peerv1.RenewRequest]) (*connect.Response[peerv1.RenewResponse], error) {
	return connect.NewResponse(&peerv1.RenewResponse{SchedulerIncarnation: 1_790_000_000_000}), nil
}

// slopeClient returns a client whose scheduler is a stub across a counted connection.
func slopeClient(b *testing.B) (*Client, *stubScheduler, *wireCount) {
	b.Helper()
	stub, count := &stubScheduler{}, &wireCount{}
	_, handler := peerv1connect.NewSchedulerServiceHandler(stub)
	server := httptest.NewUnstartedServer(nil)
	server.Config = peer.NewServer(handler, nil, "")
	server.Start()
	b.Cleanup(server.Close)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dial := func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		return countedConn{conn, count}, err
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

func slopeRequest(n, hashes int) *request.Request {
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

// BenchmarkRequestWire is what one request costs between an entry instance and a
// scheduler elsewhere: Reserve, PrefillDone and Release, by the number of hashes of
// the prompt's leading blocks. A renewal is not among them.
func BenchmarkRequestWire(b *testing.B) {
	for _, hashes := range []int{0, 16, 64} {
		b.Run(fmt.Sprintf("hashes=%d", hashes), func(b *testing.B) {
			client, stub, count := slopeClient(b)
			ctx, n := context.Background(), 0
			run := func() {
				n++
				grant, err := client.Reserve(ctx, slopeRequest(n, hashes), 1, nil)
				assert.NilError(b, err)
				told := stub.ended.Load()
				client.PrefillDone(grant)
				for stub.ended.Load() == told {
					time.Sleep(50 * time.Microsecond)
				}
				client.Release(grant, route.Outcome{Prefill: 150 * time.Millisecond, FirstToken: 300 * time.Millisecond, Decode: 20 * time.Second, OutputTokens: 390, Fingerprint: 0x9e3779b97f4a7c15})
				for stub.ended.Load() == told+1 {
					time.Sleep(50 * time.Microsecond)
				}
			}
			for range 20 {
				run()
			}
			began, first := readMarks(b, count), n
			for b.Loop() {
				run()
			}
			reportWire(b, count, began, n-first)
		})
	}
}

// BenchmarkRenewWire is what one renewal costs by the number of grants in it.
func BenchmarkRenewWire(b *testing.B) {
	for _, grants := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("grants=%d", grants), func(b *testing.B) {
			client, _, count := slopeClient(b)
			ctx := context.Background()
			for n := range grants {
				_, err := client.Reserve(ctx, slopeRequest(n, 0), 1, nil)
				assert.NilError(b, err)
			}
			held := client.heldByScheduler()
			for address, wire := range held {
				client.renew(ctx, address, wire)
			}
			began, n := readMarks(b, count), 0
			for b.Loop() {
				n++
				for address, wire := range held {
					client.renew(ctx, address, wire)
				}
			}
			reportWire(b, count, began, n)
		})
	}
}

// heldByScheduler builds what renewAll sends.
func (c *Client) heldByScheduler() map[string][]*peerv1.HeldGrant {
	byScheduler := make(map[string][]*peerv1.HeldGrant)
	for key, held := range c.held {
		byScheduler[held.granter.Address] = append(byScheduler[held.granter.Address], &peerv1.HeldGrant{
			Id: held.grant.ID, Service: held.grant.Service, RequestId: key.request, Attempt: key.attempt,
			Prefill: held.grant.Prefill, Decode: held.grant.Decode, Organisation: held.organisation,
		})
	}
	return byScheduler
}

// marks are the counts at one moment.
type marks struct {
	sent, received, writes int64
	cpu                    time.Duration
}

func readMarks(b *testing.B, count *wireCount) marks {
	b.Helper()
	var used syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &used))
	return marks{
		sent: count.sent.Load(), received: count.received.Load(), writes: count.writes.Load(),
		cpu: time.Duration(used.Utime.Nano() + used.Stime.Nano()),
	}
}

// reportWire reports what each of n rounds cost since the marks. Processor time is
// that of both ends.
func reportWire(b *testing.B, count *wireCount, began marks, n int) {
	b.Helper()
	now, rounds := readMarks(b, count), float64(n)
	b.ReportMetric(float64(now.sent-began.sent)/rounds, "sent-B")
	b.ReportMetric(float64(now.received-began.received)/rounds, "received-B")
	b.ReportMetric(float64(now.writes-began.writes)/rounds, "writes")
	b.ReportMetric(float64((now.cpu-began.cpu).Microseconds())/rounds, "cpu-µs")
}
