package group

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// Status returns the queue lengths and the usage of each upstream.
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
	for _, u := range g.upstreams {
		used := u.capacity.Used(now)
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			Name: u.spec.Name, Role: u.spec.Role,
			Running: used.Requests, Slots: u.capacity.Slots,
			PiecesUsed: used.Pieces, Pieces: u.capacity.Pieces,
			Health: u.health, Leaving: u.spec.Leaving || u.reportedLeaving,
		})
	}
	return status
}
