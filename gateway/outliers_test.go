package gateway

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
