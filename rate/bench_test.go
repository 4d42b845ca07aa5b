package rate

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
)

// countingConn counts the bytes of the connections between the two instances.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkAdmit admits and settles on the home itself and from a peer over HTTP/1.1 on
// loopback.
func BenchmarkAdmit(b *testing.B) {
	log := newFakeLog()
	limit := func(string) (object.Limit, bool) { return object.Limit{TokensPerSecond: 1 << 40, Burst: 1 << 40}, true }
	var bytes atomic.Int64
	dialer := &net.Dialer{}
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 16,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			return countingConn{Conn: conn, bytes: &bytes}, err
		},
	}}
	home := request.Holder{Instance: "home", Incarnation: 1, Address: "127.0.0.1:1"}
	start := func(self request.Holder, url *string) *Service {
		s, err := New(Config{
			Self: self, Log: log, Limit: limit,
			Members: func() []request.Holder { return []request.Holder{home} },
			Dial:    func(string) peerv1connect.RateServiceClient { return peerv1connect.NewRateServiceClient(client, *url) },
		})
		if err != nil {
			b.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = s.Run(ctx) }()
		b.Cleanup(func() { cancel(); <-done })
		return s
	}
	var url string
	local := start(home, &url)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewRateServiceHandler(local.Handler()))
	server := httptest.NewServer(mux)
	b.Cleanup(server.Close)
	url = server.URL
	peer := start(request.Holder{Instance: "peer", Incarnation: 1, Address: "127.0.0.1:2"}, &url)
	for name, s := range map[string]*Service{"home": local, "peer": peer} {
		b.Run(name, func(b *testing.B) {
			for {
				if _, err := s.Admit(b.Context(), organisation, 1); err == nil {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			before := bytes.Load()
			for b.Loop() {
				charge, err := s.Admit(b.Context(), organisation, 1000)
				if err != nil {
					b.Fatal(err)
				}
				s.Settle(charge, 900)
			}
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "bytes/op")
		})
	}
}
