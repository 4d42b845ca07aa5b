package config

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
)

var _ peerv1connect.ConfigServiceHandler = (*Follower)(nil)

// Handler returns the path and the HTTP handler of ConfigService.
func (f *Follower) Handler() (string, http.Handler) {
	return peerv1connect.NewConfigServiceHandler(f)
}

// Fetch implements ConfigService. An instance that is not ready returns no version: it does
// not know whether the one it holds is the newest.
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
