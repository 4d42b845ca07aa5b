package rate

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/cairnworks/cairnworks/decision/bucket"
	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/rate/share"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

// gather collects one request's cost from an organisation's shares.
type gather struct {
	s            *Service
	organisation string
	limit        object.Limit
	cost, got    uint64
	begun        time.Duration
	shares       [share.Count]gatherShare
}

// gatherShare is what a gather knows of one share.
type gatherShare struct {
	shard uint32
	// part is what was granted, in parts of several tries.
	parts []route.ChargePart
	// drawn says that the share gave all it had.
	drawn bool
	// doubtful says that the share's home did not grant or refuse.
	doubtful bool
}

// Admit implements route.RateLimiter. It refuses with verdict.ReasonRateLimited and
// the time until the shares hold the cost, or with verdict.ReasonRateHomeUnavailable when
// a share without a reachable home might hold what is missing. A cost above the burst
// is refused without a time: it can never be admitted.
func (s *Service) Admit(ctx context.Context, organisation string, cost uint64) (route.Charge, error) {
	charge := route.Charge{Organisation: organisation, Tokens: cost}
	limit, ok := s.cfg.Limit(organisation)
	if !ok {
		return route.Charge{}, verdict.Refuse(verdict.ReasonNoConfiguration, time.Second,
			"no limit is in force for the organisation")
	}
	if cost > uint64(max(limit.Burst, 0)) {
		return route.Charge{}, verdict.Refuse(verdict.ReasonRateLimited, 0,
			"the request may use %d tokens, more than the organisation's burst of %d", cost, limit.Burst)
	}
	if cost == 0 {
		return charge, nil
	}
	g := &gather{s: s, organisation: organisation, limit: limit, cost: cost, begun: s.now()}
	g.collect(ctx)
	if g.got < cost {
		g.giveBack()
		return route.Charge{}, g.refusal(ctx)
	}
	if s.now() > g.begun+maxGather {
		g.giveBack()
		return route.Charge{}, verdict.Refuse(verdict.ReasonRateHomeUnavailable, time.Second,
			"gathering tokens took too long")
	}
	for i := range g.shares {
		charge.Parts = append(charge.Parts, g.shares[i].parts...)
	}
	s.count.admitted.Inc(1)
	return charge, nil
}

// collect asks the shares, then waits a short time for those whose home has just been
// lost from sight.
func (g *gather) collect(ctx context.Context) {
	for _, i := range g.order() {
		g.draw(ctx, i, false)
	}
	waited := false
	for g.worthWaiting() && ctx.Err() == nil {
		if !waited {
			waited = true
			g.s.count.waited.Inc(1)
		}
		pause(ctx, homeRetry)
		for i := range g.shares {
			if g.shares[i].doubtful {
				g.draw(ctx, uint32(i), true)
			}
		}
	}
}

// order puts shares that are at home here first; they cost no hop.
func (g *gather) order() []uint32 {
	routes := g.s.routes.Load()
	var local, remote []uint32
	for _, n := range rand.Perm(share.Count) {
		i := uint32(n)
		g.shares[i].shard = shardOf(g.organisation, i)
		if lease.SameRun(routes.holders[g.shares[i].shard], g.s.cfg.Self) {
			local = append(local, i)
		} else {
			remote = append(remote, i)
		}
	}
	return append(local, remote...)
}

// draw takes what is missing from one share, as far as it has it.
func (g *gather) draw(ctx context.Context, i uint32, again bool) {
	sh := &g.shares[i]
	if g.got >= g.cost || share.LimitOf(g.limit, i).BurstMilli == 0 {
		return
	}
	if !again && g.s.doubts.isDoubtful(sh.shard) {
		sh.doubtful = true
		g.s.count.passedOver.Inc(1)
		return
	}
	wanted := g.cost - g.got
	res, ok := g.s.take(ctx, sh.shard, share.Key{Organisation: g.organisation, Share: i}, wanted)
	sh.doubtful = !ok
	if !ok && ctx.Err() == nil {
		g.s.doubts.failed(sh.shard)
	}
	if !ok {
		g.s.count.passedOver.Inc(1)
		return
	}
	g.s.doubts.answered(sh.shard)
	sh.drawn = res.grant.Tokens < wanted
	if res.grant.Tokens == 0 {
		return
	}
	g.got += res.grant.Tokens
	sh.parts = append(sh.parts, route.ChargePart{
		Share: i, Shard: sh.shard, Term: uint64(res.term), Charge: uint64(res.grant.Charge), Tokens: res.grant.Tokens,
	})
}

// worthWaiting reports whether shares in fresh doubt could hold what is missing.
func (g *gather) worthWaiting() bool {
	if g.got >= g.cost || g.s.now() >= g.begun+homeWait {
		return false
	}
	return g.cost-g.got <= g.mayHold(func(sh *gatherShare) bool {
		return sh.doubtful && g.s.doubts.isFresh(sh.shard)
	})
}

// mayHold sums the bursts of the shares for which match holds, in tokens.
func (g *gather) mayHold(match func(*gatherShare) bool) uint64 {
	sum := uint64(0)
	for i := range g.shares {
		if match(&g.shares[i]) {
			sum += uint64(share.LimitOf(g.limit, uint32(i)).BurstMilli / 1000)
		}
	}
	return sum
}

// take asks a shard's home, without a hop if that is this instance.
func (s *Service) take(ctx context.Context, shard uint32, key share.Key, tokens uint64) (acquired, bool) {
	holder := s.routes.Load().holders[shard]
	if holder.Instance == "" {
		return acquired{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	if lease.SameRun(holder, s.cfg.Self) {
		got, ok := ask(ctx, s, func(reply chan acquired) any {
			return acquire{shard: shard, key: key, tokens: tokens, partial: true, reply: reply}
		})
		return got, ok && !got.notHome
	}
	return s.takeFromPeer(ctx, holder, shard, key, tokens)
}

func (s *Service) takeFromPeer(ctx context.Context, holder request.Holder, shard uint32, key share.Key, tokens uint64) (acquired, bool) {
	res, err := s.client(holder).Acquire(ctx, connect.NewRequest(&peerv1.AcquireRequest{
		Organisation: key.Organisation, Share: key.Share, Shard: shard, Tokens: tokens, Partial: true,
	}))
	if err != nil || res.Msg.GetNotHome() {
		return acquired{}, false
	}
	return acquired{
		grant: share.Grant{
			Tokens: min(res.Msg.GetGranted(), tokens),
			Charge: bucket.ChargeID(res.Msg.GetCharge()),
			Wait:   time.Duration(res.Msg.GetWaitMs()) * time.Millisecond,
		},
		term: lease.Term(res.Msg.GetTerm()),
	}, true
}
