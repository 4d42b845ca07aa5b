package config

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
)

var _ peerv1connect.ConfigServiceHandler = (*Follower)(nil)

// Handler returns the path and the handler of the peers' ConfigService.
func (f *Follower) Handler() (string, http.Handler) {
	return peerv1connect.NewConfigServiceHandler(f)
}

// Fetch implements the peers' ConfigService. An instance that is not ready has
// nothing to pass on: it does not know whether what it holds is the newest.
func (f *Follower) Fetch(_ context.Context, req *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	resp := &peerv1.FetchResponse{}
	if !f.Ready() {
		return connect.NewResponse(resp), nil
	}
	f.mu.Lock()
	held := f.held
	f.mu.Unlock()
	if held.version() <= req.Msg.GetHaveVersion() {
		return connect.NewResponse(resp), nil
	}
	record, err := held.record()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	resp.Version = held.version()
	resp.Record = record
	return connect.NewResponse(resp), nil
}
