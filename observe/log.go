// Package observe builds the loggers and the metrics of every program.
package observe

import (
	"io"
	"log/slog"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one line of key=value pairs an event to
// w. The returned level can be changed while the program runs.
func NewLogger(w io.Writer, level zapcore.Level) (*zap.Logger, zap.AtomicLevel) {
	atomic := zap.NewAtomicLevelAt(level)
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = func(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
		enc.AppendString(t.UTC().Format("2006-01-02T15:04:05.000Z"))
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), atomic)
	return zap.New(core), atomic
}

// DiscardSlog is the logger handed to libraries that speak slog only. Their
// lines would break the one key=value line an event that operators parse.
func DiscardSlog() *slog.Logger {
	return slog.New(slog.DiscardHandler)
}
