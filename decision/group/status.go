package group

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// Status reports queue lengths and use per upstream.
func (g *Group) Status(now time.Time) Status {
	status := Status{
		QueuedInteractive: g.queue.Len(request.Interactive),
		QueuedDeferrable:  g.queue.Len(request.Deferrable),
		Granted:           len(g.grants),
	}
	for _, w := range g.parked {
		if w.Class == request.Deferrable {
			status.QueuedDeferrable++
		} else {
			status.QueuedInteractive++
		}
	}
	for _, u := range g.ordered {
		used := u.account.Used(now)
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			Name: u.spec.Name, Role: u.spec.Role,
			Running: used.Requests, Slots: u.account.Slots,
			PiecesUsed: used.Pieces - u.claimPieces(g), Pieces: u.account.Pieces,
			Health: u.health, Leaving: u.spec.Leaving || u.leaving,
		})
	}
	return status
}

// claimPieces is the memory counted for parked requests, which hold none yet.
func (u *upstream) claimPieces(g *Group) int {
	if !u.claimed {
		return 0
	}
	for _, w := range g.parked {
		if w.claim == u {
			return w.claimPieces
		}
	}
	return 0
}
