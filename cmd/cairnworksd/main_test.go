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

// A unit file has a typing error in its command line. With the code of an ordinary
// failure the supervisor starts the daemon again and again; wrong use has a code
// of its own, which it can be told to leave alone.
func TestWrongUseHasItsOwnExitCode(t *testing.T) {
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

// The line to try was printed before the instance was ready, and a newcomer's
// first answer was a refusal. It waits for the same probe as the balancer.
func TestReadyFollowsTheProbe(t *testing.T) {
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
