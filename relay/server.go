package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/fleetid"
	relayv1 "github.com/cairnworks/cairnworks/gen/cairnworks/relay/v1"
	"github.com/cairnworks/cairnworks/gen/cairnworks/relay/v1/relayv1connect"
	"github.com/cairnworks/cairnworks/httpconn"
	"github.com/cairnworks/cairnworks/peer"
	"github.com/cairnworks/cairnworks/upstream"
)

// Limits of what an instance does for others.
const (
	// maxRelayed is the number of requests that are relayed at the same time.
	maxRelayed = 256
	// maxIdleForRelay is the longest time that a connection may have been idle if it is reused for a
	// relayed request. Its link may be cut as well, and a new connection shows that it is not.
	maxIdleForRelay = 500 * time.Millisecond
	// maxSendDelay is the longest time in the future by which a request may have to be sent.
	maxSendDelay = 10 * time.Second
	// maxMessageBytes limits the size of a request.
	maxMessageBytes = 16 << 20
	// relayBufferBytes is the size of the buffer for a response.
	relayBufferBytes = 4 << 10
	// maxNamed is the number of instances that are named to others.
	maxNamed = 8
	// maxHeadBytes limits the size of a request without its body.
	maxHeadBytes = 128 << 10
	// bodyBytesHeader announces the size of the body of a request.
	bodyBytesHeader = "Body-Bytes"
	// notSentHeader marks refusals of requests that were not sent.
	notSentHeader = "Not-Sent"
)

var (
	errOtherFleet = errors.New("the instance belongs to another fleet")
	errBusy       = errors.New("the instance relays too many requests")
	errDraining   = errors.New("the instance is draining")
	errUnknown    = errors.New("the upstream is not known or is leaving")
	errBodies     = errors.New("the instance holds too many request bodies")
)

// server sends requests for other instances.
type server struct {
	transport *Transport
	slots     chan struct{}
	bodyBytes atomic.Int64
	draining  atomic.Bool
}

func newServer(t *Transport) *server {
	return &server{transport: t, slots: make(chan struct{}, maxRelayed)}
}

// handler returns the path and the handler of the service.
func (s *server) handler() (string, http.Handler) {
	path, handler := relayv1connect.NewRelayServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes), connect.WithInterceptors(bodyLimiter{s}), peer.HandlerOptions())
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A response lasts as long as the upstream's.
		control := http.NewResponseController(w)
		if err := errors.Join(control.SetReadDeadline(time.Time{}), control.SetWriteDeadline(time.Time{})); err != nil {
			s.transport.Log.Warn("cannot clear deadlines of a relayed request", zap.Error(err))
		}
		http.MaxBytesHandler(handler, int64(bodyBytes(r.Header)+maxHeadBytes)).ServeHTTP(w, r)
	})
}

// bodyBytes returns the size of the body that the sender of a call has announced.
func bodyBytes(h http.Header) int {
	n, err := strconv.Atoi(h.Get(bodyBytesHeader))
	if err != nil || n < 0 || n > maxMessageBytes {
		return 0
	}
	return n
}

// bodyLimiter refuses requests to relay before their bodies are read if the bodies that are held would
// become too large.
type bodyLimiter struct{ *server }

// WrapUnary implements connect.Interceptor.
func (bodyLimiter) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc { return next }

// WrapStreamingClient implements connect.Interceptor.
func (bodyLimiter) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (b bodyLimiter) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		n := int64(bodyBytes(conn.RequestHeader()))
		defer b.bodyBytes.Add(-n)
		if b.bodyBytes.Add(n) > b.transport.MaxBodyBytes {
			return refusal(connect.CodeResourceExhausted, errBodies)
		}
		return next(ctx, conn)
	}
}

// refusal returns the error of a request that was not sent.
func refusal(code connect.Code, err error) *connect.Error {
	refused := connect.NewError(code, err)
	refused.Meta().Set(notSentHeader, "1")
	return refused
}

// admit checks whether a request of another instance is served, and returns the upstream.
func (s *server) admit(fleet fleetid.Identity, instance, address string, to *relayv1.Upstream) (upstream.Entry, *connect.Error) {
	t := s.transport
	if !t.Network.IsSameFleet(fleet, instance, address) {
		return upstream.Entry{}, refusal(connect.CodePermissionDenied, errOtherFleet)
	}
	if s.draining.Load() {
		return upstream.Entry{}, refusal(connect.CodeUnavailable, errDraining)
	}
	entry, accepts := t.Directory.Current(to.GetId())
	if !accepts || entry.Started != to.GetStarted() {
		return upstream.Entry{}, nil
	}
	return entry, nil
}

