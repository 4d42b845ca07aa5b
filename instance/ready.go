package instance

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/rate"
	"github.com/cairnworks/cairnworks/rate/lease"
)

const (
	// readyPoll is how often a starting instance looks whether it can spend.
	readyPoll = 50 * time.Millisecond
	// readyPatience bounds the wait. It is above the time in which a new home waits
	// for its predecessor's lease to end; past it the log is down or a peer hangs,
	// and an instance that serves with fewer shares is better than none.
	readyPatience = 15 * time.Second
)

// readiness tells the balancer when an instance may get callers. Ready only with
// a configuration would send callers to a fleet whose rate homes are still waiting
// for their leases, or that does not hear an instance which cannot tell its id yet, and
// refuse requests that are within their rate.
type readiness struct {
	rate atomic.Bool
}

// ready reports whether the balancer should send callers here.
func (i *Instance) ready() bool {
	return i.notReadyReason() == ""
}

// notReadyReason says to operators what an instance that is not ready waits for.
func (i *Instance) notReadyReason() string {
	switch {
	case i.drain.draining():
		return "draining"
	case !i.follower.Ready():
		return "no configuration yet"
	case !i.readiness.rate.Load():
		return "the fleet's id or rate homes are not settled yet"
	default:
		return ""
	}
}

// awaitRate waits once until the fleet's id and the rate homes of every shard are known and
// those of this instance may spend.
func (i *Instance) awaitRate(ctx context.Context) error {
	deadline := time.Now().Add(readyPatience)
	for !i.canSpend() && time.Now().Before(deadline) {
		if !sleep(ctx, readyPoll) {
			return nil
		}
	}
	i.readiness.rate.Store(true)
	i.log.Info("rate homes settled", zap.Bool("all", settled(i.rate.Status(), i.settings.Instance)), zap.Stringer("fleet_id", i.fleet.Identity().ID))
	return nil
}

// canSpend reports whether the others hear this instance by its fleet's id, and every share has
// a home that may spend as far as is known here.
func (i *Instance) canSpend() bool {
	return i.fleet.Identity().ID != 0 && settled(i.rate.Status(), i.settings.Instance)
}

// settled reports whether every shard has a holder and this instance may spend
// under each term that is its own.
func settled(status rate.Status, self string) bool {
	spending := make(map[uint32]bool, len(status.Held))
	for _, held := range status.Held {
		if held.Phase != lease.PhaseSpending {
			return false
		}
		spending[held.Shard] = true
	}
	for shard, holder := range status.Holders {
		if holder.Instance == "" || holder.Instance == self && !spending[uint32(shard)] {
			return false
		}
	}
	return len(status.Holders) > 0
}
