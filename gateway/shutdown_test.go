package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Guards against calls that are dropped at the end of a shutdown as if their callers had left, and against refusals then
// that say "not run" of a call that may have run.
func TestCallsOpenAtTheEndOfShutdownAreAnswered(t *testing.T) {
	for _, c := range []struct {
		ran    verdict.Ran
		status int
	}{{verdict.NotRun, http.StatusServiceUnavailable}, {verdict.MayHaveRun, http.StatusBadGateway}} {
		for _, path := range []string{"/read/1", "/book/1", "/draft/1", "/resumable/1"} {
			gw := newTestGateway(t)
			gw.run = func(ctx context.Context, _ upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
				gw.gateway.shutdown.stop(errStopping)
				<-ctx.Done()
				return nil, verdict.Fail(c.ran, verdict.ReasonCancelled, ctx.Err(), "the caller disconnected")
			}
			rec, aborted := gw.request(path, map[string]string{"Tokens": tokenCounts})
			assert.Assert(t, !aborted, path)
			assert.Equal(t, rec.Code, c.status, path)
			assert.Assert(t, strings.Contains(rec.Body.String(), string(verdict.ReasonStopping)), "%s: %s", path, rec.Body)
			assert.Equal(t, rec.Header().Get("Retry-After") != "", c.ran == verdict.NotRun, path)
			assert.Equal(t, len(gw.sends), 1, path)
			assert.Equal(t, gw.gateway.OpenCalls(), int64(0))
		}
	}
}

// Guards against an engine that is told to work beyond the end of the shutdown of the instance that sent the request.
func TestDeadlineEndsWithTheShutdown(t *testing.T) {
	gw := newTestGateway(t)
	end := time.Now().Add(900 * time.Millisecond)
	gw.gateway.Drain(end)
	gw.run = func(_ context.Context, _ upstream.Entry, c *Call, _ RunOptions) (*Answer, error) {
		assert.Assert(t, !c.Deadline.After(end))
		return newAnswer(http.StatusOK, "ok")
	}
	rec, _ := gw.request("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusOK)
	gw.gateway.RefuseLate()
	rec, _ = gw.request("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	assert.Equal(t, len(gw.sends), 1)
}
