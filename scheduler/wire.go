package scheduler

import (
	"errors"
	"time"

	"github.com/cairnworks/cairnworks/decision/group"
	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

var (
	errNoConfiguration = errors.New("the configuration has not been loaded")
	errUnknownService  = errors.New("unknown service")
)

func holderFromProto(h *peerv1.Holder) request.Holder {
	return request.Holder{Instance: h.GetInstance(), Incarnation: h.GetIncarnation(), Address: h.GetAddress()}
}

func holderToProto(h request.Holder) *peerv1.Holder {
	return &peerv1.Holder{Instance: h.Instance, Incarnation: h.Incarnation, Address: h.Address}
}

func reserveResponse(r reserveReply, now time.Time) *peerv1.ReserveResponse {
	if r.refusal != nil {
		return &peerv1.ReserveResponse{Refusal: refusalToProto(r.refusal)}
	}
	return &peerv1.ReserveResponse{Grant: &peerv1.Grant{
		Id: r.grant.ID, Prefill: r.grant.Prefill, Decode: r.grant.Decode,
		LeaseMs:         uint32(LeaseDuration.Milliseconds()),
		TransferAfterMs: uint32(max(r.grant.TransferAfter.Sub(now), 0).Milliseconds()),
		QueuedMs:        uint32(r.grant.Queued.Milliseconds()),
	}}
}

func refusalToProto(v *verdict.Verdict) *peerv1.Refusal {
	return &peerv1.Refusal{
		Ran: uint32(v.Ran), Reason: string(v.Reason), RetryAfterMs: uint32(v.RetryAfter.Milliseconds()), Detail: v.Detail,
	}
}

func refusalFromProto(r *peerv1.Refusal) *verdict.Verdict {
	return &verdict.Verdict{
		Ran: verdict.Ran(r.Ran), Reason: verdict.Reason(r.Reason),
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond, Detail: r.Detail,
	}
}

func outcomeToProto(o route.Outcome) *peerv1.Outcome {
	return &peerv1.Outcome{
		Kind: peerv1.Outcome_Kind(o.Kind), PrefillMs: uint32(o.Prefill.Milliseconds()),
		FirstTokenMs: uint32(o.FirstToken.Milliseconds()), DecodeMs: uint32(o.Decode.Milliseconds()),
		OutputTokens: uint32(o.OutputTokens), Fingerprint: o.Fingerprint, FailedUpstream: o.FailedUpstream,
	}
}

func outcomeFromProto(o *peerv1.Outcome) group.Outcome {
	return group.Outcome{
		Kind:         group.OutcomeKind(o.GetKind()),
		Prefill:      time.Duration(o.GetPrefillMs()) * time.Millisecond,
		FirstToken:   time.Duration(o.GetFirstTokenMs()) * time.Millisecond,
		Decode:       time.Duration(o.GetDecodeMs()) * time.Millisecond,
		OutputTokens: int(o.GetOutputTokens()), Fingerprint: o.GetFingerprint(), FailedUpstream: o.GetFailedUpstream(),
	}
}
