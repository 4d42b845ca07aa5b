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

// completeModelResult returns a result with a complete and correct answer to a prompt.
func completeModelResult(prompt string) *Result {
	text := strings.Join(stand.Answer(prompt, testMaxTokens), "")
	return &Result{
		Task:       &Task{Kind: &testModel, Organisation: &testOrganisation, MaxTokens: testMaxTokens},
		PromptHash: stand.PromptHash(prompt), WantText: text, WantFinish: stand.FinishLength,
		Attempts: []*Attempt{{
			Instance: "entry-1", Outcome: OutcomeComplete, RequestID: "r1", Text: text, FinishReason: stand.FinishLength,
			Tokens: testMaxTokens, Terminators: 1, FirstByteAt: time.Second, LastByteAt: 2 * time.Second,
		}},
	}
}

// completeCallResult returns a result with a correct answer to a call that is not idempotent.
func completeCallResult() *Result {
	r := &Result{
		Task:           &Task{Kind: &testCall, Organisation: &testOrganisation},
		IdempotencyKey: "k1", Query: "n=k1", CallBodyHash: "b1", CallKey: "call-1",
	}
	echo := stand.PlainAnswer{
		Method: "POST", Path: "/swaps", Query: "n=k1", Organisation: "zoo-a", IdempotencyKey: "k1", BodyHash: "b1",
	}
	r.Attempts = []*Attempt{{Instance: "entry-1", Outcome: OutcomeComplete, RequestID: "r1", Status: 200, Echo: &echo}}
	return r
}

func evidenceOfOneRun() Evidence {
	return Evidence{Idle: true, After: StandIns{
		Engines: map[string]*stand.EngineStats{"e": {Requests: map[string]*stand.RequestStats{
			"r1": {Prefills: 1, Decodes: 1},
		}}},
		PlainServices: map[string]*stand.PlainStats{"p": {
			ByIdempotencyKey: map[string]int{"k1": 1}, ByRequestID: map[string]int{"r1": 1}, ByCall: map[string]int{"call-1": 1},
		}},
	}}
}

func testScenario() *Scenario {
	return &Scenario{Organisations: []Organisation{testOrganisation}, Instances: []Instance{{Name: "entry-1"}}}
}

// violatedGuarantees returns the guarantees that one result violates.
func violatedGuarantees(r *Result, e Evidence) []Guarantee {
	out := []Guarantee{}
	for _, v := range Check(testScenario(), []*Result{r}, e) {
		out = append(out, v.Guarantee)
	}
	return out
}

func TestCheckAcceptsCorrectAnswers(t *testing.T) {
	assert.DeepEqual(t, violatedGuarantees(completeModelResult("a prompt"), evidenceOfOneRun()), []Guarantee{})
	assert.DeepEqual(t, violatedGuarantees(completeCallResult(), evidenceOfOneRun()), []Guarantee{})
}

// Guards against a checker that misses an answer corrupted between the engine and the caller: a
// plausible text that is not the expected answer, or an error that misstates what happened.
func TestCheckFindsWrongAnswers(t *testing.T) {
	other := strings.Join(stand.Answer("another prompt", testMaxTokens), "")
	tests := []struct {
		name    string
		corrupt func(*Attempt)
		want    Guarantee
	}{
		{"doubled token", func(a *Attempt) {
			first, rest, _ := strings.Cut(a.Text, " ")
			a.Text = first + " " + first + " " + rest
		}, GuaranteeNoDuplicate},
		{"whole answer twice", func(a *Attempt) { a.Text += a.Text }, GuaranteeNoDuplicate},
		{"truncated but terminated", func(a *Attempt) { a.Text = a.Text[:strings.LastIndex(strings.TrimSpace(a.Text), " ")+1] }, GuaranteeCompleteAnswer},
		{"gap", func(a *Attempt) { _, a.Text, _ = strings.Cut(a.Text, " ") }, GuaranteeCompleteAnswer},
		{"answer to another prompt", func(a *Attempt) { a.Text = other }, GuaranteeOwnAnswer},
		{"answer to another prompt from the middle on", func(a *Attempt) {
			half := strings.Fields(a.Text)[:testMaxTokens/2]
			a.Text = strings.Join(half, " ") + " " + other
			a.Outcome = OutcomeFailed
			a.Reason = "truncated"
		}, GuaranteeOwnAnswer},
		{"wrong finish reason", func(a *Attempt) { a.FinishReason = stand.FinishStop }, GuaranteeCompleteAnswer},
		{"two terminators", func(a *Attempt) { a.Terminators = 2 }, GuaranteeNoDuplicate},
		{"error and terminator", func(a *Attempt) { a.Reason = "upstream_crashed" }, GuaranteeNoDuplicate},
		{"end without terminator", func(a *Attempt) { a.Outcome = OutcomeTruncated }, GuaranteeOutcome},
		{"lost connection", func(a *Attempt) { a.Outcome = OutcomeDisconnected }, GuaranteeOutcome},
		{"no outcome", func(a *Attempt) { a.Outcome = OutcomeTimedOut }, GuaranteeOutcome},
		{"ran but refused as not run", func(a *Attempt) {
			*a = Attempt{Instance: "entry-1", Outcome: OutcomeRefused, RequestID: "r1", Reason: "queue_timeout", Ran: "not_run"}
		}, GuaranteeNotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := completeModelResult("a prompt")
			test.corrupt(r.Attempts[0])
			assert.DeepEqual(t, violatedGuarantees(r, evidenceOfOneRun()), []Guarantee{test.want})
		})
	}
}

