package rate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
)

// BenchmarkAdmit measures Admit and Settle on the home itself and on a peer that reaches the
// home over HTTP/1.1 on loopback.
func BenchmarkAdmit(b *testing.B) {
	log, home := newFakeLog(), request.Holder{Instance: "home", Incarnation: 1, Address: "127.0.0.1:1"}
	var url string
	start := func(self request.Holder) *Service {
		s, err := New(Config{
			Self: self, Log: log,
			Limit:   func(string) (object.Limit, bool) { return object.Limit{TokensPerSecond: 1 << 40, Burst: 1 << 40}, true },
			Members: func() []request.Holder { return []request.Holder{home} },
			Dial: func(string) peerv1connect.RateServiceClient {
				return peerv1connect.NewRateServiceClient(http.DefaultClient, url)
			},
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
	local := start(home)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewRateServiceHandler(local.Handler()))
	server := httptest.NewServer(mux)
	b.Cleanup(server.Close)
	url = server.URL
	peer := start(request.Holder{Instance: "peer", Incarnation: 1, Address: "127.0.0.1:2"})
	for name, s := range map[string]*Service{"home": local, "peer": peer} {
		b.Run(name, func(b *testing.B) {
			for _, err := s.Admit(b.Context(), organisation, 1); err != nil; _, err = s.Admit(b.Context(), organisation, 1) {
				time.Sleep(10 * time.Millisecond)
			}
			for b.Loop() {
				charge, err := s.Admit(b.Context(), organisation, 1000)
				if err != nil {
					b.Fatal(err)
				}
				s.Settle(charge, 900)
			}
		})
	}
}
