package rate

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

// fakeLog is an in-memory log whose calls take a millisecond.
type fakeLog struct {
	mu             sync.Mutex
	records        []port.Record
	appends, bytes int
	down           bool
	changed        chan struct{}
}

func newFakeLog() *fakeLog { return &fakeLog{changed: make(chan struct{})} }

// totals returns the number of appends and of appended bytes so far.
func (l *fakeLog) totals() (appends, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// enter simulates the latency of a call. A call during an outage blocks until its timeout,
// even if the log is back earlier.
func (l *fakeLog) enter(ctx context.Context) error {
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	down := l.down
	l.mu.Unlock()
	if down {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (l *fakeLog) Append(ctx context.Context, _ string, entries ...port.Entry) (uint64, error) {
	if err := l.enter(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	first := uint64(len(l.records) + 1)
	l.appends++
	for _, e := range entries {
		l.records = append(l.records, port.Record{Offset: uint64(len(l.records) + 1), ID: e.ID, Data: e.Data})
		l.bytes += len(e.Data)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return first, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, limit int, wait time.Duration) (port.Page, error) {
	if err := l.enter(ctx); err != nil {
		return port.Page{}, err
	}
	l.mu.Lock()
	changed, empty := l.changed, uint64(len(l.records)) < from
	l.mu.Unlock()
	// A select on a timer that has already expired occasionally crashes the race detector
	// in a synctest bubble, so there is no select if records are available.
	if empty {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	if err := l.enter(ctx); err != nil {
		return port.Page{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	end := min(len(l.records), int(from)-1+limit)
	return port.Page{First: 1, Next: uint64(len(l.records) + 1), Records: slices.Clone(l.records[from-1 : end])}, nil
}

// pauseGate blocks an instance as a pause of its process would.
type pauseGate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *pauseGate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = make(chan struct{})
}

func (g *pauseGate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.closed)
	g.closed = nil
}

func (g *pauseGate) wait() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// memberLog is the log as seen by one member: it honours the member's pauses and partitions.
type memberLog struct {
	port.Log
	m *member
}

func (l memberLog) Append(ctx context.Context, stream string, entries ...port.Entry) (uint64, error) {
	if l.m.gate.wait(); l.m.isCut("log") {
		<-ctx.Done()
	}
	return l.Log.Append(ctx, stream, entries...)
}

func (l memberLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (port.Page, error) {
	if l.m.gate.wait(); l.m.isCut("log") {
		<-ctx.Done()
	}
	p, err := l.Log.Read(ctx, stream, from, limit, wait)
	l.m.gate.wait()
	return p, err
}

// member is one instance of a fleet.
type member struct {
	f       *fleet
	holder  request.Holder
	service *Service
	gate    pauseGate
	stop    context.CancelFunc
	done    chan struct{}
	dead    bool
	cut     map[string]bool
}

func (m *member) isCut(from string) bool {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	return m.cut[from] || m.dead
}

// setCut cuts an instance off from the log or from peers in both directions, or restores the
// connections.
func (f *fleet) setCut(m *member, cut bool, from ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range from {
		m.cut[address] = cut
	}
}

// fleet is a set of instances that share one log, in one process.
type fleet struct {
	t       *testing.T
	log     *fakeLog
	mu      sync.Mutex
	limit   atomic.Pointer[object.Limit]
	members map[string]*member
	// listed is the membership list of every instance.
	listed []request.Holder
	// isolated is the instance that is cut off from the membership of the others, if any.
	isolated *member
	calls    atomic.Int64
	// logged are the log messages of all instances.
	logged *observer.ObservedLogs
	core   zapcore.Core
}

// runFleet runs a test with n instances in a synctest bubble. It waits until all shards have
// a home, calls body, and then checks that no window exceeds the bound.
func runFleet(t *testing.T, n int, body func(f *fleet, mt *meter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, log: newFakeLog(), members: map[string]*member{}}
		f.core, f.logged = observer.New(zap.WarnLevel)
		for i := range n {
			f.start(fmt.Sprintf("entry-%d", i+1), 1)
		}
		defer f.close()
		f.waitForHomes()
		f.setLimit(testRate, testBurst)
		mt := &meter{refused: map[verdict.Reason]int{}}
		body(f, mt)
		excess := mt.excess()
		t.Logf("admitted %d, refused %v", len(mt.at), mt.refused)
		assert.Assert(t, excess <= 0)
	})
}

func (f *fleet) close() {
	f.log.setDown(false)
	for _, m := range f.running() {
		m.stop()
		<-m.done
	}
	// The actor library runs a timer of a second for messages that arrive after the end,
	// and the time of the bubble does not advance once the test has returned.
	time.Sleep(5 * time.Second)
}

// start starts an instance and lists it as a member.
func (f *fleet) start(name string, incarnation uint64) {
	m := &member{f: f, holder: request.Holder{Instance: name, Incarnation: incarnation, Address: "addr-" + name}, cut: map[string]bool{}}
	var err error
	m.service, err = New(Config{
		Self:    m.holder,
		Log:     memberLog{f.log, m},
		Members: func() []request.Holder { return f.membersSeenBy(m) },
		Limit:   func(string) (object.Limit, bool) { return *f.limit.Load(), true },
		Dial:    func(address string) peerv1connect.RateServiceClient { return fakeClient{from: m, address: address} },
		Logger:  zap.New(f.core).With(zap.String("instance", name)),
		Clock: func() time.Time {
			m.gate.wait()
			return time.Now()
		},
	})
	assert.NilError(f.t, err)
	f.mu.Lock()
	f.members[m.holder.Address] = m
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	m.stop, m.done = cancel, make(chan struct{})
	go func() {
		defer close(m.done)
		_ = m.service.Run(ctx)
	}()
	f.list(m)
}

func (f *fleet) list(m *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.listed, m.holder) {
		f.listed = append(slices.Clone(f.listed), m.holder)
	}
}

func (f *fleet) unlist(m *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = slices.DeleteFunc(slices.Clone(f.listed), func(h request.Holder) bool { return h == m.holder })
}

// end terminates the process of an instance.
func (f *fleet) end(m *member) {
	f.mu.Lock()
	m.dead = true
	f.mu.Unlock()
	m.stop()
	<-m.done
}

// kill terminates instances without a drain. The membership detects it two seconds later.
func (f *fleet) kill(members ...*member) {
	for _, m := range members {
		f.end(m)
	}
	time.Sleep(2 * time.Second)
	for _, m := range members {
		f.unlist(m)
	}
}

// membersSeenBy returns the members as seen by one instance: all of them or, while an
// instance is isolated, those on its own side.
func (f *fleet) membersSeenBy(m *member) []request.Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.isolated {
	case nil:
		return f.listed
	case m:
		return []request.Holder{m.holder}
	default:
		return slices.DeleteFunc(slices.Clone(f.listed), func(h request.Holder) bool { return h == f.isolated.holder })
	}
}

// isolate cuts one instance off from its peers, but not from the log, for the rest of the
// test.
func (f *fleet) isolate(m *member, others []*member) {
	f.mu.Lock()
	f.isolated = m
	f.mu.Unlock()
	for _, other := range others {
		f.setCut(m, true, other.holder.Address)
		f.setCut(other, true, m.holder.Address)
	}
}

func (f *fleet) listedMembers() []request.Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// setLimit sets the organisation's limit and waits until its buckets are full.
func (f *fleet) setLimit(perSecond, burst int64) {
	f.limit.Store(&object.Limit{TokensPerSecond: perSecond, Burst: burst})
	time.Sleep(time.Duration(burst)*time.Second*2/time.Duration(perSecond) + time.Second)
}

// waitForHomes waits until every shard is held by the instance that it is assigned to and
// that instance may spend from it.
func (f *fleet) waitForHomes() {
	f.t.Helper()
	for range 3000 {
		time.Sleep(100 * time.Millisecond)
		want, inPlace := assignHomes(f.listedMembers()), 0
		f.eachHeld(func(m *member, h lease.HeldStatus) {
			if want[h.Shard] == m.holder && (h.Phase == lease.PhaseSpending || h.Phase == lease.PhaseExtended) {
				inPlace++
			}
		})
		if inPlace == Shards {
			return
		}
	}
	f.t.Fatal("not every shard has its home")
}

func (f *fleet) eachHeld(visit func(*member, lease.HeldStatus)) {
	for _, m := range f.running() {
		for _, h := range m.service.Status().Held {
			visit(m, h)
		}
	}
}

// homeOf returns the instance that has begun to spend from one share of the organisation.
func (f *fleet) homeOf(share uint32) (home *member) {
	f.eachHeld(func(m *member, h lease.HeldStatus) {
		if h.Shard == shardOf(organisation, share) && h.Phase != lease.PhaseWaiting {
			home = m
		}
	})
	return home
}

// nonHome returns an instance that is the home of no share of the organisation.
func (f *fleet) nonHome() *member {
	homes := []*member{f.homeOf(0), f.homeOf(1), f.homeOf(2)}
	running := f.running()
	return running[slices.IndexFunc(running, func(m *member) bool { return !slices.Contains(homes, m) })]
}

func (f *fleet) running() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*member
	for _, m := range f.members {
		if !m.dead {
			running = append(running, m)
		}
	}
	slices.SortFunc(running, func(a, b *member) int { return strings.Compare(a.holder.Address, b.holder.Address) })
	return running
}

// fakeClient calls a peer in the same process with a latency of half a millisecond.
type fakeClient struct {
	from    *member
	address string
}

func call[Req, Res any](ctx context.Context, c fakeClient, req *connect.Request[Req],
	method func(peerv1connect.RateServiceHandler, context.Context, *connect.Request[Req]) (*connect.Response[Res], error),
) (*connect.Response[Res], error) {
	c.from.gate.wait()
	time.Sleep(500 * time.Microsecond)
	f := c.from.f
	f.calls.Add(1)
	f.mu.Lock()
	to := f.members[c.address]
	f.mu.Unlock()
	if to.isCut(c.from.holder.Address) || c.from.isCut(c.address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	// A paused peer handles the call after it resumes, even if the caller has given up.
	answer := make(chan *connect.Response[Res], 1)
	go func() {
		to.gate.wait()
		res, err := method(to.service.Handler(), context.Background(), req)
		if err == nil {
			answer <- res
		}
	}()
	select {
	case res := <-answer:
		return res, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c fakeClient) Acquire(ctx context.Context, req *connect.Request[peerv1.AcquireRequest]) (*connect.Response[peerv1.AcquireResponse], error) {
	return call(ctx, c, req, peerv1connect.RateServiceHandler.Acquire)
}

func (c fakeClient) Refund(ctx context.Context, req *connect.Request[peerv1.RefundRequest]) (*connect.Response[peerv1.RefundResponse], error) {
	return call(ctx, c, req, peerv1connect.RateServiceHandler.Refund)
}

func (c fakeClient) Extend(ctx context.Context, req *connect.Request[peerv1.ExtendRequest]) (*connect.Response[peerv1.ExtendResponse], error) {
	return call(ctx, c, req, peerv1connect.RateServiceHandler.Extend)
}

func (c fakeClient) Fence(ctx context.Context, req *connect.Request[peerv1.FenceRequest]) (*connect.Response[peerv1.FenceResponse], error) {
	return call(ctx, c, req, peerv1connect.RateServiceHandler.Fence)
}

func (c fakeClient) HandOver(ctx context.Context, req *connect.Request[peerv1.HandOverRequest]) (*connect.Response[peerv1.HandOverResponse], error) {
	return call(ctx, c, req, peerv1connect.RateServiceHandler.HandOver)
}
