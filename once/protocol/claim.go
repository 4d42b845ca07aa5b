package protocol

// Decision is the result that the order of the log determines for an intent.
type Decision uint8

const (
	// DecisionPending means that the intent has not been read from the log.
	DecisionPending Decision = iota
	// DecisionWon means that no live intent of the key has a lower offset.
	DecisionWon
	// DecisionLost means that another live intent of the key has a lower offset, or that the
	// intent is void.
	DecisionLost
)

// Claim is the owner's state of one intent. The owner either dispatches the call or withdraws
// the claim, never both. This choice is made once and only here, which ensures that a call with
// a void record has not run.
type Claim struct {
	Record    Record
	decision  Decision
	withdrawn bool
	// mayBeInLog is set when the intent is sent to the log. It is not cleared when a read does
	// not find the intent: an append whose response was lost can take effect long afterwards.
	mayBeInLog bool
}

// NewClaim returns the claim for an intent that has not been sent to the log.
func NewClaim(intent Record) *Claim { return &Claim{Record: intent} }

// MarkSent records that the intent is being sent to the log.
func (c *Claim) MarkSent() { c.mayBeInLog = true }

// MarkNotAppended records that the only append of the intent certainly had no effect.
func (c *Claim) MarkNotAppended() { c.mayBeInLog = false }

// SetDecision records the decision read from the log. Only the first call has an effect.
func (c *Claim) SetDecision(d Decision) {
	if c.decision == DecisionPending {
		c.decision = d
	}
}

// Decision returns the decision read so far.
func (c *Claim) Decision() Decision { return c.decision }

// MayDispatch reports whether the owner may send the call to an upstream: the intent was read
// back from the log as the winner, and the claim was not withdrawn.
func (c *Claim) MayDispatch() bool { return c.decision == DecisionWon && !c.withdrawn }

// Withdraw gives up the claim. It must not be called after a dispatch that may have run. It
// reports whether a void record is needed to keep the intent from blocking its key. A lost intent
// needs one too: a reader for which the winner has expired takes the next intent as the winner.
func (c *Claim) Withdraw() (needVoid bool) {
	c.withdrawn = true
	return c.mayBeInLog
}
