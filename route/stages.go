// Package route moves a request along its path: at-most-once guard, rate,
// placement, prefill, KV transfer, decode, answer. Each stage stands behind an
// interface here and either yields the next state or fails with a verdict.
package route

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/decision/group"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

// RateLimiter meters an organisation's tokens across the fleet.
type RateLimiter interface {
	// Admit charges cost tokens to the organisation or refuses with
	// verdict.ReasonRateLimited and the time until enough tokens are there.
	Admit(ctx context.Context, organisation string, cost uint64) (Charge, error)
	// Settle gives back what an admitted request did not use. It returns at once
	// and may lose the refund, never create tokens.
	Settle(charge Charge, used uint64)
}

// Charge is what a request was charged and where a refund goes.
type Charge struct {
	Organisation string
	Tokens       uint64
	Parts        []ChargePart
}

// ChargePart is the charge against one share of the organisation's bucket.
type ChargePart struct {
	Share uint32
	Shard uint32
	Term  uint64
	// Charge names the grant in the share's bucket.
	Charge uint64
	Tokens uint64
}

// Grant is a decode slot, its memory and a prefill place, held for one request.
type Grant struct {
	ID        uint64
	Service   string
	RequestID string
	Attempt   uint32
	// Prefill and Decode name upstream objects; a plain call has Decode only.
	Prefill string
	Decode  string
	// Lost is closed when the scheduler no longer honours the grant; the attempt
	// must end.
	Lost <-chan struct{}
	// TransferAfter is when the link is free for this transfer.
	TransferAfter time.Time
	// SchedulerIncarnation tells which scheduler granted it.
	SchedulerIncarnation uint64
}

// Outcome is what the scheduler learns from an attempt.
type Outcome = group.Outcome

// Ways an attempt ends.
const (
	OutcomeDone            = group.OutcomeDone
	OutcomeCancelled       = group.OutcomeCancelled
	OutcomePrefillFailed   = group.OutcomePrefillFailed
	OutcomeTransferFailed  = group.OutcomeTransferFailed
	OutcomeDecodeFailed    = group.OutcomeDecodeFailed
	OutcomeUpstreamCrashed = group.OutcomeUpstreamCrashed
)

// Placer reserves places on upstreams. It is the client side of the group
// scheduler.
type Placer interface {
	// Reserve waits for a grant until the request's deadline or refuses.
	Reserve(ctx context.Context, req *request.Request, attempt uint32, avoid []string) (*Grant, error)
	// PrefillDone tells that the grant's prefill place is free again.
	PrefillDone(grant *Grant)
	// Release gives the grant back. It returns at once; an unsent release is
	// covered by the grant's lease.
	Release(grant *Grant, outcome Outcome)
}

// Guard makes calls that may not be repeated run at most once.
type Guard interface {
	// Begin claims the idempotency key for one dispatch. It returns a ticket to
	// dispatch with, or the recorded answer of an earlier run, or a verdict:
	// outcome unknown, in progress, key reused with another body, log down.
	Begin(ctx context.Context, call GuardedCall) (*Ticket, *RecordedAnswer, error)
	// Finish records the answer under the ticket. The answer may be given to the
	// caller even when recording fails: the call stays at most once, a resend is
	// then told that the outcome is unknown.
	Finish(ctx context.Context, ticket *Ticket, answer RecordedAnswer) error
	// Abandon records that the call certainly did not run, so that a resend may run it.
	Abandon(ctx context.Context, ticket *Ticket) error
	// Unanswered ends a ticket whose call got no whole answer though it may have run
	// (verdict.MayHaveRun) or has run (verdict.HasRun). Resends are told so.
	Unanswered(ctx context.Context, ticket *Ticket, ran verdict.Ran) error
}

// GuardedCall identifies a call that runs at most once.
type GuardedCall struct {
	Organisation   string
	Service        string
	IdempotencyKey string
	// BodyHash covers method, path, query and body, so that a key used again for
	// another call is noticed.
	BodyHash  [32]byte
	RequestID string
}

// Ticket is the right to dispatch a guarded call once.
type Ticket struct {
	Call   GuardedCall
	Stream string
	// Offset of the winning intent in the stream.
	Offset uint64
}

// RecordedAnswer is an answer kept for resends.
type RecordedAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Retrier decides whether a failed attempt is tried again.
type Retrier interface {
	// Next returns the backoff before the next attempt, or false with the reason
	// that forbids one.
	Next(service string, attempt int, v *verdict.Verdict, now, deadline time.Time) (time.Duration, verdict.Reason, bool)
	// Succeeded feeds the service's retry budget.
	Succeeded(service string)
}
