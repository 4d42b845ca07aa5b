package order

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/once/memlog"
	"github.com/cairnworks/cairnworks/order/protocol"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

// fixture has one log, one upstream and two instances that send it orders.
type fixture struct {
	log    *memlog.Log
	engine *fakeEngine
	a, b   *Service
	// pauseBeforeSend is how long instance a is paused between claiming and sending.
	pauseBeforeSend time.Duration
}

// withFixture runs test with a new fixture in a synctest bubble.
func withFixture(t *testing.T, checksFencing bool, test func(t *testing.T, s *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fixture{log: memlog.New(), engine: &fakeEngine{checksFencing: checksFencing}}
		s.a = s.start(t, "a", func() { time.Sleep(s.pauseBeforeSend) })
		s.b = s.start(t, "b", func() {})
		test(t, s)
	})
}

func (s *fixture) start(t *testing.T, name string, beforeSend func()) *Service {
	service, err := New(Config{
		Self: request.Holder{Instance: name, Incarnation: 1},
		Log:  s.log,
		Engines: func(string) port.Engine {
			beforeSend()
			return s.engine
		},
	})
	assert.NilError(t, err)
	return service
}

// command returns an order to change the upstream's role, based on the current view.
func (s *fixture) command(t *testing.T, at *Service, role string) Command {
	t.Helper()
	view, err := at.View(t.Context(), "engine-1")
	assert.NilError(t, err)
	upstream := object.Upstream{Name: "engine-1", Address: "127.0.0.1:1", ChecksFencing: s.engine.checksFencing}
	return Command{Upstream: upstream, Kind: kindSetRole, Name: role, BaseOffset: view.Offset, Operator: role + "-operator"}
}

// executeAsync starts a command in the background and returns once it blocks or ends.
func executeAsync(t *testing.T, at *Service, cmd Command) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := at.Execute(t.Context(), cmd)
		done <- err
	}()
	synctest.Wait()
	return done
}

func assertVerdict(t *testing.T, err error, reason verdict.Reason, ran verdict.Ran) *verdict.Verdict {
	t.Helper()
	v := verdict.From(err)
	assert.Assert(t, v != nil)
	assert.Equal(t, v.Reason, reason)
	assert.Equal(t, v.Ran, ran)
	return v
}

// Two operators order different roles from the same view at the same time. One of them
// must get a conflict, and the upstream must have the role that the other ordered.
func TestConcurrentOrdersConflict(t *testing.T) {
	withFixture(t, false, func(t *testing.T, s *fixture) {
		first, second := s.command(t, s.a, "prefill"), s.command(t, s.b, "decode")
		s.log.SetAppendDelay(time.Millisecond) // both appends are in flight at the same time
		errs := [2]<-chan error{executeAsync(t, s.a, first), executeAsync(t, s.b, second)}
		lost, won := <-errs[0], <-errs[1]
		if lost == nil {
			lost, won = won, lost
		}
		assertVerdict(t, lost, verdict.ReasonOrderConflict, verdict.NotRun)
		assert.NilError(t, won)
		assert.Equal(t, s.engine.orders, 1)
		// The operator with the conflict may order again from a new view.
		_, err := s.b.Execute(t.Context(), s.command(t, s.b, "decode"))
		assert.NilError(t, err)
		assert.Equal(t, s.engine.role, "decode")
	})
}

// An instance is paused between claiming and sending, and resumes after another instance
// has sent a newer order. The upstream does not check fencing tokens, so that the
// late order must not be sent: it would overwrite the newer one.
func TestPausedHolderDoesNotSendAfterItsLease(t *testing.T) {
	withFixture(t, false, func(t *testing.T, s *fixture) {
		s.pauseBeforeSend = 2 * DefaultLease
		late := executeAsync(t, s.a, s.command(t, s.a, "prefill"))
		newer := s.command(t, s.b, "decode")
		shortCtx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.b.Execute(shortCtx, newer)
		v := assertVerdict(t, err, verdict.ReasonOrderConflict, verdict.NotRun)
		assert.Assert(t, v.RetryAfter > DefaultLease-time.Second)
		_, err = s.b.Execute(t.Context(), newer)
		assert.NilError(t, err)
		assert.Equal(t, len(late), 0)
		assertVerdict(t, <-late, verdict.ReasonLeaseOver, verdict.NotRun)
		assert.Equal(t, s.engine.role, "decode")
		assert.Equal(t, s.engine.orders, 1)
	})
}

// The instance is paused as above, but for less than its lease, and the upstream checks
// fencing tokens. The newer order must not wait, and the upstream refuses the late one.
func TestUpstreamRefusesStaleToken(t *testing.T) {
	withFixture(t, true, func(t *testing.T, s *fixture) {
		s.pauseBeforeSend = DefaultLease / 2
		late := executeAsync(t, s.a, s.command(t, s.a, "prefill"))
		start := time.Now()
		outcome, err := s.b.Execute(t.Context(), s.command(t, s.b, "decode"))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Equal(t, outcome.Fence, uint64(2))
		assertVerdict(t, <-late, verdict.ReasonUpstreamRefused, verdict.NotRun)
		assert.Equal(t, s.engine.role, "decode")
	})
}

// The response to an order is lost. The effect is read back from the upstream; an order
// whose effect does not show is reported as "may have run".
func TestOrderResponseLost(t *testing.T) {
	withFixture(t, false, func(t *testing.T, s *fixture) {
		s.engine.loseResponse = true
		outcome, err := s.a.Execute(t.Context(), s.command(t, s.a, "prefill"))
		assert.NilError(t, err)
		assert.Assert(t, outcome.Confirmed)
		s.engine.ignoreOrders = true
		_, err = s.a.Execute(t.Context(), s.command(t, s.a, "decode"))
		assertVerdict(t, err, verdict.ReasonOrderUnconfirmed, verdict.MayHaveRun)
	})
}

