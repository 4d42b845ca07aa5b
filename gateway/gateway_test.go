package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// fakes stands in for the codec and the upstreams: run answers each send.
type fakes struct {
	mu       sync.Mutex
	run      func(ctx context.Context, to upstream.Entry, c *Call, o RunOptions) (*Answer, error)
	prefill  func(to upstream.Entry) (string, error)
	reserve  func(to upstream.Entry) (string, error)
	reach    error
	sends    []string
	options  []RunOptions
	released []string
}

func (f *fakes) Decode(r *http.Request) (*Call, string, error) {
	c := &Call{ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Host: r.Host, Header: http.Header{}, Patience: 2 * time.Second}
	if r.Header.Get("Tokens") != "" {
		_, err := fmt.Sscan(r.Header.Get("Tokens"), &c.PromptTokens, &c.MaxOutput)
		c.Counted = err == nil
	}
	return c, r.Header.Get("Key"), nil
}

func (f *fakes) Run(ctx context.Context, to upstream.Entry, c *Call, o RunOptions) (*Answer, error) {
	f.mu.Lock()
	f.sends = append(f.sends, to.ID)
	f.options = append(f.options, o)
	f.mu.Unlock()
	return f.run(ctx, to, c, o)
}

func (f *fakes) Prefill(_ context.Context, to upstream.Entry, _ *Call) (string, error) {
	if f.prefill == nil {
		return "handle", nil
	}
	return f.prefill(to)
}

func (f *fakes) note(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, what)
}

func (f *fakes) FreeHandle(_ context.Context, _ upstream.Entry, handle string) error {
	f.note(handle)
	return nil
}

func (f *fakes) Reserve(_ context.Context, to upstream.Entry, _ int, _ time.Duration) (string, error) {
	if f.reserve == nil {
		return "reservation", nil
	}
	return f.reserve(to)
}

func (f *fakes) Reach(context.Context, upstream.Entry) error { return f.reach }

func (f *fakes) DropReservation(_ context.Context, _ upstream.Entry, reservation string) error {
	f.note(reservation)
	return nil
}

func answer(status int, body string) (*Answer, error) {
	return &Answer{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Length: int64(len(body))}, nil
}

// broken is a body that ends early.
type broken struct{ text string }

func (b *broken) Read(to []byte) (int, error) {
	if b.text == "" {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(to, b.text)
	b.text = b.text[n:]
	return n, nil
}

func (b *broken) Close() error { return nil }

func set() object.Set {
	limit := func(name string, rate int64) object.Limit {
		return object.Limit{Name: name, TokensPerSecond: rate, Burst: rate, CallTokens: 1}
	}
	route := func(name, path string, kind object.RouteKind, service string, attempts int) object.Route {
		return object.Route{Name: name, Host: "h", PathPrefix: path, Kind: kind, Targets: []object.Target{{Service: service, Weight: 1}},
			TimeoutMS: 1000, ObjectiveMS: 400, MaxAttempts: attempts}
	}
	streams := route("resumable", "/resumable/", object.RouteStreaming, "model", 2)
	streams.Resumable = true
	return object.Set{
		Limits:        []object.Limit{limit("wide", 1_000_000), limit("narrow", 10)},
		Organisations: []object.Organisation{{Name: "wide", Limit: "wide"}, {Name: "narrow", Limit: "narrow"}},
		Keys:          []object.Key{{Name: "k1", Organisation: "wide", Hash: object.HashKey("key")}, {Name: "k2", Organisation: "narrow", Hash: object.HashKey("small")}},
		Services: []object.Service{
			{Name: "plain", Kind: object.KindPlain, Discovered: true},
			{Name: "model", Kind: object.KindModel, Discovered: true, Pool: &object.Pool{Slots: 4, MemoryTokens: 1000, EventTokens: 10, ReservationMS: 2000}},
		},
		Routes: []object.Route{
			route("read", "/read/", object.RouteIdempotent, "plain", 2), route("book", "/book/", object.RouteAtMostOnce, "plain", 1),
			route("draft", "/draft/", object.RouteStreaming, "model", 1), streams,
		},
	}
}

// world is a gateway before faked upstreams.
type world struct {
	*fakes
	gateway *Gateway
	state   *State
	// clock stands in for the time since boot; it is ahead of the real one by skip.
	skip time.Duration
}

func (w *world) now() time.Duration { return boottime.Now() + w.skip }

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{fakes: &fakes{}}
	w.state = NewState(w.now, 4*time.Second)
	index := object.NewIndex(set(), 1)
	assert.Assert(t, w.state.Apply(index))
	w.state.Prove(w.now())
	for i, role := range []upstream.Role{upstream.Plain, upstream.Plain, upstream.Prefill, upstream.Prefill, upstream.Decode, upstream.Decode} {
		service := "model"
		if role == upstream.Plain {
			service = "plain"
		}
		w.state.Directory.Put(upstream.Entry{ID: fmt.Sprint(role, i), Service: service, Address: fmt.Sprint("1.2.3.4:", i), Role: role, Slots: 4})
	}
	quotas := NewQuotas(w.now, fleet.Member{Name: "a"}, QuotaBound{Window: 8 * time.Second}, true)
	quotas.SetLimits(index)
	w.gateway = New(Options{
		Codec: w.fakes, Upstreams: w.fakes, State: w.state, Quotas: quotas, Log: zap.NewNop(), Metrics: observe.NewMetrics(),
		MaxBodies: 1 << 20, Budget: RetryBudget{Ratio: 1, Window: 10 * time.Second, Slack: 20}, Members: func() int { return 1 },
	})
	t.Cleanup(w.gateway.Close)
	return w
}

