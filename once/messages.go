package once

import (
	"time"

	oncev1 "github.com/cairnworks/cairnworks/gen/cairnworks/once/v1"
	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/port"
)

// followPosition is the position of the follower in its stream.
type followPosition struct {
	next uint64
	// ready reports that the end of the stream has been reached.
	ready bool
}

// claimState is the result of a claim.
type claimState uint8

const (
	// stateUnavailable means that there is no decision because the log cannot be reached.
	stateUnavailable claimState = iota
	stateFree
	stateWon
	stateClaimed
	stateDone
	stateKeyReused
	// stateIncomplete means that the partition lost records younger than the window and cannot
	// tell whether an unknown key was used. It is STATE_CANNOT_VOUCH on the wire.
	stateIncomplete
	// statePending means that there is no decision yet.
	statePending
	// stateFull means that the partition holds the maximum number of keys.
	stateFull
)

// String returns the metric tag of the state.
func (s claimState) String() string {
	return [...]string{"unavailable", "free", "won", "claimed", "done", "key_reused", "cannot_vouch", "pending", "full"}[s]
}

// claimReply is the response to a claim.
type claimReply struct {
	state claimState
	// offset is the offset of the intent in stateWon.
	offset uint64
	// holder is the holder of the key in stateClaimed, stateDone and stateKeyReused.
	holder protocol.Holder
	// notAppended reports that the intent of the request is certainly not in the log.
	notAppended bool
	// stale reports that the last read or append failed, so that an outcome of the holder may
	// have been recorded in the meantime.
	stale      bool
	retryAfter time.Duration
}

// claimRequest is a request to claim a key or to look up its state.
type claimRequest struct {
	intent *oncev1.Record
	rec    protocol.Record
	// lookupOnly requests the state of the key without claiming it.
	lookupOnly bool
}

// Messages to the actor of a partition.
type (
	// claimMsg claims a key or looks it up.
	claimMsg struct {
		req claimRequest
		// reply has a buffer for the single reply, so that the actor never blocks.
		reply chan claimReply
	}
	// appendMsg appends an outcome or a void; done has a buffer for the single result.
	appendMsg struct {
		record *oncev1.Record
		rec    protocol.Record
		done   chan error
	}
	// pageMsg contains the result of a read by the follower; applied receives the position of
	// the next read.
	pageMsg struct {
		page    port.Page
		err     error
		applied chan followPosition
	}
	// appendResultMsg contains the result of an append.
	appendResultMsg struct {
		first uint64
		err   error
	}
	// readBackMsg contains the result of reading the stream back after an append whose response
	// was lost.
	readBackMsg struct {
		pages []port.Page
		err   error
	}
	// appendTimerMsg is sent when the next append may start.
	appendTimerMsg struct{}
	// expireMsg removes expired keys.
	expireMsg struct{}
	// flushMsg requests that done is closed when no records are left to append.
	flushMsg struct{ done chan struct{} }
)
