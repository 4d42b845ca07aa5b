package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// requestBackoff lets upstreams tell the gateway to back off.
func (gw *testGateway) requestBackoff(t *testing.T, backoff time.Duration, ids ...string) {
	t.Helper()
	for _, id := range ids {
		entry, ok := gw.state.Directory.Current(id)
		assert.Assert(t, ok)
		gw.record(entry, upstream.Statement{Backoff: backoff})
	}
}

// retryAfter returns the time of a refusal for a reason.
func retryAfter(t *testing.T, header http.Header, body string, reason verdict.Reason) time.Duration {
	t.Helper()
	assert.Assert(t, strings.Contains(body, string(reason)) && strings.Contains(body, "not_run"), body)
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	return time.Duration(seconds * float64(time.Second))
}

// Guards against requests that wait, reserve in a loop or return too early while all upstreams request a backoff: they are
// refused with the shortest time left, although that is beyond the caller's deadline.
func TestBackoffOfAllIsRefusedWithTheShortestTime(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = answerOK
	calls := 0
	gw.reserve = func(upstream.Entry) (string, error) { calls++; return "reservation", nil }
	gw.prefill = func(upstream.Entry) (string, error) { calls++; return "handle", nil }
	gw.requestBackoff(t, time.Hour, "plain 0", "decode 4")
	gw.requestBackoff(t, 20*time.Minute, "plain 1", "decode 5")
	for _, path := range []string{"/book/1", "/read/1", "/draft/1", "/resumable/1"} {
		rec, _ := gw.request(path, map[string]string{"Tokens": tokenCounts})
		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		after := retryAfter(t, rec.Header(), rec.Body.String(), verdict.ReasonUpstreamBackoff)
		assert.Assert(t, after > 19*time.Minute && after <= 20*time.Minute+2*plainRetry, "%s: %v", path, after)
	}
	assert.Equal(t, len(gw.sends)+calls, 0)
}

// Guards against a request that waits for room until its time is up, although all engines have requested a backoff
// meanwhile.
func TestWaitingRequestIsRefusedWhenAllRequestBackoff(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = answerOK
	d := gw.gateway.dispatchers.get(&gw.state.Index().Set().Services[1])
	d.sync()
	for _, e := range d.decode.allocator.Engines() {
		d.decode.withdraw(e.ID, time.Minute)
	}
	done := make(chan string)
	go func() {
		rec, _ := gw.request("/resumable/1", map[string]string{"Tokens": tokenCounts})
		done <- rec.Body.String()
	}()
	time.Sleep(20 * time.Millisecond)
	gw.requestBackoff(t, time.Hour, "decode 4", "decode 5")
	body := <-done
	assert.Assert(t, strings.Contains(body, string(verdict.ReasonUpstreamBackoff)) || strings.Contains(body, string(verdict.ReasonQueueTimeout)), body)
}

// Guards against a backoff of all prefill engines that keeps decode engines from reading prompts themselves.
func TestBackoffOfPrefillEnginesLeavesPromptsToDecodeEngines(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = answerOK
	gw.prefill = func(upstream.Entry) (string, error) {
		t.Error("a prompt was sent to an engine that requested a backoff")
		return "", nil
	}
	gw.requestBackoff(t, time.Hour, "prefill 2", "prefill 3")
	for range 3 {
		rec, _ := gw.request("/draft/1", map[string]string{"Tokens": tokenCounts})
		assert.Equal(t, rec.Code, http.StatusOK)
	}
	for _, o := range gw.options {
		assert.Equal(t, o.Source.Handle, "")
	}
}

// Guards against an engine that one instance was asked to leave alone and that the home of the places keeps
// assigning to it, or keeps from others.
func TestBackoffIsForTheInstanceThatWasTold(t *testing.T) {
	runPlacementTest(t, 18, 2, func(t *testing.T, f *placementFleet) {
		backoff := func(instance int, ids ...string) {
			for _, id := range ids {
				entry, ok := f.gateways[instance].state.Directory.Current(id)
				assert.Assert(t, ok)
				f.upstreams[instance].record(entry, upstream.Statement{Backoff: time.Hour})
			}
		}
		backoff(1, "d0", "p0")
		backoff(0, "d1", "p1")
		claims := func(instance int) map[string]bool {
			placed := make(map[string]bool)
			for range 3 {
				entry, v := f.dispatcher(instance).place(t.Context(), placementRequest{item: newItem(time.Second)})
				assert.Assert(t, v == nil, "%v", v)
				placed[entry.ID] = true
				prefill, ok := f.dispatcher(instance).claimPrefill(t.Context(), 100, nil)
				assert.Assert(t, ok)
				placed[prefill.ID] = true
			}
			return placed
		}
		before := f.claims
		assert.DeepEqual(t, claims(1), map[string]bool{"d1": true, "p1": true})
		assert.Equal(t, f.claims-before, uint64(6), "the claims do not name what requested it")
		assert.DeepEqual(t, claims(0), map[string]bool{"d0": true, "p0": true})
	})
}
