// Package group is the whole decision of one service's scheduler: who waits, who
// is refused, and which upstreams a request gets.
//
// Load pattern: a service whose decode upstreams are nearly full, with several
// times as many requests as it can serve. Without it, prefills are paid for that
// find no decode slot, memory or link; requests are taken in that miss their
// target after a long wait; and the loudest organisation takes the service.
//
// Group is a pure state machine that joins the queue (package queue), the counts
// of slots and memory (package placement), prefill choice (package prefill) and
// link bookings (package transfer). Times are passed in and must not go backwards.
// It is not safe for concurrent use. Every call costs time in proportion to the
// number of upstreams at most, never to that of queued requests, and the logarithm
// of the number of organisations.
//
// A request holds its decode slot, memory, link time and prefill place from its
// Grant on; Release gives all of them back, whatever the outcome. Adopt, Report
// and SetHealth return no decisions; a driver calls Advance after them.
package group
