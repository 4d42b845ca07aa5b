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
