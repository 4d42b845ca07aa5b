package upstream

import "time"

// RequestLimit is what an answer of an upstream says about the requests that it takes.
type RequestLimit struct {
	// Named is set if the answer names a limit; PerSecond is the number of requests per second from
	// all instances together.
	Named     bool
	PerSecond float64
}

// Statement is what an answer of an upstream says about the upstream itself.
type Statement struct {
	// Limit is what it says about the rate of requests that the upstream takes, or nil if it says nothing.
	Limit *RequestLimit
	// Leaving is set if the upstream is shutting down and accepts no new requests.
	Leaving bool
	// Backoff is how long the upstream takes nothing from the instance that it answered; 0 if it requests no backoff.
	Backoff time.Duration
}

// Use is what a request or a call does to an upstream.
type Use uint8

const (
	// Work uses the upstream's capacity, or asks for it.
	Work Use = iota
	// Release frees what an earlier request has used.
	Release
)

// Request is what identifies a caller's request at each send.
type Request struct {
	Method, Target, Organisation string
	Body                         []byte
	// PromptParts are the IDs of the parts of its prompt that other requests may share.
	PromptParts []string
}

// Outgoing is a request or a call that is about to be sent to an upstream.
type Outgoing struct {
	Use Use
	// Request is nil for calls of this system.
	Request *Request
}
