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

// cancelTimeout bounds one cancel that the scheduler sends.
const cancelTimeout = 2 * time.Second

// renew extends the leases of an instance's grants and takes over the ones that
// another scheduler gave. It returns those that are no longer honoured here.
func (a *serviceActor) renew(now time.Time, msg renewMsg) []uint64 {
	var lost []uint64
	for _, held := range msg.grants {
		if l := a.byKey[held.key]; l != nil {
			l.expires, l.holder = now.Add(LeaseTime), msg.holder
			continue
		}
		if _, ended := a.ended[held.key]; ended {
			lost = append(lost, held.id)
			continue
		}
		a.adopt(now, held, msg.holder)
	}
	return lost
}

// adopt counts a running attempt that this scheduler did not grant.
func (a *serviceActor) adopt(now time.Time, held heldGrant, holder request.Holder) {
	a.nextHeld++
	id := adoptedID | a.nextHeld
	a.group.Adopt(now, group.ActiveGrant{
		ID: id, RequestID: held.key.String(), Organisation: held.organisation,
		Prefill: held.prefill, Decode: held.decode, Pieces: held.pieces,
	})
	l := &lease{id: id, key: held.key, holder: holder, prefill: held.prefill, decode: held.decode, expires: now.Add(LeaseTime), fingerprint: held.fingerprint}
	a.byKey[held.key] = l
	a.metrics.Scope.Counter("grants_adopted").Inc(1)
}

// adoptedID marks ids given to adopted grants, apart from those the group gives.
const adoptedID = uint64(1) << 63

// report takes in an upstream's load and its list of streams. A stream that no
// lease covers is either running under a scheduler that is gone, and its owner
// will renew it, or is left behind, and its lease here will run out.
func (a *serviceActor) report(now time.Time, msg reportMsg) {
	a.group.Report(now, msg.upstream, group.LoadReport{
		Running: msg.load.Running, Slots: msg.load.Slots, PiecesUsed: msg.load.PiecesUsed,
		Pieces: msg.load.Pieces, Queued: msg.load.Queued, Leaving: msg.load.Leaving,
	})
	a.processes[msg.upstream] = msg.load.Start
	a.warmup.heard(msg.upstream)
	if !a.home() {
		return
	}
	a.askForList(msg)
	for _, s := range msg.streams {
		key := keyOf(s.Stream)
		if a.byKey[key] != nil {
			continue
		}
		endedAt, ended := a.ended[key]
		switch {
		case !ended:
			a.adopt(now, heldGrant{key: key, decode: msg.upstream, pieces: s.Pieces}, s.Stream.Owner)
		case msg.asked.Sub(endedAt) > cancelAfterEnd:
			a.metrics.Scope.Counter("orphans_cancelled").Inc(1)
			a.log.Info("orphan cancelled", zap.String("request", key.request), zap.String("upstream", msg.upstream))
			a.cancel(s.Stream, msg.upstream)
		}
	}
}

// askForList asks for an upstream's list when two reports in a row count more
// streams than leases cover. One report alone lags behind streams that just ended.
func (a *serviceActor) askForList(msg reportMsg) {
	known := 0
	for _, l := range a.byKey {
		if l.decode == msg.upstream || l.prefill == msg.upstream && !l.prefilled {
			known++
		}
	}
	if msg.listed || msg.load.Running <= known {
		a.excess[msg.upstream] = 0
		return
	}
	a.excess[msg.upstream]++
	if a.excess[msg.upstream] < 2 {
		return
	}
	select {
	case msg.listNow <- struct{}{}:
	default: // one has been asked for already
	}
}

func (a *serviceActor) cache(now time.Time, msg cacheMsg) {
	if msg.reset {
		a.group.CacheReset(msg.upstream)
	}
	for _, e := range msg.events {
		a.group.CacheEvent(now, msg.upstream, e.Hash, e.Stored)
	}
}

// cancel frees a stream at upstreams without holding up the actor. A lost cancel
// shows in the upstream's next list and is sent again.
func (a *serviceActor) cancel(id port.StreamID, upstreams ...string) {
	if a.plain {
		return
	}
	for _, name := range upstreams {
		address, ok := a.addrs[name]
		if !ok {
			continue
		}
		engine := a.engines(address)
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
			defer stop()
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
