package order

import (
	"context"
	"crypto/rand"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/order/protocol"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

// logUnavailableRetryAfter is the retry delay returned while the log is unavailable.
const logUnavailableRetryAfter = 5 * time.Second

// Command is an operator's order for one upstream.
type Command struct {
	Upstream object.Upstream
	// Kind and Name have the values of the same fields of port.Order.
	Kind string
	Name string
	// BaseOffset is the Offset of the View on which the operator based the order.
	BaseOffset uint64
	// Operator is the operator's name, for display.
	Operator string
}

// Outcome describes an order that the upstream accepted.
type Outcome struct {
	// Fence is the order's fencing token, the log offset of its claim.
	Fence uint64
	// Confirmed is set if the upstream's own state shows the effect. It is false only
	// for an upstream that checks fencing tokens and does not report what it has
	// loaded.
	Confirmed bool
}

// Execute claims and sends one order and verifies its effect. Every error is a
// *verdict.Verdict; an order refused with "not run" was not sent and will not be.
func (s *Service) Execute(ctx context.Context, cmd Command) (Outcome, error) {
	outcome, err := s.execute(ctx, cmd)
	fields := []zap.Field{
		zap.String("event", "order"), zap.String("upstream", cmd.Upstream.Name), zap.String("kind", cmd.Kind),
		zap.String("name", cmd.Name), zap.String("operator", cmd.Operator), zap.Uint64("fence", outcome.Fence),
		zap.Bool("confirmed", outcome.Confirmed),
	}
	if err != nil {
		v := verdict.From(err)
		s.scope.Tagged(map[string]string{"reason": string(v.Reason), "ran": v.Ran.String()}).Counter("failed").Inc(1)
		s.cfg.Logger.Warn("order failed", append(fields, zap.Error(err), zap.NamedError("cause", v.Cause))...)
		return outcome, v
	}
	s.scope.Counter("done").Inc(1)
	s.cfg.Logger.Info("order done", fields...)
	return outcome, nil
}

func (s *Service) execute(ctx context.Context, cmd Command) (Outcome, error) {
	if err := s.waitForEarlierLeases(ctx, cmd); err != nil {
		return Outcome{}, err
	}
	claim := s.newClaim(cmd)
	if err := s.reader.register(ctx, claim.ID); err != nil {
		return Outcome{}, s.logUnavailable(err)
	}
	defer s.reader.unregister(claim.ID)

	// The lease starts before the append. Other instances start it when they read the
	// claim, which is later.
	lease := protocol.NewLease(s.cfg.Clock(), claim.Lease)
	decision, err := s.submitClaim(ctx, claim)
	if err != nil {
		return Outcome{}, err
	}
	if decision.status != protocol.Accepted {
		s.recordResult(ctx, claim, decision.offset, verdict.NotRun, false)
		return Outcome{}, conflictError("another order for the upstream was claimed first")
	}
	outcome := Outcome{Fence: decision.offset}
	ran, confirmed, err := s.send(ctx, cmd, outcome.Fence, lease)
	outcome.Confirmed = confirmed
	s.recordResult(ctx, claim, decision.offset, ran, confirmed)
	return outcome, err
}

func (s *Service) newClaim(cmd Command) protocol.Claim {
	lease := s.cfg.LoadLease
	if cmd.Kind == kindSetRole {
		lease = s.cfg.Lease
	}
	claim := protocol.Claim{
		Upstream: cmd.Upstream.Name, Kind: cmd.Kind, Name: cmd.Name,
		BaseOffset: cmd.BaseOffset, Lease: lease,
		Instance: s.cfg.Self.Instance, Incarnation: s.cfg.Self.Incarnation,
		Operator: cmd.Operator,
	}
	// crypto/rand.Read never fails.
	_, _ = rand.Read(claim.ID[:])
	return claim
}

// waitForEarlierLeases refuses a command that is based on an outdated state. For an
// upstream that does not check fencing tokens it also waits until no earlier holder can
// send; otherwise a paused holder's order could arrive after this one and overwrite it.
func (s *Service) waitForEarlierLeases(ctx context.Context, cmd Command) error {
	for {
		var conflict error
		var leasesExpireAt time.Time
		err := s.reader.withLatest(ctx, func(table *protocol.ClaimTable) {
			conflict = checkBaseOffset(table, cmd)
			leasesExpireAt = table.LeasesExpireAt(cmd.Upstream.Name)
		})
		if err != nil {
			return s.logUnavailable(err)
		}
		wait := leasesExpireAt.Sub(s.cfg.Clock())
		if conflict != nil || cmd.Upstream.ChecksFencing || wait <= 0 {
			return conflict
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
			return verdict.Refuse(verdict.ReasonOrderConflict, wait, "the lease of an earlier order expires in %v", wait)
		}
		if !sleep(ctx, wait) {
			return verdict.Refuse(verdict.ReasonCancelled, 0, "cancelled while waiting for the lease of an earlier order to expire")
		}
	}
}

// checkBaseOffset returns an error if the table already shows that a claim for the
// command would be rejected.
func checkBaseOffset(table *protocol.ClaimTable, cmd Command) error {
	if cmd.BaseOffset >= table.Next() {
		return conflictError("offset %d is beyond the end of the stream", cmd.BaseOffset)
	}
	if !table.CompleteSince(cmd.BaseOffset) {
		return conflictError("the log has dropped records after offset %d", cmd.BaseOffset)
	}
	if latest, ok := table.Latest(cmd.Upstream.Name); ok && latest.Offset > cmd.BaseOffset {
		return conflictError("%s of %s was claimed by %q at offset %d", latest.Claim.Kind, latest.Claim.Name, latest.Claim.Operator, latest.Offset)
	}
	return nil
}

func conflictError(format string, args ...any) *verdict.Verdict {
	return verdict.Refuse(verdict.ReasonOrderConflict, 0, format, args...)
}

// submitClaim appends a claim once and reads from the log whether it was accepted. If
// the response to the append was lost and the claim is not in the log, it may still
// appear there later. No order is sent under it, so that it only makes others wait for
// its lease and the next operator fetch a new view.
func (s *Service) submitClaim(ctx context.Context, claim protocol.Claim) (*decision, error) {
	entry, err := claimEntry(claim)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonInternal, 0, "%v", err)
	}
	callCtx, cancel := context.WithTimeout(ctx, logCallTimeout)
	_, appendErr := s.cfg.Log.Append(callCtx, streamName, entry)
	cancel()
	if appendErr != nil && verdict.From(appendErr).Ran == verdict.NotRun {
		return nil, s.logUnavailable(appendErr)
	}
	decision, err := s.reader.decision(ctx, claim.ID)
	if err != nil {
		return nil, s.logUnavailable(err)
	}
	if decision == nil {
		return nil, s.logUnavailable(appendErr)
	}
	return decision, nil
}

