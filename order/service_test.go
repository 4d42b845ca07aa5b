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

// site is one log and one upstream with two instances that give it orders.
type site struct {
	log    *memlog.Log
	engine *fakeEngine
	a, b   *Service
	// pauseA is how long instance a is paused between its claim and its order.
	pauseA time.Duration
}

// atSite runs a test in a synctest bubble.
func atSite(t *testing.T, checks bool, test func(t *testing.T, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{log: memlog.New(), engine: &fakeEngine{checks: checks}}
		s.a = s.start(t, "a", func() { time.Sleep(s.pauseA) })
		s.b = s.start(t, "b", func() {})
		test(t, s)
	})
}

func (s *site) start(t *testing.T, name string, paused func()) *Service {
	service, err := New(Config{
		Self: request.Holder{Instance: name, Incarnation: 1},
		Log:  s.log,
		Engines: func(string) port.Engine {
			paused()
			return s.engine
		},
	})
	assert.NilError(t, err)
	return service
}

// command orders the site's upstream to take a role, from the current view.
func (s *site) command(t *testing.T, at *Service, role string) Command {
	t.Helper()
	view, err := at.View(t.Context(), "engine-1")
	assert.NilError(t, err)
	upstream := object.Upstream{Name: "engine-1", Address: "127.0.0.1:1", ChecksFencing: s.engine.checks}
	return Command{Upstream: upstream, Kind: kindSetRole, Name: role, From: view.From, Operator: role + "-operator"}
}

// background executes a command and returns once it waits for something.
func background(t *testing.T, at *Service, cmd Command) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := at.Execute(t.Context(), cmd)
		done <- err
	}()
	synctest.Wait()
	return done
}

func failed(t *testing.T, err error, reason verdict.Reason, ran verdict.Ran) *verdict.Verdict {
	t.Helper()
	v := verdict.From(err)
	assert.Assert(t, v != nil)
	assert.Equal(t, v.Reason, reason)
	assert.Equal(t, v.Ran, ran)
	return v
}

// Two operators look at the same state and order different roles at once. One is
// told that the other was first; the upstream has the role of the one who won.
func TestOperatorsRace(t *testing.T) {
	atSite(t, false, func(t *testing.T, s *site) {
		first, second := s.command(t, s.a, "prefill"), s.command(t, s.b, "decode")
		s.log.SetAppendDelay(time.Millisecond) // both appends are on their way at once
		errs := [2]<-chan error{background(t, s.a, first), background(t, s.b, second)}
		one, two := <-errs[0], <-errs[1]
		if one == nil {
			one, two = two, one
		}
		failed(t, one, verdict.ReasonOrderConflict, verdict.NotRun)
		assert.NilError(t, two)
		assert.Equal(t, s.engine.orders, 1)
		// The loser looks again and may order then.
		_, err := s.b.Execute(t.Context(), s.command(t, s.b, "decode"))
		assert.NilError(t, err)
		assert.Equal(t, s.engine.role, "decode")
	})
}

// An instance is paused between its claim and its order, and comes back after
// another instance gave a newer order. The upstream does not check tokens; the late
// order must not be sent, or it would undo the newer one.
func TestPausedHolderComesBackLate(t *testing.T) {
	atSite(t, false, func(t *testing.T, s *site) {
		s.pauseA = 2 * DefaultLease
		late := background(t, s.a, s.command(t, s.a, "prefill"))
		newer := s.command(t, s.b, "decode")
		hasty, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.b.Execute(hasty, newer)
		v := failed(t, err, verdict.ReasonOrderConflict, verdict.NotRun)
		assert.Assert(t, v.RetryAfter > DefaultLease-time.Second)
		_, err = s.b.Execute(t.Context(), newer)
		assert.NilError(t, err)
		assert.Equal(t, len(late), 0)
		failed(t, <-late, verdict.ReasonLeaseOver, verdict.NotRun)
		assert.Equal(t, s.engine.role, "decode")
		assert.Equal(t, s.engine.orders, 1)
	})
}

// The same with an upstream that checks tokens and a pause shorter than the lease:
// nobody waits, and the upstream refuses the late order.
func TestLateOrderIsRefusedByItsToken(t *testing.T) {
	atSite(t, true, func(t *testing.T, s *site) {
		s.pauseA = DefaultLease / 2
		late := background(t, s.a, s.command(t, s.a, "prefill"))
		began := time.Now()
		outcome, err := s.b.Execute(t.Context(), s.command(t, s.b, "decode"))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, outcome.Fence, uint64(2))
		failed(t, <-late, verdict.ReasonUpstreamRefused, verdict.NotRun)
		assert.Equal(t, s.engine.role, "decode")
	})
}

// The answer to an order is lost. Whether it took effect is read back from the
// upstream; what cannot be seen is reported as "may have run".
func TestOrderAnswerIsLost(t *testing.T) {
	atSite(t, false, func(t *testing.T, s *site) {
		s.engine.loseAnswer = true
		outcome, err := s.a.Execute(t.Context(), s.command(t, s.a, "prefill"))
		assert.NilError(t, err)
		assert.Assert(t, outcome.Confirmed)
		s.engine.ignore = true
		_, err = s.a.Execute(t.Context(), s.command(t, s.a, "decode"))
		failed(t, err, verdict.ReasonOrderUnconfirmed, verdict.MayHaveRun)
	})
}

