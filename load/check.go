package load

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cairnworks/cairnworks/stand"
	"github.com/cairnworks/cairnworks/verdict"
)

// Guarantee names a guarantee of the router in reports.
type Guarantee string

// Guarantees that Check verifies.
const (
	// GuaranteeCompleteAnswer: an answer that is marked as complete is complete.
	GuaranteeCompleteAnswer Guarantee = "whole answer"
	// GuaranteeOwnAnswer: every token and echo belongs to the caller's own request.
	GuaranteeOwnAnswer Guarantee = "own answer"
	// GuaranteeNoDuplicate: no token, terminator or outcome is delivered twice.
	GuaranteeNoDuplicate Guarantee = "answered once"
	// GuaranteeOutcome: each request gets an outcome, and no answer is truncated without an error.
	GuaranteeOutcome Guarantee = "outcome for every request"
	// GuaranteeNotRun: only requests that did not run are reported as "not run".
	GuaranteeNotRun Guarantee = "not run is true"
	// GuaranteeAtMostOnce: a call that is not idempotent runs at most once.
	GuaranteeAtMostOnce Guarantee = "at most once"
	// GuaranteeExecuted: an answered call has run.
	GuaranteeExecuted Guarantee = "answered calls have run"
	// GuaranteeKeySecrecy: no upstream receives a caller's key.
	GuaranteeKeySecrecy Guarantee = "no upstream sees a key"
	// GuaranteeMemoryFreed: engines hold no memory for requests that have ended.
	GuaranteeMemoryFreed Guarantee = "engine memory is freed"
	// GuaranteeRateLimit: no organisation exceeds its rate and burst.
	GuaranteeRateLimit Guarantee = "rate and burst"
)

// Violation is a violated guarantee with the request that shows it; Task is -1 if it is not due to
// a single request.
type Violation struct {
	Guarantee Guarantee `json:"promise"`
	Kind      string    `json:"kind,omitempty"`
	Task      int       `json:"task"`
	Request   string    `json:"request,omitempty"`
	Detail    string    `json:"detail"`
}

// String returns a description of the violation on one line.
func (v Violation) String() string {
	if v.Task < 0 {
		return fmt.Sprintf("%s: %s", v.Guarantee, v.Detail)
	}
	return fmt.Sprintf("%s: %s %d, request %s: %s", v.Guarantee, v.Kind, v.Task, v.Request, v.Detail)
}

// Check returns all violations that results and evidence show.
func Check(s *Scenario, results []*Result, evidence Evidence) []Violation {
	c := &checker{scenario: s, evidence: evidence}
	for _, r := range results {
		for _, a := range r.Attempts {
			c.result, c.attempt = r, a
			c.checkAttempt()
		}
		c.attempt = r.final()
		c.checkCallRuns()
	}
	c.result, c.attempt = nil, nil
	c.checkKeys()
	c.checkMemory()
	c.checkRates(results)
	return c.violations
}

type checker struct {
	scenario   *Scenario
	evidence   Evidence
	result     *Result
	attempt    *Attempt
	violations []Violation
}

func (c *checker) addViolation(guarantee Guarantee, format string, args ...any) {
	v := Violation{Guarantee: guarantee, Task: -1, Detail: fmt.Sprintf(format, args...)}
	if c.result != nil {
		v.Kind, v.Task = c.result.Task.Kind.Name, c.result.Task.Index
		v.Request = c.attempt.RequestID
		v.Detail += " (via " + c.attempt.Instance + ")"
	}
	c.violations = append(c.violations, v)
}

func (c *checker) checkAttempt() {
	c.checkOutcome()
	c.checkNotRun()
	if c.result.Task.Kind.Form == FormCall {
		c.checkEcho()
		return
	}
	c.checkText()
}

// checkOutcome verifies how the attempt ended. A connection may be lost only if the scenario kills
// or pauses the instance.
func (c *checker) checkOutcome() {
	a := c.attempt
	switch a.Outcome {
	case OutcomeTruncated:
		c.addViolation(GuaranteeOutcome, "the stream ended after %d tokens without a terminator or an error", a.Tokens)
	case OutcomeDisconnected, OutcomeTimedOut:
		if !c.scenario.mayDropConnections(a.Instance) {
			c.addViolation(GuaranteeOutcome, "%s after %d tokens: %s", a.Outcome, a.Tokens, a.Detail)
		}
	case OutcomeComplete:
		if a.Reason != "" {
			c.addViolation(GuaranteeNoDuplicate, "the answer is marked as complete and as failed with %s", a.Reason)
		}
	}
	if a.Terminators > 1 || a.AfterTerminator {
		c.addViolation(GuaranteeNoDuplicate, "an event followed the terminator")
	}
}

