package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/object"
)

// Limits of request bodies.
const (
	maxLevelBodyBytes = 1 << 10
	maxSetBodyBytes   = 64 << 20
)

// addCommands registers the endpoints that change the instance or the fleet.
func addCommands(mux *http.ServeMux, cfg Config) {
	c := commands{cfg}
	if cfg.Drainer != nil {
		mux.HandleFunc("POST /drain", c.drain)
	}
	if cfg.Level != nil {
		mux.HandleFunc("POST /log-level", c.logLevel)
	}
	if cfg.Publisher != nil {
		mux.HandleFunc("POST /config", c.publish)
	}
}

type commands struct{ cfg Config }

// logCommand logs a command with the remote address of the request.
func (c commands) logCommand(r *http.Request, command string, fields ...zap.Field) {
	fields = append(fields, zap.String("command", command), zap.String("from", r.RemoteAddr))
	c.cfg.Logger.Info("operator command", fields...)
}

// drain responds with status 202, since the instance shuts down only when its open requests have
// ended, which may take as long as the longest of them. A second call has no effect, so that the
// command can be repeated if a response is lost.
func (c commands) drain(w http.ResponseWriter, r *http.Request) {
	c.logCommand(r, "drain")
	c.cfg.Drainer.Drain()
	w.WriteHeader(http.StatusAccepted)
}

func (c commands) logLevel(w http.ResponseWriter, r *http.Request) {
	var body LevelBody
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLevelBodyBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(&body)
	level, levelErr := zapcore.ParseLevel(body.Level)
	if err := errors.Join(err, levelErr); err != nil || body.Level == "" {
		writeError(w, http.StatusBadRequest, Error{Code: CodeBadRequest, Message: `the body must be {"level": L}, where L is "debug", "info", "warn" or "error"`})
		return
	}
	c.logCommand(r, "log-level", zap.Stringer("old", c.cfg.Level.Level()), zap.Stringer("new", level))
	c.cfg.Level.SetLevel(level)
	writeJSON(w, http.StatusOK, LevelBody{Level: level.String()})
}

// publish publishes an object set to the log, for operators whose machine cannot reach the log. The
// query parameter base is required.
func (c commands) publish(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.FormValue("base"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, Error{Code: CodeBadRequest, Message: "parameter base must be the version on which the set is based"})
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSetBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, Error{Code: CodeBadRequest, Message: "cannot read the request body: " + err.Error()})
		return
	}
	set, faults := object.Parse("request", data)
	if len(faults) > 0 {
		writeError(w, http.StatusUnprocessableEntity, Error{Code: CodeInvalidSet, Message: "the request body is not a valid object set", Faults: faults})
		return
	}
	version, err := c.cfg.Publisher.Publish(r.Context(), set, base, r.FormValue("note"))
	c.logCommand(r, "publish", zap.Uint64("base", base), zap.Uint64("version", version), zap.Error(err))
	if err != nil {
		status, body := PublishFailure(err)
		writeError(w, status, body)
		return
	}
	writeJSON(w, http.StatusOK, PublishResult{Version: version})
}

// publishCodes maps the causes of a failed publish to status and code.
var publishCodes = []struct {
	cause  error
	status int
	code   Code
}{
	{config.ErrInvalidSet, http.StatusUnprocessableEntity, CodeInvalidSet},
	{config.ErrStaleBase, http.StatusConflict, CodeStaleBase},
	{config.ErrLostRace, http.StatusConflict, CodeLostRace},
	{config.ErrUnanchored, http.StatusConflict, CodeUnanchored},
	{config.ErrNotPublished, http.StatusServiceUnavailable, CodeNotPublished},
	{config.ErrOutcomeUnknown, http.StatusGatewayTimeout, CodeOutcomeUnknown},
}

// PublishFailure returns the status and the body of the response to a failed publish.
func PublishFailure(err error) (int, Error) {
	body := Error{Code: CodeInternal, Message: err.Error()}
	var typed *config.PublishError
	if errors.As(err, &typed) {
		body.Current, body.RecordID, body.Faults = typed.Current, typed.RecordID, typed.Faults
	}
	for _, c := range publishCodes {
		if errors.Is(err, c.cause) {
			body.Code = c.code
			return c.status, body
		}
	}
	return http.StatusInternalServerError, body
}
