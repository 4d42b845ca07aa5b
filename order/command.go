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

// logRetryAfter is advised while the log fails.
const logRetryAfter = 5 * time.Second

// Command is an operator's order to one upstream.
type Command struct {
	Upstream object.Upstream
	// Kind and Name are those of port.Order.
	Kind string
	Name string
	// From is the offset of the View that the operator acted from.
	From uint64
	// Operator's name, for display.
	Operator string
}

// Outcome is an order that the upstream took.
type Outcome struct {
	// Fence is the order's fencing token: its claim's offset.
	Fence uint64
	// Confirmed tells that the upstream's own state shows the effect. It is false
	// only for an upstream that checks tokens and does not tell what it has loaded.
	Confirmed bool
}

// Execute claims, sends and checks one order. It fails with a verdict; an order that
// was refused with "not run" was not sent and will not be.
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
	if err := s.waitForEarlier(ctx, cmd); err != nil {
		return Outcome{}, err
	}
	claim := s.newClaim(cmd)
	if err := s.reader.expect(ctx, claim.ID); err != nil {
		return Outcome{}, s.logDown(err)
	}
	defer s.reader.forget(claim.ID)

	// The lease counts from before the append: others count it from when they read
	// the claim, which is later.
	lease := protocol.NewLease(s.cfg.Clock(), claim.Lease)
	decided, err := s.claim(ctx, claim)
	if err != nil {
		return Outcome{}, err
	}
	if decided.judgement != protocol.Accepted {
		s.record(ctx, claim, decided.offset, verdict.NotRun, false)
		return Outcome{}, conflict("another order was claimed first")
	}
	outcome := Outcome{Fence: decided.offset}
	ran, confirmed, err := s.send(ctx, cmd, outcome.Fence, lease)
	outcome.Confirmed = confirmed
	s.record(ctx, claim, decided.offset, ran, confirmed)
	return outcome, err
}

func (s *Service) newClaim(cmd Command) protocol.Claim {
	lease := s.cfg.LoadLease
	if cmd.Kind == kindSetRole {
		lease = s.cfg.Lease
	}
	claim := protocol.Claim{
		Upstream: cmd.Upstream.Name, Kind: cmd.Kind, Name: cmd.Name,
		BaseOffset: cmd.From, Lease: lease,
		Instance: s.cfg.Self.Instance, Incarnation: s.cfg.Self.Incarnation,
		Operator: cmd.Operator,
	}
	// crypto/rand.Read never fails.
	_, _ = rand.Read(claim.ID[:])
	return claim
}

// waitForEarlier refuses a command made from an old state. For an upstream that does
// not check tokens it also waits until no earlier holder can send any more; without
// that a paused holder's order could arrive after this one and undo it.
func (s *Service) waitForEarlier(ctx context.Context, cmd Command) error {
	for {
		var refusal error
		var silent time.Time
		err := s.reader.atEnd(ctx, func(l *protocol.ClaimTable) {
			refusal = outdated(l, cmd)
			silent = l.LeasesExpireAt(cmd.Upstream.Name)
		})
		if err != nil {
			return s.logDown(err)
		}
		wait := silent.Sub(s.cfg.Clock())
		if refusal != nil || cmd.Upstream.ChecksFencing || wait <= 0 {
			return refusal
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
			return verdict.Refuse(verdict.ReasonOrderConflict, wait, "an earlier order's lease runs for another %v", wait)
		}
		if !pause(ctx, wait) {
			return verdict.Refuse(verdict.ReasonCancelled, 0, "cancelled while an earlier order's lease ran")
		}
	}
}

// outdated reports whether the ledger already shows that the claim would be rejected.
func outdated(l *protocol.ClaimTable, cmd Command) error {
	if cmd.From >= l.Next() {
		return conflict("offset %d is beyond the end of the stream", cmd.From)
	}
	if !l.CompleteSince(cmd.From) {
		return conflict("the log no longer holds what followed offset %d", cmd.From)
	}
	if latest, ok := l.Latest(cmd.Upstream.Name); ok && latest.Offset > cmd.From {
		return conflict("%s of %s was claimed by %q at offset %d", latest.Claim.Kind, latest.Claim.Name, latest.Claim.Operator, latest.Offset)
	}
	return nil
}

func conflict(format string, args ...any) *verdict.Verdict {
	return verdict.Refuse(verdict.ReasonOrderConflict, 0, format, args...)
}

// claim appends a claim once and reads what the log decided. A claim whose append
// answer was lost and that is not found may still turn up; nobody sends under it, so
// it costs others its lease and the next operator a fresh view.
func (s *Service) claim(ctx context.Context, claim protocol.Claim) (*decision, error) {
	entry, err := claimEntry(claim)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonInternal, 0, "%v", err)
	}
	callCtx, cancel := context.WithTimeout(ctx, logTimeout)
	_, appendErr := s.cfg.Log.Append(callCtx, stream, entry)
	cancel()
	if appendErr != nil && verdict.From(appendErr).Ran == verdict.NotRun {
		return nil, s.logDown(appendErr)
	}
	decided, err := s.reader.decided(ctx, claim.ID)
	if err != nil {
		return nil, s.logDown(err)
	}
	if decided == nil {
		return nil, s.logDown(appendErr)
	}
	return decided, nil
}

// record appends the result, which lets others go on before the lease ends. It is
// tried a few times; the lease bounds what a missing result costs.
func (s *Service) record(ctx context.Context, claim protocol.Claim, offset uint64, ran verdict.Ran, confirmed bool) {
	entry, err := resultEntry(claim.ID, protocol.Result{ClaimOffset: offset, Upstream: claim.Upstream, Ran: uint8(ran), Confirmed: confirmed})
	for attempt := 0; err == nil && attempt < recordAttempts; attempt++ {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), logTimeout)
		_, appendErr := s.cfg.Log.Append(callCtx, stream, entry)
		cancel()
		if appendErr == nil {
			return
		}
		pause(context.WithoutCancel(ctx), recordPause)
	}
	s.cfg.Logger.Warn("result not recorded; others wait for the lease", zap.String("event", "order_not_recorded"),
		zap.String("upstream", claim.Upstream), zap.Uint64("fence", offset))
}

const (
	// recordAttempts and recordPause bound the tries to record a result.
	recordAttempts = 3
	recordPause    = 200 * time.Millisecond
)

// pause waits for d and reports whether ctx lasted.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// portOrder is the order as the upstream gets it.
func portOrder(cmd Command, fence uint64) port.Order {
	return port.Order{Kind: cmd.Kind, Name: cmd.Name, Fence: fence}
}
