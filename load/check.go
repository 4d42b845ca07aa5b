package load

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cairnworks/cairnworks/stand"
	"github.com/cairnworks/cairnworks/verdict"
)

// Promise names what a violation breaks.
type Promise string

// Promises that are checked.
const (
	// PromiseWhole: an answer that claims to be complete is.
	PromiseWhole Promise = "whole answer"
	// PromiseOwn: every token and echo is of the caller's own request.
	PromiseOwn Promise = "own answer"
	// PromiseOnce: no token, terminator or outcome comes twice.
	PromiseOnce Promise = "answered once"
	// PromiseOutcome: each request gets an outcome, and none is cut off silently.
	PromiseOutcome Promise = "outcome for every request"
	// PromiseNotRun: "not run" is said only of what did not run.
	PromiseNotRun Promise = "not run is true"
	// PromiseAtMostOnce: a call that may not be repeated runs at most once.
	PromiseAtMostOnce Promise = "at most once"
	// PromiseRan: a call that was answered has run.
	PromiseRan Promise = "answered calls have run"
	// PromiseKey: no upstream sees a caller's key.
	PromiseKey Promise = "no upstream sees a key"
	// PromiseMemory: engines hold nothing for requests that are gone.
	PromiseMemory Promise = "engine memory is freed"
	// PromiseRate: no organisation gets more than its rate and burst.
	PromiseRate Promise = "rate and burst"
)

// Violation is a broken promise, with the request that shows it.
type Violation struct {
	Promise Promise `json:"promise"`
	Kind    string  `json:"kind,omitempty"`
	Task    int     `json:"task"`
	Request string  `json:"request,omitempty"`
	Detail  string  `json:"detail"`
}

// String names the promise, the request that shows it, if it is one, and why.
func (v Violation) String() string {
	if v.Task < 0 {
		return fmt.Sprintf("%s: %s", v.Promise, v.Detail)
	}
	return fmt.Sprintf("%s: %s %d, request %s: %s", v.Promise, v.Kind, v.Task, v.Request, v.Detail)
}

// Check returns every broken promise that results and evidence show.
func Check(s *Scenario, results []*Result, evidence Evidence) []Violation {
	c := &checker{scenario: s, evidence: evidence}
	for _, r := range results {
		for _, a := range r.Attempts {
			c.result, c.attempt = r, a
			c.checkAttempt()
		}
		c.attempt = r.final()
		c.checkCall()
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

func (c *checker) broken(promise Promise, format string, args ...any) {
	v := Violation{Promise: promise, Task: -1, Detail: fmt.Sprintf(format, args...)}
	if c.result != nil {
		v.Kind, v.Task = c.result.Task.Kind.Name, c.result.Task.Index
		v.Request = c.attempt.RequestID
		v.Detail += " (through " + c.attempt.Instance + ")"
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

// checkOutcome looks at how the attempt ended. A connection may break only when
// the scenario killed or paused the instance.
func (c *checker) checkOutcome() {
	a := c.attempt
	switch a.Outcome {
	case OutcomeCut:
		c.broken(PromiseOutcome, "the answer ended without terminator or error after %d tokens", a.Tokens)
	case OutcomeBroken, OutcomeUnanswered:
		if !c.scenario.mayBreak(a.Instance) {
			c.broken(PromiseOutcome, "%s after %d tokens: %s", a.Outcome, a.Tokens, a.Detail)
		}
	case OutcomeWhole:
		if a.Reason != "" {
			c.broken(PromiseOnce, "the answer claims to be complete and to have failed with %s", a.Reason)
		}
	}
	if a.Terminators > 1 || a.AfterTerminator {
		c.broken(PromiseOnce, "something followed the terminator")
	}
}

// mayBreak reports whether the scenario takes an instance away without warning.
func (s *Scenario) mayBreak(instance string) bool {
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
		runs = c.evidence.After.callsByRequest(a.RequestID)
	}
	if runs > 0 {
		c.broken(PromiseNotRun, "refused with %s as not run, but upstreams ran it %d times", a.Reason, runs)
	}
	if a.Tokens > 0 {
		c.broken(PromiseNotRun, "refused with %s as not run after %d tokens", a.Reason, a.Tokens)
	}
}

// checkText compares what came with the expected answer. What came of an answer
// that is not whole must be a beginning of it.
func (c *checker) checkText() {
	a, r := c.attempt, c.result
	if a.Outcome == OutcomeWhole && a.Text == r.WantText && a.Finish == r.WantFinish {
		return
	}
	if a.Outcome != OutcomeWhole && strings.HasPrefix(r.WantText, a.Text) {
		return
	}
	promise, detail := diagnose(r, a)
	c.broken(promise, "%s", detail)
}

// diagnose says what is wrong with a text; each token names its prompt and place.
func diagnose(r *Result, a *Attempt) (Promise, string) {
	want := 0
	for _, token := range strings.Fields(a.Text) {
		hash, place, ok := strings.Cut(token, ".")
		index, err := strconv.Atoi(place)
		switch {
		case !ok || err != nil:
			return PromiseWhole, fmt.Sprintf("unreadable token %q", token)
		case hash != r.PromptHash:
			return PromiseOwn, fmt.Sprintf("token %q is of another prompt than %s", token, r.PromptHash)
		case index < want:
			return PromiseOnce, fmt.Sprintf("token %d came again after token %d", index, want-1)
		case index > want:
			return PromiseWhole, fmt.Sprintf("token %d came where token %d was due", index, want)
		}
		want++
	}
	return PromiseWhole, fmt.Sprintf("the answer has %d tokens and finish reason %q; expected %d and %q",
		want, a.Finish, len(strings.Fields(r.WantText)), r.WantFinish)
}

// checkKeys looks for callers' keys in the headers that upstreams saw last.
func (c *checker) checkKeys() {
	for address, calls := range c.evidence.After.seen() {
		for _, call := range calls {
			if c.showsKey(call) {
				c.broken(PromiseKey, "%s saw a key at %s %s", address, call.Method, call.Path)
			}
		}
	}
}

func (c *checker) showsKey(call stand.SeenCall) bool {
	for _, values := range call.Header {
		for _, o := range c.scenario.Organisations {
			if o.Key != "" && strings.Contains(strings.Join(values, " "), o.Key) {
				return true
			}
		}
	}
	return false
}

// checkMemory looks at what engines hold some time after the last request, and at
// what only their own timeout has freed.
func (c *checker) checkMemory() {
	if !c.evidence.Settled {
		for address, engine := range c.evidence.After.Engines {
			if engine.Held > 0 {
				c.broken(PromiseMemory, "%s still holds %d streams in %d pieces %s after the last request",
					address, engine.Held, engine.PiecesUsed, c.scenario.Settle)
			}
		}
	}
	for address, engine := range c.evidence.After.Engines {
		freed := engine.OrphansFreed
		if before := c.evidence.Before.Engines[address]; before != nil {
			freed -= before.OrphansFreed
		}
		if freed > 0 {
			c.broken(PromiseMemory, "%s freed %d streams only by its own timeout", address, freed)
		}
	}
}
