// Package route implements the request path: at-most-once guard, rate limit, reservation of
// upstream slots, prefill, KV transfer, decode, answer. The stages are accessed through the
// interfaces defined here; each stage either succeeds or fails with a verdict.
package route

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/decision/group"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

// RateLimiter enforces the token rates of organisations across the fleet.
type RateLimiter interface {
	// Admit charges cost tokens to the organisation. It refuses with verdict.ReasonRateLimited and
	// the time until enough tokens are available.
	Admit(ctx context.Context, organisation string, cost uint64) (Charge, error)
	// Settle refunds the tokens that an admitted request did not use. It does not block. The refund
	// may be lost, but Settle never creates tokens.
	Settle(charge Charge, used uint64)
}

// Charge records the tokens charged to a request and the shares to which a refund is credited.
type Charge struct {
	Organisation string
	Tokens       uint64
	Parts        []ChargePart
}

// ChargePart is the part of a charge taken from one share of the organisation's bucket.
type ChargePart struct {
	Share uint32
	Shard uint32
	Term  uint64
	// ChargeID identifies the charge in the share's bucket.
	ChargeID uint64
	Tokens   uint64
}

// Grant is the reservation of a decode slot, its memory and a prefill slot for one attempt of a
// request.
type Grant struct {
	ID        uint64
	Service   string
	RequestID string
	Attempt   uint32
	// Prefill and Decode are names of upstream objects. A plain call has only Decode.
	Prefill string
	Decode  string
	// Lost is closed when the scheduler has revoked the grant. The attempt must then end.
	Lost <-chan struct{}
	// TransferAfter is the time from which the link is planned to be free for the KV transfer.
	TransferAfter time.Time
	// SchedulerIncarnation is the incarnation of the scheduler that gave the grant.
	SchedulerIncarnation uint64
}

// Outcome is the result of an attempt as reported to the scheduler.
type Outcome = group.Outcome

// Kinds of outcomes.
const (
	OutcomeDone            = group.OutcomeDone
	OutcomeCancelled       = group.OutcomeCancelled
	OutcomePrefillFailed   = group.OutcomePrefillFailed
	OutcomeTransferFailed  = group.OutcomeTransferFailed
	OutcomeDecodeFailed    = group.OutcomeDecodeFailed
	OutcomeUpstreamCrashed = group.OutcomeUpstreamCrashed
)

// Scheduler reserves capacity on upstreams. It is the client side of the group scheduler.
type Scheduler interface {
	// Reserve waits for a grant until the request's deadline or refuses.
	Reserve(ctx context.Context, req *request.Request, attempt uint32, avoid []string) (*Grant, error)
	// PrefillDone reports that the grant's prefill slot is free again.
	PrefillDone(grant *Grant)
	// Release releases the grant. It does not block. If the release is lost, the grant ends when
	// its lease expires.
	Release(grant *Grant, outcome Outcome)
}

// IdempotencyGuard ensures that calls that are not idempotent run at most once.
type IdempotencyGuard interface {
	// Begin claims the idempotency key for one dispatch. It returns a ticket that permits the
	// dispatch, the recorded answer of an earlier execution, or a verdict: outcome unknown, in
	// progress, key reused with another body, or log unavailable.
	Begin(ctx context.Context, call GuardedCall) (*Ticket, *RecordedAnswer, error)
	// Finish records the answer under the ticket. The answer may be returned to the caller even if
	// recording fails: the call still runs at most once, and a resend is told that the outcome is
	// unknown.
	Finish(ctx context.Context, ticket *Ticket, answer RecordedAnswer) error
	// Abandon records that the call certainly did not run, so that a resend may run.
	Abandon(ctx context.Context, ticket *Ticket) error
	// FinishWithoutAnswer records that the call received no complete answer although it may have
	// run (verdict.MayHaveRun) or has run (verdict.HasRun). Resends receive this verdict.
	FinishWithoutAnswer(ctx context.Context, ticket *Ticket, ran verdict.Ran) error
}

// GuardedCall identifies an at-most-once call.
type GuardedCall struct {
	Organisation   string
	Service        string
	IdempotencyKey string
	// BodyHash is the hash of method, path, query, content type and body. It is used to detect the
	// reuse of a key for another call.
	BodyHash  [32]byte
	RequestID string
}

// Ticket is the permission to dispatch a guarded call once.
type Ticket struct {
	Call   GuardedCall
	Stream string
	// Offset is the position in the stream of the intent that won the claim.
	Offset uint64
}

// RecordedAnswer is an answer stored for resends.
type RecordedAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Retrier decides whether a failed attempt is retried.
type Retrier interface {
	// Next returns the backoff before the next attempt, or false and the reason why there must not
	// be one.
	Next(service string, attempt int, v *verdict.Verdict, now, deadline time.Time) (time.Duration, verdict.Reason, bool)
	// Succeeded credits a successful request to the service's retry budget.
	Succeeded(service string)
}
