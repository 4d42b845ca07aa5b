package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

var errBroken = errors.New("connection broken")

// fakeLog keeps one stream in memory.
type fakeLog struct {
	mu      sync.Mutex
	records []port.Record
	first   uint64
	down    bool
	// loseAnswer and loseRequest break the next append's connection, after or before
	// its effect.
	loseAnswer, loseRequest bool
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) Append(_ context.Context, _ string, entries ...port.Entry) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, verdict.Refuse(verdict.ReasonLogUnavailable, time.Second, "down")
	}
	if l.loseRequest {
		l.loseRequest = false
		return 0, errBroken
	}
	first := uint64(len(l.records)) + 1
	for i, e := range entries {
		l.records = append(l.records, port.Record{Offset: first + uint64(i), ID: e.ID, Data: e.Data})
	}
	if l.loseAnswer {
		l.loseAnswer = false
		return 0, errBroken
	}
	return first, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, limit int, _ time.Duration) (port.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return port.Page{}, errBroken
	}
	page := port.Page{First: max(l.first, 1), Next: uint64(len(l.records)) + 1}
	for o := max(from, page.First); o < page.Next && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, l.records[o-1])
	}
	return page, nil
}

// fakeEngine is one upstream. Only Order and Load are called.
type fakeEngine struct {
	port.Engine
	mu     sync.Mutex
	checks bool
	fence  uint64
	role   string
	orders int
	// loseAnswer breaks the connection after an order; ignore takes it without effect.
	loseAnswer, ignore bool
}

func (e *fakeEngine) Order(_ context.Context, o port.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if e.checks && o.Fence < e.fence {
		return verdict.Refuse(verdict.ReasonUpstreamRefused, 0, "token %d is older than %d", o.Fence, e.fence)
	}
	e.fence = o.Fence
	if !e.ignore {
		e.role = o.Name
	}
	if e.loseAnswer {
		return errBroken
	}
	return nil
}

func (e *fakeEngine) Load(context.Context) (port.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return port.Load{Role: e.role}, nil
}
