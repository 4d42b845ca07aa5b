package order

import (
	"context"

	"github.com/cairnworks/cairnworks/order/protocol"
	"github.com/cairnworks/cairnworks/verdict"
)

// View is what an operator acts from.
type View struct {
	// From is the offset to name in a Command.
	From uint64
	// Latest is the last accepted claim of the upstream, nil when none is retained.
	Latest *protocol.Entry
}

// View returns the state of an upstream's orders.
func (s *Service) View(ctx context.Context, upstream string) (View, error) {
	var view View
	err := s.reader.atEnd(ctx, func(l *protocol.ClaimTable) {
		view.From = l.Next() - 1
		if latest, ok := l.Latest(upstream); ok {
			view.Latest = &latest
		}
	})
	if err != nil {
		return view, s.logDown(err)
	}
	return view, nil
}

func (s *Service) logDown(err error) *verdict.Verdict {
	v := verdict.Refuse(verdict.ReasonLogUnavailable, logRetryAfter, "the log cannot be reached")
	v.Cause = err
	return v
}
