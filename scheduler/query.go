package scheduler

import (
	"context"

	"connectrpc.com/connect"

	"github.com/cairnworks/cairnworks/decision/group"
	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
)

// Status implements the connect handler: the queue and the slots of one service.
func (s *Server) Status(ctx context.Context, req *connect.Request[peerv1.StatusRequest]) (*connect.Response[peerv1.StatusResponse], error) {
	pid, err := s.actorOf(req.Msg.Service)
	if err != nil {
		return nil, err
	}
	answer := make(chan statusReply, 1)
	s.system.Root.Send(pid, statusMsg{answer})
	select {
	case r := <-answer:
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

// healthOf is an upstream's state for operators. Weights would not do: an upstream
// that is out has full weight while it is tried.
func (r statusReply) healthOf(u group.UpstreamStatus) string {
	if u.Leaving {
		return "leaving"
	}
	return r.health[u.Name]
}

// Schedules reports whether any service is scheduled here.
func (s *Server) Schedules() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.services) > 0
}

// Waiting returns the number of reservations without an answer. A drain waits
// for it to reach zero.
func (s *Server) Waiting() int64 { return s.waiting.Load() }
