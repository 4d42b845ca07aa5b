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

// admission collects the cost of one request from an organisation's shares.
type admission struct {
	s            *Service
	organisation string
	limit        object.Limit
	cost, got    uint64
	startedAt    time.Duration
	shares       [share.Count]admissionShare
}

// admissionShare is the state of one share during an admission.
type admissionShare struct {
	shard uint32
	// parts are the grants of the share, one for each attempt that was granted tokens.
	parts []route.ChargePart
	// exhausted reports that the share granted all the tokens it had.
	exhausted bool
	// unavailable reports that the share's home neither granted nor refused.
	unavailable bool
}

// Admit implements route.RateLimiter. It refuses with verdict.ReasonRateLimited and the
// time until the shares hold the cost, or with verdict.ReasonRateHomeUnavailable if a share
// without a reachable home might hold the missing tokens. A cost above the burst can never
// be admitted and is refused without a time.
func (s *Service) Admit(ctx context.Context, organisation string, cost uint64) (route.Charge, error) {
	charge := route.Charge{Organisation: organisation, Tokens: cost}
	limit, ok := s.cfg.Limit(organisation)
	if !ok {
		return route.Charge{}, verdict.Refuse(verdict.ReasonNoConfiguration, time.Second,
			"no rate limit is configured for the organisation")
	}
	if cost > uint64(max(limit.Burst, 0)) {
		return route.Charge{}, verdict.Refuse(verdict.ReasonRateLimited, 0,
			"the request may use %d tokens, more than the organisation's burst of %d", cost, limit.Burst)
	}
	if cost == 0 {
		return charge, nil
	}
	a := &admission{s: s, organisation: organisation, limit: limit, cost: cost, startedAt: s.now()}
	a.collect(ctx)
	if a.got < cost {
		a.refundAll()
		return route.Charge{}, a.refusal(ctx)
	}
	if s.now() > a.startedAt+maxCollectTime {
		a.refundAll()
		return route.Charge{}, verdict.Refuse(verdict.ReasonRateHomeUnavailable, time.Second,
			"collecting tokens from the shares took too long")
	}
	for i := range a.shares {
		charge.Parts = append(charge.Parts, a.shares[i].parts...)
	}
	s.count.admitted.Inc(1)
	return charge, nil
}

// collect acquires tokens from the shares, and then waits a short time for shares whose home
// became unreachable recently.
func (a *admission) collect(ctx context.Context) {
	for _, i := range a.shareOrder() {
		a.acquireFrom(ctx, i, false)
	}
	waited := false
	for a.shouldWait() && ctx.Err() == nil {
		if !waited {
			waited = true
			a.s.count.homeWaits.Inc(1)
		}
		sleep(ctx, homeRetryInterval)
		for i := range a.shares {
			if a.shares[i].unavailable {
				a.acquireFrom(ctx, uint32(i), true)
			}
		}
	}
}

// shareOrder returns the shares in random order, those whose home is this instance first
// since they need no network hop.
func (a *admission) shareOrder() []uint32 {
	routes := a.s.routes.Load()
	var local, remote []uint32
	for _, n := range rand.Perm(share.Count) {
		i := uint32(n)
		a.shares[i].shard = shardOf(a.organisation, i)
		if lease.SameRun(routes.holders[a.shares[i].shard], a.s.cfg.Self) {
			local = append(local, i)
		} else {
			remote = append(remote, i)
		}
	}
	return append(local, remote...)
}

// acquireFrom acquires the missing tokens, or as many of them as are available, from one
// share. It skips a share whose home failed recently unless retry is set.
func (a *admission) acquireFrom(ctx context.Context, i uint32, retry bool) {
	sh := &a.shares[i]
	if a.got >= a.cost || share.LimitOf(a.limit, i).BurstMilli == 0 {
		return
	}
	if !retry && a.s.failures.shouldSkip(sh.shard) {
		sh.unavailable = true
		a.s.count.sharesSkipped.Inc(1)
		return
	}
	wanted := a.cost - a.got
	res, ok := a.s.acquireFromHome(ctx, sh.shard, share.Key{Organisation: a.organisation, Share: i}, wanted)
	sh.unavailable = !ok
	if !ok && ctx.Err() == nil {
		a.s.failures.recordFailure(sh.shard)
	}
	if !ok {
		a.s.count.sharesSkipped.Inc(1)
		return
	}
	a.s.failures.recordSuccess(sh.shard)
	sh.exhausted = res.grant.Tokens < wanted
	if res.grant.Tokens == 0 {
		return
	}
	a.got += res.grant.Tokens
	sh.parts = append(sh.parts, route.ChargePart{
		Share: i, Shard: sh.shard, Term: uint64(res.term), ChargeID: uint64(res.grant.ChargeID), Tokens: res.grant.Tokens,
	})
}

// shouldWait reports whether shares whose home failed recently could hold the missing tokens.
func (a *admission) shouldWait() bool {
	if a.got >= a.cost || a.s.now() >= a.startedAt+homeWait {
		return false
	}
	return a.cost-a.got <= a.maxTokens(func(sh *admissionShare) bool {
		return sh.unavailable && a.s.failures.isRecent(sh.shard)
	})
}

// maxTokens returns the sum of the bursts of the matching shares, in tokens.
func (a *admission) maxTokens(match func(*admissionShare) bool) uint64 {
	sum := uint64(0)
	for i := range a.shares {
		if match(&a.shares[i]) {
			sum += uint64(share.LimitOf(a.limit, uint32(i)).BurstMilli / 1000)
		}
	}
	return sum
}

// acquireFromHome acquires tokens from the home of a shard, without a network hop if that is
// this instance. It returns false if the home did not decide.
func (s *Service) acquireFromHome(ctx context.Context, shard uint32, key share.Key, tokens uint64) (acquired, bool) {
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
	return s.acquireFromPeer(ctx, holder, shard, key, tokens)
}

func (s *Service) acquireFromPeer(ctx context.Context, holder request.Holder, shard uint32, key share.Key, tokens uint64) (acquired, bool) {
	res, err := s.client(holder).Acquire(ctx, connect.NewRequest(&peerv1.AcquireRequest{
		Organisation: key.Organisation, Share: key.Share, Shard: shard, Tokens: tokens, Partial: true,
	}))
	if err != nil || res.Msg.GetNotHome() {
		return acquired{}, false
	}
	return acquired{
		grant: share.Grant{
			Tokens:   min(res.Msg.GetGranted(), tokens),
			ChargeID: bucket.ChargeID(res.Msg.GetCharge()),
			Wait:     time.Duration(res.Msg.GetWaitMs()) * time.Millisecond,
		},
		term: lease.Term(res.Msg.GetTerm()),
	}, true
}
