// Package request defines the request that moves along the path from a caller's
// key to an answer, and the identities it carries.
package request

import (
	"time"
)

// Class is the urgency of a request.
type Class uint8

const (
	// Interactive requests have somebody waiting: lookups, summaries, bookings.
	Interactive Class = 1
	// Deferrable requests can wait for a quieter moment: drafts.
	Deferrable Class = 2
)

// String returns the metric tag of the class.
func (c Class) String() string {
	if c == Deferrable {
		return "deferrable"
	}
	return "interactive"
}

// Holder names one run of one instance. A replaced instance at the same address
// has another incarnation.
type Holder struct {
	// Instance is the name from the settings.
	Instance string
	// Incarnation grows with every start of the instance.
	Incarnation uint64
	// Address is where peers reach it, as IP:port.
	Address string
}

// Request is one caller's request after its key was checked. Its key is not part
// of it, so that no later stage can leak the key to an upstream.
type Request struct {
	// ID is unique in the fleet and stands in every log line of the request.
	ID string
	// Organisation that the request runs for.
	Organisation string
	// KeyID is the name of the key object, not the key.
	KeyID string
	// Service that answers it.
	Service string
	// Model as the caller named it, for model services.
	Model string
	// Class of the request.
	Class Class
	// Arrived is when the caller's headers were read.
	Arrived time.Time
	// Deadline is when the answer's first byte stops being useful.
	Deadline time.Time
	// Prompt is the prompt text, for model services.
	Prompt string
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int
	// MaxTokens is the most output tokens the caller accepts.
	MaxTokens int
	// PrefixHashes are hashes of the prompt's leading blocks, shortest first.
	PrefixHashes []uint64
	// Fingerprint identifies the prompt for crash counting.
	Fingerprint uint64
	// Stream tells whether the caller wants server-sent events.
	Stream bool
	// ConfigVersion is the object set the request was checked against.
	ConfigVersion uint64
}

// Cost is the request's charge against its organisation's token rate before it
// runs: the prompt and the longest allowed answer. What is not used is refunded.
// Charging the upper bound is what keeps an organisation from passing its rate.
func (r *Request) Cost() uint64 {
	return uint64(r.PromptTokens) + uint64(r.MaxTokens)
}
