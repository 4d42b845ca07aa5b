package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/httpconn"
	"github.com/cairnworks/cairnworks/platform/standin"
	"github.com/cairnworks/cairnworks/upstream"
)

// testNetwork is the network of one instance.
type testNetwork struct {
	mux      *http.ServeMux
	peers    []Peer
	identity fleetid.Identity
}

func (n *testNetwork) Peers() []Peer              { return n.peers }
func (n *testNetwork) HasPeers() bool             { return len(n.peers) > 0 }
func (n *testNetwork) Identity() fleetid.Identity { return n.identity }
func (n *testNetwork) IsSameFleet(other fleetid.Identity, _, _ string) bool {
	return other.ID == n.identity.ID
}
func (n *testNetwork) Handle(path string, handler http.Handler) { n.mux.Handle(path, handler) }

// node is an instance with its own links to upstreams.
type node struct {
	*Transport
	network *testNetwork
	server  *httptest.Server
	links   []*standin.Link
	entries []upstream.Entry
	cut     []string
	mu      sync.Mutex
}

// newNodes returns instances that know one another, each with its own link to each upstream.
func newNodes(t testing.TB, count int, upstreams ...http.Handler) []*node {
	t.Helper()
	nodes := make([]*node, count)
	targets := make([]string, len(upstreams))
	for n, handler := range upstreams {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		targets[n] = server.Listener.Addr().String()
	}
	for n := range nodes {
		nodes[n] = newNode(t, fmt.Sprint("i", n), targets)
	}
	for n, node := range nodes {
		for other, o := range nodes {
			if other != n {
				node.network.peers = append(node.network.peers, Peer{Name: o.Instance, Address: o.server.Listener.Addr().String()})
			}
		}
	}
	return nodes
}

func newNode(t testing.TB, name string, targets []string) *node {
	t.Helper()
	mux := http.NewServeMux()
	n := &node{Transport: NewTransport(httpconn.NewPool()), network: &testNetwork{mux: mux, identity: fleetid.Identity{ID: 7}}}
	directory := upstream.NewDirectory()
	for i, target := range targets {
		link, err := standin.NewLink(target)
		assert.NilError(t, err)
		t.Cleanup(link.Close)
		entry := upstream.Entry{ID: fmt.Sprint("u", i), Started: 1, Service: "s", Address: link.Address()}
		directory.Put(entry)
		n.links, n.entries = append(n.links, link), append(n.entries, entry)
	}
	n.OnCut(func(e upstream.Entry) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.cut = append(n.cut, e.ID)
	})
	n.Connect(Options{Instance: name, Network: n.network, Directory: directory, Log: zap.NewNop(), Scope: tally.NoopScope, MaxBodyBytes: 1 << 20})
	n.server = httptest.NewServer(mux)
	t.Cleanup(n.server.Close)
	return n
}

// partition cuts all links, silently, or by refusing connections.
func (n *node) partition(t testing.TB, silent bool) {
	t.Helper()
	for _, link := range n.links {
		if silent {
			assert.NilError(t, link.Partition())
			continue
		}
		link.RefuseConnections()
		link.Reset()
	}
}

func newRequest(id string) *httpconn.Request {
	return &httpconn.Request{
		Method: http.MethodPost, Target: "/x?q=%20", Host: "h", Header: http.Header{"X-Request-Id": {id}, "X-Many": {"a", "b"}}, Body: []byte("body of " + id),
		EchoHeader: "X-Request-Id",
	}
}

// sendRequest sends a request to the first upstream and reads the whole answer.
func (n *node) sendRequest(ctx context.Context, id string) (string, error) {
	resp, err := n.Do(ctx, n.entries[0], newRequest(id))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.WriteHeader(http.StatusAccepted)
	fmt.Fprintf(w, "%s %s %s %v %s", r.Method, r.RequestURI, r.Host, r.Header["X-Many"], body)
}

// Guards against requests and answers that a relaying instance changes.
func TestRelayedRequestAndAnswerAreUnchanged(t *testing.T) {
	for _, silent := range []bool{false, true} {
		nodes := newNodes(t, 2, http.HandlerFunc(echo))
		nodes[0].partition(t, silent)
		resp, err := nodes[0].Do(t.Context(), nodes[0].entries[0], newRequest("1"))
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, string(body), "POST /x?q=%20 h [a b] body of 1")
		assert.Equal(t, resp.Status, http.StatusAccepted)
		assert.Equal(t, resp.Length, int64(len(body)))
		assert.DeepEqual(t, resp.Header["X-Request-Id"], []string{"1"})
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			nodes[0].mu.Lock()
			defer nodes[0].mu.Unlock()
			if len(nodes[0].cut) == 1 && nodes[0].CutLinks() == 1 {
				return poll.Success()
			}
			return poll.Continue("the link does not count as cut")
		}, poll.WithDelay(time.Millisecond))
	}
}

// Guards against answers that are cut off on their way and look complete.
func TestTruncatedRelayedAnswerIsAnError(t *testing.T) {
	for _, withLength := range []bool{false, true} {
		for _, broken := range []string{"upstream", "instance"} {
			started, release := make(chan struct{}), make(chan struct{})
			nodes := newNodes(t, 2, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if withLength {
					w.Header().Set("Content-Length", "1000")
				}
				_, _ = io.WriteString(w, "part")
				w.(http.Flusher).Flush()
				close(started)
				<-release
				panic(http.ErrAbortHandler)
			}))
			nodes[0].partition(t, false)
			resp, err := nodes[0].Do(t.Context(), nodes[0].entries[0], newRequest("1"))
			assert.NilError(t, err)
			<-started
			if broken == "instance" {
				nodes[1].server.CloseClientConnections()
			}
			close(release)
			body, err := io.ReadAll(resp.Body)
			assert.Assert(t, err != nil, "%s broken, with length %v: %q looks complete", broken, withLength, body)
			assert.NilError(t, resp.Body.Close())
		}
	}
}

// Guards against upstreams that work on for a caller that has left, on the way over another instance.
func TestEndOfRelayedRequestReachesTheUpstream(t *testing.T) {
	for _, stage := range []string{"waiting", "reading"} {
		entered, ended := make(chan struct{}), make(chan struct{})
		nodes := newNodes(t, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body) // The server notices the end of the connection only after the body.
			if stage == "reading" {
				_, _ = io.WriteString(w, "part")
				w.(http.Flusher).Flush()
			}
			close(entered)
			<-r.Context().Done()
			close(ended)
		}))
		nodes[0].partition(t, false)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			_, err := nodes[0].sendRequest(ctx, "1")
			done <- err
		}()
		<-entered
		cancel()
		<-ended
		assert.Assert(t, <-done != nil)
	}
}

// Guards against a request that is sent again after the relaying instance has failed: it may have run.
func TestRequestIsNotSentAgainAfterAFailedRelay(t *testing.T) {
	var runs atomic.Int32
	entered := make(chan struct{}, 9)
	nodes := newNodes(t, 3, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		runs.Add(1)
		entered <- struct{}{}
		<-r.Context().Done()
	}))
	nodes[0].partition(t, false)
	done := make(chan error, 1)
	go func() {
		_, err := nodes[0].sendRequest(t.Context(), "1")
		done <- err
	}()
	<-entered
	nodes[1].server.CloseClientConnections()
	nodes[2].server.CloseClientConnections()
	err := <-done
	assert.Assert(t, httpconn.Sent(err) && errors.Is(err, ErrLink), "%v", err)
	assert.Equal(t, runs.Load(), int32(1))
}

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
		n.links[0].RefuseConnections()
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
