package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/upstream"
)

// Limits and timings of reachability checks.
const (
	// reachCheckTimeout limits the check of an engine that another instance reported unreachable.
	reachCheckTimeout = 250 * time.Millisecond
	// reachCheckInterval is the minimum time between checks of an engine. If the engine was
	// reached, the instance that reported it is itself cut off from the engine.
	reachCheckInterval = 500 * time.Millisecond
)

// reachChecks tracks the checks that a home makes of engines reported unreachable by other
// instances. Without them, after a crash of many engines, each instance would discover each crashed
// engine by itself; because nothing is placed there, those engines look the least loaded and are
// assigned first.
type reachChecks struct {
	mu sync.Mutex
	// lastChecked is the time of each engine's last check.
	lastChecked map[string]time.Duration
}

// tryStart reports whether an engine is due for a check, and records the check.
func (r *reachChecks) tryStart(id string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, known := r.lastChecked[id]; known && now-at < reachCheckInterval {
		return false
	}
	for other, at := range r.lastChecked {
		if now-at >= reachCheckInterval {
			delete(r.lastChecked, other)
		}
	}
	r.lastChecked[id] = now
	return true
}

// checkReported checks engines that another instance reported unreachable. They get no requests
// until the check ends.
func (d *dispatcher) checkReported(p *pool, list []fleet.Hash) {
	ejected := d.gateway.outliers.ejected(d.gateway.state.Directory.Service(d.service))
	for id := range p.idsOf(list) {
		if !ejected[id] && d.reachChecks.tryStart(id, boottime.Now()) {
			p.setOpen(id, false)
			go d.checkReachable(p, id)
		}
	}
}

// checkReachable checks one engine.
func (d *dispatcher) checkReachable(p *pool, id string) {
	entry, known := d.gateway.state.Directory.Current(id)
	if known {
		ctx, cancel := context.WithTimeout(context.Background(), reachCheckTimeout)
		defer cancel()
		if reach, err := d.gateway.Upstreams.CheckReachable(ctx, entry); reach == upstream.Unreachable {
			d.gateway.outliers.recordUnreachable(entry, err)
			d.gateway.log.Info("upstream failed reachability check", zap.String("upstream", id), zap.Error(err))
		}
	}
	p.setOpen(id, true)
	d.recheck()
}
