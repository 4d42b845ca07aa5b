package relay

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cairnworks/cairnworks/httpconn"
	"github.com/cairnworks/cairnworks/upstream"
)

// Guards against requests that circle among instances none of which reaches the upstream.
func TestUpstreamThatNobodyReachesIsNotRelayedTo(t *testing.T) {
	var runs atomic.Int32
	nodes := newNodes(t, 4, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }), http.HandlerFunc(echo))
	for _, n := range nodes {
		n.partition(t, false)
	}
	for n := range 20 {
		_, err := nodes[n%len(nodes)].sendRequest(t.Context(), fmt.Sprint(n))
		assert.Assert(t, err != nil && !httpconn.Sent(err), "%v", err)
	}
	assert.Equal(t, runs.Load(), int32(0))
	for _, n := range nodes {
		reached, err := n.Check(t.Context(), n.entries[0])
		assert.Assert(t, err != nil)
		assert.Equal(t, reached, upstream.ReachUnknown, "nothing shows that the upstream has failed")
		assert.Equal(t, n.CutLinks(), 0)
	}
}

// Guards against an upstream that has ended and counts as reached, or its links as cut.
func TestEndedUpstreamIsUnreachable(t *testing.T) {
	nodes := newNodes(t, 3, http.HandlerFunc(echo), http.HandlerFunc(echo))
	for _, n := range nodes {
		assert.NilError(t, n.links[0].RefuseConnections())
	}
	_, err := nodes[0].sendRequest(t.Context(), "1")
	assert.Assert(t, err != nil && !httpconn.Sent(err))
	reached, err := nodes[0].Check(t.Context(), nodes[0].entries[0])
	assert.Assert(t, err != nil)
	assert.Equal(t, reached, upstream.Unreachable)
	assert.Equal(t, nodes[0].CutLinks(), 0)
}

// Guards against an instance whose link is cut and that counts an upstream as ended.
func TestCutLinkDoesNotMakeAnUpstreamUnreachable(t *testing.T) {
	for _, silent := range []bool{false, true} {
		nodes := newNodes(t, 3, http.HandlerFunc(echo), http.HandlerFunc(echo))
		nodes[0].partition(t, silent)
		nodes[1].partition(t, silent)
		for range 5 {
			reached, err := nodes[0].Check(t.Context(), nodes[0].entries[0])
			assert.Assert(t, err != nil)
			assert.Equal(t, reached, upstream.ReachedByPeer)
		}
	}
}

// Guards against a sound upstream that is silent for a while and whose requests are given up.
func TestSilentUpstreamIsNotGivenUp(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	nodes := newNodes(t, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-release
		echo(w, r)
	}))
	r := newRequest("1")
	r.Repeatable, r.ExpectWithin = true, time.Millisecond
	done := make(chan error, 1)
	go func() {
		resp, err := nodes[0].Do(t.Context(), nodes[0].entries[0], r)
		if err == nil {
			_ = resp.Body.Close()
		}
		done <- err
	}()
	<-entered
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		nodes[0].Transport.mu.Lock()
		defer nodes[0].Transport.mu.Unlock()
		if c := nodes[0].checks[nodes[0].entries[0].Address]; c != nil && !c.running {
			return poll.Success()
		}
		return poll.Continue("the link is not checked yet")
	}, poll.WithDelay(time.Millisecond))
	close(release)
	assert.NilError(t, <-done)
	assert.Equal(t, nodes[0].CutLinks(), 0)
}

// Guards against a request on a kept connection that went silent and that waits for its deadline although
// it may be repeated.
func TestRepeatableRequestLeavesASilentConnection(t *testing.T) {
	nodes := newNodes(t, 2, http.HandlerFunc(echo))
	_, err := nodes[0].sendRequest(t.Context(), "before")
	assert.NilError(t, err)
	nodes[0].partition(t, true)
	r := newRequest("1")
	r.Repeatable, r.ExpectWithin = true, 10*time.Millisecond
	_, err = nodes[0].Do(t.Context(), nodes[0].entries[0], r)
	assert.Assert(t, httpconn.Sent(err) && errors.Is(err, ErrLink), "%v", err)
	_, err = nodes[0].sendRequest(t.Context(), "2")
	assert.NilError(t, err)
}

// Guards against a link that is not used again after it was cut.
func TestRestoredLinkIsUsed(t *testing.T) {
	nodes := newNodes(t, 2, http.HandlerFunc(echo))
	nodes[0].partition(t, false)
	_, err := nodes[0].sendRequest(t.Context(), "1")
	assert.NilError(t, err)
	assert.Equal(t, nodes[0].CutLinks(), 1)
	assert.NilError(t, nodes[0].links[0].Heal())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := nodes[0].sendRequest(t.Context(), "2"); err != nil {
			return poll.Error(err)
		}
		if nodes[0].CutLinks() == 0 {
			return poll.Success()
		}
		return poll.Continue("the link is still cut")
	}, poll.WithTimeout(30*time.Second))
}
