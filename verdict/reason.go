package verdict

// Reason is the enumerated cause of a refusal or failure. Its text is the metric
// tag and the "code" field of error bodies, and does not change once released.
type Reason string

// Reasons found at the door.
const (
	ReasonBadRequest      Reason = "bad_request"
	ReasonBodyTooLarge    Reason = "body_too_large"
	ReasonPromptTooLong   Reason = "prompt_too_long"
	ReasonUnknownModel    Reason = "unknown_model"
	ReasonUnknownService  Reason = "unknown_service"
	ReasonUnauthenticated Reason = "unauthenticated"
	ReasonKeyWithdrawn    Reason = "key_withdrawn"
	ReasonForbidden       Reason = "forbidden"
	ReasonNoConfiguration Reason = "no_configuration"
	// ReasonStarting means that the instance has not read yet what it decides by.
	ReasonStarting              Reason = "starting"
	ReasonMethodNotAllowed      Reason = "method_not_allowed"
	ReasonIdempotencyKeyInvalid Reason = "idempotency_key_invalid"
)

// Reasons of admission, queueing and placement.
const (
	ReasonRateLimited          Reason = "rate_limited"
	ReasonRateHomeUnavailable  Reason = "rate_home_unavailable"
	ReasonDeadlineUnmeetable   Reason = "deadline_unmeetable"
	ReasonQueueTimeout         Reason = "queue_timeout"
	ReasonNoUpstream           Reason = "no_upstream"
	ReasonSchedulerUnavailable Reason = "scheduler_unavailable"
	ReasonQuarantined          Reason = "quarantined"
	ReasonRetryBudgetSpent     Reason = "retry_budget_spent"
	ReasonCancelled            Reason = "cancelled"
	ReasonGrantLost            Reason = "grant_lost"
)

// Reasons of upstream failures.
const (
	ReasonUpstreamUnreachable Reason = "upstream_unreachable"
	ReasonUpstreamCrashed     Reason = "upstream_crashed"
	ReasonUpstreamRefused     Reason = "upstream_refused"
	ReasonTransferExpired     Reason = "transfer_expired"
	ReasonTruncated           Reason = "truncated"
	ReasonTimeout             Reason = "timeout"
	// ReasonWrongUpstream means that another upstream answers at the address.
	ReasonWrongUpstream Reason = "wrong_upstream"
	// ReasonForeignAnswer means that what came back belongs to no request of this
	// connection, or is no answer at all.
	ReasonForeignAnswer Reason = "foreign_answer"
)

// Reasons of the at-most-once guard.
const (
	ReasonOutcomeUnknown       Reason = "outcome_unknown"
	ReasonInProgress           Reason = "in_progress"
	ReasonIdempotencyKeyReused Reason = "idempotency_key_reused"
	ReasonLogUnavailable       Reason = "log_unavailable"
	ReasonRetentionOver        Reason = "retention_over"
	// ReasonGuardFull means that too many keys are remembered already.
	ReasonGuardFull Reason = "guard_full"
	// ReasonAnswerNotKept means that the call ran and its answer was not kept.
	ReasonAnswerNotKept Reason = "answer_not_kept"
)

// Reasons of orders to upstreams.
const (
	// ReasonOrderConflict means that another order was claimed since the state that
	// the operator acted from.
	ReasonOrderConflict Reason = "order_conflict"
	// ReasonOrderUnconfirmed means that the upstream's own state does not show the
	// order's effect.
	ReasonOrderUnconfirmed Reason = "order_unconfirmed"
	// ReasonLeaseOver means that the time in which an order may be sent has passed.
	ReasonLeaseOver Reason = "lease_over"
)

// ReasonInternal is a fault of this program.
const ReasonInternal Reason = "internal"

// Retryable reports whether the same request, sent again later, can succeed
// without its sender changing it.
func (r Reason) Retryable() bool {
	switch r {
	case ReasonBadRequest, ReasonBodyTooLarge, ReasonPromptTooLong, ReasonUnknownModel,
		ReasonUnknownService, ReasonUnauthenticated, ReasonKeyWithdrawn, ReasonForbidden,
		ReasonMethodNotAllowed, ReasonIdempotencyKeyInvalid, ReasonIdempotencyKeyReused, ReasonRetentionOver,
		ReasonCancelled, ReasonOutcomeUnknown, ReasonAnswerNotKept,
		ReasonOrderConflict, ReasonOrderUnconfirmed:
		return false
	default:
		return true
	}
}
