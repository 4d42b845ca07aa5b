package protocol

// Fate is what the log's order decided about an intent.
type Fate uint8

const (
	// FateOpen means that the intent has not been read from the log.
	FateOpen Fate = iota
	// FateWon means that no live intent of the key stood before it.
	FateWon
	// FateLost means that another live intent stood before it, or that it was void.
	FateLost
)

// Claim is the owner's side of one intent. The owner either dispatches under it
// or withdraws it, never both: that decision is made once, in one place, and it is
// what makes a void record true.
type Claim struct {
	Record    Record
	fate      Fate
	withdrawn bool
	// inLog is set as soon as the intent may stand in the log and is never
	// cleared: an append whose answer was lost can take effect long after a read
	// has not found it.
	inLog bool
}

// NewClaim returns the claim for an intent that has not been appended.
func NewClaim(intent Record) *Claim { return &Claim{Record: intent} }

// Sending notes that the intent is handed to the log.
func (c *Claim) Sending() { c.inLog = true }

// NotAppended notes that the only append of the intent certainly had no effect.
func (c *Claim) NotAppended() { c.inLog = false }

// Decide notes the fate read from the log. The first decision stands.
func (c *Claim) Decide(f Fate) {
	if c.fate == FateOpen {
		c.fate = f
	}
}

// Fate returns what the log decided so far.
func (c *Claim) Fate() Fate { return c.fate }

// MayDispatch reports whether the owner may send the call to an upstream: the
// intent was read back from the log as the winner and was not withdrawn.
func (c *Claim) MayDispatch() bool { return c.fate == FateWon && !c.withdrawn }

// Withdraw gives up the claim; it must not be called after a dispatch that may
// have run. It reports whether a void record is needed so that the intent does
// not block its key: a lost intent needs one too, because a reader that does not
// know the winner any more takes the next intent for it.
func (c *Claim) Withdraw() (needVoid bool) {
	c.withdrawn = true
	return c.inLog
}
