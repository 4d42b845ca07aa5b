package rate

import (
	"context"

	"connectrpc.com/connect"

	"github.com/cairnworks/cairnworks/decision/bucket"
	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/rate/share"
	"github.com/cairnworks/cairnworks/route"
)

// Settle implements route.RateLimiter. What was not used goes back to the shares it
// came from. What was used beyond the charge, because a prompt was longer than its
// estimate, is taken from the first of them, whose level may become negative: the
// organisation pays with its later requests.
func (s *Service) Settle(charge route.Charge, used uint64) {
	if len(charge.Parts) == 0 {
		return
	}
	if used > charge.Tokens {
		s.giveBack(charge.Organisation, charge.Parts[0], 0, used-charge.Tokens)
		return
	}
	unused := charge.Tokens - used
	for _, p := range charge.Parts {
		back := min(unused, p.Tokens)
		if back == 0 {
			return
		}
		unused -= back
		s.giveBack(charge.Organisation, p, back, 0)
	}
}

// giveBack returns all that a gather has taken.
func (g *gather) giveBack() {
	for i := range g.shares {
		for _, p := range g.shares[i].parts {
			g.s.giveBack(g.organisation, p, p.Tokens, 0)
		}
	}
}

// giveBack settles one part. It is sent once: a repeated refund would be counted twice,
// a lost one only costs the organisation tokens that come back at its rate.
func (s *Service) giveBack(organisation string, p route.ChargePart, tokens, overdraft uint64) {
	s.count.refunds.Inc(1)
	holder := s.routes.Load().holders[p.Shard]
	if holder.Instance == "" {
		s.count.refundsDropped.Inc(1)
		return
	}
	if lease.SameRun(holder, s.cfg.Self) {
		s.tell(refund{
			shard: p.Shard, key: share.Key{Organisation: organisation, Share: p.Share}, term: lease.Term(p.Term),
			charge: bucket.ChargeID(p.Charge), tokens: tokens, overdraft: overdraft,
		})
		return
	}
	s.inBackground(refundTimeout, func(ctx context.Context) {
		_, err := s.client(holder).Refund(ctx, connect.NewRequest(&peerv1.RefundRequest{
			Organisation: organisation, Share: p.Share, Shard: p.Shard, Term: p.Term, Charge: p.Charge,
			Tokens: tokens, Overdraft: overdraft,
		}))
		if err != nil {
			s.count.refundsDropped.Inc(1)
		}
	})
}
