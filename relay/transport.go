// Package relay sends requests to upstreams, over this instance's own links or, while these are cut, over
// those of another instance. A request that is relayed is sent by the instance that received it: only
// the connection to the upstream is another's.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/reach"
	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/httpconn"
	"github.com/cairnworks/cairnworks/upstream"
)

// Timeouts and limits of requests and checks.
const (
	// dialPatience is the time within which a connection over a link that works is open. The round-trip
	// time within a region is 2 ms.
	dialPatience = 100 * time.Millisecond
	// checkTimeout limits a check by another instance, including its connection to the upstream.
	checkTimeout = 180 * time.Millisecond
	// maxRelayTries is the number of instances that are tried for one request. Nothing was sent by those
	// that failed.
	maxRelayTries = 3
	// firstCheckers and moreCheckers are the numbers of instances that check an upstream at the same time:
	// at first, and after those could not tell.
	firstCheckers = 2
	moreCheckers  = 5
	// enoughPeers is the number of instances known to reach a service from which no further one is checked
	// by exploreInterval.
	enoughPeers     = 4
	exploreInterval = 100 * time.Millisecond
	// defaultSendDelay limits the time until a relayed request that names no other limit is sent.
	defaultSendDelay = 500 * time.Millisecond
	// maxControlChecks is the number of other upstreams that are tried to find out whether a failure is
	// one of this instance's links.
	maxControlChecks = 3
)

// Peer is another instance.
type Peer struct{ Name, Address string }

// Network provides the other instances.
type Network interface {
	// Peers returns the known instances that accept work. HasPeers reports whether there are others.
	Peers() []Peer
	HasPeers() bool
	// Identity returns the identity of this instance's fleet, and IsSameFleet reports whether another
	// instance belongs to it.
	Identity() fleetid.Identity
	IsSameFleet(other fleetid.Identity, instance, address string) bool
	// Handle registers a handler of calls between instances.
	Handle(path string, handler http.Handler)
}

// Options configures Connect.
type Options struct {
	// Instance is the name of this instance.
	Instance  string
	Network   Network
	Directory *upstream.Directory
	Log       *zap.Logger
	Scope     tally.Scope
	// MaxBodyBytes limits the total size of the bodies of requests that are relayed for others.
	MaxBodyBytes int64
}

// Transport sends requests to upstreams. It is safe for concurrent use.
type Transport struct {
	pool *httpconn.Pool
	now  boottime.Clock
	Options
	client *client
	server *server

	mu    sync.Mutex
	links *reach.Links
	peers *reach.Peers
	// upstreams holds the upstream last used at each address.
	upstreams map[string]upstream.Entry
	waiting   map[string]map[*exchange]bool
	checks    map[string]*linkCheck
	// clocks holds the clocks of other instances, by name.
	clocks map[string]peerClock
	// learnt holds the instances that others have named, by name, with the time.
	learnt map[string]learntPeer
	// explored is when a further instance was last checked.
	explored time.Duration
	// checking shares the checks of an upstream by other instances among requests.
	checking singleflight.Group
	// onCut is called with each upstream whose link is found to be cut.
	onCut func(upstream.Entry)
	// admit and onResponse are set by Guard.
	admit      func(upstream.Entry, *httpconn.Request) error
	onResponse func(upstream.Entry, *httpconn.Request, *httpconn.Response)
}

// peerClock is the time of another instance's clock in a response, and when that was received.
type peerClock struct{ time, at time.Duration }

// recordClock records the time of a peer's clock in a response.
func (t *Transport) recordClock(p Peer, us int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clocks[p.Name] = peerClock{time.Duration(us) * time.Microsecond, t.now()}
}

