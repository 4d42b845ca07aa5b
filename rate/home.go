package rate

import (
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/bucket"
	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/rate/share"
	"github.com/cairnworks/cairnworks/request"
)

// homeActor owns the lease state and the buckets of this instance's shards. It processes one
// message at a time in Receive. Calls to the log and to peers run outside of the actor, and
// their results arrive as messages.
type homeActor struct {
	s               *Service
	node            *lease.Node
	views           viewCache
	held            map[uint32]*heldShard
	offered         map[uint32]offeredLevels
	prunedAt        time.Duration
	gaugesUpdatedAt time.Duration
}

// heldShard is a shard that this instance spends from.
type heldShard struct {
	// firstTerm is the term under which the buckets were created, term the current one.
	// They differ after a claim that only replaced the fence set. The same buckets hold
	// the charges of all terms from firstTerm to term.
	firstTerm, term lease.Term
	buckets         *share.Buckets
}

// offeredLevels are the levels that a holder sent when it stopped under a term.
type offeredLevels struct {
	term    lease.Term
	levels  []share.Level
	filling time.Duration
}

// Receive implements actor.Actor.
func (h *homeActor) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case acquire:
		m.reply <- h.acquire(m)
	case refund:
		h.refund(m)
	case logPage:
		h.apply(h.node.ApplyPage(m.startedAt, h.s.now(), m.page))
		m.next <- h.position()
	case tick:
		h.tick(m)
	case extend:
		m.reply <- h.extend(m)
	case fence:
		m.reply <- h.node.Fence(m.member, m.shard, m.term)
	case extendAcks:
		for _, r := range m.requests {
			h.node.HandleExtended(r)
		}
	case fenceAck:
		h.apply(h.node.HandleFenced(h.s.now(), m.request))
	case handOver:
		m.reply <- h.handOver(m)
	case statusQuery:
		m.reply <- h.status()
	}
}

// acquire grants tokens if this instance may spend both before and after they are taken.
func (h *homeActor) acquire(m acquire) acquired {
	now := h.s.now()
	term, ok := h.node.MaySpend(m.shard, now)
	held := h.held[m.shard]
	if !ok || held == nil {
		return acquired{notHome: true}
	}
	limit, ok := h.s.shareLimit(m.key)
	if !ok {
		return acquired{}
	}
	grant := held.buckets.Take(now, m.key, limit, m.tokens, m.partial)
	// The process may have been paused since the check, and the lease may have expired. The
	// tokens were charged in time, but the grant is withdrawn, since it would start work
	// after a successor has begun to spend.
	if _, ok := h.node.MaySpend(m.shard, h.s.now()); !ok {
		return acquired{notHome: true}
	}
	return acquired{grant: grant, term: term}
}

func (h *homeActor) refund(m refund) {
	held := h.held[m.shard]
	if held == nil || m.term < held.firstTerm || m.term > held.term {
		h.s.count.refundsDropped.Inc(1)
		return
	}
	held.buckets.Refund(h.s.now(), m.key, m.chargeID, m.tokens, m.overdraft)
}

func (h *homeActor) extend(m extend) []bool {
	extended := make([]bool, len(m.terms))
	for i, t := range m.terms {
		extended[i] = h.node.Extend(m.member, t.shard, t.term)
	}
	return extended
}

func (h *homeActor) handOver(m handOver) bool {
	if m.spending {
		h.offered[m.shard] = offeredLevels{term: m.term, levels: m.levels, filling: m.filling}
	}
	effects, ok := h.node.HandOver(h.s.now(), m.shard, m.term, m.from, m.spending)
	h.apply(effects)
	return ok
}

func (h *homeActor) tick(m tick) {
	now := h.s.now()
	h.apply(h.node.Tick(now, h.views.get(m.members, h.s.draining.Load())))
	h.publish()
	if now >= h.gaugesUpdatedAt+gaugeInterval {
		h.gaugesUpdatedAt = now
		h.updateGauges(now)
	}
	if now >= h.prunedAt+pruneInterval {
		h.prunedAt = now
		h.s.pruneClients(m.members)
		for _, held := range h.held {
			held.buckets.Prune(now, h.s.shareLimit)
		}
	}
}

