package operator

import (
	"encoding/json"
	"net/http"

	"github.com/cairnworks/cairnworks/object"
)

// Code is the enumerated cause of a refused request. Its text does not change
// once released.
type Code string

// Codes of refused requests.
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

// Error is the body of every answer that is not a success.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Current is the version in force, for codes of publishing.
	Current uint64 `json:"current,omitempty"`
	// RecordID names the record that may have been written.
	RecordID string         `json:"record_id,omitempty"`
	Faults   []object.Fault `json:"faults,omitempty"`
}

// Error implements error.
func (e Error) Error() string { return string(e.Code) + ": " + e.Message }

// LevelBody is the body of POST /log-level and of its answer.
type LevelBody struct {
	Level string `json:"level"`
}

// Published is the answer of POST /config.
type Published struct {
	Version uint64 `json:"version"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, e Error) { writeJSON(w, status, e) }
