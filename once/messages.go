package once

import (
	"time"

	oncev1 "github.com/cairnworks/cairnworks/gen/cairnworks/once/v1"
	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/port"
)

// position is where a follower stands.
type position struct {
	next uint64
	// ready tells that the end of the stream was reached.
	ready bool
}

// claimState is a partition's answer to a claim.
type claimState uint8

const (
	// stateUnavailable means that nothing was decided: the log cannot be reached.
	stateUnavailable claimState = iota
	stateFree
	stateWon
	stateClaimed
	stateDone
	stateKeyReused
	stateCannotVouch
	// statePending means that the log has not decided yet.
	statePending
	// stateFull means that the partition remembers as many keys as it may.
	stateFull
)

// String returns the metric tag of the state.
func (s claimState) String() string {
	return [...]string{"unavailable", "free", "won", "claimed", "done", "key_reused", "cannot_vouch", "pending", "full"}[s]
}

// claimReply answers a claim.
type claimReply struct {
	state claimState
	// offset of the intent in stateWon.
	offset uint64
	// holder of the key in stateClaimed and stateDone.
	holder protocol.Holder
	// notAppended tells that the asked intent certainly does not stand in the log.
	notAppended bool
	// stale tells that the log could not be read lately, so that the holder's
	// outcome may have been recorded since.
	stale      bool
	retryAfter time.Duration
}

// claimRequest asks a partition about a key.
type claimRequest struct {
	intent *oncev1.Record
	rec    protocol.Record
	// lookupOnly asks for the key's state without claiming it.
	lookupOnly bool
}

// Messages to a partition's actor.
type (
	claimMsg struct {
		req claimRequest
		// reply has room for the one answer, so that the actor never waits.
		reply chan claimReply
	}
	// recordMsg appends an outcome or a void; done has room for the one answer.
	recordMsg struct {
		record *oncev1.Record
		rec    protocol.Record
		done   chan error
	}
	// pageMsg is what the follower read; applied receives where to go on.
	pageMsg struct {
		page    port.Page
		err     error
		applied chan position
	}
	// appendedMsg ends an append.
	appendedMsg struct {
		first uint64
		err   error
	}
	// settledMsg ends the read back after an append whose answer was lost.
	settledMsg struct {
		pages []port.Page
		err   error
	}
	// pumpMsg says that the next append may be due.
	pumpMsg struct{}
	// forgetMsg says that old keys may be due for forgetting.
	forgetMsg struct{}
	// flushMsg asks to be told once nothing is left to append.
	flushMsg struct{ done chan struct{} }
)
