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

// askExtend asks each member once for all terms that name it.
func (s *Service) askExtend(asks []lease.MemberRequest) {
	byMember := make(map[request.Holder][]lease.MemberRequest)
	for _, a := range asks {
		byMember[a.Member] = append(byMember[a.Member], a)
	}
	for member, asks := range byMember {
		s.count.extends.Inc(1)
		s.inBackground(peerTimeout, func(ctx context.Context) { s.extendAt(ctx, member, asks) })
	}
}

func (s *Service) extendAt(ctx context.Context, member request.Holder, asks []lease.MemberRequest) {
	req := &peerv1.ExtendRequest{Holder: toWire(s.cfg.Self), Member: toWire(member)}
	for _, a := range asks {
		req.Terms = append(req.Terms, &peerv1.TermRef{Shard: a.Shard, Term: uint64(a.Term)})
	}
	res, err := s.client(member).Extend(ctx, connect.NewRequest(req))
	if err != nil {
		return
	}
	var granted []lease.MemberRequest
	for i, ok := range res.Msg.GetExtended() {
		if ok && i < len(asks) {
			granted = append(granted, asks[i])
		}
	}
	s.tell(extended{asks: granted})
}

func (s *Service) askFence(a lease.MemberRequest) {
	s.count.fences.Inc(1)
	s.inBackground(peerTimeout, func(ctx context.Context) {
		res, err := s.client(a.Member).Fence(ctx, connect.NewRequest(&peerv1.FenceRequest{
			Shard: a.Shard, Term: uint64(a.Term), Successor: toWire(s.cfg.Self), Member: toWire(a.Member),
		}))
		if err == nil && res.Msg.GetFenced() {
			s.tell(fenced{ask: a})
		}
	})
}

// sendHandOver tells a successor that this run has stopped under a term. If it is
// lost, the successor waits instead and begins empty.
func (s *Service) sendHandOver(o outgoing) {
	msg := &peerv1.HandOverRequest{
		Shard: o.stop.Shard, Term: uint64(o.stop.Term), From: toWire(s.cfg.Self),
		Spending: o.stop.Spending, FillingMs: uint64(max(o.filling, 0) / time.Millisecond),
	}
	for _, l := range o.levels {
		msg.Levels = append(msg.Levels, &peerv1.BucketLevel{
			Organisation: l.Key.Organisation, Share: l.Key.Share, LevelMilli: l.Milli,
		})
	}
	s.inBackground(handOverTries*peerTimeout, func(ctx context.Context) {
		for range handOverTries {
			if s.tryHandOver(ctx, o.stop.Successor, msg) {
				return
			}
			pause(ctx, homeRetry)
		}
		s.logger.Warn("rate hand over lost", zap.Uint32("shard", o.stop.Shard),
			zap.String("successor", o.stop.Successor.Instance))
	})
}

func (s *Service) tryHandOver(ctx context.Context, to request.Holder, msg *peerv1.HandOverRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	res, err := s.client(to).HandOver(ctx, connect.NewRequest(msg))
	return err == nil && res.Msg.GetAccepted()
}

func toWire(h request.Holder) *peerv1.Holder {
	return &peerv1.Holder{Instance: h.Instance, Incarnation: h.Incarnation, Address: h.Address}
}

func fromWire(h *peerv1.Holder) request.Holder {
	return request.Holder{Instance: h.GetInstance(), Incarnation: h.GetIncarnation(), Address: h.GetAddress()}
}
