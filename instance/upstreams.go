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

// upstreamListInterval is the interval at which the platform's list of upstreams is read. It adds
// to the lag of the list, and a leaving upstream must receive no new work after a few seconds.
const upstreamListInterval = time.Second

// leavingUpstreams are the addresses of the upstreams that are leaving according to the platform's
// list.
type leavingUpstreams struct {
	addresses atomic.Pointer[map[string]bool]
}

func (l *leavingUpstreams) contains(address string) bool {
	addresses := l.addresses.Load()
	return addresses != nil && (*addresses)[address]
}

// pollUpstreamList reads the list periodically until ctx is done. If the list cannot be read, the
// last result is kept: treating a leaving upstream as staying would fail requests, whereas treating
// a staying upstream as leaving only leaves a few slots unused.
func (i *Instance) pollUpstreamList(ctx context.Context) error {
	if i.platform.list == nil {
		return nil
	}
	for sleep(ctx, upstreamListInterval) {
		// Only schedulers use the list. With 400 instances and 600 upstreams, every read transfers
		// 64 KB.
		if !i.scheduler.HasServices() {
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

// catalogue is the object set for schedulers, combined with the list of leaving upstreams. An
// upstream is leaving if the object set, the list or the upstream's own report says so.
type catalogue struct {
	*object.Index
	leaving *leavingUpstreams
}

// Upstreams implements scheduler.Catalogue.
func (c catalogue) Upstreams(service string) []*object.Upstream {
	published := c.Index.Upstreams(service)
	upstreams := make([]*object.Upstream, len(published))
	for n, u := range published {
		upstreams[n] = u
		if !u.Leaving && c.leaving.contains(u.Address) {
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
