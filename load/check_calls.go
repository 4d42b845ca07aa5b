package load

import (
	"net/http"

	"github.com/cairnworks/cairnworks/stand"
)

// checkEcho compares the request echoed by a plain service with the call.
func (c *checker) checkEcho() {
	a, r := c.attempt, c.result
	if a.Outcome != OutcomeComplete {
		return
	}
	if a.Status != http.StatusOK || a.Echo == nil {
		c.addViolation(GuaranteeCompleteAnswer, "status %d without the service's echo", a.Status)
		return
	}
	want := stand.PlainAnswer{
		Method: r.Task.Kind.Method, Path: r.Task.Kind.Path, Query: r.Query,
		Organisation: r.Task.Organisation.Name, IdempotencyKey: r.IdempotencyKey, BodyHash: r.CallBodyHash,
	}
	if *a.Echo != want {
		c.addViolation(GuaranteeOwnAnswer, "the echo belongs to another call: %+v", *a.Echo)
	}
}

// checkCallRuns verifies the number of runs of a call over all its attempts.
func (c *checker) checkCallRuns() {
	r := c.result
	if r.Task.Kind.Form != FormCall {
		return
	}
	runs := c.evidence.After.callsByCallKey(r.CallKey)
	if r.IdempotencyKey != "" {
		runs = max(runs, c.evidence.After.callsByIdempotencyKey(r.IdempotencyKey))
	}
	if runs > 1 && !r.Task.Kind.Idempotent {
		c.addViolation(GuaranteeAtMostOnce, "the call with key %s ran %d times", r.IdempotencyKey, runs)
	}
	if runs == 0 && c.attempt.Outcome == OutcomeComplete && len(c.evidence.After.Unreachable) == 0 {
		c.addViolation(GuaranteeExecuted, "the call was answered but no upstream ran it")
	}
}
