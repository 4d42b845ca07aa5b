package once

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

// fault is what the fake log does to an append.
type fault uint8

const (
	noFault fault = iota
	// refuse fails the append before it has an effect, and says so.
	refuse
	// loseAnswer appends and then fails as if the connection had broken.
	loseAnswer
	// loseRequest fails as if the connection had broken, without appending.
	loseRequest
)

var errBroken = errors.New("connection broken")

// fakeLog keeps streams in memory.
type fakeLog struct {
	mu      sync.Mutex
	changed chan struct{}
	streams map[string][]port.Record
	first   map[string]uint64
	// next faults of appends, used up in order.
	faults []fault
	down   bool
	// slow delays each append's effect.
	slow  time.Duration
	calls int
	bytes int
	// callers counts appends by instance and stream.
	callers map[string]int
}

func newFakeLog() *fakeLog {
	return &fakeLog{changed: make(chan struct{}), streams: map[string][]port.Record{}, first: map[string]uint64{}, callers: map[string]int{}}
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) nextFault() fault {
	if l.down {
		return refuse
	}
	if len(l.faults) == 0 {
		return noFault
	}
	f := l.faults[0]
	l.faults = l.faults[1:]
	return f
}

func (l *fakeLog) Append(_ context.Context, stream string, entries ...port.Entry) (uint64, error) {
	var first uint64
	var err error
	l.mu.Lock()
	slow := l.slow
	l.mu.Unlock()
	time.Sleep(slow)
	l.set(func() {
		l.calls++
		f := l.nextFault()
		switch f {
		case refuse:
			err = verdict.Refuse(verdict.ReasonLogUnavailable, time.Second, "down")
			return
		case loseRequest:
			err = errBroken
			return
		case loseAnswer:
			err = errBroken
		}
		first = uint64(len(l.streams[stream])) + 1
		for i, e := range entries {
			l.bytes += len(e.Data) + len(e.ID)
			l.streams[stream] = append(l.streams[stream], port.Record{Offset: first + uint64(i), ID: e.ID, Data: e.Data})
		}
	})
	return first, err
}

func (l *fakeLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (port.Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		l.mu.Lock()
		page, down, changed := l.page(stream, from, limit), l.down, l.changed
		l.mu.Unlock()
		if down {
			return port.Page{}, errBroken
		}
		if len(page.Records) > 0 || wait == 0 {
			return page, nil
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

// cutLog is the log as one instance reaches it, until the instance dies.
type cutLog struct {
	*fakeLog
	name string
	dead *atomic.Bool
}

func (l cutLog) Append(ctx context.Context, stream string, entries ...port.Entry) (uint64, error) {
	if l.dead.Load() {
		return 0, verdict.Refuse(verdict.ReasonLogUnavailable, time.Second, "unreachable")
	}
	l.set(func() { l.callers[l.name+" "+stream]++ })
	return l.fakeLog.Append(ctx, stream, entries...)
}

func (l cutLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (port.Page, error) {
	if l.dead.Load() {
		return port.Page{}, errBroken
	}
	page, err := l.fakeLog.Read(ctx, stream, from, limit, wait)
	if l.dead.Load() {
		return port.Page{}, errBroken
	}
	return page, err
}

func (l *fakeLog) page(stream string, from uint64, limit int) port.Page {
	records := l.streams[stream]
	first := max(l.first[stream], 1)
	from = max(from, first)
	page := port.Page{First: first, Next: uint64(len(records)) + 1}
	for o := from; o < page.Next && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, records[o-1])
	}
	return page
}
