// Package group makes all scheduling decisions for one service: which requests
// wait, which are refused, and which upstreams serve the others.
//
// Load pattern: the decode upstreams of a service are nearly full and several
// times as many requests arrive as it can serve. Without this package, prefills
// are spent on requests that then find no decode slot, memory or link; requests
// are accepted that miss their target after a long wait; and the organisation that
// sends most takes most of the service.
//
// Group is a deterministic state machine that combines the queue (package queue),
// the counts of slots and memory (package placement), the choice of a prefill
// upstream (package prefill) and the bookings of links (package transfer). The
// caller passes in the time, which must not go backwards. Group is not safe for
// concurrent use. A call takes time at most linear in the number of upstreams and
// logarithmic in the number of organisations; it does not depend on the number of
// queued requests.
//
// A request holds its decode slot, memory, link time and prefill slot from its
// Grant on. Release returns all of them, whatever the outcome. Adopt, Report and
// SetHealth return no decisions; the caller must call Advance after them.
package group
