package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
)

// If a unit file contains an invalid command line, a supervisor would restart the daemon
// repeatedly. Usage errors have a separate exit code so that a supervisor can be configured not to
// restart.
func TestUsageErrorsHaveSeparateExitCode(t *testing.T) {
	for _, line := range []string{"nonsense", "run --bogus", "run", "run --settings /nonexistent"} {
		t.Run(line, func(t *testing.T) {
			app := newApp()
			app.Writer, app.ErrWriter = io.Discard, io.Discard
			app.ExitErrHandler = func(context.Context, *cli.Command, error) {}
			err := app.Run(t.Context(), append([]string{"cairnworksd"}, strings.Fields(line)...))
			var coded cli.ExitCoder
			assert.Assert(t, errors.As(err, &coded), "%v", err)
			assert.Equal(t, coded.ExitCode(), exitSettings)
		})
	}
}

// The example command was once printed before the instance was ready, and its first request was
// refused. It must wait for the same readiness probe as the load balancer.
func TestReadyQueriesReadinessProbe(t *testing.T) {
	var settled atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/readyz")
		if !settled.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	address := server.Listener.Addr().(*net.TCPAddr).String()
	assert.Assert(t, !ready(t.Context(), address))
	settled.Store(true)
	assert.Assert(t, ready(t.Context(), address))
}
