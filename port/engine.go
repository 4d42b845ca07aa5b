// Package port holds the interfaces of every system outside the project: model
// engines, plain services, the log, the instance list and the weight store. Each
// has one HTTP adapter in port/httpport, so that the protocol of a deployment is
// met in one place.
package port

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// StreamID names one attempt of one request on an upstream. Frames of another
// attempt are stale and are dropped.
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
	// Generated are the tokens that an earlier attempt has already delivered. The
	// KV cache covers them too, so that a decode on any engine goes on after them.
	Generated []string
	Priority  int
}

// PrefillResult is a KV cache that waits on the prefill engine to be imported.
type PrefillResult struct {
	// Handle names the cache at the prefill engine.
	Handle string
	// Tokens is the true length of the prompt and of the generated tokens given.
	Tokens int
	// CachedTokens is how many of them came out of the prefix cache.
	CachedTokens int
	// TTL is how long the engine keeps the cache, from the answer on.
	TTL time.Duration
	// Bytes is the size of the cache on the link.
	Bytes int64
}

// ImportRequest asks a decode engine to fetch a KV cache.
type ImportRequest struct {
	Stream StreamID
	Model  string
	// Source is the address of the prefill engine.
	Source string
	Handle string
	// MaxTokens bounds the decode that follows, so that the engine can keep the memory.
	MaxTokens int
}

// DecodeRequest starts or resumes a decode on an engine that holds the KV cache.
type DecodeRequest struct {
	Stream    StreamID
	Model     string
	MaxTokens int
	// ResumeFrom is the number of tokens the caller already has; the engine
	// continues with the next one.
	ResumeFrom int
	Priority   int
}

// Frame is one piece of a decode stream.
type Frame struct {
	RequestID string
	Attempt   uint32
	// Seq counts tokens from 0 without gaps.
	Seq int
	// Token is the text of the token.
	Token string
	// Done marks the terminator; a stream that ends without it is truncated.
	Done bool
	// FinishReason is set on the terminator: "stop" or "length".
	FinishReason string
}

// FrameReader yields the frames of one decode stream.
type FrameReader interface {
	// Next returns the next frame, or io.EOF after the stream ended. The caller
	// checks that the last frame was the terminator.
	Next() (Frame, error)
	// Close ends the stream; the engine frees it when it notices.
	Close() error
}

// StreamState is one entry of an engine's own list of what it holds.
type StreamState struct {
	Stream StreamID
	// Phase is "prefilled", "imported" or "decoding".
	Phase  string
	Pieces int
}

// Load is an engine's report of itself. It lags.
type Load struct {
	Role       string
	Running    int
	Slots      int
	PiecesUsed int
	Pieces     int
	Queued     int
	// Loaded names the models, adapters and versions that the engine holds; nil
	// when the engine does not tell.
	Loaded []string
	// Leaving is set when the engine has been told to go.
	Leaving bool
	// Start identifies the engine's process; it changes on restart.
	Start string
}

// CacheEvent tells that an engine stored or dropped the cache of a prefix.
type CacheEvent struct {
	// Seq grows by one with each event; a gap means that events were lost.
	Seq    uint64
	Hash   uint64
	Stored bool
}

// Order changes what an engine is or has loaded.
type Order struct {
	// Kind is "load_model", "load_adapter" or "set_role".
	Kind string
	Name string
	// Fence is a log offset; engines that check refuse an order with an older one.
	Fence uint64
}

// Engine is one model upstream. Every method fails with a *verdict.Verdict that
// says whether the engine may have acted.
type Engine interface {
	Prefill(ctx context.Context, req PrefillRequest) (PrefillResult, error)
	Import(ctx context.Context, req ImportRequest) error
	Decode(ctx context.Context, req DecodeRequest) (FrameReader, error)
	// Cancel frees everything the engine holds for the stream. Unknown streams
	// are no error, so that a lost answer can be repeated.
	Cancel(ctx context.Context, id StreamID) error
	Streams(ctx context.Context) ([]StreamState, error)
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the events after the given sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, order Order) error
}

// EngineDialer returns the engine at an address (IP:port).
type EngineDialer func(address string) Engine
