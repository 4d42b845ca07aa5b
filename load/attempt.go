package load

import (
	"time"

	"github.com/cairnworks/cairnworks/stand"
)

// Outcome is how an attempt ended, as observed by the caller.
type Outcome string

// Outcomes.
const (
	// OutcomeComplete is an answer that claims to be complete.
	OutcomeComplete Outcome = "whole"
	// OutcomeRefused is an error response in place of an answer.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed is a streamed answer that ended with an error event.
	OutcomeFailed Outcome = "failed"
	// OutcomeDisconnected is a connection that was lost before the outcome.
	OutcomeDisconnected Outcome = "broken"
	// OutcomeTruncated is an answer whose connection closed cleanly before its terminator.
	OutcomeTruncated Outcome = "cut"
	// OutcomeUnreachable is a connection that could not be established.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeCancelled is an attempt that the caller cancelled on schedule.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeTimedOut is an attempt without an outcome within the request timeout.
	OutcomeTimedOut Outcome = "unanswered"
)

// Attempt is one transmission of a task's request and its response. Times are relative to the start
// of the run.
type Attempt struct {
	Instance string
	SentAt   time.Duration
	// FirstByteAt is when the first token or byte of an answer arrived; 0 means never.
	FirstByteAt time.Duration
	LastByteAt  time.Duration
	// The fields from Reason to Detail hold the error of an attempt without a complete answer.
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
	// Terminators counts [DONE] events; AfterTerminator is set if an event followed one.
	FinishReason    string
	Terminators     int
	AfterTerminator bool
	// Echo is the request as echoed by a plain service; Body is the raw response body.
	Echo     *stand.PlainAnswer
	Body     string
	Replayed bool
}

// Result is a task with its attempts: the first and its retries, then those of a resend.
type Result struct {
	Task *Task
	// StartDelay is how long after its arrival time the task was started.
	StartDelay time.Duration
	Attempts   []*Attempt
	// PromptHash, WantText and WantFinish are the prompt's hash and the expected answer of a model
	// request.
	PromptHash string
	WantText   string
	WantFinish string
	// PromptTokens is the prompt length as estimated by the router.
	PromptTokens int
	// The remaining fields describe a call. CallKey is its key in the counters of a stand-in.
	IdempotencyKey string
	Query          string
	CallBodyHash   string
	CallKey        string
}

// final returns the attempt that determines the task's outcome: the first with a complete answer,
// or else the last one.
func (r *Result) final() *Attempt {
	for _, a := range r.Attempts {
		if a.Outcome == OutcomeComplete {
			return a
		}
	}
	return r.Attempts[len(r.Attempts)-1]
}

// cancelled reports whether the caller cancelled the task on schedule.
func (r *Result) cancelled() bool { return r.final().Outcome == OutcomeCancelled }

// firstByteLatency is the time from the task's scheduled arrival to the first token or byte of the
// answer.
func (r *Result) firstByteLatency() time.Duration { return r.final().FirstByteAt - r.Task.Arrival }

// meanTokenInterval is the mean time between tokens of a streamed answer, or 0 for other answers.
func (r *Result) meanTokenInterval() time.Duration {
	a := r.final()
	if !r.Task.Kind.Stream || a.Tokens < 2 {
		return 0
	}
	return (a.LastByteAt - a.FirstByteAt) / time.Duration(a.Tokens-1)
}

// meetsTargets reports whether the answer is complete and within both latency targets of its kind.
func (r *Result) meetsTargets() bool {
	return r.final().Outcome == OutcomeComplete &&
		r.firstByteLatency() <= r.Task.Kind.FirstByteTarget.Duration && r.meanTokenInterval() <= r.Task.Kind.PerTokenTarget.Duration
}
