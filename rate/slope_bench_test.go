package rate

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/peer"
)

// stubHome responds like a home that has tokens and like a fence member.
type stubHome struct {
	peerv1connect.UnimplementedRateServiceHandler
}

func (stubHome) Acquire(_ context.Context, req *connect.Request[peerv1.AcquireRequest]) (*connect.Response[peerv1.AcquireResponse], error) {
	return connect.NewResponse(&peerv1.AcquireResponse{Granted: req.Msg.Tokens, Term: 123456, Charge: 123456}), nil
}

func (stubHome) Refund(context.Context, *connect.Request[peerv1.RefundRequest]) (*connect.Response[peerv1.RefundResponse], error) {
	return connect.NewResponse(&peerv1.RefundResponse{}), nil
}

func (stubHome) Extend(context.Context, *connect.Request[peerv1.ExtendRequest]) (*connect.Response[peerv1.ExtendResponse], error) {
	return connect.NewResponse(&peerv1.ExtendResponse{Extended: []bool{true}}), nil
}

// countingConn counts the bytes sent and received on a connection, without the headers of IP
// and TCP.
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

// BenchmarkWire measures the bytes that one call to a peer sends and receives. A request
// that uses a share with a remote home takes one Acquire and one Refund. A holder that has
// not read the log for Timing.ExtendAfter sends one Extend for each shard and member of its
// fence set.
func BenchmarkWire(b *testing.B) {
	holder := &peerv1.Holder{Instance: "waco-north-entry-123", Incarnation: 1_790_000_000_000, Address: "10.123.123.123:7443"}
	for name, call := range map[string]func(context.Context, peerv1connect.RateServiceClient) error{
		"acquire": func(ctx context.Context, c peerv1connect.RateServiceClient) error {
			_, err := c.Acquire(ctx, connect.NewRequest(&peerv1.AcquireRequest{Organisation: "organisation-01234", Share: 2, Shard: 50, Tokens: 4096, Partial: true}))
			return err
		},
		"refund": func(ctx context.Context, c peerv1connect.RateServiceClient) error {
			_, err := c.Refund(ctx, connect.NewRequest(&peerv1.RefundRequest{Parts: []*peerv1.RefundPart{
				{Organisation: "organisation-01234", Share: 2, Shard: 50, Term: 123456, Tokens: 1024, Charge: 123456},
			}}))
			return err
		},
		"extend": func(ctx context.Context, c peerv1connect.RateServiceClient) error {
			_, err := c.Extend(ctx, connect.NewRequest(&peerv1.ExtendRequest{
				Holder: holder, Member: holder, Terms: []*peerv1.TermRef{{Shard: 50, Term: 123456}},
			}))
			return err
		},
	} {
		b.Run(name, func(b *testing.B) { benchWire(b, call) })
	}
}

func benchWire(b *testing.B, call func(context.Context, peerv1connect.RateServiceClient) error) {
	_, handler := peerv1connect.NewRateServiceHandler(stubHome{}, peer.HandlerOptions())
	server := httptest.NewUnstartedServer(nil)
	server.Config = peer.NewServer(handler, nil, "")
	server.Start()
	b.Cleanup(server.Close)
	var sent, received atomic.Int64
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		return countingConn{conn, &sent, &received}, err
	}}
	b.Cleanup(transport.CloseIdleConnections)
	client := peerv1connect.NewRateServiceClient(&http.Client{Transport: transport}, "http://"+server.Listener.Addr().String(), peer.ClientOptions())
	ctx := context.Background()
	assert.NilError(b, call(ctx, client))
	cpuBefore, out, in, n := cpuSeconds(b), sent.Load(), received.Load(), 0
	for b.Loop() {
		n++
		assert.NilError(b, call(ctx, client))
	}
	b.ReportMetric(float64(sent.Load()-out)/float64(n), "sent-B")
	b.ReportMetric(float64(received.Load()-in)/float64(n), "received-B")
	b.ReportMetric((cpuSeconds(b)-cpuBefore)*1e6/float64(n), "cpu-µs")
}

// cpuSeconds returns the CPU time of this process, which runs both ends of the call.
func cpuSeconds(b *testing.B) float64 {
	b.Helper()
	var used syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &used))
	return float64(used.Utime.Nano()+used.Stime.Nano()) / 1e9
}