// An upstream that does not check tokens takes an order and does not act on it. The
// operator must hear of it.
func TestOrderWithoutEffect(t *testing.T) {
	atSite(t, false, func(t *testing.T, s *site) {
		s.engine.ignore = true
		_, err := s.a.Execute(t.Context(), s.command(t, s.a, "prefill"))
		failed(t, err, verdict.ReasonOrderUnconfirmed, verdict.HasRun)
	})
}

// The log is down. No order may go out without a token, and the operator is told
// that it did not.
func TestLogIsDown(t *testing.T) {
	atSite(t, true, func(t *testing.T, s *site) {
		cmd := s.command(t, s.a, "prefill")
		s.log.SetDown(true)
		_, err := s.a.Execute(t.Context(), cmd)
		v := failed(t, err, verdict.ReasonLogUnavailable, verdict.NotRun)
		assert.Assert(t, v.RetryAfter > 0)
		assert.Equal(t, s.engine.orders, 0)
		s.log.SetDown(false)
		_, err = s.a.Execute(t.Context(), cmd)
		assert.NilError(t, err)
	})
}

// The log's answer to the claim is lost, after or before the claim took effect.
func TestClaimAnswerIsLost(t *testing.T) {
	atSite(t, true, func(t *testing.T, s *site) {
		cmd := s.command(t, s.a, "prefill")
		s.log.InjectFaults(memlog.LoseResponse)
		outcome, err := s.a.Execute(t.Context(), cmd)
		assert.NilError(t, err)
		assert.Equal(t, outcome.Fence, uint64(1))
		cmd = s.command(t, s.a, "decode")
		s.log.InjectFaults(memlog.LoseRequest)
		_, err = s.a.Execute(t.Context(), cmd)
		failed(t, err, verdict.ReasonLogUnavailable, verdict.NotRun)
		assert.Equal(t, s.engine.role, "prefill")
	})
}

// An operator acts from a view of days ago. The log has dropped what was claimed
// since, so that an instance that started later cannot tell whether the view is
// current; a newer order could be undone.
func TestViewOlderThanTheLog(t *testing.T) {
	atSite(t, true, func(t *testing.T, s *site) {
		old := s.command(t, s.a, "prefill")
		_, err := s.a.Execute(t.Context(), s.command(t, s.a, "decode"))
		assert.NilError(t, err)
		s.log.Truncate(stream, 3)
		fresh := s.start(t, "c", func() {})
		_, err = fresh.Execute(t.Context(), old)
		failed(t, err, verdict.ReasonOrderConflict, verdict.NotRun)
		_, err = fresh.Execute(t.Context(), s.command(t, fresh, "prefill"))
		assert.NilError(t, err)
	})
}

// The endpoints that operators use: view, order, and an order from the old view.
func TestEndpoints(t *testing.T) {
	atSite(t, true, func(t *testing.T, s *site) {
		mux := http.NewServeMux()
		s.a.AddQueries(mux)
		s.a.AddCommands(mux, func(name string) (object.Upstream, bool) {
			return object.Upstream{Name: name, ChecksFencing: true}, name == "engine-1"
		})
		send := func(method, path, body string) (int, string) {
			answer := httptest.NewRecorder()
			mux.ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
			return answer.Code, strings.TrimSpace(answer.Body.String())
		}
		for _, c := range []struct {
			method, path, body string
			status             int
			answer             string
		}{
			{"GET", "/orders/engine-1", "", 200, `{"from":0}`},
			{"POST", "/orders", `{"upstream":"engine-1","kind":"set_role","name":"decode","from":0,"operator":"o"}`, 200, `{"fence":1,"confirmed":true}`},
			{"POST", "/orders", `{"upstream":"engine-1","kind":"set_role","name":"prefill","from":0}`, 409, `"code":"order_conflict","ran":"not_run"`},
			{"POST", "/orders", `{"upstream":"engine-2","kind":"set_role","name":"prefill","from":0}`, 404, `"code":"no_upstream"`},
			{"POST", "/orders", `{"upstream":"engine-1","kind":"set_role","name":"prefill"}`, 400, `"code":"bad_request"`},
			{"GET", "/orders/engine-1", "", 200, `{"from":2,"latest":{"fence":1,"kind":"set_role","name":"decode","operator":"o","instance":"a","ran":"ran","confirmed":true}}`},
		} {
			status, answer := send(c.method, c.path, c.body)
			assert.Equal(t, status, c.status, answer)
			assert.Assert(t, strings.Contains(answer, c.answer), answer)
		}
	})
}

// An instance waits for a lease by its own clock from when it read the claim; one
// whose clock stood still while its machine was suspended must not send.
func TestLeaseHeedsTheWallClock(t *testing.T) {
	begun := time.Now()
	lease := protocol.NewLease(begun, time.Minute)
	assert.Assert(t, lease.MaySend(begun.Add(59*time.Second)))
	assert.Assert(t, !lease.MaySend(begun.Add(time.Minute)))
	assert.Assert(t, !lease.MaySend(begun.Round(0).Add(time.Minute)))
}
