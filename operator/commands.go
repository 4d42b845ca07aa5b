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

// Bounds of request bodies in bytes.
const (
	maxLevelBytes = 1 << 10
	maxSetBytes   = 64 << 20
)

// addCommands adds the endpoints that change the instance or the fleet.
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

// done logs a command with the address it came from.
func (c commands) done(r *http.Request, command string, fields ...zap.Field) {
	fields = append(fields, zap.String("command", command), zap.String("from", r.RemoteAddr))
	c.cfg.Logger.Info("operator command", fields...)
}

// drain answers 202: the instance leaves when its open requests have ended, which
// may take as long as the longest of them. A second call changes nothing, so that
// a lost answer can simply be repeated.
func (c commands) drain(w http.ResponseWriter, r *http.Request) {
	c.done(r, "drain")
	c.cfg.Drainer.Drain()
	w.WriteHeader(http.StatusAccepted)
}

func (c commands) logLevel(w http.ResponseWriter, r *http.Request) {
	var body LevelBody
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLevelBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(&body)
	level, levelErr := zapcore.ParseLevel(body.Level)
	if err := errors.Join(err, levelErr); err != nil || body.Level == "" {
		writeError(w, http.StatusBadRequest, Error{Code: CodeBadRequest, Message: `allowed: {"level": "debug", "info", "warn" or "error"}`})
		return
	}
	c.done(r, "log-level", zap.Stringer("old", c.cfg.Level.Level()), zap.Stringer("new", level))
	c.cfg.Level.SetLevel(level)
	writeJSON(w, http.StatusOK, LevelBody{Level: level.String()})
}

// publish passes an object set on to the log, for operators whose own machine
// does not reach it. The base is a query parameter and must be given.
func (c commands) publish(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.FormValue("base"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, Error{Code: CodeBadRequest, Message: "base must be the version that the set was made from"})
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSetBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, Error{Code: CodeBadRequest, Message: "the body could not be read: " + err.Error()})
		return
	}
	set, faults := object.Parse("request", data)
	if len(faults) > 0 {
		writeError(w, http.StatusUnprocessableEntity, Error{Code: CodeInvalidSet, Message: "the body is no object set", Faults: faults})
		return
	}
	version, err := c.cfg.Publisher.Publish(r.Context(), set, base, r.FormValue("note"))
	c.done(r, "publish", zap.Uint64("base", base), zap.Uint64("version", version), zap.Error(err))
	if err != nil {
		status, body := PublishFailure(err)
		writeError(w, status, body)
		return
	}
	writeJSON(w, http.StatusOK, Published{Version: version})
}

// publishCodes maps the causes of a failed publish.
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

// PublishFailure returns the status and the body for a failed publish.
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
