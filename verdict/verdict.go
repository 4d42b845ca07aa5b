// Package verdict describes why a request got no complete response: whether an upstream may
// have executed it, the reason, and when a retry can succeed. Every refusal and failure that
// an instance returns contains a Verdict.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Ran states whether an upstream has executed a request, as far as is known.
type Ran uint8

const (
	// NotRun means that no upstream has started the request and none will.
	NotRun Ran = iota
	// MayHaveRun means that bytes of the request may have reached an upstream and the
	// outcome is unknown.
	MayHaveRun
	// HasRun means that an upstream has executed the request, but the response could not be
	// delivered completely.
	HasRun
)

// String returns the value used in error bodies and logs.
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

// Verdict is the final outcome of a request that got no complete response. It implements
// error; From extracts it from a wrapped error.
type Verdict struct {
	// Ran states whether the request may have been executed.
	Ran Ran
	// Unsent is set if nothing was sent to the upstream that the request or the call was meant for.
	Unsent bool
	// Reason is the cause. It is also used as a metric tag.
	Reason Reason
	// RetryAfter is the time after which a retry can succeed. Zero means that a retry will
	// not succeed or that no estimate exists; see Reason.Retryable.
	RetryAfter time.Duration
	// RetryExpected is set if RetryAfter is when capacity is expected: an earlier retry would fail
	// as well.
	RetryExpected bool
	// Detail is a human-readable explanation. It never contains an API key.
	Detail string
	// Cause is the underlying error, if any. It is logged but never sent to callers.
	Cause error
}

// Refuse returns a Verdict for a request that has not been executed.
func Refuse(reason Reason, retryAfter time.Duration, format string, args ...any) *Verdict {
	return &Verdict{Ran: NotRun, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Fail returns a Verdict for a request that was sent to an upstream.
func Fail(ran Ran, reason Reason, cause error, format string, args ...any) *Verdict {
	return &Verdict{Ran: ran, Reason: reason, Cause: cause, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (v *Verdict) Error() string {
	return fmt.Sprintf("%s (%s): %s", v.Reason, v.Ran, v.Detail)
}

// OrNil returns v as an error, and a nil error if v is nil. A nil *Verdict stored in an error
// would compare as not nil.
func (v *Verdict) OrNil() error {
	if v == nil {
		return nil
	}
	return v
}

// Unwrap returns the cause.
func (v *Verdict) Unwrap() error { return v.Cause }

// From returns the Verdict in err's chain. An error without one becomes MayHaveRun with
// ReasonInternal, because reporting NotRun for an unknown error could be wrong.
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
