// Package observe provides logging and metrics for all programs of this module.
package observe

import (
	"io"
	"log/slog"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one line of key=value pairs per event to w. The returned
// level can be changed at run time.
func NewLogger(w io.Writer, level zapcore.Level) (*zap.Logger, zap.AtomicLevel) {
	atomic := zap.NewAtomicLevelAt(level)
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = func(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
		enc.AppendString(t.UTC().Format("2006-01-02T15:04:05.000Z"))
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), atomic)
	return zap.New(core), atomic
}

// DiscardSlog returns a logger for libraries that only support slog. Their output would break the
// format of one line of key=value pairs per event, which operators parse.
func DiscardSlog() *slog.Logger {
	return slog.New(slog.DiscardHandler)
}
