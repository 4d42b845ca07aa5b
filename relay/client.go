package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"github.com/cairnworks/cairnworks/decision/reach"
	relayv1 "github.com/cairnworks/cairnworks/gen/cairnworks/relay/v1"
	"github.com/cairnworks/cairnworks/gen/cairnworks/relay/v1/relayv1connect"
	"github.com/cairnworks/cairnworks/httpconn"
	"github.com/cairnworks/cairnworks/peer"
	"github.com/cairnworks/cairnworks/upstream"
)

// Limits of connections to other instances.
const (
	// peerDialTimeout limits the time to open a connection to an instance.
	peerDialTimeout = 2 * dialPatience
	// peerIdleTimeout is how long an idle connection is kept. It is shorter than the time after which
	// the other instance closes it.
	peerIdleTimeout = 2 * time.Second
	// maxIdlePerPeer limits the idle connections to an instance.
	maxIdlePerPeer = 32
	// maxPartBytes limits the size of a message of a response. The largest has the head of an upstream's response.
	maxPartBytes = 128 << 10
)

// client calls other instances.
type client struct {
	transport *Transport
	http      *http.Client
}

func newClient(t *Transport) *client {
	dialer := httpconn.NewDialer(peerDialTimeout)
	return &client{transport: t, http: &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp4", address)
			if err != nil {
				return nil, dialError{err}
			}
			return conn, nil
		},
		DisableCompression: true, IdleConnTimeout: peerIdleTimeout, MaxIdleConnsPerHost: maxIdlePerPeer, MaxResponseHeaderBytes: peer.MaxHeadBytes,
	}}}
}

// dialError is the error of a connection to an instance that could not be opened.
type dialError struct{ error }

func (c *client) service(p Peer) relayv1connect.RelayServiceClient {
	return relayv1connect.NewRelayServiceClient(c.http, "http://"+p.Address, connect.WithReadMaxBytes(maxPartBytes), peer.ClientOptions())
}

// send lets an instance send a request.
func (c *client) send(ctx context.Context, p Peer, to upstream.Entry, r *httpconn.Request) (*httpconn.Response, error) {
	identity := c.transport.Network.Identity()
	// The body of the response is read under this context.
	ctx, cancel := context.WithCancel(ctx)
	sendBefore, ok := c.transport.sendBefore(p, r.SendBefore)
	if !ok {
		cancel()
		return nil, &httpconn.Error{Err: errNoClock}
	}
	call := connect.NewRequest(&relayv1.SendRequest{
		FleetId: uint64(identity.ID), FleetName: identity.Name, Instance: c.transport.Instance,
		Upstream: &relayv1.Upstream{Id: to.ID, Started: to.Started}, Method: r.Method, Target: r.Target, Host: r.Host, Headers: marshalHeader(r.Header),
		EchoHeader: r.EchoHeader, Repeatable: r.Repeatable, ExpectWithinMs: uint32(r.ExpectWithin.Milliseconds()), Body: r.Body,
		SendBeforeUs: sendBefore.Microseconds(),
	})
	call.Header().Set(bodyBytesHeader, strconv.Itoa(len(r.Body)))
	stream, err := c.service(p).Send(ctx, call)
	if err != nil {
		cancel()
		return nil, c.sendError(p, err)
	}
	if !stream.Receive() {
		err := stream.Err()
		cancel()
		_ = stream.Close()
		return nil, c.sendError(p, err)
	}
	c.transport.recordClock(p, stream.Msg().ClockUs)
	switch part := stream.Msg().Part.(type) {
	case *relayv1.SendResponse_Failure:
		cancel()
		_ = stream.Close()
		return nil, c.upstreamError(p, to, part.Failure)
	case *relayv1.SendResponse_Head:
		return &httpconn.Response{
			Status: int(part.Head.Status), Header: unmarshalHeader(part.Head.Headers), Length: part.Head.Length,
			Body: &body{stream: stream, cancel: cancel}, EndStated: part.Head.EndStated,
		}, nil
	default:
		cancel()
		_ = stream.Close()
		return nil, &httpconn.Error{Sent: true, Err: errors.Join(ErrLink, errMalformed)}
	}
}

