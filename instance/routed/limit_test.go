package routed_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an upstream that names the requests per second that it takes and gets more, and
// against refusals of the rest that do not say when to come back.
func TestUpstreamThatNamesALimitGetsNoMore(t *testing.T) {
	var limit atomic.Value
	limit.Store("")
	var received atomic.Int64
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		if text := limit.Load().(string); text != "" {
			w.Header().Set("Server-Limit", text)
		}
		respondSigned(w, r)
	})
	limit.Store("0")
	status, _, err := f.request("k")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	before := received.Load()
	const allowed = 5
	for range 40 {
		status, resp, err := f.request("k")
		assert.NilError(t, err)
		if status == http.StatusOK {
			continue
		}
		assert.Equal(t, status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 0)
	}
	got := received.Load() - before
	assert.Assert(t, got <= allowed, "%d requests at an upstream that takes none", got)
	// Once an answer names no limit any more, none holds.
	limit.Store("")
	f.eventually(t, func() bool { status, _, err := f.request("k"); return err == nil && status == http.StatusOK })
	for range 40 {
		status, _, err := f.request("k")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
}
