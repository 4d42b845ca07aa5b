// Package advertised tracks the request rates that upstreams advertise in their answers as the most
// that they take from all instances together.
//
// Load pattern: an upstream in need answers requests and names a rate that is far below what it gets.
// It names it to the instance that sent the request, changes it at any time, and stops naming it when
// it has recovered.
//
// Without it: each instance learns of the rate only from its own requests, and one that has heard of
// another rate, or of none, sends as before.
//
// The newest statement about a run of an upstream holds, whichever instance got it. Statements are
// dated by the instance's clock that includes suspensions; those of other instances by the time since
// they got them.
package advertised

import (
	"slices"
	"time"
)

const (
	// minRate is the lowest rate at which requests are sent, per second. An upstream that takes no
	// request at all could not say that it takes some again.
	minRate = 0.25
	// burstSeconds is the part of the burst that grows with the rate, in seconds of it. One request is
	// added.
	burstSeconds = 0.5
	// minRecheck and maxRecheck limit the time without requests after an upstream has got as many as it
	// takes.
	minRecheck = 20 * time.Millisecond
	maxRecheck = 500 * time.Millisecond
	// endRetention is how long the end of a limit is remembered, so that older statements of other
	// instances do not restore it.
	endRetention = 10 * time.Second
)

// Key identifies a run of an upstream.
type Key uint64

// Statement is what an upstream has said about the requests that it takes.
type Statement struct {
	// Limited is set if it named a rate; PerSecond is that rate.
	Limited   bool
	PerSecond float64
	// At is when it said so.
	At time.Duration
}

// Rate returns the rate at which requests are sent, per second.
func (s Statement) Rate() float64 { return max(s.PerSecond, minRate) }

// Burst returns the number of requests that may be sent at once.
func (s Statement) Burst() float64 { return 1 + burstSeconds*s.Rate() }

// Table holds the newest statement of each upstream that has named a rate. It is not safe for
// concurrent use.
type Table struct {
	statements map[Key]Statement
	spent      map[Key]spent
}

// spent describes an upstream that has got as many requests as it takes.
type spent struct {
	// until is the time before which no request is tried; room is when there is expected to be room.
	until, room time.Duration
}

// NewTable returns a table without statements.
func NewTable() *Table {
	return &Table{statements: make(map[Key]Statement), spent: make(map[Key]spent)}
}

// Record records a statement, unless a newer one is known. It reports whether the rate changed.
func (t *Table) Record(key Key, s Statement) (changed bool) {
	old, known := t.statements[key]
	if known && s.At < old.At || !known && !s.Limited {
		return false
	}
	t.statements[key] = s
	if !s.Limited {
		delete(t.spent, key)
	}
	return old.Limited != s.Limited || old.PerSecond != s.PerSecond
}

// Limit returns the rate that an upstream names. ok is false if it names none.
func (t *Table) Limit(key Key) (s Statement, ok bool) {
	s = t.statements[key]
	return s, s.Limited
}

// MarkSpent records that an upstream has got as many requests as it takes, and the time after which
// there is expected to be room for another. Requests are tried earlier, because the rate may change.
func (t *Table) MarkSpent(now time.Duration, key Key, retry time.Duration) {
	t.spent[key] = spent{until: now + min(max(retry, minRecheck), maxRecheck), room: now + retry}
}

// Spent reports whether no request may be sent to an upstream, and the time after which there is
// expected to be room.
func (t *Table) Spent(now time.Duration, key Key) (retry time.Duration, ok bool) {
	s, known := t.spent[key]
	if !known || now >= s.until {
		return 0, false
	}
	return max(s.room-now, minRecheck), true
}

// Len returns the number of upstreams with a statement.
func (t *Table) Len() int { return len(t.statements) }

// Keys returns the upstreams with a statement in ascending order.
func (t *Table) Keys() []Key {
	keys := make([]Key, 0, len(t.statements))
	for key := range t.statements {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Statement returns the newest statement of an upstream.
func (t *Table) Statement(key Key) Statement { return t.statements[key] }

// Sweep drops upstreams that no longer exist, and ended limits after endRetention.
func (t *Table) Sweep(now time.Duration, exists func(Key) bool) {
	for key, s := range t.statements {
		if !exists(key) || !s.Limited && now-s.At > endRetention {
			delete(t.statements, key)
			delete(t.spent, key)
		}
	}
}
