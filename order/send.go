package order

import (
	"context"
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/order/protocol"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

// readBackInterval is the delay between two polls of an upstream's state.
const readBackInterval = 500 * time.Millisecond

// send sends the order to the upstream within the lease and reads back the upstream's
// state.
func (s *Service) send(ctx context.Context, cmd Command, fence uint64, lease protocol.Lease) (verdict.Ran, bool, error) {
	engine := s.cfg.Engines(cmd.Upstream.Address)
	// This instance may have been paused since its claim. Its successor has then waited
	// for the lease to expire and may have sent another order since.
	now := s.cfg.Clock()
	if !lease.MaySend(now) {
		return verdict.NotRun, false, verdict.Refuse(verdict.ReasonLeaseOver, logUnavailableRetryAfter, "the lease expired before the order was sent")
	}
	if ctx.Err() != nil {
		return verdict.NotRun, false, verdict.Refuse(verdict.ReasonCancelled, 0, "cancelled before the order was sent")
	}
	// From here on the command continues even if the operator disconnects: an order
	// whose effect is not read back would leave the next operator with "may have run".
	ctx = context.WithoutCancel(ctx)
	sendCtx, cancel := context.WithTimeout(ctx, lease.End().Sub(now))
	err := engine.Order(sendCtx, portOrder(cmd, fence))
	cancel()
	if err != nil && verdict.From(err).Ran == verdict.NotRun {
		return verdict.NotRun, false, verdict.From(err)
	}
	observed := s.readBack(ctx, engine, cmd)
	return s.resolveOutcome(cmd, err, observed)
}

// effect is what an upstream's state shows of an order.
type effect uint8

const (
	// effectUnknown means that the upstream does not report it or could not be queried.
	effectUnknown effect = iota
	effectNotShown
	effectShown
)

// resolveOutcome combines the upstream's response to the order with its observed state.
func (s *Service) resolveOutcome(cmd Command, sendErr error, observed effect) (verdict.Ran, bool, error) {
	switch {
	case observed == effectShown:
		// This includes orders whose response was lost.
		return verdict.HasRun, true, nil
	case sendErr != nil:
		return verdict.MayHaveRun, false, verdict.Fail(verdict.MayHaveRun, verdict.ReasonOrderUnconfirmed, sendErr,
			"the response to the order was lost and the upstream's state does not show its effect")
	case observed == effectUnknown && cmd.Upstream.ChecksFencing:
		return verdict.HasRun, false, nil
	default:
		// An upstream that does not check fencing tokens may have received a stale order
		// since, so that its acceptance of this one is not sufficient.
		return verdict.HasRun, false, verdict.Fail(verdict.HasRun, verdict.ReasonOrderUnconfirmed, nil,
			"the upstream accepted the order but its state does not show the effect")
	}
}

// readBack polls the upstream's state until it shows the order's effect, does not report
// it at all, or Config.ReadBackTimeout has passed.
func (s *Service) readBack(ctx context.Context, engine port.Engine, cmd Command) effect {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ReadBackTimeout)
	defer cancel()
	last := effectUnknown
	for {
		load, err := engine.Load(ctx)
		if err == nil {
			last = observedEffect(load, cmd)
		}
		if last == effectShown || (err == nil && last == effectUnknown) {
			return last
		}
		if !sleep(ctx, readBackInterval) {
			return last
		}
	}
}

// Kinds of orders; the values are those of port.Order.Kind.
const (
	kindLoadModel   = "load_model"
	kindLoadAdapter = "load_adapter"
	kindSetRole     = "set_role"
)

var orderKinds = []string{kindLoadModel, kindLoadAdapter, kindSetRole}

func observedEffect(load port.Load, cmd Command) effect {
	if cmd.Kind == kindSetRole {
		return effectIf(load.Role == cmd.Name)
	}
	if load.Loaded == nil {
		return effectUnknown
	}
	return effectIf(slices.Contains(load.Loaded, cmd.Name))
}

func effectIf(shown bool) effect {
	if shown {
		return effectShown
	}
	return effectNotShown
}