var (
	errMalformed = errors.New("malformed response of another instance")
	// errNoClock is the error of a request to an instance of which no response was received yet.
	errNoClock = errors.New("the clock of the instance is not known")
)

// sendError converts the error of a call. Only an instance that could not be reached, or that refused the
// call, has certainly not sent the request.
func (c *client) sendError(p Peer, err error) *httpconn.Error {
	var dial dialError
	unreached := errors.As(err, &dial)
	var refusal *connect.Error
	refused := errors.As(err, &refusal) && refusal.Meta().Get(notSentHeader) != ""
	if !unreached && !refused {
		return &httpconn.Error{Sent: true, Err: errors.Join(ErrLink, err)}
	}
	if connect.CodeOf(err) != connect.CodeResourceExhausted {
		c.transport.recordPeer(p, reach.Everything, false)
	}
	return &httpconn.Error{Err: err}
}

// upstreamError converts a failure that an instance reports.
func (c *client) upstreamError(p Peer, to upstream.Entry, f *relayv1.Failure) *httpconn.Error {
	err := errors.New(f.Detail)
	if f.Refused {
		err = errors.Join(err, syscall.ECONNREFUSED)
	}
	switch {
	case f.Sent && f.Cut:
		err = errors.Join(ErrLink, err)
	case f.Cut:
		c.transport.recordPeer(p, to.Service, false)
	case !f.Sent:
		c.transport.recordPeer(p, to.ID, false)
	}
	return &httpconn.Error{Sent: f.Sent, Err: err}
}

// checkResult is what an instance says about an upstream.
type checkResult struct{ reached, conclusive bool }

// check lets an instance check an upstream.
func (c *client) check(ctx context.Context, p Peer, to upstream.Entry) checkResult {
	identity := c.transport.Network.Identity()
	response, err := c.service(p).Check(ctx, connect.NewRequest(&relayv1.CheckRequest{
		FleetId: uint64(identity.ID), FleetName: identity.Name, Instance: c.transport.Instance,
		Upstream: &relayv1.Upstream{Id: to.ID, Started: to.Started},
	}))
	if err != nil {
		switch {
		case connect.CodeOf(err) == connect.CodeNotFound || errors.Is(ctx.Err(), context.DeadlineExceeded):
			c.transport.recordPeer(p, to.ID, false)
		case ctx.Err() == nil:
			c.transport.recordPeer(p, reach.Everything, false)
		}
		return checkResult{}
	}
	m := response.Msg
	c.transport.recordClock(p, m.ClockUs)
	var others []Peer
	for _, other := range m.Others {
		others = append(others, Peer{Name: other.Name, Address: other.Address})
	}
	c.transport.learn(others)
	switch {
	case m.Reached:
		c.transport.recordPeer(p, to.Service, true)
	case m.Conclusive:
		c.transport.recordPeer(p, to.ID, false)
	default:
		c.transport.recordPeer(p, to.Service, false)
	}
	return checkResult{reached: m.Reached, conclusive: m.Conclusive}
}

// body is the body of a relayed response.
type body struct {
	stream *connect.ServerStreamForClient[relayv1.SendResponse]
	cancel context.CancelFunc
	rest   []byte
	err    error
}

// Read implements io.Reader. A body that ends early returns an error other than io.EOF.
func (b *body) Read(to []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		if !b.stream.Receive() {
			if b.err = b.stream.Err(); b.err == nil {
				b.err = io.EOF
			}
			continue
		}
		b.rest = b.stream.Msg().GetData()
	}
	n := copy(to, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close ends the exchange, which tells the upstream to stop if it is not complete.
func (b *body) Close() error {
	b.cancel()
	return b.stream.Close()
}

func marshalHeader(h http.Header) []*relayv1.Header {
	out := make([]*relayv1.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &relayv1.Header{Name: name, Values: values})
	}
	return out
}

func unmarshalHeader(list []*relayv1.Header) http.Header {
	out := make(http.Header, len(list))
	for _, h := range list {
		out[h.Name] = h.Values
	}
	return out
}