// An upstream that does not check fencing tokens accepts an order and ignores it. The
// operator must get an error.
func TestOrderWithoutEffect(t *testing.T) {
	withFixture(t, false, func(t *testing.T, s *fixture) {
		s.engine.ignoreOrders = true
		_, err := s.a.Execute(t.Context(), s.command(t, s.a, "prefill"))
		assertVerdict(t, err, verdict.ReasonOrderUnconfirmed, verdict.HasRun)
	})
}

// The log is unavailable. No order may be sent without a fencing token, and the operator
// must get "not run".
func TestLogUnavailable(t *testing.T) {
	withFixture(t, true, func(t *testing.T, s *fixture) {
		cmd := s.command(t, s.a, "prefill")
		s.log.SetDown(true)
		_, err := s.a.Execute(t.Context(), cmd)
		v := assertVerdict(t, err, verdict.ReasonLogUnavailable, verdict.NotRun)
		assert.Assert(t, v.RetryAfter > 0)
		assert.Equal(t, s.engine.orders, 0)
		s.log.SetDown(false)
		_, err = s.a.Execute(t.Context(), cmd)
		assert.NilError(t, err)
	})
}

// The log's response to the append of a claim is lost, in one case after the claim was
// written and in the other with the request.
func TestClaimAppendResponseLost(t *testing.T) {
	withFixture(t, true, func(t *testing.T, s *fixture) {
		cmd := s.command(t, s.a, "prefill")
		s.log.InjectFaults(memlog.LoseResponse)
		outcome, err := s.a.Execute(t.Context(), cmd)
		assert.NilError(t, err)
		assert.Equal(t, outcome.Fence, uint64(1))
		cmd = s.command(t, s.a, "decode")
		s.log.InjectFaults(memlog.LoseRequest)
		_, err = s.a.Execute(t.Context(), cmd)
		assertVerdict(t, err, verdict.ReasonLogUnavailable, verdict.NotRun)
		assert.Equal(t, s.engine.role, "prefill")
	})
}

// An operator uses a view that is days old. The log has dropped the claims made since,
// so that an instance that started later cannot determine whether the view is current.
// Accepting the order could overwrite a newer one.
func TestViewOlderThanRetainedLog(t *testing.T) {
	withFixture(t, true, func(t *testing.T, s *fixture) {
		staleCmd := s.command(t, s.a, "prefill")
		_, err := s.a.Execute(t.Context(), s.command(t, s.a, "decode"))
		assert.NilError(t, err)
		s.log.Truncate(streamName, 3)
		fresh := s.start(t, "c", func() {})
		_, err = fresh.Execute(t.Context(), staleCmd)
		assertVerdict(t, err, verdict.ReasonOrderConflict, verdict.NotRun)
		_, err = fresh.Execute(t.Context(), s.command(t, fresh, "prefill"))
		assert.NilError(t, err)
	})
}

// The operators' endpoints return a view, execute an order and refuse an order that is
// based on the old view or malformed.
func TestEndpoints(t *testing.T) {
	withFixture(t, true, func(t *testing.T, s *fixture) {
		mux := http.NewServeMux()
		s.a.AddQueries(mux)
		s.a.AddCommands(mux, func(name string) (object.Upstream, bool) {
			return object.Upstream{Name: name, ChecksFencing: true}, name == "engine-1"
		})
		send := func(method, path, body string) (int, string) {
			response := httptest.NewRecorder()
			mux.ServeHTTP(response, httptest.NewRequest(method, path, strings.NewReader(body)))
			return response.Code, strings.TrimSpace(response.Body.String())
		}
		for _, c := range []struct {
			method, path, body string
			status             int
			want               string
		}{
			{"GET", "/orders/engine-1", "", 200, `{"from":0}`},
			{"POST", "/orders", `{"upstream":"engine-1","kind":"set_role","name":"decode","from":0,"operator":"o"}`, 200, `{"fence":1,"confirmed":true}`},
			{"POST", "/orders", `{"upstream":"engine-1","kind":"set_role","name":"prefill","from":0}`, 409, `"code":"order_conflict","ran":"not_run"`},
			{"POST", "/orders", `{"upstream":"engine-2","kind":"set_role","name":"prefill","from":0}`, 404, `"code":"no_upstream"`},
			{"POST", "/orders", `{"upstream":"engine-1","kind":"set_role","name":"prefill"}`, 400, `"code":"bad_request"`},
			{"GET", "/orders/engine-1", "", 200, `{"from":2,"latest":{"fence":1,"kind":"set_role","name":"decode","operator":"o","instance":"a","ran":"ran","confirmed":true}}`},
		} {
			status, body := send(c.method, c.path, c.body)
			assert.Equal(t, status, c.status, body)
			assert.Assert(t, strings.Contains(body, c.want), body)
		}
	})
}

// The monotonic clock stops while a machine is suspended, while other instances' wait for
// the lease goes on. A holder that resumes must not send once the lease has expired by
// the wall clock.
func TestLeaseChecksWallClock(t *testing.T) {
	start := time.Now()
	lease := protocol.NewLease(start, time.Minute)
	assert.Assert(t, lease.MaySend(start.Add(59*time.Second)))
	assert.Assert(t, !lease.MaySend(start.Add(time.Minute)))
	assert.Assert(t, !lease.MaySend(start.Round(0).Add(time.Minute)))
}
