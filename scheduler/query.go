package scheduler

import (
	"context"

	"connectrpc.com/connect"

	"github.com/cairnworks/cairnworks/decision/group"
	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
)

// Status implements peerv1connect.SchedulerServiceHandler. It returns the queue lengths of a
// service and the state of its upstreams.
func (s *Server) Status(ctx context.Context, req *connect.Request[peerv1.StatusRequest]) (*connect.Response[peerv1.StatusResponse], error) {
	pid, err := s.actorFor(req.Msg.Service)
	if err != nil {
		return nil, err
	}
	replyTo := make(chan statusReply, 1)
	s.system.Root.Send(pid, statusMsg{replyTo})
	select {
	case r := <-replyTo:
		response := statusResponse(r)
		response.Advice = r.advice
		return connect.NewResponse(response), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

func statusResponse(r statusReply) *peerv1.StatusResponse {
	status := r.status
	response := &peerv1.StatusResponse{
		QueuedInteractive: uint32(status.QueuedInteractive), QueuedDeferrable: uint32(status.QueuedDeferrable),
	}
	for _, u := range status.Upstreams {
		response.Upstreams = append(response.Upstreams, &peerv1.UpstreamStatus{
			Name: u.Name, Running: uint32(u.Running), Slots: uint32(u.Slots),
			PiecesUsed: uint32(u.PiecesUsed), Pieces: uint32(u.Pieces), Health: r.healthOf(u),
		})
	}
	return response
}

// healthOf returns an upstream's state for operators. The weight is not suitable for this, since an
// upstream in state "out" has full weight while it is being probed.
func (r statusReply) healthOf(u group.UpstreamStatus) string {
	if u.Leaving {
		return "leaving"
	}
	return r.health[u.Name]
}

// HasServices reports whether this instance runs a scheduler for any service.
func (s *Server) HasServices() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.services) > 0
}

// PendingReservations returns the number of pending reservations. A drain waits until it is zero.
func (s *Server) PendingReservations() int64 { return s.pending.Load() }
