package load

import (
	"time"

	"github.com/cairnworks/cairnworks/stand"
)

// Outcome is how an attempt ended, as its caller sees it.
type Outcome string

// Outcomes.
const (
	// OutcomeWhole is an answer that claims to be complete.
	OutcomeWhole Outcome = "whole"
	// OutcomeRefused is an error response instead of an answer.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed is an answer that began and ended with an error event.
	OutcomeFailed Outcome = "failed"
	// OutcomeBroken is a connection that broke before the outcome.
	OutcomeBroken Outcome = "broken"
	// OutcomeCut is an answer that ended in good order without its terminator.
	OutcomeCut Outcome = "cut"
	// OutcomeUnreachable is a connection that did not come about.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeCancelled is an attempt that the caller gave up by plan.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeUnanswered is an attempt without any outcome within patience.
	OutcomeUnanswered Outcome = "unanswered"
)

// Attempt is one sending of a task and what came back. Times count from the start
// of the run.
type Attempt struct {
	Instance string
	Sent     time.Duration
	// First is when the first token or byte of an answer came; 0 means never.
	First time.Duration
	Last  time.Duration
	// Outcome and, unless the answer is whole, what its error said.
	Outcome    Outcome
	Status     int
	RequestID  string
	Reason     string
	Ran        string
	Retryable  bool
	RetryAfter time.Duration
	Detail     string
	// Tokens is the number of events with text.
	Tokens int
	Text   string
	// Finish is the finish reason; Terminators counts [DONE] lines, and
	// AfterTerminator is set when anything followed one.
	Finish          string
	Terminators     int
	AfterTerminator bool
	// Call is the echo of a plain service; Body its raw form.
	Call     *stand.PlainAnswer
	Body     string
	Replayed bool
}

// Result is a task with its attempts, in the order of sending.
type Result struct {
	Task *Task
	// Late is how long after its time the task was started.
	Late     time.Duration
	Attempts []*Attempt
	// Prompt hash and expected answer of a model request.
	PromptHash string
	WantText   string
	WantFinish string
	// PromptTokens is the prompt's length as the router estimates it.
	PromptTokens int
	// Of a call: its key, its query, its body's hash and its place in the counts
	// of a stand-in.
	IdempotencyKey string
	Query          string
	CallBodyHash   string
	CallKey        string
}

// final returns the attempt that decides what the task's caller got: the first
// whole answer, or else the last attempt.
func (r *Result) final() *Attempt {
	for _, a := range r.Attempts {
		if a.Outcome == OutcomeWhole {
			return a
		}
	}
	return r.Attempts[len(r.Attempts)-1]
}

// cancelled reports whether the caller gave the task up by plan.
func (r *Result) cancelled() bool { return r.final().Outcome == OutcomeCancelled }

// firstByte is the time from the task's scheduled arrival to the answer's first
// token or byte.
func (r *Result) firstByte() time.Duration { return r.final().First - r.Task.At }

// perToken is the mean time between tokens of a streamed answer.
func (r *Result) perToken() time.Duration {
	a := r.final()
	if !r.Task.Kind.Stream || a.Tokens < 2 {
		return 0
	}
	return (a.Last - a.First) / time.Duration(a.Tokens-1)
}

// good reports an answer within both latency targets of its kind.
func (r *Result) good() bool {
	return r.final().Outcome == OutcomeWhole &&
		r.firstByte() <= r.Task.Kind.FirstByte.Duration && r.perToken() <= r.Task.Kind.PerToken.Duration
}