// mayDropConnections reports whether the scenario kills or pauses an instance.
func (s *Scenario) mayDropConnections(instance string) bool {
	for _, fault := range s.Faults {
		if fault.Process == instance && (fault.Signal == "KILL" || fault.Signal == "STOP") {
			return true
		}
	}
	return false
}

func (c *checker) checkNotRun() {
	a := c.attempt
	if a.Ran != verdict.NotRun.String() {
		return
	}
	runs := c.evidence.After.engineRuns(a.RequestID)
	if c.result.Task.Kind.Form == FormCall {
		runs = c.evidence.After.callsByRequestID(a.RequestID)
	}
	if runs > 0 {
		c.addViolation(GuaranteeNotRun, "refused with %s as not run, but run %d times by upstreams", a.Reason, runs)
	}
	if a.Tokens > 0 {
		c.addViolation(GuaranteeNotRun, "refused with %s as not run after %d tokens", a.Reason, a.Tokens)
	}
}

// checkText compares the received text with the expected answer. The text of an incomplete answer
// must be a prefix of it.
func (c *checker) checkText() {
	a, r := c.attempt, c.result
	if a.Outcome == OutcomeComplete && a.Text == r.WantText && a.FinishReason == r.WantFinish {
		return
	}
	if a.Outcome != OutcomeComplete && strings.HasPrefix(r.WantText, a.Text) {
		return
	}
	guarantee, detail := diagnoseText(r, a)
	c.addViolation(guarantee, "%s", detail)
}

// diagnoseText finds the first error in a text. Each token of a stand-in's answer consists of the
// prompt's hash and the token's index.
func diagnoseText(r *Result, a *Attempt) (Guarantee, string) {
	want := 0
	for _, token := range strings.Fields(a.Text) {
		hash, place, ok := strings.Cut(token, ".")
		index, err := strconv.Atoi(place)
		switch {
		case !ok || err != nil:
			return GuaranteeCompleteAnswer, fmt.Sprintf("malformed token %q", token)
		case hash != r.PromptHash:
			return GuaranteeOwnAnswer, fmt.Sprintf("token %q does not belong to prompt %s", token, r.PromptHash)
		case index < want:
			return GuaranteeNoDuplicate, fmt.Sprintf("token %d was repeated after token %d", index, want-1)
		case index > want:
			return GuaranteeCompleteAnswer, fmt.Sprintf("received token %d, expected token %d", index, want)
		}
		want++
	}
	return GuaranteeCompleteAnswer, fmt.Sprintf("the answer has %d tokens and finish reason %q; expected %d and %q",
		want, a.FinishReason, len(strings.Fields(r.WantText)), r.WantFinish)
}

// checkKeys searches the headers of the upstreams' recent calls for callers' keys.
func (c *checker) checkKeys() {
	for address, calls := range c.evidence.After.recentCalls() {
		for _, call := range calls {
			if c.containsKey(call) {
				c.addViolation(GuaranteeKeySecrecy, "%s received a caller's key in %s %s", address, call.Method, call.Path)
			}
		}
	}
}

func (c *checker) containsKey(call stand.SeenCall) bool {
	for _, values := range call.Header {
		for _, o := range c.scenario.Organisations {
			if o.Key != "" && strings.Contains(strings.Join(values, " "), o.Key) {
				return true
			}
		}
	}
	return false
}

// checkMemory verifies that engines hold no streams SettleTimeout after the last request, and that
// none was freed by the engine's own timeout.
func (c *checker) checkMemory() {
	if !c.evidence.Idle {
		for address, engine := range c.evidence.After.Engines {
			if engine.Held > 0 {
				c.addViolation(GuaranteeMemoryFreed, "%s holds %d streams in %d pieces %s after the last request",
					address, engine.Held, engine.PiecesUsed, c.scenario.SettleTimeout)
			}
		}
	}
	for address, engine := range c.evidence.After.Engines {
		freed := engine.OrphansFreed
		if before := c.evidence.Before.Engines[address]; before != nil {
			freed -= before.OrphansFreed
		}
		if freed > 0 {
			c.addViolation(GuaranteeMemoryFreed, "%s freed %d streams by its own timeout", address, freed)
		}
	}
}