// sendBefore converts the time by which a request must be sent to a peer's clock. The result is never too
// late: a response that was delayed makes the clock look slow. ok is false if the clock is not known.
func (t *Transport) sendBefore(p Peer, limit time.Duration) (before time.Duration, ok bool) {
	now := t.now()
	if limit == 0 {
		limit = now + defaultSendDelay
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	clock, ok := t.clocks[p.Name]
	return clock.time + limit - clock.at, ok
}

type learntPeer struct {
	Peer
	at time.Duration
}

// NewTransport returns a transport that uses only this instance's links until Connect is called.
func NewTransport(pool *httpconn.Pool) *Transport {
	cfg := reach.DefaultConfig()
	return &Transport{
		pool: pool, now: boottime.Now, links: reach.NewLinks(cfg), peers: reach.NewPeers(cfg), upstreams: make(map[string]upstream.Entry),
		waiting: make(map[string]map[*exchange]bool), checks: make(map[string]*linkCheck), clocks: make(map[string]peerClock), learnt: make(map[string]learntPeer),
		Options: Options{Log: zap.NewNop(), Scope: tally.NoopScope},
	}
}

// Connect lets the transport use other instances, and serves them. It must be called before any other
// method.
func (t *Transport) Connect(o Options) {
	t.Options = o
	t.client = newClient(t)
	t.server = newServer(t)
	o.Network.Handle(t.server.handler())
}

// OnCut sets the function that is called with each upstream that another instance reaches and this one
// does not. It must be called before any request is sent.
func (t *Transport) OnCut(handle func(upstream.Entry)) { t.onCut = handle }

// Guard sets the functions that see everything that passes between this instance and upstreams, also on behalf
// of other instances and over them: admit is called before each request is sent and can keep it from being
// sent, onResponse with each response. It must be called before any request is sent.
func (t *Transport) Guard(admit func(upstream.Entry, *httpconn.Request) error, onResponse func(upstream.Entry, *httpconn.Request, *httpconn.Response)) {
	t.admit, t.onResponse = admit, onResponse
}

// guarded returns a copy of a request that is admitted by Guard.
func (t *Transport) guarded(to upstream.Entry, r *httpconn.Request) *httpconn.Request {
	if t.admit == nil {
		return r
	}
	out := *r
	out.Admit = func() error { return t.admit(to, r) }
	return &out
}

// report passes a response on to Guard.
func (t *Transport) report(to upstream.Entry, r *httpconn.Request, resp *httpconn.Response) {
	if t.onResponse != nil && resp != nil {
		t.onResponse(to, r, resp)
	}
}

var (
	// ErrLink is the error of a request that may have been sent over a link, or by another instance, that
	// failed. It says nothing about the upstream.
	ErrLink = errors.New("the link to the upstream failed")
	// errNotReached is the error of a request that no instance could send.
	errNotReached = errors.New("no instance that was asked reaches the upstream")
)

// Do sends a request at most once and returns the response once its headers have been read. Errors are of
// type *httpconn.Error.
func (t *Transport) Do(ctx context.Context, to upstream.Entry, r *httpconn.Request) (*httpconn.Response, error) {
	r = t.guarded(to, r)
	if err := r.CheckAdmitted(); err != nil {
		return nil, err
	}
	cut := t.use(to)
	if t.Network == nil || !t.Network.HasPeers() {
		return t.sendDirectly(ctx, to, r, false)
	}
	if cut {
		resp, err := t.sendByPeers(ctx, to, r)
		if err == nil || httpconn.Sent(err) || ctx.Err() != nil {
			return resp, err
		}
		// The link may have been restored since the last probe.
		return t.sendDirectly(ctx, to, r, true)
	}
	started := t.now()
	resp, err := t.sendDirectly(ctx, to, r, true)
	if err == nil || httpconn.Sent(err) || ctx.Err() != nil || errors.Is(err, httpconn.ErrNotAdmitted) {
		return resp, err
	}
	if reached, _ := t.checkByPeers(ctx, to); !reached || ctx.Err() != nil {
		return nil, err
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		t.recordCut(started, to, err)
	} else {
		// A single lost packet delays a connection as well.
		t.checkLater(to)
	}
	resp, relayErr := t.sendByPeers(ctx, to, r)
	if relayErr != nil && !httpconn.Sent(relayErr) {
		return nil, &httpconn.Error{Err: errors.Join(err, relayErr)}
	}
	return resp, relayErr
}

// DoDirectly sends a request over this instance's own link only.
func (t *Transport) DoDirectly(ctx context.Context, to upstream.Entry, r *httpconn.Request) (*httpconn.Response, error) {
	r = t.guarded(to, r)
	resp, err := t.pool.Do(ctx, to.Address, r)
	t.report(to, r, resp)
	return resp, err
}

// use records that the link to an upstream is needed, probes it if that is due, and reports whether it is
// cut.
func (t *Transport) use(to upstream.Entry) bool {
	t.mu.Lock()
	t.upstreams[to.Address] = to
	cut, probe := t.links.Use(t.now(), to.Address)
	t.mu.Unlock()
	if probe {
		go t.probe(to)
	}
	return cut
}

// candidates returns the instances that are known to reach an upstream's service, and those that may, each
// in random order.
func (t *Transport) candidates(to upstream.Entry) (good, unknown []Peer) {
	if t.Network == nil {
		return nil, nil
	}
	known := t.Network.Peers()
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	byName := make(map[string]Peer, len(known)+len(t.learnt))
	for name, p := range t.learnt {
		if now-p.at > learntRetention {
			delete(t.learnt, name)
			continue
		}
		byName[name] = p.Peer
	}
	for _, p := range known {
		byName[p.Name] = p
	}
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	goodNames, unknownNames := t.peers.Select(now, names, to.Service, to.ID, rand.Shuffle)
	for _, name := range goodNames {
		good = append(good, byName[name])
	}
	for _, name := range unknownNames {
		unknown = append(unknown, byName[name])
	}
	return good, unknown
}

// learntRetention is how long an instance that another one has named is used without being named again.
const learntRetention = 10 * time.Second

// learn records instances that another one has named.
func (t *Transport) learn(peers []Peer) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range peers {
		if p.Name != t.Instance {
			t.learnt[p.Name] = learntPeer{p, now}
		}
	}
}

