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
	// readyPollInterval is the interval at which a starting instance checks canSpend.
	readyPollInterval = 50 * time.Millisecond
	// readyTimeout limits the wait. It exceeds the time for which a new home waits until the lease
	// of its predecessor expires. If the wait takes longer, the log is down or a peer hangs, and an
	// instance that can use only some shares of the token rate is better than none.
	readyTimeout = 15 * time.Second
)

// readiness determines when the load balancer may send callers to an instance. A configuration is
// not sufficient: the rate homes may still be waiting for leases, or the other instances may ignore
// this one because it does not know its fleet ID yet. Requests within their rate would then be
// refused.
type readiness struct {
	rate atomic.Bool
}

// ready reports whether the load balancer should send callers to this instance.
func (i *Instance) ready() bool {
	return i.notReadyReason() == ""
}

// notReadyReason returns the reason why the instance is not ready, for operators, or an empty
// string if it is ready.
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

// waitForRate waits until canSpend returns true or readyTimeout has passed, and then marks the rate
// as ready. It runs once, at the start.
func (i *Instance) waitForRate(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for !i.canSpend() && time.Now().Before(deadline) {
		if !sleep(ctx, readyPollInterval) {
			return nil
		}
	}
	i.readiness.rate.Store(true)
	i.log.Info("rate homes settled", zap.Bool("all", homesSettled(i.rate.Status(), i.settings.Instance)), zap.Stringer("fleet_id", i.fleetID.Identity().ID))
	return nil
}

// canSpend reports whether the fleet ID is known, without which other instances ignore this one,
// and whether the rate homes are settled.
func (i *Instance) canSpend() bool {
	return i.fleetID.Identity().ID != 0 && homesSettled(i.rate.Status(), i.settings.Instance)
}

// homesSettled reports whether every shard has a holder and this instance may spend under each of
// its own terms.
func homesSettled(status rate.Status, self string) bool {
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
