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

// fakePlace grants upstream after upstream and remembers how grants ended.
type fakePlace struct {
	grants   int
	outcomes []group.OutcomeKind
	refuse   *verdict.Verdict
}

func (p *fakePlace) Reserve(_ context.Context, req *request.Request, attempt uint32, _ []string) (*Grant, error) {
	if p.refuse != nil && attempt > 1 {
		return nil, p.refuse
	}
	p.grants++
	return &Grant{ID: uint64(p.grants), Service: req.Service, RequestID: req.ID, Attempt: attempt, Decode: "u"}, nil
}

func (p *fakePlace) PrefillDone(*Grant) {}

func (p *fakePlace) Release(_ *Grant, outcome Outcome) { p.outcomes = append(p.outcomes, outcome.Kind) }

// fakeGuard records what became of a ticket.
type fakeGuard struct{ finished, abandoned int }

func (g *fakeGuard) Begin(_ context.Context, call GuardedCall) (*Ticket, *RecordedAnswer, error) {
	return &Ticket{Call: call}, nil, nil
}

func (g *fakeGuard) Finish(context.Context, *Ticket, RecordedAnswer) error { g.finished++; return nil }

func (g *fakeGuard) Unanswered(context.Context, *Ticket, verdict.Ran) error { return nil }

func (g *fakeGuard) Abandon(context.Context, *Ticket) error { g.abandoned++; return nil }

// alwaysAgain would retry everything three times.
type alwaysAgain struct{}

func (alwaysAgain) Next(_ string, attempt int, v *verdict.Verdict, _, _ time.Time) (time.Duration, verdict.Reason, bool) {
	return 0, v.Reason, attempt < 3
}

func (alwaysAgain) Succeeded(string) {}

// scripted is a plain service that gives its answers in turn.
type scripted struct {
	answers []any
	calls   int
}

func (s *scripted) Call(context.Context, port.ServiceRequest) (*port.ServiceResponse, error) {
	answer := s.answers[s.calls]
	s.calls++
	switch a := answer.(type) {
	case error:
		return nil, a
	case string:
		return &port.ServiceResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(a))}, nil
	default:
		return &port.ServiceResponse{Status: http.StatusOK, Header: http.Header{}, Body: brokenBody{}}, nil
	}
}

type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func (brokenBody) Close() error { return nil }

func TestPlainCallsRunAgainOnlyWhereThatIsSafe(t *testing.T) {
	unreached := verdict.Fail(verdict.NotRun, verdict.ReasonUpstreamUnreachable, errors.New("dial"), "dial failed")
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
		{"lookup after a broken body", true, "", []any{nil, "ok"}, 2, 0, "ok", 0, 0},
		{"booking without a key after a crash", false, "", []any{crashed, "ok"}, 1, verdict.MayHaveRun, "", 0, 0},
		{"booking without a key after a failed dial", false, "", []any{unreached, "ok"}, 2, 0, "ok", 0, 0},
		{"booking with a key", false, "k", []any{"ok"}, 1, 0, "ok", 1, 0},
		{"booking with a key after a crash", false, "k", []any{crashed, "ok"}, 1, verdict.MayHaveRun, "", 0, 0},
		{"booking with a key whose answer broke off", false, "k", []any{nil, "ok"}, 1, verdict.MayHaveRun, "", 0, 0},
		{"booking with a key that reached nobody", false, "k", []any{unreached, unreached, unreached}, 3, verdict.NotRun, "", 0, 1},
		{"lookup that may have run and then reached nobody", true, "", []any{crashed, unreached, unreached}, 3, verdict.MayHaveRun, "", 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			service, guard, place := &scripted{answers: test.answers}, &fakeGuard{}, &fakePlace{}
			metrics := observe.NewMetrics()
			defer metrics.Close()
			p := &PlainRunner{
				Placer: place, Guard: guard, Retrier: alwaysAgain{}, Log: zap.NewNop(), Metrics: metrics,
				Services: func(string) port.PlainService { return service },
				Address:  func(string) (string, bool) { return "127.0.0.1:1", true },
			}
			answer, err := p.Run(context.Background(), PlainCall{
				Request:    &request.Request{ID: "r", Service: "desk", Deadline: time.Now().Add(time.Hour)},
				Call:       port.ServiceRequest{Method: http.MethodPost, IdempotencyKey: test.key},
				Idempotent: test.idempotent,
			})
			assert.Equal(t, service.calls, test.calls)
			assert.Equal(t, len(place.outcomes), place.grants, "a grant was not given back")
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

// The first attempt of a lookup may have run, and the second is refused by a full
// pool as "not run". Told so, the caller would believe that nothing has happened.
func TestALaterRefusalDoesNotHideAnEarlierRun(t *testing.T) {
	metrics := observe.NewMetrics()
	defer metrics.Close()
	service := &scripted{answers: []any{verdict.Fail(verdict.MayHaveRun, verdict.ReasonUpstreamCrashed, io.EOF, "broke")}}
	p := &PlainRunner{
		Placer: &fakePlace{refuse: verdict.Refuse(verdict.ReasonQueueTimeout, time.Second, "full")}, Guard: &fakeGuard{},
		Retrier: alwaysAgain{}, Log: zap.NewNop(), Metrics: metrics,
		Services: func(string) port.PlainService { return service },
		Address:  func(string) (string, bool) { return "127.0.0.1:1", true },
	}
	_, err := p.Run(context.Background(), PlainCall{Request: &request.Request{ID: "r", Deadline: time.Now().Add(time.Hour)}, Idempotent: true})
	assert.Equal(t, verdict.From(err).Ran, verdict.MayHaveRun)
	assert.Equal(t, verdict.From(err).Reason, verdict.ReasonQueueTimeout)
}

// Two calls share a key by sliding a byte from the path to the query. Their
// hashes must differ, or the second would get the first one's answer.
func TestHashOfACallCoversItsParts(t *testing.T) {
	a := hashCall(port.ServiceRequest{Method: "POST", Path: "/book", RawQuery: "x"})
	b := hashCall(port.ServiceRequest{Method: "POST", Path: "/bookx"})
	assert.Assert(t, a != b)
}
