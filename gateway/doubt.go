package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
)

// Figures of doubted engines.
const (
	// doubtPatience bounds the check of an engine that others cannot reach.
	doubtPatience = 250 * time.Millisecond
	// doubtPause is how long an engine that was reached is not checked again: who cannot reach
	// it is cut off from it.
	doubtPause = 500 * time.Millisecond
)

// doubts are the engines that a home checks since others could not reach them. After a crash of
// many, each instance would find each of them by itself; as nothing is placed there, they look
// the least used and are given first.
type doubts struct {
	mu sync.Mutex
	// checked is when each engine was last checked.
	checked map[string]time.Duration
}

// begin reports whether an engine is to be checked now.
func (d *doubts) begin(id string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, known := d.checked[id]; known && now-at < doubtPause {
		return false
	}
	for other, at := range d.checked {
		if now-at >= doubtPause {
			delete(d.checked, other)
		}
	}
	d.checked[id] = now
	return true
}

// doubt checks engines that another instance could not reach. Until the check ends they get
// nothing.
func (k *desk) doubt(p *pool, list []fleet.Hash) {
	suspects := k.gateway.suspects.among(k.gateway.state.Directory.Service(k.service))
	for id := range p.named(list) {
		if !suspects[id] && k.doubts.begin(id, boottime.Now()) {
			p.shut(id, false)
			go k.check(p, id)
		}
	}
}

// check tries to reach an engine.
func (k *desk) check(p *pool, id string) {
	entry, known := k.gateway.state.Directory.Current(id)
	if known {
		ctx, cancel := context.WithTimeout(context.Background(), doubtPatience)
		defer cancel()
		if err := k.gateway.Upstreams.CheckReachable(ctx, entry); err != nil {
			k.gateway.suspects.unreached(entry, err)
			k.gateway.log.Info("doubted upstream not reached", zap.String("upstream", id), zap.Error(err))
		}
	}
	p.shut(id, true)
	k.look()
}
