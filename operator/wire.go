package operator

import (
	"encoding/json"
	"net/http"

	"github.com/cairnworks/cairnworks/object"
)

// Code is an error code of a refused request. Released codes do not change.
type Code string

// Error codes of refused requests.
const (
	CodeUnauthorized   Code = "unauthorized"
	CodeBadRequest     Code = "bad_request"
	CodeNotFound       Code = "not_found"
	CodeInvalidSet     Code = "invalid_set"
	CodeStaleBase      Code = "stale_base"
	CodeLostRace       Code = "lost_race"
	CodeUnanchored     Code = "unanchored"
	CodeNotPublished   Code = "not_published"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeInternal       Code = "internal"
)

// Error is the body of every error response.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Current is the version in force. It is set for error codes of publishing.
	Current uint64 `json:"current,omitempty"`
	// RecordID is the id of the record that may have been written.
	RecordID string         `json:"record_id,omitempty"`
	Faults   []object.Fault `json:"faults,omitempty"`
}

// Error implements error.
func (e Error) Error() string { return string(e.Code) + ": " + e.Message }

// LevelBody is the request and response body of POST /log-level.
type LevelBody struct {
	Level string `json:"level"`
}

// PublishResult is the response body of POST /config.
type PublishResult struct {
	Version uint64 `json:"version"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, e Error) { writeJSON(w, status, e) }
