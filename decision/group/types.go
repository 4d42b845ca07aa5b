package group

import (
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

// Request is one attempt of one request to be scheduled.
type Request struct {
	// ID is unique among waiting requests. A second Submit with the ID of a
	// waiting request replaces that request.
	ID           string
	Organisation string
	KeyID        string
	Class        request.Class
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens limits the output tokens of the answer.
	MaxTokens int
	// PrefixHashes are hashes of the prompt's prefixes in whole blocks, shortest
	// first.
	PrefixHashes []uint64
	Fingerprint  uint64
	Arrived      time.Time
	// Deadline is the time after which a first byte is no longer useful.
	Deadline time.Time
	// Attempt counts from 1.
	Attempt int
	// Avoid names upstreams on which earlier attempts failed.
	Avoid []string
	// DataCentre of the instance that sends the request.
	DataCentre string
}

// Grant reserves a decode slot, memory, link time and a prefill slot for a request.
type Grant struct {
	ID        uint64
	RequestID string
	// Prefill is empty for plain services.
	Prefill string
	Decode  string
	// Pieces of the decode upstream's memory that are reserved.
	Pieces int
	// TransferAfter is the earliest time at which the transfer may start, because
	// both links are free from then on. Zero for plain services.
	TransferAfter time.Time
	// Queued is how long the request waited for the grant.
	Queued time.Duration
}

// Decision is the result for one request: exactly one of Grant and Refusal is set.
type Decision struct {
	RequestID string
	Grant     *Grant
	Refusal   *verdict.Verdict
}

// OutcomeKind tells how an attempt ended.
type OutcomeKind uint8

// The values are those of peer.v1 Outcome.Kind.
const (
	OutcomeDone OutcomeKind = iota + 1
	OutcomeCancelled
	OutcomePrefillFailed
	OutcomeTransferFailed
	OutcomeDecodeFailed
	OutcomeUpstreamCrashed
)

// Outcome is the result of a granted attempt.
type Outcome struct {
	Kind OutcomeKind
	// Prefill is the duration of the prefill call. Zero if unknown.
	Prefill time.Duration
	// FirstToken is the time from the grant to the first token. Zero if unknown.
	FirstToken time.Duration
	// Decode is the time from the first to the last token, or the duration of the
	// whole call for a plain service. Zero if unknown.
	Decode         time.Duration
	OutputTokens   int
	Fingerprint    uint64
	FailedUpstream string
}

// Upstream is one back end of the service as configured in the object set.
type Upstream struct {
	Name       string
	Role       object.Role
	DataCentre string
	Slots      int
	// Pieces of engine memory; 0 means unlimited.
	Pieces int
	// PieceTokens is the size of a piece; 0 means 2048.
	PieceTokens int
	// LinkBytesPerSecond is the rate of the transfer link; 0 means unlimited.
	LinkBytesPerSecond int64
	// Leaving upstreams get no new work.
	Leaving bool
}

// LoadReport is the load that an upstream reports, which may be out of date.
type LoadReport struct {
	Running    int
	Slots      int
	PiecesUsed int
	Pieces     int
	Queued     int
	Leaving    bool
}

// ActiveGrant is a grant that is still in use. Group.Adopt takes those that another
// scheduler issued.
type ActiveGrant struct {
	ID           uint64
	RequestID    string
	Organisation string
	Prefill      string
	Decode       string
	Pieces       int
}

// Status describes the queue and the upstreams.
type Status struct {
	QueuedInteractive int
	QueuedDeferrable  int
	Granted           int
	// Upstreams are in the order of SetUpstreams.
	Upstreams []UpstreamStatus
}

// UpstreamStatus describes one upstream.
type UpstreamStatus struct {
	Name string
	Role object.Role
	// Running counts the grants and the reported requests of other schedulers.
	Running    int
	Slots      int
	PiecesUsed int
	Pieces     int
	// Health is the weight set by SetHealth.
	Health  float64
	Leaving bool
}
