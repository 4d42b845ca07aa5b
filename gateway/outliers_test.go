package gateway

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Guards against sending requests to an engine that was restarted at the same address in another
// role and whose new entry has not been read yet.
func TestRestartedEngineWaitsForItsNewEntry(t *testing.T) {
	var now time.Duration
	s := newOutlierDetector(func() time.Duration { return now })
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	engine := upstream.Entry{ID: "engine", Started: 1, Role: upstream.Decode}
	plain := upstream.Entry{ID: "plain", Started: 1, Role: upstream.Plain}
	slow := upstream.Entry{ID: "slow", Started: 1, Role: upstream.Decode}
	s.recordUnreachable(engine, refused)
	s.recordUnreachable(plain, refused)
	s.recordUnreachable(slow, fmt.Errorf("no answer"))
	all := []upstream.Entry{engine, plain, slow}
	assert.DeepEqual(t, s.ejected(all), map[string]bool{"engine": true, "plain": true, "slow": true})
	now = 1900 * time.Millisecond
	assert.DeepEqual(t, s.ejected(all), map[string]bool{"engine": true})
	next := engine
	next.Started = 2
	assert.DeepEqual(t, s.ejected([]upstream.Entry{next}), map[string]bool{})
	now = restartedEjection + time.Millisecond
	assert.DeepEqual(t, s.ejected(all), map[string]bool{})
}

// Guards against upstreams that get no requests because the link of this instance has failed.
func TestCutLinkEndsTheEjection(t *testing.T) {
	gw := newTestGateway(t)
	gw.failWith(crashedError())
	gw.request("/read/x", nil)
	all := gw.state.Directory.Service("plain")
	ejected := gw.gateway.outliers.ejected(all)
	assert.Assert(t, len(ejected) > 0)
	for _, e := range all {
		gw.cutLink(e)
	}
	assert.Equal(t, len(gw.gateway.outliers.ejected(all)), 0)
}

// Guards against an upstream that is ejected because a link to it, or an instance on the way, failed.
func TestFailedLinkEjectsNoUpstream(t *testing.T) {
	gw := newTestGateway(t)
	gw.failWith(verdict.Fail(verdict.MayHaveRun, verdict.ReasonLinkFailed, nil, "hop broken"))
	rec, _ := gw.request("/book/x", nil)
	assert.Equal(t, rec.Code, http.StatusBadGateway)
	assert.Equal(t, len(gw.gateway.outliers.ejected(gw.state.Directory.Service("plain"))), 0)
}

// Guards against requests that wait for connections, one upstream after the other, while no instance
// reaches any, and against a service that is refused for longer than that.
func TestUnreachableServiceIsRefusedAtOnce(t *testing.T) {
	for path, service := range map[string]string{"/book/x": "plain", "/read/x": "plain", "/draft/x": "model"} {
		gw := newTestGateway(t)
		now := time.Minute
		gw.gateway.outliers.now = func() time.Duration { return now }
		gw.failWith(unreachableError())
		gw.setReach(upstream.ReachUnknown)
		tries := 0
		gw.reserve = func(upstream.Entry) (string, error) {
			tries++
			return "", unreachableError()
		}
		tokens := map[string]string{"Tokens": "100 100"}
		count := func() int { return len(gw.sends) + tries }
		gw.request(path, tokens)
		first := count()
		assert.Equal(t, first, 2, "each upstream of %s is tried once", service)
		for range 5 {
			rec, _ := gw.request(path, tokens)
			assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
			assert.Assert(t, rec.Header().Get("Retry-After") != "")
		}
		assert.Equal(t, count(), first)
		now += unreachableCheckInterval + time.Millisecond
		gw.reserve = nil
		gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
			return newAnswer(http.StatusOK, "ok")
		}
		gw.setReach(upstream.ReachedByPeer)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			now += time.Millisecond
			if rec, _ := gw.request(path, tokens); rec.Code == http.StatusOK {
				return poll.Success()
			}
			return poll.Continue("the service is not served again")
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(30*time.Second))
	}
}
