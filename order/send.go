package order

import (
	"context"
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/order/protocol"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

// readBackPause is the time between two looks at an upstream's state.
const readBackPause = 500 * time.Millisecond

// send gives the order to the upstream within the lease and reads the upstream's
// state back.
func (s *Service) send(ctx context.Context, cmd Command, fence uint64, lease protocol.Lease) (verdict.Ran, bool, error) {
	engine := s.cfg.Engines(cmd.Upstream.Address)
	// An instance that was paused after its claim wakes up here. Its successor has
	// waited for the lease and may have given another order since.
	now := s.cfg.Clock()
	if !lease.MaySend(now) {
		return verdict.NotRun, false, verdict.Refuse(verdict.ReasonLeaseOver, logRetryAfter, "the claim's lease ended before the order was sent")
	}
	if ctx.Err() != nil {
		return verdict.NotRun, false, verdict.Refuse(verdict.ReasonCancelled, 0, "cancelled before the order was sent")
	}
	// From here on the operator's departure does not stop the command: an order whose
	// effect nobody looked at would leave the next operator with "may have run".
	ctx = context.WithoutCancel(ctx)
	sendCtx, cancel := context.WithTimeout(ctx, lease.End().Sub(now))
	err := engine.Order(sendCtx, portOrder(cmd, fence))
	cancel()
	if err != nil && verdict.From(err).Ran == verdict.NotRun {
		return verdict.NotRun, false, verdict.From(err)
	}
	state := s.readBack(ctx, engine, cmd)
	return s.judgeSent(cmd, err, state)
}

// effect is what an upstream's state says about an order.
type effect uint8

const (
	// effectUntold means that the upstream does not tell, or could not be asked.
	effectUntold effect = iota
	effectMissing
	effectShown
)

// judgeSent combines the upstream's answer with its state.
func (s *Service) judgeSent(cmd Command, answer error, state effect) (verdict.Ran, bool, error) {
	switch {
	case state == effectShown:
		// Also when the answer was lost.
		return verdict.HasRun, true, nil
	case answer != nil:
		return verdict.MayHaveRun, false, verdict.Fail(verdict.MayHaveRun, verdict.ReasonOrderUnconfirmed, answer,
			"the order's answer was lost and the upstream does not show its effect")
	case state == effectUntold && cmd.Upstream.ChecksFencing:
		return verdict.HasRun, false, nil
	default:
		// An upstream that does not check tokens may have been given a late order
		// since; its word that it took this one is not enough.
		return verdict.HasRun, false, verdict.Fail(verdict.HasRun, verdict.ReasonOrderUnconfirmed, nil,
			"the upstream took the order and does not show its effect")
	}
}

// readBack asks the upstream for its state until it shows the order's effect or
// Config.ReadBack has passed.
func (s *Service) readBack(ctx context.Context, engine port.Engine, cmd Command) effect {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ReadBack)
	defer cancel()
	last := effectUntold
	for {
		load, err := engine.Load(ctx)
		if err == nil {
			last = effectOf(load, cmd)
		}
		if last == effectShown || (err == nil && last == effectUntold) {
			return last
		}
		if !pause(ctx, readBackPause) {
			return last
		}
	}
}

// Kinds of orders, as in port.Order.
const (
	kindLoadModel   = "load_model"
	kindLoadAdapter = "load_adapter"
	kindSetRole     = "set_role"
)

var kinds = []string{kindLoadModel, kindLoadAdapter, kindSetRole}

func effectOf(load port.Load, cmd Command) effect {
	if cmd.Kind == kindSetRole {
		return shown(load.Role == cmd.Name)
	}
	if load.Loaded == nil {
		return effectUntold
	}
	return shown(slices.Contains(load.Loaded, cmd.Name))
}

func shown(is bool) effect {
	if is {
		return effectShown
	}
	return effectMissing
}
