// Package verdict says what became of a request that was not answered: whether
// it may have run, why, and when asking again can help. Every refusal and every
// failure that leaves an instance carries one.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Ran tells whether an upstream may have executed a request.
type Ran uint8

const (
	// NotRun means that no upstream has begun the request and none will.
	NotRun Ran = iota
	// MayHaveRun means that bytes of the request may have reached an upstream
	// and its answer is not known.
	MayHaveRun
	// HasRun means that an upstream has executed the request, though its answer
	// could not be delivered whole.
	HasRun
)

// String returns the wire form used in error bodies and logs.
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	default:
		return "ran"
	}
}

// Verdict is the final outcome of a request that got no whole answer. It is an
// error, so that it travels through ordinary returns; From finds it again.
type Verdict struct {
	// Ran says whether the request may have run.
	Ran Ran
	// Reason is the cause, also used as a metric tag.
	Reason Reason
	// RetryAfter is the time after which asking again can help. Zero means that
	// asking again will not help or that no estimate exists; see Reason.Retryable.
	RetryAfter time.Duration
	// Detail is a sentence for people. It never contains a key.
	Detail string
	// Cause is the underlying error, if any. It is logged, never sent.
	Cause error
}

// Refuse returns a verdict for a request that has not run.
func Refuse(reason Reason, retryAfter time.Duration, format string, args ...any) *Verdict {
	return &Verdict{Ran: NotRun, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Fail returns a verdict for a request that was handed to an upstream.
func Fail(ran Ran, reason Reason, cause error, format string, args ...any) *Verdict {
	return &Verdict{Ran: ran, Reason: reason, Cause: cause, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (v *Verdict) Error() string {
	return fmt.Sprintf("%s (%s): %s", v.Reason, v.Ran, v.Detail)
}

// OrNil returns the verdict as an error that is nil for no verdict, where a nil
// pointer in an error would not be.
func (v *Verdict) OrNil() error {
	if v == nil {
		return nil
	}
	return v
}

// Unwrap returns the cause.
func (v *Verdict) Unwrap() error { return v.Cause }

// From finds the verdict in err. An error without one becomes MayHaveRun with
// ReasonInternal: claiming "not run" without knowing it could be false.
func From(err error) *Verdict {
	if err == nil {
		return nil
	}
	var v *Verdict
	if errors.As(err, &v) {
		return v
	}
	return Fail(MayHaveRun, ReasonInternal, err, "internal error")
}
