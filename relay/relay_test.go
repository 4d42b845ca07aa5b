package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
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
		assert.NilError(t, link.Sever())
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

// Guards against an answer without a stated end that another instance passes on as one with such an end.
func TestRelayedAnswerSaysWhetherItsEndIsStated(t *testing.T) {
	for _, stated := range []bool{false, true} {
		nodes := newNodes(t, 2, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !stated {
				w.Header().Set("Transfer-Encoding", "identity")
			}
			_, _ = io.WriteString(w, "part")
			w.(http.Flusher).Flush()
		}))
		nodes[0].partition(t, false)
		resp, err := nodes[0].Do(t.Context(), nodes[0].entries[0], newRequest("1"))
		assert.NilError(t, err)
		assert.Equal(t, resp.EndStated, stated)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "part")
		assert.NilError(t, resp.Body.Close())
	}
}

// Guards against an instance that relays to an upstream from which it was asked to keep away, and against a request
// that is not sent by another one then, or that goes round the admission of the instance that sends it.
func TestAdmissionHoldsForRelayedRequests(t *testing.T) {
	var received atomic.Int32
	nodes := newNodes(t, 3, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		echo(w, r)
	}))
	var refusing [3]atomic.Bool
	var responses [3]atomic.Int32
	for n, node := range nodes {
		node.Guard(func(upstream.Entry, *httpconn.Request) error {
			if refusing[n].Load() {
				return errors.New("backing off")
			}
			return nil
		}, func(upstream.Entry, *httpconn.Request, *httpconn.Response) { responses[n].Add(1) })
	}
	nodes[0].partition(t, false)
	send := func(id string) error { _, err := nodes[0].sendRequest(t.Context(), id); return err }
	for n := range 6 {
		assert.NilError(t, send(fmt.Sprint("before", n)))
	}
	refusing[1].Store(true)
	before := responses[1].Load()
	for n := range 6 {
		assert.NilError(t, send(fmt.Sprint("one", n)))
	}
	assert.Equal(t, responses[1].Load(), before, "an instance relayed that must not")
	assert.Equal(t, responses[0].Load(), received.Load(), "the sender was not shown a relayed response")
	assert.Equal(t, responses[1].Load()+responses[2].Load(), received.Load(), "an instance was not shown a response that it relayed")
	got := received.Load()
	refusing[0].Store(true)
	err := send("own")
	assert.Assert(t, errors.Is(err, httpconn.ErrNotAdmitted) && !httpconn.Sent(err), "%v", err)
	refusing[0].Store(false)
	refusing[2].Store(true)
	err = send("all")
	assert.Assert(t, err != nil && !httpconn.Sent(err), "%v", err)
	assert.Equal(t, received.Load(), got)
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