// recordResult appends the result, so that others need not wait for the end of the
// lease. It makes a few attempts; if all fail, others wait until the lease expires.
func (s *Service) recordResult(ctx context.Context, claim protocol.Claim, offset uint64, ran verdict.Ran, confirmed bool) {
	entry, err := resultEntry(claim.ID, protocol.Result{ClaimOffset: offset, Upstream: claim.Upstream, Ran: uint8(ran), Confirmed: confirmed})
	for attempt := 0; err == nil && attempt < recordResultAttempts; attempt++ {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), logCallTimeout)
		_, appendErr := s.cfg.Log.Append(callCtx, streamName, entry)
		cancel()
		if appendErr == nil {
			return
		}
		sleep(context.WithoutCancel(ctx), recordResultRetryDelay)
	}
	s.cfg.Logger.Warn("order result not recorded; others wait until its lease expires", zap.String("event", "order_not_recorded"),
		zap.String("upstream", claim.Upstream), zap.Uint64("fence", offset))
}

const (
	// recordResultAttempts is the most attempts to append a result, with
	// recordResultRetryDelay after each.
	recordResultAttempts   = 3
	recordResultRetryDelay = 200 * time.Millisecond
)

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// portOrder returns the order in the form in which it is sent to the upstream.
func portOrder(cmd Command, fence uint64) port.Order {
	return port.Order{Kind: cmd.Kind, Name: cmd.Name, Fence: fence}
}
