package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/cairnworks/cairnworks/verdict"
)

// errorBody is the form that usual OpenAI clients parse, with the verdict added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Ran is "not_run", "may_have_run" or "ran".
	Ran string `json:"ran"`
	// Retryable tells whether the same request can succeed later.
	Retryable bool `json:"retryable"`
	// RetryAfterMS is the time after which asking again can help.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

// statuses maps reasons to HTTP statuses; others are 503 when the request has
// not run and 502 when it may have.
var statuses = map[verdict.Reason]int{
	verdict.ReasonBadRequest:            http.StatusBadRequest,
	verdict.ReasonBodyTooLarge:          http.StatusRequestEntityTooLarge,
	verdict.ReasonPromptTooLong:         http.StatusBadRequest,
	verdict.ReasonUnknownModel:          http.StatusNotFound,
	verdict.ReasonUnknownService:        http.StatusNotFound,
	verdict.ReasonUnauthenticated:       http.StatusUnauthorized,
	verdict.ReasonKeyWithdrawn:          http.StatusUnauthorized,
	verdict.ReasonForbidden:             http.StatusForbidden,
	verdict.ReasonMethodNotAllowed:      http.StatusMethodNotAllowed,
	verdict.ReasonIdempotencyKeyInvalid: http.StatusBadRequest,
	verdict.ReasonRateLimited:           http.StatusTooManyRequests,
	verdict.ReasonQuarantined:           http.StatusUnprocessableEntity,
	verdict.ReasonOutcomeUnknown:        http.StatusConflict,
	verdict.ReasonInProgress:            http.StatusConflict,
	verdict.ReasonIdempotencyKeyReused:  http.StatusUnprocessableEntity,
	verdict.ReasonRetentionOver:         http.StatusConflict,
	verdict.ReasonInternal:              http.StatusInternalServerError,
}

func statusOf(v *verdict.Verdict) int {
	if status, ok := statuses[v.Reason]; ok {
		return status
	}
	if v.Ran == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func (x *exchange) errorBody(v *verdict.Verdict) errorBody {
	kind := "server_error"
	if status := statusOf(v); status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	if v.Reason == verdict.ReasonRateLimited {
		kind = "rate_limit_error"
	}
	return errorBody{errorDetail{
		Message: v.Detail, Type: kind, Code: string(v.Reason), Ran: v.Ran.String(),
		Retryable: v.Reason.Retryable(), RetryAfterMS: v.RetryAfter.Milliseconds(), RequestID: x.id,
	}}
}

// writeVerdict sends a verdict as the whole response. An answer that has begun
// ends with an error event instead, which its writer has sent.
func (x *exchange) writeVerdict(v *verdict.Verdict) {
	if w, ok := x.w.(*eventWriter); ok && w.begun {
		w.fail(x.errorBody(v))
		return
	}
	header := x.w.Header()
	if v.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(v.RetryAfter.Seconds())), 10))
	}
	header.Set("X-Request-Ran", v.Ran.String())
	header.Set("Content-Type", "application/json")
	x.w.WriteHeader(statusOf(v))
	_ = json.NewEncoder(x.w).Encode(x.errorBody(v)) // a failed write means the caller is gone
}