// Send implements relayv1connect.RelayServiceHandler.
func (s *server) Send(ctx context.Context, request *connect.Request[relayv1.SendRequest], stream *connect.ServerStream[relayv1.SendResponse]) error {
	t, m := s.transport, request.Msg
	entry, refused := s.admit(fleetid.Identity{ID: fleetid.ID(m.FleetId), Name: m.FleetName}, m.Instance, request.Peer().Addr, m.Upstream)
	if refused != nil {
		return refused
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return refusal(connect.CodeResourceExhausted, errBusy)
	}
	if entry.ID == "" {
		return s.sendFailure(stream, &relayv1.Failure{Detail: errUnknown.Error()})
	}
	if t.use(entry) {
		return s.sendFailure(stream, &relayv1.Failure{Cut: true, Detail: "the link to the upstream is cut here as well"})
	}
	if m.SendBeforeUs <= 0 || time.Duration(m.SendBeforeUs)*time.Microsecond > t.now()+maxSendDelay {
		return s.sendFailure(stream, &relayv1.Failure{Detail: "the time by which the request must be sent is of another clock"})
	}
	r := &httpconn.Request{
		SendBefore: time.Duration(m.SendBeforeUs) * time.Microsecond,
		Method:     m.Method, Target: m.Target, Host: m.Host, Header: unmarshalHeader(m.Headers), Body: m.Body, EchoHeader: m.EchoHeader,
		Repeatable: m.Repeatable, ExpectWithin: time.Duration(m.ExpectWithinMs) * time.Millisecond, MaxIdle: maxIdleForRelay,
	}
	resp, err := t.sendDirectly(ctx, entry, t.guarded(entry, r), true)
	if err != nil {
		if !httpconn.Sent(err) && !errors.Is(err, httpconn.ErrNotAdmitted) {
			t.checkLater(entry)
		}
		return s.sendFailure(stream, &relayv1.Failure{
			Sent: httpconn.Sent(err), Refused: errors.Is(err, syscall.ECONNREFUSED), Cut: errors.Is(err, ErrLink), Detail: err.Error(),
		})
	}
	defer func() { _ = resp.Body.Close() }()
	t.Scope.Counter("relayed_for_others").Inc(1)
	t.Log.Info("request relayed for another instance", zap.String("request", requestID(r)), zap.String("upstream", entry.ID), zap.String("from", m.Instance))
	return s.copyResponse(stream, resp)
}

func (s *server) sendFailure(stream *connect.ServerStream[relayv1.SendResponse], f *relayv1.Failure) error {
	return stream.Send(&relayv1.SendResponse{Part: &relayv1.SendResponse_Failure{Failure: f}, ClockUs: s.transport.now().Microseconds()})
}

// copyResponse sends a response as it arrives. A response that ends early ends the call with an error.
func (s *server) copyResponse(stream *connect.ServerStream[relayv1.SendResponse], resp *httpconn.Response) error {
	head := &relayv1.Head{Status: uint32(resp.Status), Headers: marshalHeader(resp.Header), Length: resp.Length, EndStated: resp.EndStated}
	if err := stream.Send(&relayv1.SendResponse{Part: &relayv1.SendResponse_Head{Head: head}, ClockUs: s.transport.now().Microseconds()}); err != nil {
		return err
	}
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if err := stream.Send(&relayv1.SendResponse{Part: &relayv1.SendResponse_Data{Data: buffer[:n]}}); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return connect.NewError(connect.CodeDataLoss, err)
		}
	}
}

// Check implements relayv1connect.RelayServiceHandler.
func (s *server) Check(ctx context.Context, request *connect.Request[relayv1.CheckRequest]) (*connect.Response[relayv1.CheckResponse], error) {
	t, m := s.transport, request.Msg
	entry, refused := s.admit(fleetid.Identity{ID: fleetid.ID(m.FleetId), Name: m.FleetName}, m.Instance, request.Peer().Addr, m.Upstream)
	if refused != nil {
		return nil, refused
	}
	if entry.ID == "" {
		return nil, refusal(connect.CodeNotFound, errUnknown)
	}
	response := &relayv1.CheckResponse{Others: s.named(), ClockUs: t.now().Microseconds()}
	started := t.now()
	dial, cancel := context.WithTimeout(ctx, dialPatience)
	defer cancel()
	if err := t.pool.Connect(dial, entry.Address); err == nil {
		t.recordContact(entry)
		response.Reached = true
	} else {
		response.Conclusive = t.reachesOthers(ctx, entry, started)
	}
	return connect.NewResponse(response), nil
}

// named returns some other instances at random.
func (s *server) named() []*relayv1.Instance {
	peers := slices.Clone(s.transport.Network.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var out []*relayv1.Instance
	for _, p := range peers[:min(len(peers), maxNamed)] {
		out = append(out, &relayv1.Instance{Name: p.Name, Address: p.Address})
	}
	return out
}

// wait waits for the requests that are running, until ctx ends. No others are accepted any more.
func (s *server) wait(ctx context.Context) {
	for range maxRelayed {
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}
