package scheduler

import (
	"context"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/group"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
)

// cancelTimeout is the timeout of a cancel sent by the scheduler.
const cancelTimeout = 2 * time.Second

// renew extends the leases of an instance's grants and adopts grants given by another scheduler. It
// returns the IDs of the grants that are no longer valid.
func (a *serviceActor) renew(now time.Time, msg renewMsg) []uint64 {
	var lost []uint64
	for _, held := range msg.grants {
		if l := a.leases[held.key]; l != nil {
			l.expires, l.holder = now.Add(LeaseDuration), msg.holder
			continue
		}
		if _, ended := a.endedAt[held.key]; ended {
			lost = append(lost, held.id)
			continue
		}
		a.adopt(now, held, msg.holder)
	}
	return lost
}

// adopt creates a lease for a running attempt that this scheduler did not grant.
func (a *serviceActor) adopt(now time.Time, held heldGrant, holder request.Holder) {
	a.adoptedCount++
	id := adoptedIDFlag | a.adoptedCount
	a.group.Adopt(now, group.ActiveGrant{
		ID: id, RequestID: held.key.String(), Organisation: held.organisation,
		Prefill: held.prefill, Decode: held.decode, Pieces: held.pieces,
	})
	l := &lease{id: id, key: held.key, holder: holder, prefill: held.prefill, decode: held.decode, expires: now.Add(LeaseDuration), fingerprint: held.fingerprint}
	a.leases[held.key] = l
	a.metrics.Scope.Counter("grants_adopted").Inc(1)
}

// adoptedIDFlag is set in the IDs of adopted grants to distinguish them from the IDs that the group
// assigns.
const adoptedIDFlag = uint64(1) << 63

// handleReport processes an upstream's load and stream list. A stream without a lease was either
// granted by a previous scheduler, in which case its owner will renew it, or it is orphaned, in
// which case the lease created here will expire.
func (a *serviceActor) handleReport(now time.Time, msg reportMsg) {
	a.group.Report(now, msg.upstream, group.LoadReport{
		Running: msg.load.Running, Slots: msg.load.Slots, PiecesUsed: msg.load.PiecesUsed,
		Pieces: msg.load.Pieces, Queued: msg.load.Queued, Leaving: msg.load.Leaving,
	})
	a.processes[msg.upstream] = msg.load.Start
	a.warmup.markReported(msg.upstream)
	if !a.isHome() {
		return
	}
	a.requestListOnExcess(msg)
	for _, s := range msg.streams {
		key := attemptKeyOf(s.Stream)
		if a.leases[key] != nil {
			continue
		}
		endedAt, ended := a.endedAt[key]
		switch {
		case !ended:
			a.adopt(now, heldGrant{key: key, decode: msg.upstream, pieces: s.Pieces}, s.Stream.Owner)
		case msg.requestedAt.Sub(endedAt) > lostCancelDelay:
			a.metrics.Scope.Counter("orphans_cancelled").Inc(1)
			a.log.Info("orphaned stream cancelled", zap.String("request", key.request), zap.String("upstream", msg.upstream))
			a.cancelStream(s.Stream, msg.upstream)
		}
	}
}

// requestListOnExcess requests an upstream's stream list if two consecutive reports count more
// streams than there are leases. A single report can still include streams that have just ended.
func (a *serviceActor) requestListOnExcess(msg reportMsg) {
	known := 0
	for _, l := range a.leases {
		if l.decode == msg.upstream || l.prefill == msg.upstream && !l.prefillDone {
			known++
		}
	}
	if msg.hasStreams || msg.load.Running <= known {
		a.excessReports[msg.upstream] = 0
		return
	}
	a.excessReports[msg.upstream]++
	if a.excessReports[msg.upstream] < 2 {
		return
	}
	select {
	case msg.requestList <- struct{}{}:
	default: // a list has already been requested
	}
}

func (a *serviceActor) applyCacheEvents(now time.Time, msg cacheEventsMsg) {
	if msg.reset {
		a.group.CacheReset(msg.upstream)
	}
	for _, e := range msg.events {
		a.group.CacheEvent(now, msg.upstream, e.Hash, e.Stored)
	}
}

// cancelStream cancels a stream at upstreams without blocking the actor. If the cancel is lost, the
// upstream's next list still contains the stream and the cancel is sent again.
func (a *serviceActor) cancelStream(id port.StreamID, upstreams ...string) {
	if a.isPlain {
		return
	}
	for _, name := range upstreams {
		address, ok := a.addresses[name]
		if !ok {
			continue
		}
		engine := a.engines(address)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
			defer cancel()
			if err := engine.Cancel(ctx, id); err != nil {
				a.log.Info("cancel failed", zap.String("request", id.RequestID), zap.String("upstream", name), zap.Error(err))
			}
		}()
	}
}

func parseAttemptKey(s string) (attemptKey, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return attemptKey{}, false
	}
	n, err := strconv.ParseUint(s[i+1:], 10, 32)
	return attemptKey{request: s[:i], attempt: uint32(n)}, err == nil
}
