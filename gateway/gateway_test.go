package gateway

import (
	"context"
	"errors"
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

func TestAnswerIsHandedOn(t *testing.T) {
	w := newWorld(t)
	w.run = func(_ context.Context, _ upstream.Entry, c *Call, _ RunOptions) (*Answer, error) {
		assert.Equal(t, string(c.Body), "body")
		assert.Equal(t, c.Organisation, "wide")
		return answer(http.StatusTeapot, "whole")
	}
	rec, aborted := w.ask("/book/1", nil)
	assert.Assert(t, !aborted)
	assert.Equal(t, rec.Code, http.StatusTeapot)
	assert.Equal(t, rec.Body.String(), "whole")
	assert.Equal(t, len(rec.Header()["Content-Type"]), 0)
}

// An upstream breaks off a booking. It may have been made, so that it must not be
// sent again and the caller must not be told that it was not.
func TestBookingIsNotRepeated(t *testing.T) {
	w := newWorld(t)
	w.always(crashed())
	rec, _ := w.ask("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusBadGateway)
	assert.Equal(t, len(w.sends), 1)
	w.always(refused())
	rec, _ = w.ask("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	assert.Equal(t, len(w.sends), 2)
}

// An upstream cannot be reached. Nothing was sent to it, so that even a booking may go
// to the next.
func TestUnreachableUpstreamIsPassedOver(t *testing.T) {
	w := newWorld(t)
	first := ""
	w.run = func(_ context.Context, to upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
		if first == "" || first == to.ID {
			first = to.ID
			return nil, unsent()
		}
		return answer(http.StatusOK, "ok")
	}
	rec, _ := w.ask("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusOK)
	for range 5 {
		rec, _ = w.ask("/book/1", nil)
		assert.Equal(t, rec.Code, http.StatusOK)
	}
	assert.Equal(t, len(w.sends), 7, "the upstream was asked again at once")
}

// A lookup fails at one upstream, by an error of its own or an answer that ends
// early. Another may have the answer, once and not more often.
func TestLookupIsRepeatedOnce(t *testing.T) {
	w := newWorld(t)
	w.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		switch len(w.sends) {
		case 1:
			return answer(http.StatusInternalServerError, "failed")
		case 2:
			return answer(http.StatusOK, "ok")
		case 3:
			return &Answer{Status: http.StatusOK, Body: &broken{"ha"}, Length: 4}, nil
		case 4:
			return answer(http.StatusOK, "ok")
		default:
			return answer(http.StatusBadGateway, "theirs")
		}
	}
	for range 2 {
		rec, _ := w.ask("/read/1", nil)
		assert.Equal(t, rec.Body.String(), "ok")
	}
	rec, _ := w.ask("/read/1", nil)
	assert.Equal(t, rec.Code, http.StatusBadGateway)
	assert.Equal(t, rec.Body.String(), "theirs", "an upstream's failure is handed on as it is")
	assert.Equal(t, len(w.sends), 6)
}

// An upstream runs a lookup and its answer is lost. Until its deadline the caller
// would wait for what never comes.
func TestSilentLookupGoesElsewhere(t *testing.T) {
	w := newWorld(t)
	w.run = func(ctx context.Context, _ upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
		if len(w.sends) == 1 {
			<-ctx.Done()
			return nil, verdict.Fail(verdict.MayHaveRun, verdict.ReasonCancelled, ctx.Err(), "ended")
		}
		return answer(http.StatusOK, "ok")
	}
	rec, _ := w.ask("/read/1", nil)
	assert.Equal(t, rec.Body.String(), "ok")
}

// A booking is not answered in its route's time. Whether it was made is not known.
func TestTimeoutPromisesNothing(t *testing.T) {
	w := newWorld(t)
	w.run = func(ctx context.Context, _ upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
		<-ctx.Done()
		return nil, verdict.Fail(verdict.MayHaveRun, verdict.ReasonTimeout, ctx.Err(), "no answer in time")
	}
	rec, _ := w.ask("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusGatewayTimeout)
}

// Refusals before anything is sent, each with what it promises.
func TestRefusalsAtTheDoor(t *testing.T) {
	w := newWorld(t)
	w.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return answer(http.StatusOK, "")
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
		rec, _ := w.ask(c.path, c.header)
		assert.Equal(t, rec.Code, c.status, c.name)
		assert.Equal(t, rec.Header().Get("Retry-After") != "", c.status == http.StatusTooManyRequests, c.name)
	}
}

// A machine is suspended, or cut off from the store. Which keys were withdrawn
// meanwhile it cannot know, and it must not tell a caller for good that its key or its
// route does not exist.
func TestStaleInstanceServesNoKeys(t *testing.T) {
	w := newWorld(t)
	w.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return answer(http.StatusOK, "")
	}
	w.skip = 3 * time.Second
	rec, _ := w.ask("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusOK)
	rec, _ = w.ask("/none/", nil)
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	w.skip = 5 * time.Second
	rec, _ = w.ask("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	w.state.ConfirmCurrent(w.now())
	rec, _ = w.ask("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusOK)
}

// A key is withdrawn while its request waits, or while the first upstream fails: the
// next one must not get it.
func TestWithdrawnKeyStopsBeforeTheNextSend(t *testing.T) {
	w := newWorld(t)
	w.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		without := set()
		without.Keys = nil
		w.state.Apply(object.NewIndex(without, 2))
		return nil, crashed()
	}
	w.ask("/read/1", nil)
	assert.Equal(t, len(w.sends), 1)
	assert.Assert(t, !w.state.Apply(object.NewIndex(set(), 1)), "the configuration went back")
}

// Bodies without a length, and more of them than memory allows.
func TestBodiesAreBounded(t *testing.T) {
	w := newWorld(t)
	w.gateway.MaxBufferedBodyBytes = 2
	rec, _ := w.ask("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	w.gateway.MaxBufferedBodyBytes = 1 << 30
	rec = httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://h/book/1", strings.NewReader(strings.Repeat("x", 2<<20)))
	r.Header.Set("Key", "key")
	w.gateway.ServeHTTP(rec, r)
	assert.Equal(t, rec.Code, http.StatusRequestEntityTooLarge)
	assert.Equal(t, w.gateway.bodies.Load(), int64(0))
}

// A request crashes each upstream that runs it and comes again at any instance. Told
// by the instance that saw the second crash, the others must not send it to a third;
// one whose answers were lost has crashed nothing.
func TestRequestThatCrashesUpstreamsIsStopped(t *testing.T) {
	for _, gone := range []bool{false, true} {
		w, other := newWorld(t), newWorld(t)
		if gone {
			w.reach = errors.New("nobody listens")
		}
		w.always(crashed())
		other.always(crashed())
		for _, path := range []string{"/read/x", "/read/other"} {
			w.ask(path, nil)
		}
		time.Sleep(5 * probeDelay)
		var r fleet.Report
		w.gateway.crashes.fill(boottime.Now(), &r)
		other.gateway.crashes.take(boottime.Now(), &r, false)
		for _, g := range []*world{w, other} {
			sends := len(g.sends)
			rec, _ := g.ask("/read/x", nil)
			assert.Equal(t, len(g.sends) == sends, gone)
			if gone {
				assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
			}
		}
	}
}

// Retries are bounded by what was asked, so that a failing service does not get three
// times its load.
func TestRetryBudget(t *testing.T) {
	b := newBudgets(RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 9, FirstStart: true}, func() fleet.Size { return fleet.SizeOf(3) })
	for range 100 {
		b.asked("s")
	}
	n := 0
	for b.repeat("s") {
		n++
	}
	assert.Equal(t, n, 16) // 0.7 of a fifth of 100 and a third of 9
	assert.Assert(t, b.repeat("other"), "a service's share of the slack")
}

// All instances are killed in the same moment, each with its share of the slack used
// up. Starting again with full shares they would repeat twice what the window allows,
// while the upstreams are at their worst.
func TestRestartDoesNotRenewTheRetrySlack(t *testing.T) {
	b := newBudgets(RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 90}, func() fleet.Size { return fleet.SizeOf(3) })
	for range 100 {
		b.asked("s")
	}
	n := 0
	for b.repeat("s") {
		n++
	}
	assert.Equal(t, n, 14) // 0.7 of a fifth of 100
	b.slackFrom = boottime.Now()
	b.count("s")
	for b.repeat("s") {
		n++
	}
	assert.Equal(t, n, 34) // 0.7 of 20 and a third of 90, less the one counted
}

// Guards against callers that are refused by a full plain upstream, are not told when to come back,
// and all return at once.
func TestRefusedPlainCallsReturnAtDifferentTimes(t *testing.T) {
	w := newWorld(t)
	w.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) { return nil, refused() }
	times := make(map[string]bool)
	for n := range 20 {
		rec, _ := w.ask("/book/1", map[string]string{"Id": fmt.Sprint(n)})
		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(rec.Header().Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after >= 0.5*plainRetry.Seconds() && after <= 1.5*plainRetry.Seconds(), "%v s", after)
		times[rec.Header().Get("Retry-After")] = true
	}
	assert.Assert(t, len(times) > 10, "%v", times)
	w.always(verdict.Refuse(verdict.ReasonKeyWithdrawn, 0, "gone"))
	rec, _ := w.ask("/book/1", nil)
	assert.Equal(t, rec.Header().Get("Retry-After"), "")
}
