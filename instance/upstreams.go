package instance

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/scheduler"
)

// upstreamListInterval is how often the platform's list of upstreams is read. It
// adds to the list's own lag, and a leaving upstream must get no new work after a
// few seconds.
const upstreamListInterval = time.Second

// leavingList is what the platform's list says of leaving upstreams, by address.
type leavingList struct {
	addresses atomic.Pointer[map[string]bool]
}

func (l *leavingList) has(address string) bool {
	addresses := l.addresses.Load()
	return addresses != nil && (*addresses)[address]
}

// followUpstreams reads the list until ctx ends. While the list cannot be read
// what it last said stays: taking an upstream for staying when it leaves costs
// requests, the other way round costs a few slots.
func (i *Instance) followUpstreams(ctx context.Context) error {
	if i.platform.list == nil {
		return nil
	}
	for sleep(ctx, upstreamListInterval) {
		// Only schedulers use the list. At 400 instances and 600 upstreams each
		// reading costs 64 KB.
		if !i.sched.HasServices() {
			continue
		}
		listed, err := i.platform.list.Upstreams(ctx)
		if err != nil {
			i.metrics.Scope.Counter("upstream_list_errors").Inc(1)
			continue
		}
		leaving := make(map[string]bool)
		for _, u := range listed {
			if u.Leaving {
				leaving[u.Address] = true
			}
		}
		before := i.leaving.addresses.Swap(&leaving)
		if before == nil && len(leaving) == 0 || before != nil && maps.Equal(*before, leaving) {
			continue
		}
		i.log.Info("leaving upstreams changed", zap.Int("leaving", len(leaving)))
		i.refreshSchedulers()
	}
	return nil
}

// catalogue gives schedulers the object set with what the list says of leaving
// upstreams. Of the set, the list and an upstream's own report the most careful
// one holds.
type catalogue struct {
	*object.Index
	leaving *leavingList
}

// Upstreams implements scheduler.Catalogue.
func (c catalogue) Upstreams(service string) []*object.Upstream {
	published := c.Index.Upstreams(service)
	upstreams := make([]*object.Upstream, len(published))
	for n, u := range published {
		upstreams[n] = u
		if !u.Leaving && c.leaving.has(u.Address) {
			copied := *u
			copied.Leaving = true
			upstreams[n] = &copied
		}
	}
	return upstreams
}

func (i *Instance) catalogue() scheduler.Catalogue {
	if index := i.index(); index != nil {
		return catalogue{index, &i.leaving}
	}
	return nil
}
