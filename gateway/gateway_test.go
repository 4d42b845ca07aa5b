package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

func TestAnswerIsForwarded(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = func(_ context.Context, _ upstream.Entry, c *Call, _ RunOptions) (*Answer, error) {
		assert.Equal(t, string(c.Body), "body")
		assert.Equal(t, c.Organisation, "wide")
		return newAnswer(http.StatusTeapot, "whole")
	}
	rec, aborted := gw.request("/book/1", nil)
	assert.Assert(t, !aborted)
	assert.Equal(t, rec.Code, http.StatusTeapot)
	assert.Equal(t, rec.Body.String(), "whole")
	assert.Equal(t, len(rec.Header()["Content-Type"]), 0)
}

// An upstream closes the connection during a booking. The booking may have been made, so it must
// not be sent again and the caller must not be told that it did not run.
func TestBookingIsNotRepeated(t *testing.T) {
	gw := newTestGateway(t)
	gw.failWith(crashedError())
	rec, _ := gw.request("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusBadGateway)
	assert.Equal(t, len(gw.sends), 1)
	gw.failWith(refusedError())
	rec, _ = gw.request("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	assert.Equal(t, len(gw.sends), 2)
}

// An upstream is unreachable. Nothing was sent to it, so that even a booking may go to the next.
func TestUnreachableUpstreamIsSkipped(t *testing.T) {
	gw := newTestGateway(t)
	first := ""
	gw.run = func(_ context.Context, to upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
		if first == "" || first == to.ID {
			first = to.ID
			return nil, unreachableError()
		}
		return newAnswer(http.StatusOK, "ok")
	}
	rec, _ := gw.request("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusOK)
	for range 5 {
		rec, _ = gw.request("/book/1", nil)
		assert.Equal(t, rec.Code, http.StatusOK)
	}
	assert.Equal(t, len(gw.sends), 7, "the unreachable upstream was tried again immediately")
}

// A lookup fails at one upstream with a server error or a truncated answer. It is retried at
// another upstream, once.
func TestLookupIsRepeatedOnce(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		switch len(gw.sends) {
		case 1:
			return newAnswer(http.StatusInternalServerError, "failed")
		case 2:
			return newAnswer(http.StatusOK, "ok")
		case 3:
			return &Answer{Status: http.StatusOK, Body: &truncatedBody{"ha"}, Length: 4, EndStated: true}, nil
		case 4:
			return newAnswer(http.StatusOK, "ok")
		default:
			return newAnswer(http.StatusBadGateway, "theirs")
		}
	}
	for range 2 {
		rec, _ := gw.request("/read/1", nil)
		assert.Equal(t, rec.Body.String(), "ok")
	}
	rec, _ := gw.request("/read/1", nil)
	assert.Equal(t, rec.Code, http.StatusBadGateway)
	assert.Equal(t, rec.Body.String(), "theirs", "an upstream's failure is forwarded unchanged")
	assert.Equal(t, len(gw.sends), 6)
}

// An upstream runs a lookup and its answer is lost. Without a retry the caller would wait until its
// deadline.
func TestUnansweredLookupIsRetried(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = func(ctx context.Context, _ upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
		if len(gw.sends) == 1 {
			<-ctx.Done()
			return nil, verdict.Fail(verdict.MayHaveRun, verdict.ReasonCancelled, ctx.Err(), "ended")
		}
		return newAnswer(http.StatusOK, "ok")
	}
	rec, _ := gw.request("/read/1", nil)
	assert.Equal(t, rec.Body.String(), "ok")
}

// A booking is not answered within its route's timeout, so that it is unknown whether it ran.
func TestTimedOutBookingIsGatewayTimeout(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = func(ctx context.Context, _ upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
		<-ctx.Done()
		return nil, verdict.Fail(verdict.MayHaveRun, verdict.ReasonTimeout, ctx.Err(), "no answer in time")
	}
	rec, _ := gw.request("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusGatewayTimeout)
}

// Each refusal before anything is sent has the right status, and Retry-After only if a retry can
// succeed.
func TestRefusalsBeforeSending(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return newAnswer(http.StatusOK, "")
	}
	cases := []struct {
		name, path string
		header     map[string]string
		status     int
	}{
		{"no route", "/none/", nil, http.StatusNotFound},
		{"unknown key", "/book/1", map[string]string{"Key": "x"}, http.StatusUnauthorized},
		{"no key", "/book/1", map[string]string{"Key": ""}, http.StatusUnauthorized},
		{"over the quota", "/book/1", map[string]string{"Key": "small", "Tokens": "100 1"}, http.StatusOK},
		{"over the quota", "/book/1", map[string]string{"Key": "small", "Tokens": "100 1"}, http.StatusTooManyRequests},
	}
	for _, c := range cases {
		rec, _ := gw.request(c.path, c.header)
		assert.Equal(t, rec.Code, c.status, c.name)
		assert.Equal(t, rec.Header().Get("Retry-After") != "", c.status == http.StatusTooManyRequests, c.name)
	}
}

// A machine was suspended or cut off from the store. The instance cannot know which keys were
// withdrawn in the meantime, and must not refuse an unknown key or route permanently.
func TestStaleInstanceServesNoKeys(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return newAnswer(http.StatusOK, "")
	}
	gw.clockAdvance = 3 * time.Second
	rec, _ := gw.request("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusOK)
	rec, _ = gw.request("/none/", nil)
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	gw.clockAdvance = 5 * time.Second
	rec, _ = gw.request("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	gw.state.ConfirmCurrent(gw.now())
	rec, _ = gw.request("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusOK)
}

// A key is withdrawn while its request waits or while the first attempt fails. The request must not
// be sent to another upstream.
func TestWithdrawnKeyStopsBeforeTheNextSend(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		without := testObjects()
		without.Keys = nil
		gw.state.Apply(object.NewIndex(without, 2))
		return nil, crashedError()
	}
	gw.request("/read/1", nil)
	assert.Equal(t, len(gw.sends), 1)
	assert.Assert(t, !gw.state.Apply(object.NewIndex(testObjects(), 1)), "an older configuration was applied")
}

// Guards against memory exhaustion by bodies of unknown length and by too many bodies at once.
func TestBodiesAreBounded(t *testing.T) {
	gw := newTestGateway(t)
	gw.gateway.MaxBufferedBodyBytes = 2
	rec, _ := gw.request("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	gw.gateway.MaxBufferedBodyBytes = 1 << 30
	rec = httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://h/book/1", strings.NewReader(strings.Repeat("x", 2<<20)))
	r.Header.Set("Key", "key")
	gw.gateway.ServeHTTP(rec, r)
	assert.Equal(t, rec.Code, http.StatusRequestEntityTooLarge)
	assert.Equal(t, gw.gateway.bufferedBodyBytes.Load(), int64(0))
}

// A request crashes each upstream that runs it and is retried at any instance. After the second
// crash is reported, the other instances must not send it to a third upstream. A request whose
// answers were merely lost, or whose instance lost its own links, is not blocked.
func TestRequestThatCrashesUpstreamsIsStopped(t *testing.T) {
	for _, reach := range []upstream.Reach{upstream.ReachedDirectly, upstream.ReachedByPeer, upstream.ReachUnknown, upstream.Unreachable} {
		crashed := reach == upstream.Unreachable
		gw, other := newTestGateway(t), newTestGateway(t)
		gw.reach = reach
		gw.failWith(crashedError())
		other.failWith(crashedError())
		for _, path := range []string{"/read/x", "/read/other"} {
			gw.request(path, nil)
		}
		time.Sleep(5 * crashProbeDelay)
		var r fleet.Report
		gw.gateway.crashes.addReport(boottime.Now(), &r, true)
		other.gateway.crashes.applyReport(boottime.Now(), &r, false)
		for _, g := range []*testGateway{gw, other} {
			sends := len(g.sends)
			rec, _ := g.request("/read/x", nil)
			assert.Equal(t, len(g.sends) == sends, crashed)
			if crashed {
				assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
			}
		}
	}
}

// Guards against callers that are refused by a full plain upstream without a Retry-After and all
// return at the same time.
func TestRefusedPlainCallsReturnAtDifferentTimes(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) { return nil, refusedError() }
	times := make(map[string]bool)
	for n := range 20 {
		rec, _ := gw.request("/book/1", map[string]string{"Id": fmt.Sprint(n)})
		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(rec.Header().Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after >= 0.5*plainRetry.Seconds() && after <= 1.5*plainRetry.Seconds(), "%v s", after)
		times[rec.Header().Get("Retry-After")] = true
	}
	assert.Assert(t, len(times) > 10, "%v", times)
	gw.failWith(verdict.Refuse(verdict.ReasonKeyWithdrawn, 0, "gone"))
	rec, _ := gw.request("/book/1", nil)
	assert.Equal(t, rec.Header().Get("Retry-After"), "")
}
