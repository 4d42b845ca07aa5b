package order

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/verdict"
)

// UpstreamFinder looks up an upstream of the current object set by name.
type UpstreamFinder func(name string) (object.Upstream, bool)

// CommandBody is the body of POST /orders.
type CommandBody struct {
	Upstream string `json:"upstream"`
	// Kind is "load_model", "load_adapter" or "set_role".
	Kind string `json:"kind"`
	Name string `json:"name"`
	// From is the offset of the view on which the operator bases the order.
	From     *uint64 `json:"from"`
	Operator string  `json:"operator"`
	// WaitMS bounds the wait for an earlier order's lease; 0 means 30 s.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// OutcomeBody is the body of a successful response to POST /orders.
type OutcomeBody struct {
	Fence     uint64 `json:"fence"`
	Confirmed bool   `json:"confirmed"`
}

// ViewBody is the body of a successful response to GET /orders/{upstream}.
type ViewBody struct {
	From   uint64     `json:"from"`
	Latest *ClaimBody `json:"latest,omitempty"`
}

// ClaimBody is the last accepted order of an upstream.
type ClaimBody struct {
	Fence    uint64 `json:"fence"`
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Operator string `json:"operator"`
	Instance string `json:"instance"`
	// Ran is empty while no result is recorded: the order is in progress, or its holder
	// has failed.
	Ran       string `json:"ran,omitempty"`
	Confirmed bool   `json:"confirmed"`
}

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Code         verdict.Reason `json:"code"`
	Ran          string         `json:"ran"`
	Message      string         `json:"message"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
}

// httpStatus maps a reason to an HTTP status. Reasons that are not listed come from the
// upstream and map to 502.
func httpStatus(reason verdict.Reason) int {
	switch reason {
	case verdict.ReasonBadRequest:
		return http.StatusBadRequest
	case verdict.ReasonNoUpstream:
		return http.StatusNotFound
	case verdict.ReasonOrderConflict:
		return http.StatusConflict
	case verdict.ReasonLogUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}

func writeVerdict(w http.ResponseWriter, v *verdict.Verdict) {
	writeJSON(w, httpStatus(v.Reason), ErrorBody{
		Code: v.Reason, Ran: v.Ran.String(), Message: v.Detail, RetryAfterMS: v.RetryAfter.Round(time.Millisecond).Milliseconds(),
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
