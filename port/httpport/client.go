// Package httpport implements the interfaces of package port over HTTP/1.1 with
// JSON. Every error is a *verdict.Verdict that says whether the remote side may
// have acted, which decides whether a call may be retried.
package httpport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cairnworks/cairnworks/httpconn"
	"github.com/cairnworks/cairnworks/port/httpport/wire"
	"github.com/cairnworks/cairnworks/verdict"
)

const (
	// dialTimeout is far above the round-trip time inside a region (about 1 ms) and
	// far below the target for the first token (1.7 s), so that an unreachable
	// address leaves time for another attempt.
	dialTimeout = 500 * time.Millisecond
	// idlePerHost covers the twenty streams of a decode engine, with room for queries.
	idlePerHost = 64
	idleTimeout = 30 * time.Second
	// maxHeadBytes limits the head of a response, including interim responses.
	maxHeadBytes = 32 << 10
	// maxResultBytes limits the body of the response to a call. The largest lists the events of an engine's cache.
	maxResultBytes = 16 << 20
	// maxErrorBytes limits how much of an error response's body is read.
	maxErrorBytes = 8 << 10
)

// NewClient returns an HTTP client for the adapters. It has no overall timeout:
// each call's context sets the deadline, and streams are long-lived.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return httpconn.KeepReset(conn), nil
		},
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		// Bodies are passed on unchanged.
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

var sharedClient = NewClient()

// remote is an address and the HTTP client used to call it.
type remote struct {
	address string
	client  *http.Client
}

func newRemote(address string, client *http.Client) remote {
	if client == nil {
		client = sharedClient
	}
	noRedirect := *client
	// Following a redirect would send the request a second time, to an address that
	// is not configured anywhere.
	noRedirect.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return remote{address: address, client: &noRedirect}
}

// do sends req. A failure before a connection is established is NotRun; any later
// failure is MayHaveRun, because bytes may have reached the remote side.
func (r remote) do(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx := req.Context()
	resp, err := r.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, r.transportVerdict(ctx, connected.Load(), err)
	}
	if err := httpconn.CheckHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, r.transportVerdict(ctx, true, err)
	}
	return resp, nil
}

func (r remote) transportVerdict(ctx context.Context, connected bool, err error) *verdict.Verdict {
	ran := verdict.NotRun
	reason := verdict.ReasonUpstreamUnreachable
	if connected {
		ran = verdict.MayHaveRun
		reason = verdict.ReasonUpstreamCrashed
	}
	var netErr net.Error
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = verdict.ReasonCancelled
	case ctx.Err() != nil, connected && errors.As(err, &netErr) && netErr.Timeout():
		reason = verdict.ReasonTimeout
	}
	return verdict.Fail(ran, reason, err, "call to %s failed", r.address)
}

// newRequest returns a request with in as its JSON body, or without a body if in is
// nil.
func (r remote) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, verdict.Fail(verdict.NotRun, verdict.ReasonInternal, err, "encoding request")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.address+path, body)
	if err != nil {
		return nil, verdict.Fail(verdict.NotRun, verdict.ReasonInternal, err, "building request")
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// call sends in and decodes the response into out; both may be nil.
func (r remote) call(ctx context.Context, method, path string, in, out any) error {
	req, err := r.newRequest(ctx, method, path, in)
	if err != nil {
		return err
	}
	resp, err := r.do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseVerdict(r.address, resp)
	}
	limited := http.MaxBytesReader(nil, resp.Body, maxResultBytes)
	if out == nil {
		// Reading to the end detects a truncated response and lets the connection be
		// reused.
		_, err = io.Copy(io.Discard, limited)
	} else {
		err = json.NewDecoder(limited).Decode(out)
	}
	if err != nil {
		return r.transportVerdict(ctx, true, err)
	}
	return nil
}

// responseVerdict converts a response with a status other than 200 to a verdict. The verdict
// is NotRun only if the body says "not_run"; in all other cases the call may have run.
func responseVerdict(address string, resp *http.Response) *verdict.Verdict {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	v := parseRefusal(address, data)
	if v == nil {
		v = verdict.Fail(verdict.MayHaveRun, verdict.ReasonUpstreamCrashed, nil,
			"%s responded with status %d", address, resp.StatusCode)
	}
	return v
}

// parseRefusal returns the verdict for an error body, or nil if the body does not
// say that nothing ran.
func parseRefusal(address string, data []byte) *verdict.Verdict {
	var body wire.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Ran != verdict.NotRun.String() {
		return nil
	}
	reason := verdict.ReasonUpstreamRefused
	switch body.Error.Code {
	case wire.CodeKVExpired, wire.CodeKVUnreachable:
		reason = verdict.ReasonTransferExpired
	}
	after := time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	return verdict.Refuse(reason, after, "%s refused: %s: %s", address, body.Error.Code, body.Error.Message)
}
