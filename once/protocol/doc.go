// Package protocol implements the at-most-once protocol as a pure state machine. Index holds
// the state of each idempotency key after a prefix of a partition's stream, and Claim decides
// what the owner of an intent may do. The package uses no clock, network or log.
//
// It prevents the following failure: a caller gets no response to a call that must not be
// repeated, such as a booking, and sends it again to another instance while the first call may
// still be running or its instance has died. Without the protocol the call would run twice.
//
// # Rules
//
//  1. An intent is live until it is void or expired. A key is free if it has no live intent.
//     An intent wins if its key is free immediately before its offset.
//  2. Only the owner of an intent dispatches its call, at most once, and only after reading
//     the intent from the log as the winner, with an index that contains every record from the
//     lowest retained one up to the intent.
//  3. Only the owner voids an intent, and only if it has not dispatched the call or knows that
//     the dispatched call did not run, and will not dispatch it any more.
//  4. A second record with the ID of an intent has no effect, even after the intent is void.
//     Therefore an append whose response was lost may be repeated with the same ID after a read
//     to the end of the stream has not found it: the copy with the lowest offset decides.
//
// # Why a key runs at most once within the window
//
// Suppose that two intents A and B of a key are dispatched, A having the lower offset. B's owner
// read B as the winner, so A was not live in its index. Either A was void before B; then A's
// call did not run, by rule 3. Or the index did not contain A, because A had expired after being
// held for the whole window or because the log had dropped it. In the first case, a window
// passed between A's append and B's decision; in the second, the log's retention, which is
// longer. Clocks of different instances are never compared: a reader measures the window on its
// own clock from the time it read A.
//
// Readers may expire intents at different times and therefore disagree about an old key. A lost
// intent counts as live until it is void, so a disagreement causes a refusal ("outcome unknown")
// but never a second run.
//
// # Why "not run" is reliable
//
// It is reported only for a call that was not dispatched and whose claim was withdrawn by the one
// goroutine that could have dispatched it. This holds whether or not the intent is in the log;
// the subsequent void frees the key.
//
// # When a key cannot be freed
//
// If an owner dies between its intent and its outcome, no other instance knows whether it
// dispatched the call. The key stays claimed for the window, and retries are told that the
// outcome is unknown. Neither waiting nor asking other instances can resolve this.
package protocol