// position returns the position at which the log reader continues.
func (h *homeActor) position() readPosition {
	h.publish()
	return readPosition{next: h.node.Next(), holdsShards: len(h.node.Held(h.s.now())) > 0}
}

// publish updates the routes, which tell requests the home of each shard.
func (h *homeActor) publish() {
	var r routes
	for shard := range r.holders {
		if cur, ok := h.node.Current(uint32(shard)); ok {
			r.holders[shard] = cur.Holder
		} else if shard < len(h.views.view.Homes) {
			r.holders[shard] = h.views.view.Homes[shard]
		}
	}
	h.s.routes.Store(&r)
}

// apply carries out the effects of the lease state machine.
func (h *homeActor) apply(e lease.Effects) {
	for _, stop := range e.Stopped {
		h.stop(stop)
	}
	for _, start := range e.Started {
		h.start(start)
	}
	if len(e.Append) > 0 {
		h.s.append(e.Append)
	}
	h.s.sendExtends(e.Extends)
	for _, r := range e.Fences {
		h.s.sendFence(r)
	}
}

func (h *homeActor) stop(stop lease.Stop) {
	held := h.held[stop.Shard]
	delete(h.held, stop.Shard)
	h.s.count.stopped.Inc(1)
	h.s.logger.Info("rate shard lost", zap.Uint32("shard", stop.Shard), zap.Uint64("term", uint64(stop.Term)),
		zap.String("successor", stop.Successor.Instance), zap.Bool("spending", stop.Spending))
	if stop.Successor.Instance == "" || lease.SameRun(stop.Successor, h.s.cfg.Self) {
		return
	}
	h.reportUnknownSuccessor(stop)
	out := outgoingHandOver{stop: stop}
	if held != nil && stop.Spending {
		out.levels, out.filling = held.buckets.Snapshot(h.s.now())
	}
	h.s.sendHandOver(out)
}

// reportUnknownSuccessor logs a successor that is not a member. Two groups of instances that
// use one log but do not reach each other keep taking all shards from each other. Without a
// log line that names the other group, an operator sees only that shards keep changing their
// holder.
func (h *homeActor) reportUnknownSuccessor(stop lease.Stop) {
	known := func(m request.Holder) bool { return m.Instance == stop.Successor.Instance }
	if slices.ContainsFunc(h.views.members, known) {
		return
	}
	h.s.count.lostToUnknown.Inc(1)
	h.s.logger.Warn("rate shard lost to an instance that is not a member; it uses the same log", zap.Uint32("shard", stop.Shard),
		zap.String("successor", stop.Successor.Instance), zap.String("address", stop.Successor.Address))
}

func (h *homeActor) start(start lease.Start) {
	now := h.s.now()
	h.s.count.started.Inc(1)
	h.s.logger.Info("rate shard held", zap.Uint32("shard", start.Shard), zap.Uint64("term", uint64(start.Term)),
		zap.Stringer("levels", start.Levels))
	if held := h.held[start.Shard]; start.Levels == lease.LevelsKept && held != nil {
		held.term = start.Term
		return
	}
	buckets := share.NewEmpty(now)
	offer := h.offered[start.Shard]
	if start.Levels == lease.LevelsHandedOver && offer.term == start.Previous {
		buckets = share.NewFromLevels(now, offer.filling, offer.levels, h.s.shareLimit)
	}
	delete(h.offered, start.Shard)
	h.held[start.Shard] = &heldShard{firstTerm: start.Term, term: start.Term, buckets: buckets}
}

// shareLimit returns the limit of one share of an organisation, false if the organisation has
// no limit.
func (s *Service) shareLimit(key share.Key) (bucket.Limit, bool) {
	limit, ok := s.cfg.Limit(key.Organisation)
	if !ok {
		return bucket.Limit{}, false
	}
	return share.LimitOf(limit, key.Share), true
}

// Holders returns the instances that hold shards according to this instance's reads of the
// log.
func (s *Service) Holders() []request.Holder {
	var holders []request.Holder
	for _, h := range s.routes.Load().holders {
		if h.Instance != "" && !slices.Contains(holders, h) {
			holders = append(holders, h)
		}
	}
	return holders
}

// routes holds the holder of each shard. An empty Instance means that it is unknown.
type routes struct {
	holders [Shards]request.Holder
}
