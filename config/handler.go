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
	defer f.mu.Unlock()
	if version := f.held.version(); version > req.Msg.GetHaveVersion() {
		resp.Version = version
		resp.Record = f.held.data
	}
	return connect.NewResponse(resp), nil
}
