// Package gateway routes callers' requests to upstreams. It resolves the route and the
// organisation, enforces quotas, selects a registered upstream and streams the answer back to the
// caller.
//
// The request path is handler.go, admit.go, then plain.go or model.go with dispatcher.go, and
// answer.go or stream.go.
package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cairnworks/cairnworks/upstream"
)

// Call is a caller's request. It does not carry the key the request came with, so that no later
// stage can forward the key.
type Call struct {
	// ID is chosen by the caller; a retry by the caller has a new ID.
	ID     string
	Method string
	// Target is the request target of the request line; Path is its path as sent, without the
	// query.
	Target, Path string
	Host         string
	// Header holds the headers to forward: hop-by-hop headers and headers set by this system are
	// removed.
	Header http.Header
	Body   []byte
	// Timeout is how long the caller waits, counted from when it sent the request; 0 if not stated.
	Timeout time.Duration
	// HasTokenCounts is set if the request states its size in tokens.
	HasTokenCounts bool
	// PromptTokens is the size of the prompt and MaxOutput the output limit, in tokens.
	PromptTokens, MaxOutput int
	// LengthHint is the caller's estimate of the output in tokens, 0 for none. The estimate is
	// right at the median but often far off.
	LengthHint int
	// PromptParts are the IDs of the parts of the prompt that other requests may share.
	PromptParts []string
	// LastEventID is the last event received by a caller that resumes a stream.
	LastEventID string

	// Arrived is the time the headers were read.
	Arrived time.Time
	// Deadline is the earlier of the caller's timeout and the route's timeout.
	Deadline time.Time
	// Organisation is the organisation the request is charged to; empty on public routes.
	Organisation string
	// Repeatable is set if the route allows the request to run more than once.
	Repeatable bool
	// keyHash and priority are set during admission.
	keyHash  string
	priority int
	sends    sends
}

// identity returns what identifies the request at each send.
func (c *Call) identity() *upstream.Request {
	return &upstream.Request{Method: c.Method, Target: c.Target, Organisation: c.Organisation, Body: c.Body, PromptParts: c.PromptParts}
}

// Codec decodes callers' HTTP requests.
type Codec interface {
	// Decode decodes everything but the body. key is the caller's credential, empty if there is
	// none. Errors are of type *verdict.Verdict.
	Decode(r *http.Request) (call *Call, key string, err error)
}

// RunOptions are the options of Upstreams.Run.
type RunOptions struct {
	// Source is the prefill engine and handle from which a decode engine fetches the prompt's KV
	// cache. It is empty if there is no cache.
	Source KVSource
	// Reservation identifies the engine memory reserved for the request.
	Reservation string
	// LastEventID is the event after which a stream is resumed.
	LastEventID string
	// Priority is the request's priority at the engine.
	Priority int
}

// KVSource identifies a KV cache stored at a prefill engine.
type KVSource struct{ Address, Handle string }

// Answer is an upstream's response. The caller must close Body.
type Answer struct {
	Status int
	// Header holds the headers to forward to the caller.
	Header http.Header
	Body   io.ReadCloser
	// Length is the content length, or -1 if unknown.
	Length int64
	// EndStated is set if the upstream states where the body ends. Otherwise the end of Body may be that of
	// an answer that was broken off.
	EndStated bool
}

// Upstreams sends requests to upstreams. Each method makes a single attempt at one upstream,
// without retries. Errors are of type *verdict.Verdict and state whether the request may have run.
type Upstreams interface {
	// Guard sets the functions through which everything passes that is exchanged with upstreams, also on
	// behalf of other instances: admit is called before each request or call is sent and can keep it from being
	// sent, record with what each answer says about its upstream. It must be called before any other method.
	Guard(admit func(to upstream.Entry, out upstream.Outgoing) error, record func(from upstream.Entry, s upstream.Statement))
	// Run executes the request. It returns an error if the upstream reports that it did not run the
	// request.
	Run(ctx context.Context, to upstream.Entry, c *Call, o RunOptions) (*Answer, error)
	// Prefill processes the prompt and returns the handle of its KV cache.
	Prefill(ctx context.Context, to upstream.Entry, c *Call) (handle string, err error)
	// FreeHandle frees a KV cache that will not be fetched.
	FreeHandle(ctx context.Context, to upstream.Entry, handle string) error
	// Reserve reserves engine memory for a request that follows within ttl.
	Reserve(ctx context.Context, to upstream.Entry, tokens int, ttl time.Duration) (reservation string, err error)
	// CheckReachable reports whether something listens at the upstream's address, as far as this instance
	// and others can tell. The error is that of this instance's own connection.
	CheckReachable(ctx context.Context, to upstream.Entry) (upstream.Reach, error)
	// OnLinkCut sets the function that is called with each upstream that only other instances reach, so
	// that its last failures were not its own. It must be called before any other method.
	OnLinkCut(handle func(upstream.Entry))
	// DropReservation frees reserved memory.
	DropReservation(ctx context.Context, to upstream.Entry, reservation string) error
}
