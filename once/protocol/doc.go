// Package protocol is the at-most-once protocol as a pure state machine: what a
// prefix of a partition's stream says about each idempotency key (Index), and what
// the owner of an intent may do (Claim). It knows no clock, network or log.
//
// The load pattern it answers: a caller repeats a booking because the answer did
// not come, on another instance, while the first may still be running or its
// instance has died. Without it the booking runs twice.
//
// # Rules
//
//  1. An intent is live until it is void or forgotten. A key is free when it has no
//     live intent. An intent wins when its key is free just before its offset.
//  2. Only the owner of an intent dispatches under it, at most once, and only after
//     reading it from the log as the winner, on an index that holds every record
//     from the lowest retained one up to it.
//  3. Only the owner voids an intent, and only if it has not dispatched, or knows
//     that the dispatch did not run, and will not dispatch any more.
//  4. A second record with an intent's id changes nothing, also after its void. So
//     an append whose answer was lost may be repeated under the same id once a read
//     to the end has not found it: whichever copy stands first decides.
//
// # Why a key runs at most once within the window
//
// Let two intents A and B of a key be dispatched, A at the lower offset. B's owner
// read B as the winner, so A was not live on the index it read. Either A was void
// below B, then by rule 3 A's call did not run. Or the index did not hold A: it had
// forgotten A after holding it for the whole window, or the log had dropped A. The
// former puts a window between A's append and B's decision, the latter the log's
// retention, which is longer. No clock is compared between instances; a reader
// measures the window on its own clock from the moment it read A.
//
// Readers may forget at different moments and so may disagree about an old key. A
// lost intent counts as live until void, so the disagreement costs a refusal
// ("outcome unknown"), never a second run.
//
// # Why "not run" is true
//
// It is said of a call whose claim was never dispatched and is withdrawn by the
// one goroutine that could have dispatched it. Whether the intent stands in the
// log does not matter to the truth of it; the void that follows frees the key.
//
// # When nobody can free a key
//
// An owner that dies between its intent and its outcome leaves nobody who knows
// whether it dispatched. The key stays claimed for the window and resends are told
// that the outcome is unknown. Waiting or asking others cannot do better.
package protocol
