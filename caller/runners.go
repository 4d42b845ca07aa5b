// Package caller is the door for callers: OpenAI-style chat and text completions,
// the model list, and calls of plain services. It checks the key, builds the
// request and writes the answer or the verdict. The key goes no further than here.
package caller

import (
	"context"

	"github.com/cairnworks/cairnworks/route"
)

// ModelRunner answers model requests.
type ModelRunner interface {
	Run(ctx context.Context, req *Request, sink route.Sink) (route.Answer, error)
}

// PlainRunner answers calls of plain services.
type PlainRunner interface {
	Run(ctx context.Context, call route.PlainCall) (route.PlainAnswer, error)
}
