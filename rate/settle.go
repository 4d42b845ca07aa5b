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

// Settle implements route.RateLimiter. What was not used goes back to the shares it
// came from. What was used beyond the charge, because a prompt was longer than its
// estimate, is taken from the first of them, whose level may become negative: the
// organisation pays with its later requests.
func (s *Service) Settle(charge route.Charge, used uint64) {
	if len(charge.Parts) == 0 {
		return
	}
	if used > charge.Tokens {
		s.giveBackLater(refundPart(charge.Organisation, charge.Parts[0], 0, used-charge.Tokens))
		return
	}
	unused := charge.Tokens - used
	for _, p := range charge.Parts {
		back := min(unused, p.Tokens)
		if back == 0 {
			return
		}
		unused -= back
		s.giveBackLater(refundPart(charge.Organisation, p, back, 0))
	}
}

// giveBack returns all that a gather has taken, at once: others may be refused for
// want of it.
func (g *gather) giveBack() {
	for i := range g.shares {
		for _, p := range g.shares[i].parts {
			part := refundPart(g.organisation, p, p.Tokens, 0)
			if home, ok := g.s.refundTo(part); ok {
				parts := []*peerv1.RefundPart{part}
				g.s.inBackground(refundTimeout, func(ctx context.Context) { g.s.sendRefunds(ctx, home, parts) })
			}
		}
	}
}

// unsentRefunds are refunds that wait for the next call to their home.
type unsentRefunds struct {
	mu     sync.Mutex
	byHome map[request.Holder][]*peerv1.RefundPart
}

func (u *unsentRefunds) add(home request.Holder, part *peerv1.RefundPart) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byHome == nil {
		u.byHome = make(map[request.Holder][]*peerv1.RefundPart)
	}
	u.byHome[home] = append(u.byHome[home], part)
}

func (u *unsentRefunds) takeAll() map[request.Holder][]*peerv1.RefundPart {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := u.byHome
	u.byHome = nil
	return all
}

func (s *Service) giveBackLater(part *peerv1.RefundPart) {
	if home, ok := s.refundTo(part); ok {
		s.unsent.add(home, part)
	}
}

// settle sends gathered refunds. What is left when the service ends is sent before
// Run returns.
func (s *Service) settle(ctx context.Context) error {
	ticker := time.NewTicker(settleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.sendUnsent().Wait()
			return nil
		case <-ticker.C:
			s.sendUnsent()
		}
	}
}

// sendUnsent sends what has gathered, one call to each home.
func (s *Service) sendUnsent() *sync.WaitGroup {
	var sent sync.WaitGroup
	for home, parts := range s.unsent.takeAll() {
		sent.Add(1)
		s.inBackground(refundTimeout, func(ctx context.Context) {
			defer sent.Done()
			s.sendRefunds(ctx, home, parts)
		})
	}
	return &sent
}

// refundTo applies a refund if its home is here, and otherwise says where it goes.
func (s *Service) refundTo(part *peerv1.RefundPart) (request.Holder, bool) {
	s.count.refunds.Inc(1)
	home := s.routes.Load().holders[part.GetShard()]
	switch {
	case home.Instance == "":
		s.count.refundsDropped.Inc(1)
		return home, false
	case lease.SameRun(home, s.cfg.Self):
		s.tell(refundMessage(part))
		return home, false
	}
	return home, true
}

// sendRefunds is tried once: a repeated refund would be counted twice, a lost one only
// costs the organisation tokens that come back at its rate.
func (s *Service) sendRefunds(ctx context.Context, home request.Holder, parts []*peerv1.RefundPart) {
	_, err := s.client(home).Refund(ctx, connect.NewRequest(&peerv1.RefundRequest{Parts: parts}))
	if err != nil {
		s.count.refundsDropped.Inc(int64(len(parts)))
	}
}

func refundPart(organisation string, p route.ChargePart, tokens, overdraft uint64) *peerv1.RefundPart {
	return &peerv1.RefundPart{
		Organisation: organisation, Share: p.Share, Shard: p.Shard, Term: p.Term, Charge: p.Charge,
		Tokens: tokens, Overdraft: overdraft,
	}
}

func refundMessage(p *peerv1.RefundPart) refund {
	return refund{
		shard: p.GetShard(), key: share.Key{Organisation: p.GetOrganisation(), Share: p.GetShare()},
		term: lease.Term(p.GetTerm()), charge: bucket.ChargeID(p.GetCharge()),
		tokens: p.GetTokens(), overdraft: p.GetOverdraft(),
	}
}
