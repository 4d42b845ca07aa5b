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

// fakeLog is a log in memory whose calls take a millisecond.
type fakeLog struct {
	mu             sync.Mutex
	records        []port.Record
	appends, bytes int
	down           bool
	changed        chan struct{}
}

func newFakeLog() *fakeLog { return &fakeLog{changed: make(chan struct{})} }

// load returns the appends and bytes so far.
func (l *fakeLog) load() (appends, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// enter loses a call that meets an outage, even if the log is back before its timeout.
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
	// A select on a timer that has expired already crashes the race detector in a bubble
	// now and then, so there is none when records are there.
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

// gate stops an instance as a pause of its process would.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = make(chan struct{})
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.closed)
	g.closed = nil
}

func (g *gate) wait() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// gatedLog is the log as one instance reaches it.
type gatedLog struct {
	port.Log
	m *member
}

func (l gatedLog) Append(ctx context.Context, stream string, entries ...port.Entry) (uint64, error) {
	if l.m.gate.wait(); l.m.isCut("log") {
		<-ctx.Done()
	}
	return l.Log.Append(ctx, stream, entries...)
}

func (l gatedLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (port.Page, error) {
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
	gate    gate
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

// setCut cuts an instance off from the log or from peers, both ways.
func (f *fleet) setCut(m *member, cut bool, from ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range from {
		m.cut[address] = cut
	}
}

// fleet is a set of instances with one log in one process.
type fleet struct {
	t       *testing.T
	log     *fakeLog
	mu      sync.Mutex
	limit   atomic.Pointer[object.Limit]
	members map[string]*member
	// listed are the members as every instance sees them.
	listed []request.Holder
	// apart is the instance that no other sees, if any.
	apart *member
	calls atomic.Int64
	// lines are what all instances log.
	lines *observer.ObservedLogs
	core  zapcore.Core
}

// inFleet runs a test with n instances in a synctest bubble, after all shards have
// found a home, and then checks that no window holds too much spend.
func inFleet(t *testing.T, n int, body func(f *fleet, k *meter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, log: newFakeLog(), members: map[string]*member{}}
		f.core, f.lines = observer.New(zap.WarnLevel)
		for i := range n {
			f.start(fmt.Sprintf("entry-%d", i+1), 1)
		}
		defer f.close()
		f.settle()
		f.setLimit(testRate, testBurst)
		k := &meter{refused: map[verdict.Reason]int{}}
		body(f, k)
		excess := k.excess()
		t.Logf("admitted %d, refused %v", len(k.at), k.refused)
		assert.Assert(t, excess <= 0)
	})
}

func (f *fleet) close() {
	f.log.setDown(false)
	for _, m := range f.living() {
		m.stop()
		<-m.done
	}
	// The actor library's timer for messages that came after the end runs for a second,
	// and the bubble's time stands still once the test returns.
	time.Sleep(5 * time.Second)
}

// start runs an instance and lists it as a member.
func (f *fleet) start(name string, incarnation uint64) {
	m := &member{f: f, holder: request.Holder{Instance: name, Incarnation: incarnation, Address: "addr-" + name}, cut: map[string]bool{}}
	var err error
	m.service, err = New(Config{
		Self:    m.holder,
		Log:     gatedLog{f.log, m},
		Members: func() []request.Holder { return f.aliveFor(m) },
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

// end stops an instance's process.
func (f *fleet) end(m *member) {
	f.mu.Lock()
	m.dead = true
	f.mu.Unlock()
	m.stop()
	<-m.done
}

// kill ends instances without a word; membership notices two seconds later.
func (f *fleet) kill(members ...*member) {
	for _, m := range members {
		f.end(m)
	}
	time.Sleep(2 * time.Second)
	for _, m := range members {
		f.unlist(m)
	}
}

// aliveFor is what one instance sees: all, or its own side while one is apart.
func (f *fleet) aliveFor(m *member) []request.Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.apart {
	case nil:
		return f.listed
	case m:
		return []request.Holder{m.holder}
	default:
		return slices.DeleteFunc(slices.Clone(f.listed), func(h request.Holder) bool { return h == f.apart.holder })
	}
}

// setApart cuts one instance off from its peers, but not from the log, until healed.
func (f *fleet) setApart(m *member, others []*member) {
	f.mu.Lock()
	f.apart = m
	f.mu.Unlock()
	for _, other := range others {
		f.setCut(m, true, other.holder.Address)
		f.setCut(other, true, m.holder.Address)
	}
}

func (f *fleet) alive() []request.Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// setLimit sets the organisation's limit and waits until its buckets are full.
func (f *fleet) setLimit(perSecond, burst int64) {
	f.limit.Store(&object.Limit{TokensPerSecond: perSecond, Burst: burst})
	time.Sleep(time.Duration(burst)*time.Second*2/time.Duration(perSecond) + time.Second)
}

// settle waits until every shard is spent from by the instance it belongs to.
func (f *fleet) settle() {
	f.t.Helper()
	for range 3000 {
		time.Sleep(100 * time.Millisecond)
		want, inPlace := homesOf(f.alive()), 0
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
	for _, m := range f.living() {
		for _, h := range m.service.Status().Held {
			visit(m, h)
		}
	}
}

// homeOf returns the instance that spends from one share of the organisation.
func (f *fleet) homeOf(share uint32) (home *member) {
	f.eachHeld(func(m *member, h lease.HeldStatus) {
		if h.Shard == shardOf(organisation, share) && h.Phase != lease.PhaseWaiting {
			home = m
		}
	})
	return home
}

// other returns an instance that is home of no share of the organisation.
func (f *fleet) other() *member {
	homes := []*member{f.homeOf(0), f.homeOf(1), f.homeOf(2)}
	live := f.living()
	return live[slices.IndexFunc(live, func(m *member) bool { return !slices.Contains(homes, m) })]
}

func (f *fleet) living() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*member
	for _, m := range f.members {
		if !m.dead {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b *member) int { return strings.Compare(a.holder.Address, b.holder.Address) })
	return live
}

// fakeClient reaches a peer in the same process, half a millisecond away.
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
	// A paused peer acts on the call when it goes on, though the caller has given up.
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