// ask sends a request and returns the answer; aborted tells that the connection was
// closed in the middle of it.
func (w *world) ask(path string, header map[string]string) (rec *httptest.ResponseRecorder, aborted bool) {
	rec = httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("body"))
	r.Header.Set("Id", "1")
	r.Header.Set("Key", "key")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			aborted = true
		}
	}()
	w.gateway.ServeHTTP(rec, r)
	return rec, aborted
}

func refused() error { return verdict.Refuse(verdict.ReasonUpstreamRefused, 0, "full") }
func crashed() error {
	return verdict.Fail(verdict.MayHaveRun, verdict.ReasonUpstreamCrashed, nil, "closed")
}
func unsent() error {
	return verdict.Fail(verdict.NotRun, verdict.ReasonUpstreamUnreachable, nil, "refused")
}
func (w *world) always(err error) {
	w.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) { return nil, err }
}

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
	w.state.Prove(w.now())
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

const tokens = "100 100"

// events is a stream of events with ids from one number to another.
func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

func TestModelRequestIsPrefilledAndDecoded(t *testing.T) {
	w := newWorld(t)
	w.run = func(_ context.Context, to upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
		assert.Equal(t, to.Role, upstream.Decode)
		return answer(http.StatusOK, events(1, 5))
	}
	rec, aborted := w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.Assert(t, !aborted)
	assert.Equal(t, rec.Body.String(), events(1, 5))
	assert.Equal(t, w.options[0].Reservation, "reservation")
	assert.Equal(t, w.options[0].Source.Handle, "handle")
	assert.Equal(t, len(w.gateway.desks.all()[0].decode.room.Own()), 0, "a claim was left behind")
}

// The engine breaks a stream off in the middle of an event. A caller whose stream may
// be resumed gets the rest from another engine, each event once; any other must see
// that its answer is not whole.
func TestBrokenStream(t *testing.T) {
	w := newWorld(t)
	w.run = func(_ context.Context, _ upstream.Entry, _ *Call, o RunOptions) (*Answer, error) {
		if len(w.sends)%2 == 1 {
			return &Answer{Status: http.StatusOK, Body: &broken{events(1, 3) + "id: 4\nda"}, Length: -1}, nil
		}
		assert.Equal(t, o.LastEventID, "3")
		return answer(http.StatusOK, events(4, 6))
	}
	rec, aborted := w.ask("/resumable/1", map[string]string{"Tokens": tokens})
	assert.Assert(t, !aborted)
	assert.Equal(t, rec.Body.String(), events(1, 6))
	assert.Assert(t, w.sends[0] != w.sends[1])
	rec, aborted = w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.Assert(t, aborted)
	assert.Assert(t, strings.HasPrefix(rec.Body.String(), events(1, 3)))
}

// No prefill engine takes the prompt. The decode engine reads it itself, which is
// slower and better than a refusal beside engines with room.
func TestDecodeEngineReadsThePromptItself(t *testing.T) {
	w := newWorld(t)
	w.prefill = func(upstream.Entry) (string, error) { return "", refused() }
	w.run = func(_ context.Context, _ upstream.Entry, _ *Call, o RunOptions) (*Answer, error) {
		assert.Equal(t, o.Source.Handle, "")
		return answer(http.StatusOK, events(1, 2))
	}
	rec, _ := w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.Equal(t, rec.Body.String(), events(1, 2))
}

// The decode engine refuses after the prompt was read. The caller is told truly that
// nothing ran, and what was reserved and read is given back.
func TestRefusedDecodeGivesMemoryBack(t *testing.T) {
	w := newWorld(t)
	w.always(refused())
	rec, _ := w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	assert.Assert(t, rec.Header().Get("Retry-After") != "")
	for range 100 {
		w.mu.Lock()
		n := len(w.released)
		w.mu.Unlock()
		if n == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("given back: %v", w.released)
}

// All engines are full for good. The request is refused when it can no longer be on
// time, and not held until its deadline.
func TestFullPoolRefusesInTime(t *testing.T) {
	w := newWorld(t)
	w.always(refused())
	d := w.gateway.desks.get(&object.Service{Name: "model", Pool: set().Services[1].Pool})
	d.sync()
	for _, e := range d.decode.room.Engines() {
		d.decode.withdraw(e.ID)
	}
	begun := time.Now()
	rec, _ := w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	assert.Equal(t, len(w.sends), 0)
	assert.Assert(t, time.Since(begun) < 2*time.Second)
}

// The engine whose reservation is refused is full by more than is known here. Another
// is asked before anything is read.
func TestRefusedReservationAsksAnother(t *testing.T) {
	w := newWorld(t)
	asked := map[string]int{}
	w.reserve = func(to upstream.Entry) (string, error) {
		asked[to.ID]++
		if len(asked) == 1 {
			return "", refused()
		}
		return "r", nil
	}
	w.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return answer(http.StatusOK, events(1, 1))
	}
	rec, _ := w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.Equal(t, rec.Code, http.StatusOK)
	assert.Equal(t, len(asked), 2)
}

// Bodies without a length, and more of them than memory allows.
func TestBodiesAreBounded(t *testing.T) {
	w := newWorld(t)
	w.gateway.MaxBodies = 2
	rec, _ := w.ask("/book/1", nil)
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	w.gateway.MaxBodies = 1 << 30
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
		other.gateway.crashes.take(boottime.Now(), &r)
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
	b := newBudgets(RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 9}, func() int { return 3 })
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
