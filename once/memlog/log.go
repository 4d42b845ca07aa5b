// Package memlog implements the platform's log in memory for tests, with injectable faults. It
// uses no network, so that it works under testing/synctest.
package memlog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

// Fault is a fault injected into one append.
type Fault uint8

const (
	// LoseResponse appends the entries and then fails as if the connection had broken.
	LoseResponse Fault = iota + 1
	// LoseRequest fails as if the connection had broken, without appending.
	LoseRequest
)

// ErrConnectionBroken is returned by a call whose connection broke.
var ErrConnectionBroken = errors.New("connection broken")

// Log implements port.Log. Use New to create one; the zero value is not usable.
type Log struct {
	mu sync.Mutex
	// changed is closed and replaced when waiting reads must check again.
	changed     chan struct{}
	streams     map[string]*stream
	faults      []Fault
	down        bool
	appendDelay time.Duration
	appends     int
	bytes       int
}

type stream struct {
	records []port.Record
	// first is the lowest retained offset.
	first uint64
}

// New returns an empty log.
func New() *Log {
	return &Log{changed: make(chan struct{}), streams: make(map[string]*stream)}
}

// Append implements port.Log.
func (l *Log) Append(_ context.Context, name string, entries ...port.Entry) (uint64, error) {
	l.mu.Lock()
	delay := l.appendDelay
	l.mu.Unlock()
	time.Sleep(delay)

	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, unavailableError()
	}
	l.appends++
	fault := l.nextFault()
	if fault == LoseRequest {
		return 0, ErrConnectionBroken
	}
	first := l.appendEntries(name, entries)
	if fault == LoseResponse {
		return 0, ErrConnectionBroken
	}
	return first, nil
}

func unavailableError() error {
	return verdict.Refuse(verdict.ReasonLogUnavailable, time.Second, "the log is down")
}

func (l *Log) nextFault() Fault {
	if len(l.faults) == 0 {
		return 0
	}
	fault := l.faults[0]
	l.faults = l.faults[1:]
	return fault
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	return s
}

func (l *Log) appendEntries(name string, entries []port.Entry) uint64 {
	s := l.stream(name)
	first := uint64(len(s.records)) + 1
	for i, e := range entries {
		l.bytes += len(e.ID) + len(e.Data)
		s.records = append(s.records, port.Record{Offset: first + uint64(i), ID: e.ID, Data: e.Data})
	}
	l.notifyReaders()
	return first
}

// notifyReaders wakes all waiting reads.
func (l *Log) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (port.Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, changed, err := l.readPage(name, from, limit)
		if err != nil || len(page.Records) > 0 || wait == 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return port.Page{}, ctx.Err()
		case <-timeout.C:
			return page, nil
		case <-changed:
		}
	}
}

func (l *Log) readPage(name string, from uint64, limit int) (port.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return port.Page{}, nil, ErrConnectionBroken
	}
	s := l.stream(name)
	page := port.Page{First: s.first, Next: uint64(len(s.records)) + 1}
	for o := max(from, s.first); o < page.Next && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, s.records[o-1])
	}
	return page, l.changed, nil
}
