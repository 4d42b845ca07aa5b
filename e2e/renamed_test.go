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
type logProxy struct {
	logAddress, stream string
	blocked            atomic.Bool
	refused            atomic.Int64
}

func (l *logProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.blocked.Load() && strings.Contains(r.URL.RequestURI(), l.stream) {
		l.refused.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+l.logAddress+r.URL.RequestURI(), r.Body)
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
func TestRenamedInstanceIsNotReadyWithoutFleetID(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 1})
	proxy := &logProxy{logAddress: f.logAddress, stream: "fleet"}
	proxy.blocked.Store(true)
	server := httptest.NewServer(proxy)
	t.Cleanup(server.Close)
	d := f.startInstance(3, func(s *settings.Settings) {
		s.Fleet, s.Platform.Log = "renamed", server.Listener.Addr().String()
	})
	eventually(t, "the id is asked for again and again", func() bool {
		assert.Assert(t, probeStatus(d.operatorAddress, "/readyz") != http.StatusOK, "ready after %d refused reads", proxy.refused.Load())
		return proxy.refused.Load() >= 6
	})
	proxy.blocked.Store(false)
	eventually(t, "it is ready", func() bool { return probeStatus(d.operatorAddress, "/readyz") == http.StatusOK })
	for n := range 10 {
		assert.Equal(t, f.sendMixedRequest(d, 0, 3*n+1), "")
	}
}
