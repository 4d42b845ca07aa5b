package protocol

// Key identifies one guarded call. It is a hash of organisation, service and idempotency key; the
// idempotency key itself is not written to the log.
type Key [16]byte

// IntentID is the unique ID of one claim of a key, chosen by its owner.
type IntentID [16]byte

// BodyHash is the hash of the call with which a key was used.
type BodyHash [16]byte

// Kind is the type of a record.
type Kind uint8

const (
	// KindIntent claims a key for one dispatch.
	KindIntent Kind = iota + 1
	// KindOutcome states that the call of an intent ran.
	KindOutcome
	// KindVoid states that the owner of an intent did not run the call and never will.
	KindVoid
)

// Owner identifies the run of the instance that claimed a key.
type Owner struct {
	Instance    string
	Incarnation uint64
}

// Record is one record of a partition's stream, without the recorded response.
type Record struct {
	Kind Kind
	Key  Key
	ID   IntentID
	// Body is set in intents and outcomes.
	Body BodyHash
	// Owner, RequestID and ClaimedMS (the writer's clock in Unix milliseconds)
	// are set in intents.
	Owner     Owner
	RequestID string
	ClaimedMS int64
	// AnswerDropped is set in outcomes without a response, because it was lost or too large.
	AnswerDropped bool
}