// recordPeer records whether a peer reached a subject.
func (t *Transport) recordPeer(p Peer, subject string, reached bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reached {
		t.peers.RecordSuccess(t.now(), p.Name, subject)
	} else {
		t.peers.RecordFailure(t.now(), p.Name, subject)
	}
}

// sendByPeers sends a request over the link of another instance.
func (t *Transport) sendByPeers(ctx context.Context, to upstream.Entry, r *httpconn.Request) (*httpconn.Response, error) {
	good, unknown := t.candidates(to)
	if len(good) == 0 {
		if reached, _ := t.checkByPeers(ctx, to); !reached || ctx.Err() != nil {
			return nil, &httpconn.Error{Err: errNotReached}
		}
		good, _ = t.candidates(to)
	} else if len(good) < enoughPeers && len(unknown) > 0 {
		t.explore(to, unknown[0])
	}
	failure := errNotReached
	for _, p := range good[:min(len(good), maxRelayTries)] {
		if err := r.CheckAdmitted(); err != nil {
			return nil, err
		}
		resp, err := t.client.send(ctx, p, to, r)
		t.report(to, r, resp)
		result := "ok"
		switch {
		case err == nil:
			t.Log.Info("request relayed", zap.String("request", requestID(r)), zap.String("upstream", to.ID), zap.String("by", p.Name))
		case ctx.Err() != nil || httpconn.Sent(err):
			result = "failed"
			t.Log.Info("relaying failed", zap.String("request", requestID(r)), zap.String("upstream", to.ID), zap.String("by", p.Name), zap.Error(err))
		default:
			result = "not_sent"
			t.Log.Info("instance cannot relay", zap.String("request", requestID(r)), zap.String("upstream", to.ID), zap.String("peer", p.Name), zap.Error(err))
		}
		t.Scope.Tagged(map[string]string{"result": result}).Counter("relayed").Inc(1)
		if result != "not_sent" {
			return resp, err
		}
		failure = err
	}
	return nil, &httpconn.Error{Err: failure}
}

// explore checks in the background whether a further instance reaches an upstream, so that the requests
// that are relayed are spread.
func (t *Transport) explore(to upstream.Entry, p Peer) {
	now := t.now()
	t.mu.Lock()
	due := now-t.explored >= exploreInterval
	if due {
		t.explored = now
	}
	t.mu.Unlock()
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		defer cancel()
		t.client.check(ctx, p, to)
	}()
}

// requestID returns the ID of a request for logs.
func requestID(r *httpconn.Request) string {
	if values := r.Header[r.EchoHeader]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// Sweep removes state that is no longer used.
func (t *Transport) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address := range t.upstreams {
		if !t.links.Known(address) {
			delete(t.upstreams, address)
		}
	}
	now := t.now()
	for name, clock := range t.clocks {
		if now-clock.at > clockRetention {
			delete(t.clocks, name)
		}
	}
}

// clockRetention is how long the clock of an instance is remembered without a response. It is longer than
// an instance counts as reaching upstreams without one.
const clockRetention = time.Minute

// CutLinks returns the number of upstreams to which this instance's links are cut.
func (t *Transport) CutLinks() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.links.Cut())
}

// Drain refuses further requests of other instances. Those that are running are not affected.
func (t *Transport) Drain() {
	if t.server != nil {
		t.server.draining.Store(true)
	}
}

// Wait waits for the requests of other instances that are running, until ctx ends.
func (t *Transport) Wait(ctx context.Context) {
	if t.server != nil {
		t.server.wait(ctx)
	}
}
