// Package caller implements the HTTP API for callers: OpenAI-compatible chat and text
// completions, the model list, and calls of plain services. It authenticates the API key,
// builds the request and writes the response or the error. The API key is not passed beyond
// this package.
package caller

import (
	"context"

	"github.com/cairnworks/cairnworks/route"
)

// ModelRunner executes model requests and passes the generated tokens to the sink.
type ModelRunner interface {
	Run(ctx context.Context, req *Request, sink route.Sink) (route.Answer, error)
}

// PlainRunner executes calls of plain services.
type PlainRunner interface {
	Run(ctx context.Context, call route.PlainCall) (route.PlainAnswer, error)
}
