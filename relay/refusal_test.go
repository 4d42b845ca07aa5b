package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/httpconn"
)

// Guards against instances that relay for another fleet, while they drain, to upstreams that leave or
// that are not known, or without bound.
func TestRelayingIsRefused(t *testing.T) {
	prepare := func(t *testing.T) []*node {
		nodes := newNodes(t, 2, http.HandlerFunc(echo))
		nodes[0].partition(t, false)
		_, err := nodes[0].sendRequest(t.Context(), "before")
		assert.NilError(t, err)
		return nodes
	}
	for name, apply := range map[string]func(*node){
		"other fleet": func(n *node) { n.network.identity.ID = 8 },
		"draining":    func(n *node) { n.Drain() },
		"leaving": func(n *node) {
			e := n.entries[0]
			e.Sequence, e.Leaving = e.Sequence+1, true
			n.Directory.Put(e)
		},
		"unknown":     func(n *node) { n.Directory.Remove(n.entries[0].ID) },
		"another run": func(n *node) { e := n.entries[0]; e.Started++; n.Directory.Put(e) },
		"busy": func(n *node) {
			for range maxRelayed {
				n.Transport.server.slots <- struct{}{}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			nodes := prepare(t)
			apply(nodes[1])
			_, err := nodes[0].sendRequest(t.Context(), "1")
			assert.Assert(t, err != nil && !httpconn.Sent(err), "%v", err)
		})
	}
}

// Guards against bodies of relayed requests that exhaust the memory.
func TestBodiesOfRelayedRequestsAreBounded(t *testing.T) {
	nodes := newNodes(t, 2, http.HandlerFunc(echo))
	nodes[0].partition(t, false)
	_, err := nodes[0].sendRequest(t.Context(), "before")
	assert.NilError(t, err)
	r := newRequest("1")
	r.Body = make([]byte, 2<<20)
	_, err = nodes[0].Do(t.Context(), nodes[0].entries[0], r)
	assert.Assert(t, err != nil && !httpconn.Sent(err), "%v", err)
	assert.Equal(t, nodes[1].Transport.server.bodyBytes.Load(), int64(0))
	_, err = nodes[0].sendRequest(t.Context(), "2")
	assert.NilError(t, err)
}

// Guards against orders that arrive from another instance than their holder.
func TestDirectRequestIsNotRelayed(t *testing.T) {
	nodes := newNodes(t, 2, http.HandlerFunc(echo))
	nodes[0].partition(t, false)
	_, err := nodes[0].sendRequest(t.Context(), "before")
	assert.NilError(t, err)
	_, err = nodes[0].DoDirectly(t.Context(), nodes[0].entries[0], newRequest("1"))
	assert.Assert(t, err != nil && !httpconn.Sent(err))
}

// Guards against requests for others that are broken off when an instance ends.
func TestEndingInstanceWaitsForRelayedRequests(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	nodes := newNodes(t, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-release
		echo(w, r)
	}))
	nodes[0].partition(t, false)
	done := make(chan error, 1)
	go func() {
		_, err := nodes[0].sendRequest(t.Context(), "1")
		done <- err
	}()
	<-entered
	nodes[1].Drain()
	ended := make(chan struct{})
	go func() {
		nodes[1].Wait(t.Context())
		close(ended)
	}()
	select {
	case <-ended:
		t.Fatal("a request is still running")
	case <-time.After(20 * time.Millisecond):
	}
	close(release)
	assert.NilError(t, <-done)
	<-ended
}

// Guards against an instance that hangs and takes requests with it that it has not sent.
func TestInstanceThatCannotBeReachedIsPassedOver(t *testing.T) {
	nodes := newNodes(t, 3, http.HandlerFunc(echo))
	nodes[0].partition(t, false)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	gone := listener.Addr().String()
	assert.NilError(t, listener.Close())
	nodes[0].network.peers[0].Address = gone
	for n := range 10 {
		_, err := nodes[0].sendRequest(t.Context(), fmt.Sprint(n))
		assert.NilError(t, err)
	}
}

// Guards against a request that an instance sends after it was suspended: the key or the upstream that were
// checked before may have been withdrawn meanwhile.
func TestRequestThatWaitsAtAnInstanceIsNotSent(t *testing.T) {
	var runs atomic.Int32
	nodes := newNodes(t, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		echo(w, r)
	}))
	nodes[0].partition(t, false)
	_, err := nodes[0].sendRequest(t.Context(), "before")
	assert.NilError(t, err)
	const limit = 20 * time.Millisecond
	server := nodes[1].server.Config
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * limit)
		handler.ServeHTTP(w, r)
	})
	r := newRequest("late")
	r.SendBefore = boottime.Now() + limit
	_, err = nodes[0].Do(t.Context(), nodes[0].entries[0], r)
	assert.Assert(t, err != nil && !httpconn.Sent(err), "%v", err)
	assert.Equal(t, runs.Load(), int32(1))
}

// Guards against a time by which a request must be sent that becomes later on another instance's clock.
func TestTimeToSendIsNeverLaterAtAnotherInstance(t *testing.T) {
	tr := NewTransport(httpconn.NewPool())
	now := time.Hour
	tr.now = func() time.Duration { return now }
	p := Peer{Name: "peer"}
	_, ok := tr.sendBefore(p, now+time.Second)
	assert.Assert(t, !ok, "its clock is not known")
	// The peer's clock is 50 minutes behind, and its response took 300 ms.
	const offset, transit = 50 * time.Minute, 300 * time.Millisecond
	tr.recordClock(p, (now - transit - offset).Microseconds())
	now += 5 * time.Second
	before, ok := tr.sendBefore(p, now+time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, before, now+time.Second-offset-transit)
}

// Guards against an instance that is passed over for all upstreams because it does not know one of them yet.
func TestInstanceThatDoesNotKnowAnUpstreamRelaysToOthers(t *testing.T) {
	nodes := newNodes(t, 2, http.HandlerFunc(echo), http.HandlerFunc(echo))
	nodes[0].partition(t, false)
	nodes[1].Directory.Remove(nodes[1].entries[0].ID)
	_, err := nodes[0].sendRequest(t.Context(), "1")
	assert.Assert(t, err != nil && !httpconn.Sent(err), "%v", err)
	resp, err := nodes[0].Do(t.Context(), nodes[0].entries[1], newRequest("2"))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
}
