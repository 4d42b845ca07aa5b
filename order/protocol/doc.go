// Package protocol decides who may send an order to an upstream, as a pure state
// machine over the records of one log stream. It knows no clock, network or log.
//
// The load pattern it answers: two operators, or one operator and a late instance,
// order the same upstream to load different models or to change role. Without it
// the order of a holder that was paused arrives after its successor's and undoes
// it, and both operators believe that theirs is in force.
//
// # Rules
//
//  1. A claim names the offset that its operator acted from. It is accepted when no
//     claim for the same upstream was accepted after that offset.
//  2. A holder sends its order only after reading its own claim from the log as
//     accepted, and only while its lease lasts. It counts the lease from before it
//     appended the claim. A result record ends the claim early.
//  3. The fencing token of an order is the offset of its claim.
//  4. For an upstream that does not check tokens, a claim is appended only after the
//     lease of every earlier accepted claim without a result is over. Whoever waits
//     counts the lease from when it read the claim, and adds Margin.
//
// # Why a late order cannot undo a newer one
//
// Let claims A and B be accepted for one upstream, A at the lower offset. An upstream
// that checks has seen B's higher token and refuses A's. For one that does not
// check: B was accepted, so its operator acted from an offset at or after A (rule 1)
// and its holder had read A. It appended B after waiting for A's lease from the time
// it read A, which is after A was appended, which is after A's holder began to count.
// So A's holder had stopped sending before B was claimed, however long it was
// paused, unless its clock runs slower than Margin allows or it was paused between
// its last look at the clock and the write to the connection. That last gap cannot be
// closed without the upstream's help; it is why the state is read back after an order.
//
// Readers that began at different offsets agree on what is certain: see Judgement.
// Claims that the log has dropped are older than its retention, which is far longer
// than MaxLease.
package protocol
