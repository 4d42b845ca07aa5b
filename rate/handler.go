package rate

import (
	"context"
	"math"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/rate/share"
)

// handler handles the calls of peers.
type handler struct{ s *Service }

// Handler returns the handler of the rate service for peers.
func (s *Service) Handler() peerv1connect.RateServiceHandler { return handler{s: s} }

func errStopped() error { return connect.NewError(connect.CodeUnavailable, context.Canceled) }

// Acquire implements peerv1connect.RateServiceHandler.
func (h handler) Acquire(ctx context.Context, req *connect.Request[peerv1.AcquireRequest]) (*connect.Response[peerv1.AcquireResponse], error) {
	m := req.Msg
	got, ok := ask(ctx, h.s, func(reply chan acquired) any {
		return acquire{
			shard: m.GetShard(), key: share.Key{Organisation: m.GetOrganisation(), Share: m.GetShare()},
			tokens: m.GetTokens(), partial: m.GetPartial(), reply: reply,
		}
	})
	if !ok {
		return nil, errStopped()
	}
	return connect.NewResponse(&peerv1.AcquireResponse{
		Granted: got.grant.Tokens, WaitMs: toMillis(got.grant.Wait), NotHome: got.notHome,
		Term: uint64(got.term), Charge: uint64(got.grant.ChargeID),
	}), nil
}

// Refund implements peerv1connect.RateServiceHandler.
func (h handler) Refund(_ context.Context, req *connect.Request[peerv1.RefundRequest]) (*connect.Response[peerv1.RefundResponse], error) {
	for _, p := range req.Msg.GetParts() {
		h.s.tell(toRefundMessage(p))
	}
	return connect.NewResponse(&peerv1.RefundResponse{}), nil
}

// Extend implements peerv1connect.RateServiceHandler.
func (h handler) Extend(ctx context.Context, req *connect.Request[peerv1.ExtendRequest]) (*connect.Response[peerv1.ExtendResponse], error) {
	m := req.Msg
	terms := make([]termRef, 0, len(m.GetTerms()))
	for _, t := range m.GetTerms() {
		terms = append(terms, termRef{shard: t.GetShard(), term: lease.Term(t.GetTerm())})
	}
	extended, ok := ask(ctx, h.s, func(reply chan []bool) any {
		return extend{member: holderFromProto(m.GetMember()), terms: terms, reply: reply}
	})
	if !ok {
		return nil, errStopped()
	}
	return connect.NewResponse(&peerv1.ExtendResponse{Extended: extended}), nil
}

// Fence implements peerv1connect.RateServiceHandler.
func (h handler) Fence(ctx context.Context, req *connect.Request[peerv1.FenceRequest]) (*connect.Response[peerv1.FenceResponse], error) {
	m := req.Msg
	fenced, ok := ask(ctx, h.s, func(reply chan bool) any {
		return fence{member: holderFromProto(m.GetMember()), shard: m.GetShard(), term: lease.Term(m.GetTerm()), reply: reply}
	})
	if !ok {
		return nil, errStopped()
	}
	return connect.NewResponse(&peerv1.FenceResponse{Fenced: fenced}), nil
}

// HandOver implements peerv1connect.RateServiceHandler.
func (h handler) HandOver(ctx context.Context, req *connect.Request[peerv1.HandOverRequest]) (*connect.Response[peerv1.HandOverResponse], error) {
	m := req.Msg
	levels := make([]share.Level, 0, len(m.GetLevels()))
	for _, l := range m.GetLevels() {
		levels = append(levels, share.Level{
			Key:   share.Key{Organisation: l.GetOrganisation(), Share: l.GetShare()},
			Milli: l.GetLevelMilli(),
		})
	}
	accepted, ok := ask(ctx, h.s, func(reply chan bool) any {
		return handOver{
			shard: m.GetShard(), term: lease.Term(m.GetTerm()), from: holderFromProto(m.GetFrom()), levels: levels,
			spending: m.GetSpending(), filling: time.Duration(m.GetFillingMs()) * time.Millisecond, reply: reply,
		}
	})
	if !ok {
		return nil, errStopped()
	}
	return connect.NewResponse(&peerv1.HandOverResponse{Accepted: accepted}), nil
}

// toMillis rounds up so that callers do not retry too early.
func toMillis(d time.Duration) uint32 {
	ms := d / time.Millisecond
	if d%time.Millisecond > 0 {
		ms++
	}
	return uint32(min(ms, math.MaxUint32))
}
