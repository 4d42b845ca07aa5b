package route

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/decision/group"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

// fakeScheduler grants all reservations, or refuses retries with retryRefusal, and records the
// outcomes of the grants.
type fakeScheduler struct {
	grants       int
	outcomes     []group.OutcomeKind
	retryRefusal *verdict.Verdict
}

func (s *fakeScheduler) Reserve(_ context.Context, req *request.Request, attempt uint32, _ []string) (*Grant, error) {
	if s.retryRefusal != nil && attempt > 1 {
		return nil, s.retryRefusal
	}
	s.grants++
	return &Grant{ID: uint64(s.grants), Service: req.Service, RequestID: req.ID, Attempt: attempt, Decode: "u"}, nil
}

func (s *fakeScheduler) PrefillDone(*Grant) {}

func (s *fakeScheduler) Release(_ *Grant, outcome Outcome) {
	s.outcomes = append(s.outcomes, outcome.Kind)
}

// fakeGuard counts finished and abandoned tickets.
type fakeGuard struct{ finished, abandoned int }

func (g *fakeGuard) Begin(_ context.Context, call GuardedCall) (*Ticket, *RecordedAnswer, error) {
	return &Ticket{Call: call}, nil, nil
}

func (g *fakeGuard) Finish(context.Context, *Ticket, RecordedAnswer) error { g.finished++; return nil }

func (g *fakeGuard) FinishWithoutAnswer(context.Context, *Ticket, verdict.Ran) error { return nil }

func (g *fakeGuard) Abandon(context.Context, *Ticket) error { g.abandoned++; return nil }

// alwaysRetry allows up to three attempts, whatever the verdict.
type alwaysRetry struct{}

func (alwaysRetry) Next(_ string, attempt int, v *verdict.Verdict, _, _ time.Time) (time.Duration, verdict.Reason, bool) {
	return 0, v.Reason, attempt < 3
}

func (alwaysRetry) Succeeded(string) {}

// scriptedService is a plain service that returns its answers in order.
type scriptedService struct {
	answers []any
	calls   int
}

func (s *scriptedService) Call(context.Context, port.ServiceRequest) (*port.ServiceResponse, error) {
	answer := s.answers[s.calls]
	s.calls++
	switch a := answer.(type) {
	case error:
		return nil, a
	case string:
		return &port.ServiceResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(a))}, nil
	default:
		return &port.ServiceResponse{Status: http.StatusOK, Header: http.Header{}, Body: truncatedBody{}}, nil
	}
}

type truncatedBody struct{}

func (truncatedBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func (truncatedBody) Close() error { return nil }

func TestPlainCallsAreRetriedOnlyIfSafe(t *testing.T) {
	unreachable := verdict.Fail(verdict.NotRun, verdict.ReasonUpstreamUnreachable, errors.New("dial"), "dial failed")
	crashed := verdict.Fail(verdict.MayHaveRun, verdict.ReasonUpstreamCrashed, io.EOF, "broke")
	for _, test := range []struct {
		name                string
		idempotent          bool
		key                 string
		answers             []any
		calls               int
		ran                 verdict.Ran
		body                string
		finished, abandoned int
	}{
		{"lookup after a crash", true, "", []any{crashed, "ok"}, 2, 0, "ok", 0, 0},
		{"lookup after a truncated body", true, "", []any{nil, "ok"}, 2, 0, "ok", 0, 0},
		{"booking without a key after a crash", false, "", []any{crashed, "ok"}, 1, verdict.MayHaveRun, "", 0, 0},
		{"booking without a key after a failed dial", false, "", []any{unreachable, "ok"}, 2, 0, "ok", 0, 0},
		{"booking with a key", false, "k", []any{"ok"}, 1, 0, "ok", 1, 0},
		{"booking with a key after a crash", false, "k", []any{crashed, "ok"}, 1, verdict.MayHaveRun, "", 0, 0},
		{"booking with a key and a truncated answer", false, "k", []any{nil, "ok"}, 1, verdict.MayHaveRun, "", 0, 0},
		{"booking with a key after failed dials", false, "k", []any{unreachable, unreachable, unreachable}, 3, verdict.NotRun, "", 0, 1},
		{"lookup after a crash and failed dials", true, "", []any{crashed, unreachable, unreachable}, 3, verdict.MayHaveRun, "", 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			service, guard, scheduler := &scriptedService{answers: test.answers}, &fakeGuard{}, &fakeScheduler{}
			metrics := observe.NewMetrics()
			defer metrics.Close()
			p := &PlainRunner{
				Scheduler: scheduler, Guard: guard, Retrier: alwaysRetry{}, Log: zap.NewNop(), Metrics: metrics,
				Services: func(string) port.PlainService { return service },
				Address:  func(string) (string, bool) { return "127.0.0.1:1", true },
			}
			answer, err := p.Run(context.Background(), PlainCall{
				Request:    &request.Request{ID: "r", Service: "desk", Deadline: time.Now().Add(time.Hour)},
				Call:       port.ServiceRequest{Method: http.MethodPost, IdempotencyKey: test.key},
				Idempotent: test.idempotent,
			})
			assert.Equal(t, service.calls, test.calls)
			assert.Equal(t, len(scheduler.outcomes), scheduler.grants, "a grant was not released")
			assert.Equal(t, guard.finished, test.finished)
			assert.Equal(t, guard.abandoned, test.abandoned)
			if test.body != "" {
				assert.NilError(t, err)
				assert.Equal(t, string(answer.Body), test.body)
				return
			}
			assert.Equal(t, verdict.From(err).Ran, test.ran)
		})
	}
}

// Guards against reporting "not run" to the caller if the first attempt may have run and the retry
// is refused, for example because the pool is full. The caller would conclude that the call had no
// effect.
func TestRefusedRetryKeepsMayHaveRun(t *testing.T) {
	metrics := observe.NewMetrics()
	defer metrics.Close()
	service := &scriptedService{answers: []any{verdict.Fail(verdict.MayHaveRun, verdict.ReasonUpstreamCrashed, io.EOF, "broke")}}
	p := &PlainRunner{
		Scheduler: &fakeScheduler{retryRefusal: verdict.Refuse(verdict.ReasonQueueTimeout, time.Second, "full")}, Guard: &fakeGuard{},
		Retrier: alwaysRetry{}, Log: zap.NewNop(), Metrics: metrics,
		Services: func(string) port.PlainService { return service },
		Address:  func(string) (string, bool) { return "127.0.0.1:1", true },
	}
	_, err := p.Run(context.Background(), PlainCall{Request: &request.Request{ID: "r", Deadline: time.Now().Add(time.Hour)}, Idempotent: true})
	assert.Equal(t, verdict.From(err).Ran, verdict.MayHaveRun)
	assert.Equal(t, verdict.From(err).Reason, verdict.ReasonQueueTimeout)
}

// Guards against hash collisions between calls that differ only in which part a byte belongs to.
// The second call would receive the answer of the first.
func TestHashCallSeparatesParts(t *testing.T) {
	a := hashCall(port.ServiceRequest{Method: "POST", Path: "/book", RawQuery: "x"})
	b := hashCall(port.ServiceRequest{Method: "POST", Path: "/bookx"})
	assert.Assert(t, a != b)
}
