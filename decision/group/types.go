package group

import (
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

// Request is one attempt of one request that asks for a place.
type Request struct {
	// ID is unique among waiting requests. A second Submit with the ID of a
	// waiting request replaces that request.
	ID           string
	Organisation string
	KeyID        string
	Class        request.Class
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens is the most output tokens of the answer.
	MaxTokens int
	// PrefixHashes are hashes of the prompt's leading blocks, shortest first.
	PrefixHashes []uint64
	Fingerprint  uint64
	Arrived      time.Time
	// Deadline is when the first byte stops being useful.
	Deadline time.Time
	// Attempt counts from 1.
	Attempt int
	// Avoid names upstreams that the request has failed on.
	Avoid []string
	// DataCentre of the instance that asks.
	DataCentre string
}

// Grant is a decode slot, memory, link time and a prefill place for one request.
type Grant struct {
	ID        uint64
	RequestID string
	// Prefill is empty for plain services.
	Prefill string
	Decode  string
	// Pieces of the decode upstream's memory that are held.
	Pieces int
	// TransferAfter is when both links are free for the transfer. Zero for plain
	// services.
	TransferAfter time.Time
	// Queued is how long the request waited for the grant.
	Queued time.Duration
}

// Decision answers one request: exactly one of Grant and Refusal is set.
type Decision struct {
	RequestID string
	Grant     *Grant
	Refusal   *verdict.Verdict
}

// OutcomeKind is how an attempt ended.
type OutcomeKind uint8

// Ways an attempt ends; the values are those of peer.v1 Outcome.Kind.
const (
	OutcomeDone OutcomeKind = iota + 1
	OutcomeCancelled
	OutcomePrefillFailed
	OutcomeTransferFailed
	OutcomeDecodeFailed
	OutcomeUpstreamCrashed
)

// Outcome is what became of a grant.
type Outcome struct {
	Kind OutcomeKind
	// Prefill is the duration of the prefill call. Zero if unknown.
	Prefill time.Duration
	// FirstToken is the time from the grant to the first token. Zero if unknown.
	FirstToken time.Duration
	// Decode is the time from the first to the last token, for a plain service
	// that of the whole call. Zero if unknown.
	Decode         time.Duration
	OutputTokens   int
	Fingerprint    uint64
	FailedUpstream string
}

// Upstream is one back end of the service as the object set gives it.
type Upstream struct {
	Name       string
	Role       object.Role
	DataCentre string
	Slots      int
	// Pieces of engine memory; 0 means that memory does not limit.
	Pieces int
	// PieceTokens is the size of a piece; 0 means 2048.
	PieceTokens int
	// LinkBytesPerSecond is the rate of the transfer link; 0 means unlimited.
	LinkBytesPerSecond int64
	// Leaving upstreams get no new work.
	Leaving bool
}

// LoadReport is an upstream's lagging report of itself.
type LoadReport struct {
	Running    int
	Slots      int
	PiecesUsed int
	Pieces     int
	Queued     int
	Leaving    bool
}

// ActiveGrant is a grant that another scheduler gave and an instance still uses.
type ActiveGrant struct {
	ID           uint64
	RequestID    string
	Organisation string
	Prefill      string
	Decode       string
	Pieces       int
}

// Status is the scheduler's view of its queue and its upstreams.
type Status struct {
	QueuedInteractive int
	QueuedDeferrable  int
	Granted           int
	Upstreams         []UpstreamStatus
}

// UpstreamStatus is the view of one upstream, in the order of SetUpstreams.
type UpstreamStatus struct {
	Name string
	Role object.Role
	// Running counts this scheduler's grants and believed foreign requests.
	Running    int
	Slots      int
	PiecesUsed int
	Pieces     int
	// Health is the weight of SetHealth.
	Health  float64
	Leaving bool
}
