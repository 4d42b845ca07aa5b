package rate

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/cairnworks/cairnworks/decision/bucket"
	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/rate/share"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/route"
)

// Settle implements route.RateLimiter. Unused tokens are refunded to the shares that granted
// them. Tokens used beyond the charge, because a prompt was longer than its estimate, are
// taken from the first of these shares. Its level may become negative, at the expense of the
// organisation's later requests.
func (s *Service) Settle(charge route.Charge, used uint64) {
	if len(charge.Parts) == 0 {
		return
	}
	if used > charge.Tokens {
		s.queueRefund(newRefundPart(charge.Organisation, charge.Parts[0], 0, used-charge.Tokens))
		return
	}
	unused := charge.Tokens - used
	for _, p := range charge.Parts {
		refunded := min(unused, p.Tokens)
		if refunded == 0 {
			return
		}
		unused -= refunded
		s.queueRefund(newRefundPart(charge.Organisation, p, refunded, 0))
	}
}

// refundAll refunds all grants at once, since other requests may be refused without them.
func (a *admission) refundAll() {
	for i := range a.shares {
		for _, p := range a.shares[i].parts {
			part := newRefundPart(a.organisation, p, p.Tokens, 0)
			if home, ok := a.s.applyOrRoute(part); ok {
				parts := []*peerv1.RefundPart{part}
				a.s.runInBackground(refundTimeout, func(ctx context.Context) { a.s.sendRefunds(ctx, home, parts) })
			}
		}
	}
}

// refundQueue holds refunds until the next call to their home.
type refundQueue struct {
	mu     sync.Mutex
	byHome map[request.Holder][]*peerv1.RefundPart
}

func (q *refundQueue) add(home request.Holder, part *peerv1.RefundPart) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byHome == nil {
		q.byHome = make(map[request.Holder][]*peerv1.RefundPart)
	}
	q.byHome[home] = append(q.byHome[home], part)
}

func (q *refundQueue) takeAll() map[request.Holder][]*peerv1.RefundPart {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.byHome
	q.byHome = nil
	return all
}

func (s *Service) queueRefund(part *peerv1.RefundPart) {
	if home, ok := s.applyOrRoute(part); ok {
		s.refunds.add(home, part)
	}
}

// runRefunds sends the queued refunds periodically. Those that are left when the service ends
// are sent before Run returns.
func (s *Service) runRefunds(ctx context.Context) error {
	ticker := time.NewTicker(refundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.flushRefunds().Wait()
			return nil
		case <-ticker.C:
			s.flushRefunds()
		}
	}
}

// flushRefunds sends the queued refunds, in one call to each home.
func (s *Service) flushRefunds() *sync.WaitGroup {
	var sent sync.WaitGroup
	for home, parts := range s.refunds.takeAll() {
		sent.Add(1)
		s.runInBackground(refundTimeout, func(ctx context.Context) {
			defer sent.Done()
			s.sendRefunds(ctx, home, parts)
		})
	}
	return &sent
}

// applyOrRoute applies a refund if its home is this instance and drops it if its home is
// unknown. Otherwise it returns the home and true.
func (s *Service) applyOrRoute(part *peerv1.RefundPart) (request.Holder, bool) {
	s.count.refunds.Inc(1)
	home := s.routes.Load().holders[part.GetShard()]
	switch {
	case home.Instance == "":
		s.count.refundsDropped.Inc(1)
		return home, false
	case lease.SameRun(home, s.cfg.Self):
		s.tell(toRefundMessage(part))
		return home, false
	}
	return home, true
}

// sendRefunds makes one attempt. A repeated refund would be counted twice, while a lost one
// costs the organisation only tokens that are refilled at its rate.
func (s *Service) sendRefunds(ctx context.Context, home request.Holder, parts []*peerv1.RefundPart) {
	_, err := s.client(home).Refund(ctx, connect.NewRequest(&peerv1.RefundRequest{Parts: parts}))
	if err != nil {
		s.count.refundsDropped.Inc(int64(len(parts)))
	}
}

func newRefundPart(organisation string, p route.ChargePart, tokens, overdraft uint64) *peerv1.RefundPart {
	return &peerv1.RefundPart{
		Organisation: organisation, Share: p.Share, Shard: p.Shard, Term: p.Term, Charge: p.ChargeID,
		Tokens: tokens, Overdraft: overdraft,
	}
}

func toRefundMessage(p *peerv1.RefundPart) refund {
	return refund{
		shard: p.GetShard(), key: share.Key{Organisation: p.GetOrganisation(), Share: p.GetShare()},
		term: lease.Term(p.GetTerm()), chargeID: bucket.ChargeID(p.GetCharge()),
		tokens: p.GetTokens(), overdraft: p.GetOverdraft(),
	}
}
