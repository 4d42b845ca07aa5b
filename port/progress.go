package port

import (
	"context"
	"io"
)

type progressKey struct{}

// WithProgress returns a context for calls whose response may be large. The calls call report for each
// part of the response that arrives, so that the caller can tell a slow response from none.
func WithProgress(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, progressKey{}, report)
}

// ReportProgress reports that a part of the response to a call with this context has arrived.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		report()
	}
}

// ProgressReader returns a reader of a response that reports each part that arrives.
func ProgressReader(ctx context.Context, response io.Reader) io.Reader {
	return &progressReader{ctx, response}
}

type progressReader struct {
	ctx      context.Context
	response io.Reader
}

// Read implements io.Reader.
func (r *progressReader) Read(to []byte) (int, error) {
	n, err := r.response.Read(to)
	if n > 0 {
		ReportProgress(r.ctx)
	}
	return n, err
}
