// Package gateway serves callers' requests by the operators' routes: it finds the
// route and the organisation, keeps quotas, places the request at upstreams that
// have registered themselves, and hands the answer on as it comes.
//
// A request's way through the code: handler.go, admit.go, then plain.go or model.go
// with desk.go, and answer.go or stream.go.
package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cairnworks/cairnworks/upstream"
)

// Call is one caller's request. It does not hold the key it came with, so that no
// later stage can pass it on.
type Call struct {
	// ID is the caller's own; each attempt of a caller has another one.
	ID     string
	Method string
	// Target is the request target as it stood on the request line, Path its path as
	// sent, without the query.
	Target, Path string
	Host         string
	// Header is what is passed on, without what concerns one connection only and
	// without what this system sets.
	Header http.Header
	Body   []byte
	// Timeout is how long the caller waits from its sending on; 0 where it does not
	// say.
	Timeout time.Duration
	// HasTokenCounts tells that the request states its size in tokens.
	HasTokenCounts bool
	// PromptTokens and MaxOutput are that size: of the prompt, and the most output.
	PromptTokens, MaxOutput int
	// LengthHint is the caller's estimate of the output in tokens, 0 for none. It is
	// right at the median and often far off.
	LengthHint int
	// LastEventID is the event after which a caller resumes a stream.
	LastEventID string

	// Arrived is when the headers were read.
	Arrived time.Time
	// Deadline is when the caller's patience or the route's timeout ends.
	Deadline time.Time
	// Organisation that the request runs for; empty on public routes.
	Organisation string
	// keyHash and prio are set by admission.
	keyHash string
	prio    int
}

// Codec reads callers' requests off the wire.
type Codec interface {
	// Decode reads everything but the body. key is the caller's credential, empty
	// where there is none. An error is a *verdict.Verdict.
	Decode(r *http.Request) (call *Call, key string, err error)
}

// RunOptions say how a request is run.
type RunOptions struct {
	// Source is where a decode engine fetches the prompt's KV cache: the engine that
	// prefilled it, and its handle. Empty where there is none.
	Source KVSource
	// Reservation is the engine's memory that was reserved for the request.
	Reservation string
	// LastEventID is the event after which a stream goes on.
	LastEventID string
	// Priority among the requests at the engine.
	Priority int
}

// KVSource names a KV cache that is kept at a prefill engine.
type KVSource struct{ Address, Handle string }

// Answer is an upstream's answer. Body must be closed.
type Answer struct {
	Status int
	// Header is what is passed on to the caller.
	Header http.Header
	Body   io.ReadCloser
	// Length is -1 where it is not known beforehand.
	Length int64
}

// Upstreams sends requests to upstreams. Each method makes one attempt at one
// upstream and no retry. Errors are *verdict.Verdict and tell whether the request
// may have run there.
type Upstreams interface {
	// Run has the request answered. Answers that say that the request was not run
	// are errors.
	Run(ctx context.Context, to upstream.Entry, c *Call, o RunOptions) (*Answer, error)
	// Prefill has the prompt read and returns the handle of its KV cache.
	Prefill(ctx context.Context, to upstream.Entry, c *Call) (handle string, err error)
	// FreeHandle drops a KV cache that nobody will fetch.
	FreeHandle(ctx context.Context, to upstream.Entry, handle string) error
	// Reserve sets engine memory aside for a request that follows within ttl.
	Reserve(ctx context.Context, to upstream.Entry, tokens int, ttl time.Duration) (reservation string, err error)
	// CheckReachable fails where nobody listens at an upstream's address.
	CheckReachable(ctx context.Context, to upstream.Entry) error
	// DropReservation gives reserved memory back.
	DropReservation(ctx context.Context, to upstream.Entry, reservation string) error
}
