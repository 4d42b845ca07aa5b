// Package advertised tracks what upstreams say of themselves in their answers: the request rate that they take
// from all instances together, that they are shutting down, and how long the
// instance that they answered must back off.
//
// Load pattern: an upstream in need names a rate that is far below what it gets, or turns requests away and
// requests a backoff. One that shuts down says so in its answers before the store's list does, or while
// the store is away.
//
// Without it: each instance learns of a rate only from its own requests, an upstream that turns requests away
// at once looks the least loaded and attracts more, and requests are lost with an upstream that has left.
//
// A statement is about a run of an upstream, whatever its entry in a list says. The newest one about a rate
// holds, whichever instance got it; that it leaves holds until the run ends, at all instances; a backoff
// holds to its end, at the instance that was asked. Times are of the instance's clock that includes
// suspensions; those of other instances are derived from the age that they report.
package advertised

import (
	"maps"
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
	// leavingRetention is how long a run that leaves is remembered after it was last listed or heard of. An
	// outdated entry of it may come back after an outage of the store.
	leavingRetention = 10 * time.Minute
	// leavingReportTime is how long it is reported to other instances. If they reported what they only know
	// from each other, none would ever drop it.
	leavingReportTime = 10 * time.Second
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

// Table holds what upstreams have said. It is not safe for concurrent use.
type Table struct {
	// statements holds the newest statement of each upstream that has named a rate.
	statements map[Key]Statement
	spent      map[Key]spent
	// leaving holds when each upstream that leaves was last heard of, backoffs the end of each backoff.
	leaving, backoffs map[Key]time.Duration
}

// spent describes an upstream that has got as many requests as it takes.
type spent struct {
	// until is the time before which no request is tried; room is when there is expected to be room.
	until, room time.Duration
}

// NewTable returns a table without statements.
func NewTable() *Table {
	return &Table{statements: make(map[Key]Statement), spent: make(map[Key]spent), leaving: make(map[Key]time.Duration), backoffs: make(map[Key]time.Duration)}
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

// RecordLeaving records that an upstream leaves. It reports whether that was not known.
func (t *Table) RecordLeaving(now time.Duration, key Key) (isNew bool) {
	_, known := t.leaving[key]
	t.leaving[key] = now
	return !known
}

// IsLeaving reports whether an upstream has said that it leaves.
func (t *Table) IsLeaving(key Key) bool {
	_, leaving := t.leaving[key]
	return leaving
}

// RecordBackoff records that an upstream has requested a backoff. Of several backoffs, the one that ends last
// holds. It reports whether no backoff held before.
func (t *Table) RecordBackoff(now time.Duration, key Key, backoff time.Duration) (isNew bool) {
	_, backingOff := t.Backoff(now, key)
	t.backoffs[key] = max(t.backoffs[key], now+backoff)
	return !backingOff
}

// Backoff returns the time until the end of an upstream's backoff. ok is false if none holds.
func (t *Table) Backoff(now time.Duration, key Key) (left time.Duration, ok bool) {
	left = t.backoffs[key] - now
	return left, left > 0
}

// IsEmpty reports whether no upstream has said anything, which is the usual case.
func (t *Table) IsEmpty() bool { return len(t.statements)+len(t.leaving)+len(t.backoffs) == 0 }

// LeavingToReport returns the upstreams that leave and were listed or heard of lately, in ascending order.
func (t *Table) LeavingToReport(now time.Duration) []Key {
	var keys []Key
	for key, heard := range t.leaving {
		if now-heard <= leavingReportTime {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Keys returns the upstreams with a statement about a rate in ascending order.
func (t *Table) Keys() []Key { return slices.Sorted(maps.Keys(t.statements)) }

// Statement returns the newest statement of an upstream.
func (t *Table) Statement(key Key) Statement { return t.statements[key] }

// Sweep drops upstreams that no longer exist, and what has ended.
func (t *Table) Sweep(now time.Duration, exists func(Key) bool) {
	for key, s := range t.statements {
		if !exists(key) || !s.Limited && now-s.At > endRetention {
			delete(t.statements, key)
			delete(t.spent, key)
		}
	}
	for key, heard := range t.leaving {
		if exists(key) {
			t.leaving[key] = now
		} else if now-heard > leavingRetention {
			delete(t.leaving, key)
		}
	}
	for key := range t.backoffs {
		if _, backingOff := t.Backoff(now, key); !backingOff {
			delete(t.backoffs, key)
		}
	}
}
