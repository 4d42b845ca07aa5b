// Package protocol decides who may send an order to an upstream. It is a pure state
// machine over the records of one log stream and uses no clock, network or log of its
// own.
//
// It prevents the following failure: two operators, or one operator and a delayed
// instance, order the same upstream to load different models or to change role. The
// order of a paused holder arrives after its successor's and overwrites it, and both
// operators believe that their own order is in effect.
//
// # Rules
//
//  1. A claim carries the log offset of the state that its operator saw, its base
//     offset. It is accepted if no claim for the same upstream was accepted after that
//     offset.
//  2. A holder sends its order only after it has read its own claim from the log as
//     accepted, and only within its lease. The lease starts before the claim is
//     appended. A result record releases the claim early.
//  3. The fencing token of an order is the offset of its claim.
//  4. For an upstream that does not check fencing tokens, a claim is appended only
//     after the lease of every earlier accepted claim without a result has expired. The waiting
//     instance starts each lease when it reads the claim, and adds Margin.
//
// # Why a stale order cannot overwrite a newer one
//
// Let claims A and B be accepted for one upstream, A at the lower offset. An upstream
// that checks fencing tokens and has seen B's higher one refuses A's. For one that does not
// check: B was accepted, so its base offset is at or after A (rule 1) and its holder
// had read A. It appended B after waiting for A's lease, counted from when it read A.
// That is after A was appended, and hence after A's holder started its lease. So A's
// holder had stopped sending before B was claimed, however long it was paused, unless
// its clock runs slower than Margin allows or it was paused between its last check of
// the clock and the write to the connection. That last gap cannot be closed without
// the upstream's help; for this reason the state is read back after an order.
//
// Readers that start at different offsets agree on every status that they determine;
// see Status. Claims that the log has dropped are older than its retention, which is
// far longer than MaxLease.
package protocol
