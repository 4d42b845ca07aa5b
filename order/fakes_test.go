package order

import (
	"context"
	"sync"

	"github.com/cairnworks/cairnworks/once/memlog"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

// fakeEngine is an upstream that implements only Order and Load.
type fakeEngine struct {
	port.Engine
	mu            sync.Mutex
	checksFencing bool
	fence         uint64
	role          string
	orders        int
	// loseResponse breaks the connection after each order; ignoreOrders accepts orders
	// without effect.
	loseResponse, ignoreOrders bool
}

func (e *fakeEngine) Order(_ context.Context, o port.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if e.checksFencing && o.Fence < e.fence {
		return verdict.Refuse(verdict.ReasonUpstreamRefused, 0, "fencing token %d is older than %d", o.Fence, e.fence)
	}
	e.fence = o.Fence
	if !e.ignoreOrders {
		e.role = o.Name
	}
	if e.loseResponse {
		return memlog.ErrConnectionBroken
	}
	return nil
}

func (e *fakeEngine) Load(context.Context) (port.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return port.Load{Role: e.role}, nil
}
