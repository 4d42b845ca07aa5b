package load

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/stand"
)

var (
	testOrganisation = Organisation{Name: "zoo-a", Key: "cw-secret-a"}
	testModel        = Kind{Name: "draft", Form: FormText, Stream: true, Model: "pisar-small"}
	testCall         = Kind{Name: "swap", Form: FormCall, Service: "dezurstva", Method: "POST", Path: "/swaps"}
)

const testMaxTokens = 12

// modelResult is a whole and right answer to a prompt.
func modelResult(prompt string) *Result {
	text := strings.Join(stand.Answer(prompt, testMaxTokens), "")
	return &Result{
		Task:       &Task{Kind: &testModel, Organisation: &testOrganisation, MaxTokens: testMaxTokens},
		PromptHash: stand.PromptHash(prompt), WantText: text, WantFinish: stand.FinishLength,
		Attempts: []*Attempt{{
			Instance: "entry-1", Outcome: OutcomeWhole, RequestID: "r1", Text: text, Finish: stand.FinishLength,
			Tokens: testMaxTokens, Terminators: 1, First: time.Second, Last: 2 * time.Second,
		}},
	}
}

// callResult is an answered call that may not be repeated.
func callResult() *Result {
	r := &Result{
		Task:           &Task{Kind: &testCall, Organisation: &testOrganisation},
		IdempotencyKey: "k1", Query: "n=k1", CallBodyHash: "b1", CallKey: "call-1",
	}
	echo := stand.PlainAnswer{
		Method: "POST", Path: "/swaps", Query: "n=k1", Organisation: "zoo-a", IdempotencyKey: "k1", BodyHash: "b1",
	}
	r.Attempts = []*Attempt{{Instance: "entry-1", Outcome: OutcomeWhole, RequestID: "r1", Status: 200, Call: &echo}}
	return r
}

func ranOnce() Evidence {
	return Evidence{Settled: true, After: StandIns{
		Engines: map[string]*stand.EngineStats{"e": {Requests: map[string]*stand.RequestStats{
			"r1": {Prefills: 1, Decodes: 1},
		}}},
		Plains: map[string]*stand.PlainStats{"p": {
			ByIdempotencyKey: map[string]int{"k1": 1}, ByRequestID: map[string]int{"r1": 1}, ByCall: map[string]int{"call-1": 1},
		}},
	}}
}

func testScenario() *Scenario {
	return &Scenario{Organisations: []Organisation{testOrganisation}, Instances: []Instance{{Name: "entry-1"}}}
}

// promises returns the broken promises of one result.
func promises(r *Result, e Evidence) []Promise {
	out := []Promise{}
	for _, v := range Check(testScenario(), []*Result{r}, e) {
		out = append(out, v.Promise)
	}
	return out
}

func TestRightAnswersBreakNothing(t *testing.T) {
	assert.DeepEqual(t, promises(modelResult("a prompt"), ranOnce()), []Promise{})
	assert.DeepEqual(t, promises(callResult(), ranOnce()), []Promise{})
}

// Answers go wrong on the way from the engine to the caller. The caller sees a
// text that reads well and is not the answer, or an error that is not true; the
// checker must find each.
func TestWrongAnswersAreFound(t *testing.T) {
	other := strings.Join(stand.Answer("another prompt", testMaxTokens), "")
	tests := []struct {
		name  string
		wrong func(*Attempt)
		want  Promise
	}{
		{"doubled token", func(a *Attempt) {
			first, rest, _ := strings.Cut(a.Text, " ")
			a.Text = first + " " + first + " " + rest
		}, PromiseOnce},
		{"whole answer twice", func(a *Attempt) { a.Text += a.Text }, PromiseOnce},
		{"truncated but terminated", func(a *Attempt) { a.Text = a.Text[:strings.LastIndex(strings.TrimSpace(a.Text), " ")+1] }, PromiseWhole},
		{"gap", func(a *Attempt) { _, a.Text, _ = strings.Cut(a.Text, " ") }, PromiseWhole},
		{"crossed", func(a *Attempt) { a.Text = other }, PromiseOwn},
		{"crossed in the middle", func(a *Attempt) {
			half := strings.Fields(a.Text)[:testMaxTokens/2]
			a.Text = strings.Join(half, " ") + " " + other
			a.Outcome = OutcomeFailed
			a.Reason = "truncated"
		}, PromiseOwn},
		{"wrong finish reason", func(a *Attempt) { a.Finish = stand.FinishStop }, PromiseWhole},
		{"two terminators", func(a *Attempt) { a.Terminators = 2 }, PromiseOnce},
		{"error and terminator", func(a *Attempt) { a.Reason = "upstream_crashed" }, PromiseOnce},
		{"silent end", func(a *Attempt) { a.Outcome = OutcomeCut }, PromiseOutcome},
		{"broken connection", func(a *Attempt) { a.Outcome = OutcomeBroken }, PromiseOutcome},
		{"no outcome", func(a *Attempt) { a.Outcome = OutcomeUnanswered }, PromiseOutcome},
		{"falsely not run", func(a *Attempt) {
			*a = Attempt{Instance: "entry-1", Outcome: OutcomeRefused, RequestID: "r1", Reason: "queue_timeout", Ran: "not_run"}
		}, PromiseNotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := modelResult("a prompt")
			test.wrong(r.Attempts[0])
			assert.DeepEqual(t, promises(r, ranOnce()), []Promise{test.want})
		})
	}
}

