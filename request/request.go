// Package request defines the request that is passed through the stages from authentication
// to response, and the identities it contains.
package request

import "time"

// Class is the urgency of a request.
type Class uint8

const (
	// Interactive requests have a user waiting for them: lookups, summaries, bookings.
	Interactive Class = 1
	// Deferrable requests can be delayed until the load is lower: drafts.
	Deferrable Class = 2
)

// String returns the metric tag of the class.
func (c Class) String() string {
	if c == Deferrable {
		return "deferrable"
	}
	return "interactive"
}

// Holder identifies one run of an instance, such as the holder of a lease. An instance that
// is replaced at the same address gets a different incarnation.
type Holder struct {
	// Instance is the configured instance name.
	Instance string
	// Incarnation increases with every start of the instance.
	Incarnation uint64
	// Address is the IP:port at which peers reach the instance.
	Address string
}

// Request is an authenticated request. It does not contain the API key, so that no later stage
// can leak the key to an upstream.
type Request struct {
	// ID is unique in the fleet and included in every log line of the request.
	ID string
	// Organisation is the organisation on whose behalf the request runs.
	Organisation string
	// KeyID is the name of the key object, not the key itself.
	KeyID string
	// Service is the service that handles the request.
	Service string
	// Model is the model name given by the caller, for model services.
	Model string
	Class Class
	// Arrived is when the request headers were read.
	Arrived time.Time
	// Deadline is the latest time at which the first byte of the response is still useful.
	Deadline time.Time
	// Prompt is the prompt text, for model services.
	Prompt string
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int
	// MaxTokens is the maximum number of output tokens.
	MaxTokens int
	// PrefixHashes are hashes of the prompt's leading blocks, shortest prefix first.
	PrefixHashes []uint64
	// Fingerprint identifies the prompt when upstream crashes are counted.
	Fingerprint uint64
	// Stream reports whether the caller requested server-sent events.
	Stream bool
	// ConfigVersion is the version of the object set against which the request was checked.
	ConfigVersion uint64
}

// Cost returns the tokens that are charged to the organisation's rate before the request
// runs: the prompt and the maximum output. Unused tokens are refunded. Only a charge of the
// upper bound ensures that an organisation does not exceed its rate.
func (r *Request) Cost() uint64 {
	return uint64(r.PromptTokens) + uint64(r.MaxTokens)
}
