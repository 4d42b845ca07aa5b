package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/cairnworks/cairnworks/verdict"
)

// errorBody is an error response in the format of the OpenAI API, extended by the fields of the
// verdict.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Ran is "not_run", "may_have_run" or "ran".
	Ran string `json:"ran"`
	// Retryable reports whether the same request can succeed later.
	Retryable bool `json:"retryable"`
	// RetryAfterMS is the time in milliseconds after which a retry can succeed.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

// statusByReason maps reasons to HTTP status codes. Other reasons map to 503 if the request has
// not run and to 502 if it may have run or has run.
var statusByReason = map[verdict.Reason]int{
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

func httpStatus(v *verdict.Verdict) int {
	if status, ok := statusByReason[v.Reason]; ok {
		return status
	}
	if v.Ran == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func (x *exchange) errorBody(v *verdict.Verdict) errorBody {
	errorType := "server_error"
	if status := httpStatus(v); status < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	if v.Reason == verdict.ReasonRateLimited {
		errorType = "rate_limit_error"
	}
	return errorBody{errorDetail{
		Message: v.Detail, Type: errorType, Code: string(v.Reason), Ran: v.Ran.String(),
		Retryable: v.Reason.Retryable(), RetryAfterMS: v.RetryAfter.Milliseconds(), RequestID: x.id,
	}}
}

// writeVerdict sends the verdict as an error response. If a stream has already started, it
// sends an error event instead.
func (x *exchange) writeVerdict(v *verdict.Verdict) {
	if w, ok := x.w.(*eventWriter); ok && w.headersSent {
		w.writeError(x.errorBody(v))
		return
	}
	header := x.w.Header()
	if v.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(v.RetryAfter.Seconds())), 10))
	}
	header.Set("X-Request-Ran", v.Ran.String())
	header.Set("Content-Type", "application/json")
	x.w.WriteHeader(httpStatus(v))
	_ = json.NewEncoder(x.w).Encode(x.errorBody(v)) // a write error means that the caller disconnected
}
