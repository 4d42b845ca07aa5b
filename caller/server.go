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

// Request is the request type of package request, named here for short.
type Request = request.Request

// Config is what the door needs from the rest of the instance.
type Config struct {
	// Directory returns the set in force, or nil while there is none.
	Directory func() *object.Index
	Rate      route.RateLimiter
	Models    ModelRunner
	Plain     PlainRunner
	// Watch registers an open request; its cancel is called with the verdict when
	// the request's key is withdrawn. The returned function unregisters it.
	Watch   func(keyID string, cancel context.CancelCauseFunc) (done func())
	Log     *zap.Logger
	Metrics *observe.Metrics
}

// Server is the callers' HTTP handler.
type Server struct {
	Config
	mux *http.ServeMux
	// open counts requests that have not been answered yet; a drain waits for it.
	open    atomic.Int64
	closing atomic.Bool
}

// NewServer returns the callers' handler.
func NewServer(cfg Config) *Server {
	s := &Server{Config: cfg, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/chat/completions", s.handle(s.chat))
	s.mux.HandleFunc("POST /v1/completions", s.handle(s.text))
	s.mux.HandleFunc("GET /v1/models", s.handle(s.models))
	s.mux.HandleFunc("/services/{service}/", s.handle(s.plain))
	s.mux.HandleFunc("/", s.handle(s.unknownPath))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Open returns the number of requests being answered.
func (s *Server) Open() int64 { return s.open.Load() }

// CloseConnections ends each connection with its next answer. Closing an idle
// connection instead would race with a request that its caller is just sending,
// and that request would be lost.
func (s *Server) CloseConnections() { s.closing.Store(true) }

// exchange is one HTTP request with what the door has found out about it.
type exchange struct {
	id           string
	w            http.ResponseWriter
	r            *http.Request
	ctx          context.Context
	cancel       context.CancelCauseFunc
	arrived      time.Time
	directory    *object.Index
	key          *object.Key
	organisation *object.Organisation
	service      string
	log          *zap.Logger
}

// handle wraps an endpoint with what every request needs: an id, the key's
// check, an open count for drains, and one log line at its end.
func (s *Server) handle(endpoint func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.open.Add(1)
		defer s.open.Add(-1)
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
	if s.closing.Load() {
		x.w.Header().Set("Connection", "close")
	}
	if err := s.authenticate(x); err != nil {
		return err
	}
	done := s.Watch(x.key.Name, x.cancel)
	defer done()
	return endpoint(x)
}

// finish writes a verdict that has not been written yet, counts and logs.
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

// verdict explains a failure by its cause: a withdrawn key ends a request by
// cancelling it, and "cancelled" would hide from its caller why.
func (x *exchange) verdict(err error) *verdict.Verdict {
	v := *verdict.From(err)
	var cause *verdict.Verdict
	if errors.As(context.Cause(x.ctx), &cause) {
		v.Reason, v.Detail, v.RetryAfter = cause.Reason, cause.Detail, cause.RetryAfter
	}
	return &v
}

func (s *Server) unknownPath(x *exchange) error {
	return verdict.Refuse(verdict.ReasonUnknownService, 0, "no endpoint %s %s", x.r.Method, x.r.URL.Path)
}