// A swap is confirmed twice, not at all, or for somebody else. The callers see
// nothing of it: each got one answer.
func TestWrongCallsAreFound(t *testing.T) {
	tests := []struct {
		name  string
		wrong func(*Result, *Evidence)
		want  Promise
	}{
		{"ran twice", func(_ *Result, e *Evidence) { e.After.Plains["p"].ByIdempotencyKey["k1"] = 2 }, PromiseAtMostOnce},
		{"ran twice without its key", func(_ *Result, e *Evidence) { e.After.Plains["p"].ByCall["call-1"] = 2 }, PromiseAtMostOnce},
		{"ran on two upstreams", func(_ *Result, e *Evidence) { e.After.Plains["q"] = e.After.Plains["p"] }, PromiseAtMostOnce},
		{"answered and lost", func(_ *Result, e *Evidence) { e.After.Plains = nil }, PromiseRan},
		{"another call's echo", func(r *Result, _ *Evidence) { r.Attempts[0].Call.IdempotencyKey = "k2" }, PromiseOwn},
		{"another organisation", func(r *Result, _ *Evidence) { r.Attempts[0].Call.Organisation = "zoo-b" }, PromiseOwn},
		{"falsely not run", func(r *Result, _ *Evidence) {
			r.Attempts[0] = &Attempt{Outcome: OutcomeRefused, RequestID: "r1", Reason: "no_upstream", Ran: "not_run"}
		}, PromiseNotRun},
		{"key shown", func(_ *Result, e *Evidence) {
			header := map[string][]string{"X-Forwarded": {"Bearer cw-secret-a"}}
			e.After.Plains["p"].Seen = []stand.SeenCall{{Method: "POST", Path: "/swaps", Header: header}}
		}, PromiseKey},
		{"memory held", func(_ *Result, e *Evidence) {
			e.Settled = false
			e.After.Engines["e"].Held = 1
		}, PromiseMemory},
		{"memory freed by the engine alone", func(_ *Result, e *Evidence) { e.After.Engines["e"].OrphansFreed = 1 }, PromiseMemory},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, e := callResult(), ranOnce()
			test.wrong(r, &e)
			assert.DeepEqual(t, promises(r, e), []Promise{test.want})
		})
	}
}

// A killed instance takes its connections along; nobody can be blamed for these.
// After a request to shut down gracefully, every answer must still be whole.
func TestOnlyKilledInstancesMayBreakAnswers(t *testing.T) {
	for signal, want := range map[string]int{"KILL": 0, "TERM": 1} {
		s := testScenario()
		s.Faults = []Fault{{PID: 1, Signal: signal, Process: "entry-1"}}
		r := modelResult("a prompt")
		r.Attempts[0].Outcome = OutcomeBroken
		assert.Equal(t, len(Check(s, []*Result{r}, ranOnce())), want, signal)
	}
}

// An organisation sends several times its rate and gets more than its rate and
// burst allow, because the instances do not count together.
func TestRateIsChecked(t *testing.T) {
	limited := testOrganisation
	limited.TokensPerSecond, limited.Burst = 10, 100
	s := testScenario()
	s.Organisations = []Organisation{limited}
	results := func(n int) []*Result {
		var out []*Result
		for i := range n {
			r := callResult()
			kind := testCall
			kind.Cost, kind.Idempotent = 50, true
			r.Task = &Task{Kind: &kind, Organisation: &s.Organisations[0]}
			r.Attempts[0].Sent = time.Duration(i) * time.Second
			r.Attempts[0].First = r.Attempts[0].Sent + 100*time.Millisecond
			r.Attempts[0].Last = r.Attempts[0].First
			out = append(out, r)
		}
		return out
	}
	assert.Equal(t, len(Check(s, results(2), ranOnce())), 0)
	violations := Check(s, results(3), ranOnce())
	assert.Equal(t, len(violations), 1)
	assert.Equal(t, violations[0].Promise, PromiseRate)
}
