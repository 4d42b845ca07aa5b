package load

import (
	"net/http"

	"github.com/cairnworks/cairnworks/stand"
)

// checkEcho compares the echo of a plain service with the call.
func (c *checker) checkEcho() {
	a, r := c.attempt, c.result
	if a.Outcome != OutcomeWhole {
		return
	}
	if a.Status != http.StatusOK || a.Call == nil {
		c.broken(PromiseWhole, "status %d without the service's echo", a.Status)
		return
	}
	want := stand.PlainAnswer{
		Method: r.Task.Kind.Method, Path: r.Task.Kind.Path, Query: r.Query,
		Organisation: r.Task.Organisation.Name, IdempotencyKey: r.IdempotencyKey, BodyHash: r.CallBodyHash,
	}
	if *a.Call != want {
		c.broken(PromiseOwn, "the echo is of another call: %+v", *a.Call)
	}
}

// checkCall counts the runs of a call over all its attempts.
func (c *checker) checkCall() {
	r := c.result
	if r.Task.Kind.Form != FormCall {
		return
	}
	runs := c.evidence.After.callsByCall(r.CallKey)
	if r.IdempotencyKey != "" {
		runs = max(runs, c.evidence.After.callsByKey(r.IdempotencyKey))
	}
	if runs > 1 && !r.Task.Kind.Idempotent {
		c.broken(PromiseAtMostOnce, "the call with key %s ran %d times", r.IdempotencyKey, runs)
	}
	if runs == 0 && c.attempt.Outcome == OutcomeWhole && len(c.evidence.After.Missing) == 0 {
		c.broken(PromiseRan, "the call was answered but no upstream ran it")
	}
}
