package protocol

// Key identifies one guarded call: a hash of organisation, service and
// idempotency key. The caller's key itself does not reach the log.
type Key [16]byte

// IntentID is the unique id of one claim of a key, chosen by its owner.
type IntentID [16]byte

// BodyHash identifies the call that a key was used with.
type BodyHash [16]byte

// Kind tells the records apart.
type Kind uint8

const (
	// KindIntent claims a key for one dispatch.
	KindIntent Kind = iota + 1
	// KindOutcome tells that an intent's call ran.
	KindOutcome
	// KindVoid tells that an intent's owner did not run the call and never will.
	KindVoid
)

// Owner is the run of the instance that dispatches under an intent.
type Owner struct {
	Instance    string
	Incarnation uint64
}

// Record is one entry of a partition's stream, without the recorded answer.
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
	// AnswerDropped is set in outcomes whose answer was too large to keep.
	AnswerDropped bool
}