// Guards against a checker that misses a call that ran twice, not at all or for another caller.
// Callers cannot notice this, as each receives one answer.
func TestCheckFindsWrongCalls(t *testing.T) {
	tests := []struct {
		name    string
		corrupt func(*Result, *Evidence)
		want    Guarantee
	}{
		{"ran twice", func(_ *Result, e *Evidence) { e.After.PlainServices["p"].ByIdempotencyKey["k1"] = 2 }, GuaranteeAtMostOnce},
		{"ran twice without its key", func(_ *Result, e *Evidence) { e.After.PlainServices["p"].ByCall["call-1"] = 2 }, GuaranteeAtMostOnce},
		{"ran on two upstreams", func(_ *Result, e *Evidence) { e.After.PlainServices["q"] = e.After.PlainServices["p"] }, GuaranteeAtMostOnce},
		{"answered but not run", func(_ *Result, e *Evidence) { e.After.PlainServices = nil }, GuaranteeExecuted},
		{"another call's echo", func(r *Result, _ *Evidence) { r.Attempts[0].Echo.IdempotencyKey = "k2" }, GuaranteeOwnAnswer},
		{"another organisation", func(r *Result, _ *Evidence) { r.Attempts[0].Echo.Organisation = "zoo-b" }, GuaranteeOwnAnswer},
		{"ran but refused as not run", func(r *Result, _ *Evidence) {
			r.Attempts[0] = &Attempt{Outcome: OutcomeRefused, RequestID: "r1", Reason: "no_upstream", Ran: "not_run"}
		}, GuaranteeNotRun},
		{"key sent to upstream", func(_ *Result, e *Evidence) {
			header := map[string][]string{"X-Forwarded": {"Bearer cw-secret-a"}}
			e.After.PlainServices["p"].Seen = []stand.SeenCall{{Method: "POST", Path: "/swaps", Header: header}}
		}, GuaranteeKeySecrecy},
		{"memory held", func(_ *Result, e *Evidence) {
			e.Idle = false
			e.After.Engines["e"].Held = 1
		}, GuaranteeMemoryFreed},
		{"memory freed by the engine's timeout", func(_ *Result, e *Evidence) { e.After.Engines["e"].OrphansFreed = 1 }, GuaranteeMemoryFreed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, e := completeCallResult(), evidenceOfOneRun()
			test.corrupt(r, &e)
			assert.DeepEqual(t, violatedGuarantees(r, e), []Guarantee{test.want})
		})
	}
}

// A killed instance loses its connections, which violates no guarantee. After SIGTERM, a graceful
// shutdown must still complete every answer.
func TestOnlyKilledInstancesMayDropConnections(t *testing.T) {
	for signal, want := range map[string]int{"KILL": 0, "TERM": 1} {
		s := testScenario()
		s.Faults = []Fault{{PID: 1, Signal: signal, Process: "entry-1"}}
		r := completeModelResult("a prompt")
		r.Attempts[0].Outcome = OutcomeDisconnected
		assert.Equal(t, len(Check(s, []*Result{r}, evidenceOfOneRun())), want, signal)
	}
}

// Guards against a checker that misses an organisation that exceeds its rate and burst. That
// happens if the instances do not share their rate limits.
func TestCheckFindsExceededRate(t *testing.T) {
	limited := testOrganisation
	limited.TokensPerSecond, limited.Burst = 10, 100
	s := testScenario()
	s.Organisations = []Organisation{limited}
	results := func(n int) []*Result {
		var out []*Result
		for i := range n {
			r := completeCallResult()
			kind := testCall
			kind.Cost, kind.Idempotent = 50, true
			r.Task = &Task{Kind: &kind, Organisation: &s.Organisations[0]}
			r.Attempts[0].SentAt = time.Duration(i) * time.Second
			r.Attempts[0].FirstByteAt = r.Attempts[0].SentAt + 100*time.Millisecond
			r.Attempts[0].LastByteAt = r.Attempts[0].FirstByteAt
			out = append(out, r)
		}
		return out
	}
	assert.Equal(t, len(Check(s, results(2), evidenceOfOneRun())), 0)
	violations := Check(s, results(3), evidenceOfOneRun())
	assert.Equal(t, len(violations), 1)
	assert.Equal(t, violations[0].Guarantee, GuaranteeRateLimit)
}
