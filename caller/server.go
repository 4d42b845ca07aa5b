package caller

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

// Request is an alias of request.Request.
type Request = request.Request

// Config holds the dependencies of a Server.
type Config struct {
	// Index returns the index of the active configuration, or nil if none has been loaded.
	Index  func() *object.Index
	Rate   route.RateLimiter
	Models ModelRunner
	Plain  PlainRunner
	// Watch registers an open request. If the request's key is withdrawn, cancel is called
	// with the verdict. The returned function unregisters the request.
	Watch   func(keyID string, cancel context.CancelCauseFunc) (done func())
	Log     *zap.Logger
	Metrics *observe.Metrics
}

// Server is the HTTP handler of the callers' API.
type Server struct {
	Config
	mux *http.ServeMux
	// openRequests counts the requests in progress. A drain waits until it is zero.
	openRequests     atomic.Int64
	closeConnections atomic.Bool
}

// NewServer returns a Server with all endpoints registered.
func NewServer(cfg Config) *Server {
	s := &Server{Config: cfg, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/chat/completions", s.handle(s.chatCompletion))
	s.mux.HandleFunc("POST /v1/completions", s.handle(s.textCompletion))
	s.mux.HandleFunc("GET /v1/models", s.handle(s.listModels))
	s.mux.HandleFunc("/services/{service}/", s.handle(s.callPlainService))
	s.mux.HandleFunc("/", s.handle(s.unknownPath))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int64 { return s.openRequests.Load() }

// CloseConnections makes the server close each connection after its next response. Closing
// idle connections right away would race with requests that callers are just sending, and
// those requests would be lost.
func (s *Server) CloseConnections() { s.closeConnections.Store(true) }

// exchange holds the state of one HTTP request: its response writer and the results of
// authentication.
type exchange struct {
	id           string
	w            http.ResponseWriter
	r            *http.Request
	ctx          context.Context
	cancel       context.CancelCauseFunc
	arrived      time.Time
	index        *object.Index
	key          *object.Key
	organisation *object.Organisation
	service      string
	log          *zap.Logger
}

// handle wraps an endpoint with the steps common to all requests: it assigns a request ID,
// authenticates the key, counts the open request for drains, and logs one line at the end.
func (s *Server) handle(endpoint func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.openRequests.Add(1)
		defer s.openRequests.Add(-1)
		x := &exchange{id: ulid.Make().String(), w: w, r: r, arrived: time.Now()}
		x.ctx, x.cancel = context.WithCancelCause(r.Context())
		defer x.cancel(nil)
		x.log = s.Log.With(zap.String("request", x.id))
		w.Header().Set("X-Request-Id", x.id)
		err := s.serve(x, endpoint)
		s.finish(x, err)
	}
}

func (s *Server) serve(x *exchange, endpoint func(*exchange) error) error {
	if s.closeConnections.Load() {
		x.w.Header().Set("Connection", "close")
	}
	if err := s.authenticate(x); err != nil {
		return err
	}
	done := s.Watch(x.key.Name, x.cancel)
	defer done()
	return endpoint(x)
}

// finish records the outcome of a request in metrics and the log. On failure it also sends
// the verdict to the caller.
func (s *Server) finish(x *exchange, err error) {
	fields := []zap.Field{
		zap.String("method", x.r.Method), zap.String("path", x.r.URL.Path),
		zap.String("service", x.service), zap.Duration("took", time.Since(x.arrived)),
	}
	if x.key != nil {
		fields = append(fields, zap.String("organisation", x.key.Organisation), zap.String("key", x.key.Name))
	}
	if err == nil {
		s.Metrics.Scope.Tagged(map[string]string{"service": x.service}).Counter("answers").Inc(1)
		x.log.Info("answered", fields...)
		return
	}
	v := x.verdict(err)
	s.Metrics.CountRefusal("caller", v)
	x.log.Info("refused", append(fields, zap.String("reason", string(v.Reason)),
		zap.String("ran", v.Ran.String()), zap.Duration("retry_after", v.RetryAfter),
		zap.String("detail", v.Detail), zap.Error(v.Cause))...)
	x.writeVerdict(v)
}

// verdict returns the verdict for a failed request. If the context was cancelled with a
// verdict as its cause, the reason is taken from that verdict: a request whose key is withdrawn
// is cancelled, and the reason "cancelled" would hide the cause from the caller.
func (x *exchange) verdict(err error) *verdict.Verdict {
	v := *verdict.From(err)
	var cause *verdict.Verdict
	if errors.As(context.Cause(x.ctx), &cause) {
		v.Reason, v.Detail, v.RetryAfter = cause.Reason, cause.Detail, cause.RetryAfter
	}
	return &v
}

func (s *Server) unknownPath(x *exchange) error {
	return verdict.Refuse(verdict.ReasonUnknownService, 0, "unknown endpoint %s %s", x.r.Method, x.r.URL.Path)
}
