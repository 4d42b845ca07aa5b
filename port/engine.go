// Package port defines the interfaces to all external systems: model engines, plain
// services, the log, the instance list and the weight store. Each has one HTTP
// adapter in port/httpport, so that only that package depends on the protocol of a
// deployment.
package port

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// StreamID identifies one attempt of a request on an upstream. Frames of other
// attempts are stale and are dropped.
type StreamID struct {
	RequestID string
	Attempt   uint32
	Owner     request.Holder
}

// PrefillRequest asks an engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	Stream StreamID
	Model  string
	Prompt string
	// Generated holds the tokens that earlier attempts have already delivered. The
	// KV cache covers them as well, so that decoding can continue after them on any
	// engine.
	Generated []string
	Priority  int
}

// PrefillResult describes a KV cache held by the prefill engine until it is imported.
type PrefillResult struct {
	// Handle identifies the cache on the prefill engine.
	Handle string
	// Tokens is the exact token count of the prompt and the given generated tokens.
	Tokens int
	// CachedTokens is how many of them were found in the prefix cache.
	CachedTokens int
	// TTL is how long the engine keeps the cache, counted from the response.
	TTL time.Duration
	// Bytes is the transfer size of the cache.
	Bytes int64
}

// ImportRequest asks a decode engine to fetch a KV cache.
type ImportRequest struct {
	Stream StreamID
	Model  string
	// Source is the address of the prefill engine.
	Source string
	Handle string
	// MaxTokens limits the decode that follows, so that the engine can reserve memory
	// for it.
	MaxTokens int
}

// DecodeRequest starts or resumes a decode on an engine that holds the KV cache.
type DecodeRequest struct {
	Stream    StreamID
	Model     string
	MaxTokens int
	// ResumeFrom is the number of tokens that the caller has already received; the
	// engine continues with the next one.
	ResumeFrom int
	Priority   int
}

// Frame is one message of a decode stream: a token or the terminator.
type Frame struct {
	RequestID string
	Attempt   uint32
	// Seq counts tokens from 0 without gaps.
	Seq int
	// Token is the text of the token.
	Token string
	// Done marks the terminator. A stream that ends without one is truncated.
	Done bool
	// FinishReason is set on the terminator: "stop" or "length".
	FinishReason string
}

// FrameReader reads the frames of one decode stream.
type FrameReader interface {
	// Next returns the next frame, or io.EOF after the end of the stream. The caller
	// must check that the last frame was the terminator.
	Next() (Frame, error)
	// Close closes the connection; the engine frees the stream once it detects this.
	Close() error
}

// StreamState is an entry of the list of streams and KV caches that an engine holds.
type StreamState struct {
	Stream StreamID
	// Phase is "prefilled", "imported" or "decoding".
	Phase  string
	Pieces int
}

// Load is an engine's load report. It may be out of date.
type Load struct {
	Role       string
	Running    int
	Slots      int
	PiecesUsed int
	Pieces     int
	Queued     int
	// Loaded lists the models, adapters and versions that the engine has loaded; it is
	// nil if the engine does not report them.
	Loaded []string
	// Leaving is set once the engine has been told to shut down.
	Leaving bool
	// Start identifies the engine's process and changes on restart.
	Start string
}

// CacheEvent reports that an engine stored or evicted a cached prefix.
type CacheEvent struct {
	// Seq increases by one per event; a gap means that events were lost.
	Seq    uint64
	Hash   uint64
	Stored bool
}

// Order changes an engine's role or loads a model or adapter.
type Order struct {
	// Kind is "load_model", "load_adapter" or "set_role".
	Kind string
	Name string
	// Fence is the fencing token, a log offset. Engines that check it refuse an order
	// with a lower one than they have already seen.
	Fence uint64
}

// Engine is one model upstream. Errors of all methods are of type *verdict.Verdict,
// which says whether the engine may have acted.
type Engine interface {
	Prefill(ctx context.Context, req PrefillRequest) (PrefillResult, error)
	Import(ctx context.Context, req ImportRequest) error
	Decode(ctx context.Context, req DecodeRequest) (FrameReader, error)
	// Cancel frees everything that the engine holds for the stream. An unknown stream
	// is not an error, so that the call can be repeated after a lost response.
	Cancel(ctx context.Context, id StreamID) error
	Streams(ctx context.Context) ([]StreamState, error)
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the events with a sequence number above after.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, order Order) error
}

// EngineDialer returns the engine at an address (IP:port).
type EngineDialer func(address string) Engine
