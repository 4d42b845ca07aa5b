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

// logProxy forwards requests to a log, and refuses those for one stream while it is blocked.
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

// Guards against an instance of a renamed fleet that accepts callers before it has read the fleet
// ID. All other instances reject its calls until then, so each request was refused because no rate
// home was available.
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
	eventually(t, "the fleet ID has been requested at least six times", func() bool {
		assert.Assert(t, probeStatus(d.operatorAddress, "/readyz") != http.StatusOK, "ready after %d refused reads", proxy.refused.Load())
		return proxy.refused.Load() >= 6
	})
	proxy.blocked.Store(false)
	eventually(t, "the instance is ready", func() bool { return probeStatus(d.operatorAddress, "/readyz") == http.StatusOK })
	for n := range 10 {
		assert.Equal(t, f.sendMixedRequest(d, 0, 3*n+1), "")
	}
}
