package rate

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/request"
)

// sendExtends sends one Extend to each member, for all terms that have it in their fence set.
func (s *Service) sendExtends(requests []lease.MemberRequest) {
	byMember := make(map[request.Holder][]lease.MemberRequest)
	for _, r := range requests {
		byMember[r.Member] = append(byMember[r.Member], r)
	}
	for member, requests := range byMember {
		s.count.extends.Inc(1)
		s.runInBackground(peerTimeout, func(ctx context.Context) { s.sendExtend(ctx, member, requests) })
	}
}

func (s *Service) sendExtend(ctx context.Context, member request.Holder, requests []lease.MemberRequest) {
	req := &peerv1.ExtendRequest{Holder: holderToProto(s.cfg.Self), Member: holderToProto(member)}
	for _, r := range requests {
		req.Terms = append(req.Terms, &peerv1.TermRef{Shard: r.Shard, Term: uint64(r.Term)})
	}
	res, err := s.client(member).Extend(ctx, connect.NewRequest(req))
	if err != nil {
		return
	}
	var granted []lease.MemberRequest
	for i, ok := range res.Msg.GetExtended() {
		if ok && i < len(requests) {
			granted = append(granted, requests[i])
		}
	}
	s.tell(extendAcks{requests: granted})
}

func (s *Service) sendFence(r lease.MemberRequest) {
	s.count.fences.Inc(1)
	s.runInBackground(peerTimeout, func(ctx context.Context) {
		res, err := s.client(r.Member).Fence(ctx, connect.NewRequest(&peerv1.FenceRequest{
			Shard: r.Shard, Term: uint64(r.Term), Successor: holderToProto(s.cfg.Self), Member: holderToProto(r.Member),
		}))
		if err == nil && res.Msg.GetFenced() {
			s.tell(fenceAck{request: r})
		}
	})
}

// sendHandOver reports to a successor that this run has stopped under a term. If the report
// is lost, the successor waits instead and starts with empty buckets.
func (s *Service) sendHandOver(o outgoingHandOver) {
	msg := &peerv1.HandOverRequest{
		Shard: o.stop.Shard, Term: uint64(o.stop.Term), From: holderToProto(s.cfg.Self),
		Spending: o.stop.Spending, FillingMs: uint64(max(o.filling, 0) / time.Millisecond),
	}
	for _, l := range o.levels {
		msg.Levels = append(msg.Levels, &peerv1.BucketLevel{
			Organisation: l.Key.Organisation, Share: l.Key.Share, LevelMilli: l.Milli,
		})
	}
	s.runInBackground(maxHandOverAttempts*peerTimeout, func(ctx context.Context) {
		for range maxHandOverAttempts {
			if s.tryHandOver(ctx, o.stop.Successor, msg) {
				return
			}
			sleep(ctx, homeRetryInterval)
		}
		s.logger.Warn("rate handover was not delivered", zap.Uint32("shard", o.stop.Shard),
			zap.String("successor", o.stop.Successor.Instance))
	})
}

func (s *Service) tryHandOver(ctx context.Context, to request.Holder, msg *peerv1.HandOverRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	res, err := s.client(to).HandOver(ctx, connect.NewRequest(msg))
	return err == nil && res.Msg.GetAccepted()
}

func holderToProto(h request.Holder) *peerv1.Holder {
	return &peerv1.Holder{Instance: h.Instance, Incarnation: h.Incarnation, Address: h.Address}
}

func holderFromProto(h *peerv1.Holder) request.Holder {
	return request.Holder{Instance: h.GetInstance(), Incarnation: h.GetIncarnation(), Address: h.GetAddress()}
}
