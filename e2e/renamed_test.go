package e2e

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/settings"
)

// logRelay stands before a log and refuses calls on one stream while it is shut.
type logRelay struct {
	log, stream string
	shut        atomic.Bool
	refused     atomic.Int64
}

func (l *logRelay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.shut.Load() && strings.Contains(r.URL.RequestURI(), l.stream) {
		l.refused.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+l.log+r.URL.RequestURI(), r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	req.Header = r.Header.Clone()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// Guards against an instance of a renamed fleet that takes callers before it has read its fleet's
// id: all others refuse its calls until then, and each request was refused for want of a rate home.
func TestRenamedInstanceIsNotReadyWithoutItsFleetsID(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 1})
	relay := &logRelay{log: f.log, stream: "fleet"}
	relay.shut.Store(true)
	server := httptest.NewServer(relay)
	t.Cleanup(server.Close)
	d := f.startInstance(3, func(s *settings.Settings) {
		s.Fleet, s.Platform.Log = "renamed", server.Listener.Addr().String()
	})
	eventually(t, "the id is asked for again and again", func() bool {
		assert.Assert(t, status(d.operators, "/readyz") != http.StatusOK, "ready after %d refused reads", relay.refused.Load())
		return relay.refused.Load() >= 6
	})
	relay.shut.Store(false)
	eventually(t, "it is ready", func() bool { return status(d.operators, "/readyz") == http.StatusOK })
	for n := range 10 {
		assert.Equal(t, f.mixedRequest(d, 0, 3*n+1), "")
	}
}
