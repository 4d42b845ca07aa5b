package order

import (
	"context"
	"sync"

	"github.com/cairnworks/cairnworks/once/memlog"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

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
		return memlog.ErrConnectionBroken
	}
	return nil
}

func (e *fakeEngine) Load(context.Context) (port.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return port.Load{Role: e.role}, nil
}
