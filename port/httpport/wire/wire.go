// Package wire defines the JSON messages exchanged with external systems. They are
// shared by the adapters in port/httpport and the stand-ins in package stand, so that
// both sides use the same protocol. docs/PROTOCOLS.md specifies it for other
// implementations.
package wire

import (
	"time"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
)

// Header names of calls to upstreams.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderOrganisation = "X-Organisation"
	// HeaderIdempotencyKey is in lower case so that net/http does not treat requests
	// with it as idempotent and resend them; see httpport.plainService.
	HeaderIdempotencyKey = "idempotency-key"
)

// FramesContentType is the media type of a decode stream: one JSON frame per line.
const FramesContentType = "application/x-ndjson"

// Error codes. Adapters treat unknown codes as an ordinary refusal.
const (
	CodeKVExpired       = "kv_expired"
	CodeKVUnreachable   = "kv_unreachable"
	CodeSlotsFull       = "slots_full"
	CodeMemoryShort     = "memory_short"
	CodeQueueFull       = "queue_full"
	CodeWrongRole       = "wrong_role"
	CodeUnknownModel    = "unknown_model"
	CodeUnknownStream   = "unknown_stream"
	CodeStaleFence      = "stale_fence"
	CodeUnavailable     = "unavailable"
	CodeTooManyAppends  = "too_many_appends"
	CodeInvalid         = "invalid"
	CodeUnknownResource = "not_found"
)

// Error describes a refused call. Ran is "not_run" only if the refusing side has not
// started any part of the request.
type Error struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Ran          string `json:"ran"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Stream is port.StreamID with the owner's fields inlined.
type Stream struct {
	RequestID   string `json:"request_id"`
	Attempt     uint32 `json:"attempt"`
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address,omitempty"`
}

// FromStream converts id to its wire form.
func FromStream(id port.StreamID) Stream {
	return Stream{
		RequestID: id.RequestID, Attempt: id.Attempt,
		Instance: id.Owner.Instance, Incarnation: id.Owner.Incarnation, Address: id.Owner.Address,
	}
}

// ID converts s to a port.StreamID.
func (s Stream) ID() port.StreamID {
	owner := request.Holder{Instance: s.Instance, Incarnation: s.Incarnation, Address: s.Address}
	return port.StreamID{RequestID: s.RequestID, Attempt: s.Attempt, Owner: owner}
}

// PrefillRequest is the body of POST /v1/prefill.
type PrefillRequest struct {
	Stream
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	// Generated holds tokens that follow the prompt in the cache.
	Generated []string `json:"generated,omitempty"`
	Priority  int      `json:"priority"`
}

// PrefillResult is the response of POST /v1/prefill.
type PrefillResult struct {
	Handle       string `json:"handle"`
	Tokens       int    `json:"tokens"`
	CachedTokens int    `json:"cached_tokens"`
	ExpiresMS    int64  `json:"expires_ms"`
	Bytes        int64  `json:"bytes"`
}

// KV describes a KV cache held by a prefill engine. GET /v1/kv/{handle} returns it,
// DELETE also removes the cache from the engine.
type KV struct {
	Model  string `json:"model"`
	Tokens int    `json:"tokens"`
	// Generated is how many of the tokens follow the prompt.
	Generated int   `json:"generated,omitempty"`
	Bytes     int64 `json:"bytes"`
	// PromptHash represents the content of the cache.
	PromptHash string `json:"prompt_hash"`
	// Sample holds the first and last 512 bytes of the prompt.
	Sample string `json:"sample"`
}

// ImportRequest is the body of POST /v1/import.
type ImportRequest struct {
	Stream
	Model     string `json:"model"`
	Source    string `json:"source"`
	Handle    string `json:"handle"`
	MaxTokens int    `json:"max_tokens"`
}

// DecodeRequest is the body of POST /v1/decode.
type DecodeRequest struct {
	Stream
	Model      string `json:"model"`
	MaxTokens  int    `json:"max_tokens"`
	ResumeFrom int    `json:"resume_from"`
	Priority   int    `json:"priority"`
}

// Frame is one line of a decode stream; the fields are those of port.Frame.
type Frame struct {
	RequestID    string `json:"request_id"`
	Attempt      uint32 `json:"attempt"`
	Seq          int    `json:"seq"`
	Token        string `json:"token,omitempty"`
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// StreamState is one entry of GET /v1/streams.
type StreamState struct {
	Stream
	Phase  string `json:"phase"`
	Pieces int    `json:"pieces"`
}

// Load is the response of GET /v1/load; the fields are those of port.Load.
type Load struct {
	Role       string `json:"role"`
	Running    int    `json:"running"`
	Slots      int    `json:"slots"`
	PiecesUsed int    `json:"pieces_used"`
	Pieces     int    `json:"pieces"`
	Queued     int    `json:"queued"`
	// Loaded is omitted by engines that do not report what they have loaded.
	Loaded  []string `json:"loaded,omitempty"`
	Leaving bool     `json:"leaving"`
	Start   string   `json:"start"`
}

// CacheEvent is one entry of GET /v1/cache-events; the fields are those of
// port.CacheEvent.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Hash   uint64 `json:"hash"`
	Stored bool   `json:"stored"`
}

// Order is the body of POST /v1/orders; the fields are those of port.Order.
type Order struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
}

// Entry is a record to append; the fields are those of port.Entry.
type Entry struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

// AppendRequest is the body of POST /v1/streams/{stream}/records.
type AppendRequest struct {
	Entries []Entry `json:"entries"`
}

// AppendResult is the response of POST /v1/streams/{stream}/records.
type AppendResult struct {
	First uint64 `json:"first"`
}

// Record is an entry of a Page; the fields are those of port.Record.
type Record struct {
	Offset   uint64    `json:"offset"`
	ID       string    `json:"id"`
	Data     []byte    `json:"data"`
	Appended time.Time `json:"appended"`
}

// Page is the response of GET /v1/streams/{stream}/records.
type Page struct {
	Records []Record `json:"records"`
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
}

// Listed is an entry of the instance list; the fields are those of
// port.ListedInstance.
type Listed struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
}

// Weights is the response of GET /v1/weights/{model}.
type Weights struct {
	Bytes int64 `json:"bytes"`
}
