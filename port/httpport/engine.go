package httpport

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

type engine struct{ remote }

// NewEngine returns the engine at address (IP:port). If client is nil, a shared
// client with the settings of NewClient is used.
func NewEngine(address string, client *http.Client) port.Engine {
	return engine{newRemote(address, client)}
}

func (e engine) Prefill(ctx context.Context, req port.PrefillRequest) (port.PrefillResult, error) {
	in := wire.PrefillRequest{
		Stream: wire.FromStream(req.Stream), Model: req.Model, Prompt: req.Prompt,
		Generated: req.Generated, Priority: req.Priority,
	}
	var out wire.PrefillResult
	if err := e.call(ctx, http.MethodPost, "/v1/prefill", in, &out); err != nil {
		return port.PrefillResult{}, err
	}
	return port.PrefillResult{
		Handle: out.Handle, Tokens: out.Tokens, CachedTokens: out.CachedTokens, Bytes: out.Bytes,
		TTL: time.Duration(out.ExpiresMS) * time.Millisecond,
	}, nil
}

func (e engine) Import(ctx context.Context, req port.ImportRequest) error {
	in := wire.ImportRequest{
		Stream: wire.FromStream(req.Stream), Model: req.Model, Source: req.Source,
		Handle: req.Handle, MaxTokens: req.MaxTokens,
	}
	return e.call(ctx, http.MethodPost, "/v1/import", in, nil)
}

func (e engine) Decode(ctx context.Context, req port.DecodeRequest) (port.FrameReader, error) {
	in := wire.DecodeRequest{
		Stream: wire.FromStream(req.Stream), Model: req.Model, MaxTokens: req.MaxTokens,
		ResumeFrom: req.ResumeFrom, Priority: req.Priority,
	}
	streamCtx, cancel := context.WithCancel(ctx)
	httpReq, err := e.newRequest(streamCtx, http.MethodPost, "/v1/decode", in)
	if err != nil {
		cancel()
		return nil, err
	}
	resp, err := e.do(httpReq)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		return nil, responseVerdict(e.address, resp)
	}
	toVerdict := func(err error) error { return e.transportVerdict(streamCtx, true, err) }
	return newFrameReader(resp.Body, cancel, toVerdict), nil
}

func (e engine) Cancel(ctx context.Context, id port.StreamID) error {
	return e.call(ctx, http.MethodPost, "/v1/cancel", wire.FromStream(id), nil)
}

func (e engine) Streams(ctx context.Context) ([]port.StreamState, error) {
	var out []wire.StreamState
	if err := e.call(ctx, http.MethodGet, "/v1/streams", nil, &out); err != nil {
		return nil, err
	}
	states := make([]port.StreamState, 0, len(out))
	for _, s := range out {
		states = append(states, port.StreamState{Stream: s.ID(), Phase: s.Phase, Pieces: s.Pieces})
	}
	return states, nil
}

func (e engine) Load(ctx context.Context) (port.Load, error) {
	var out wire.Load
	err := e.call(ctx, http.MethodGet, "/v1/load", nil, &out)
	return port.Load(out), err
}

func (e engine) CacheEvents(ctx context.Context, after uint64) ([]port.CacheEvent, error) {
	var out []wire.CacheEvent
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	if err := e.call(ctx, http.MethodGet, path, nil, &out); err != nil {
		return nil, err
	}
	events := make([]port.CacheEvent, 0, len(out))
	for _, event := range out {
		events = append(events, port.CacheEvent(event))
	}
	return events, nil
}

func (e engine) Order(ctx context.Context, order port.Order) error {
	return e.call(ctx, http.MethodPost, "/v1/orders", wire.Order(order), nil)
}
