package verdict

// Reason is the cause of a refusal or failure. Its value is used as a metric tag and as the
// "code" field of error bodies, and must not change once released.
type Reason string

// Reasons of request validation and authentication.
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
	// ReasonStarting means that the instance has not loaded the state that it needs to decide yet.
	ReasonStarting              Reason = "starting"
	ReasonMethodNotAllowed      Reason = "method_not_allowed"
	ReasonIdempotencyKeyInvalid Reason = "idempotency_key_invalid"
)

// Reasons of admission, queueing and placement.
const (
	ReasonRateLimited         Reason = "rate_limited"
	ReasonRateHomeUnavailable Reason = "rate_home_unavailable"
	ReasonDeadlineUnmeetable  Reason = "deadline_unmeetable"
	ReasonQueueTimeout        Reason = "queue_timeout"
	ReasonNoUpstream          Reason = "no_upstream"
	// ReasonUpstreamLimited means that all upstreams have reached the rates that they take.
	ReasonUpstreamLimited Reason = "upstream_limited"
	// ReasonUpstreamBackoff means that the upstream, or each one that could be tried, has asked this instance
	// to back off.
	ReasonUpstreamBackoff Reason = "upstream_backoff"
	// ReasonUpstreamLeaving means that the upstream, or each one that could be tried, is shutting down.
	ReasonUpstreamLeaving Reason = "upstream_leaving"
	// ReasonStopping means that this instance is shutting down.
	ReasonStopping             Reason = "stopping"
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
	// ReasonLinkFailed means that a link between this system and the upstream failed, which says nothing
	// about the upstream.
	ReasonLinkFailed      Reason = "link_failed"
	ReasonUpstreamRefused Reason = "upstream_refused"
	ReasonTransferExpired Reason = "transfer_expired"
	ReasonTruncated       Reason = "truncated"
	// ReasonAnswerUnread means that the upstream ended its answer because the caller did not read it.
	ReasonAnswerUnread Reason = "answer_unread"
	ReasonTimeout      Reason = "timeout"
	// ReasonWrongUpstream means that a different upstream responds at the address.
	ReasonWrongUpstream Reason = "wrong_upstream"
	// ReasonForeignAnswer means that the response does not belong to a request on this
	// connection, or is not a valid response.
	ReasonForeignAnswer Reason = "foreign_answer"
)

// Reasons of the at-most-once guard.
const (
	ReasonOutcomeUnknown       Reason = "outcome_unknown"
	ReasonInProgress           Reason = "in_progress"
	ReasonIdempotencyKeyReused Reason = "idempotency_key_reused"
	ReasonLogUnavailable       Reason = "log_unavailable"
	ReasonRetentionOver        Reason = "retention_over"
	// ReasonGuardFull means that the maximum number of idempotency keys is stored.
	ReasonGuardFull Reason = "guard_full"
	// ReasonAnswerNotKept means that the call was executed but its answer was not stored.
	ReasonAnswerNotKept Reason = "answer_not_kept"
)

// Reasons of orders to upstreams.
const (
	// ReasonOrderConflict means that another order was claimed after the state on which the
	// operator based this one.
	ReasonOrderConflict Reason = "order_conflict"
	// ReasonOrderUnconfirmed means that the state reported by the upstream does not show the
	// effect of the order.
	ReasonOrderUnconfirmed Reason = "order_unconfirmed"
	// ReasonLeaseOver means that the period in which the order may be sent has expired.
	ReasonLeaseOver Reason = "lease_over"
)

// ReasonInternal is an internal error of this program.
const ReasonInternal Reason = "internal"

// Retryable reports whether the unchanged request can succeed if it is sent again later.
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
