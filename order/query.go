package order

import (
	"context"

	"github.com/cairnworks/cairnworks/order/protocol"
	"github.com/cairnworks/cairnworks/verdict"
)

// View is the state of an upstream's orders on which an operator bases a Command.
type View struct {
	// Offset is the offset of the last record read, for Command.BaseOffset.
	Offset uint64
	// Latest is the upstream's last claim that was not rejected, nil if none is
	// retained.
	Latest *protocol.Entry
}

// View reads the log to its end and returns the state of an upstream's orders.
func (s *Service) View(ctx context.Context, upstream string) (View, error) {
	var view View
	err := s.reader.withLatest(ctx, func(table *protocol.ClaimTable) {
		view.Offset = table.Next() - 1
		if latest, ok := table.Latest(upstream); ok {
			view.Latest = &latest
		}
	})
	if err != nil {
		return view, s.logUnavailable(err)
	}
	return view, nil
}

func (s *Service) logUnavailable(err error) *verdict.Verdict {
	v := verdict.Refuse(verdict.ReasonLogUnavailable, logUnavailableRetryAfter, "the log cannot be reached")
	v.Cause = err
	return v
}
