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

// home is the actor that owns the lease state and the buckets of this instance's
// shards. Everything that it decides happens in Receive, one message at a time; calls
// to the log and to peers run outside and come back as messages.
type home struct {
	s       *Service
	node    *lease.Node
	viewer  viewer
	held    map[uint32]*heldShard
	offered map[uint32]offeredLevels
	pruned  time.Duration
	gauged  time.Duration
}

// heldShard is a shard that this instance spends from.
type heldShard struct {
	// first is the term that buckets began under, term the current one. They differ
	// after a claim that only renewed the fence set: the charges of the terms between
	// are in the same buckets.
	first, term lease.Term
	buckets     *share.Buckets
}

// offeredLevels are the levels that a holder sent when it stopped under a term.
type offeredLevels struct {
	term    lease.Term
	levels  []share.Level
	filling time.Duration
}

// Receive handles one message.
func (h *home) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case acquire:
		m.reply <- h.acquire(m)
	case refund:
		h.refund(m)
	case page:
		h.apply(h.node.ApplyPage(m.t0, h.s.now(), m.page))
		m.next <- h.progress()
	case tick:
		h.tick(m)
	case extend:
		m.reply <- h.extend(m)
	case fence:
		m.reply <- h.node.Fence(m.member, m.shard, m.term)
	case extended:
		for _, ask := range m.asks {
			h.node.HandleExtended(ask)
		}
	case fenced:
		h.apply(h.node.HandleFenced(h.s.now(), m.ask))
	case handOver:
		m.reply <- h.handOver(m)
	case statusQuery:
		m.reply <- h.status()
	}
}

// acquire grants tokens if the right to spend holds before and after they are taken.
func (h *home) acquire(m acquire) acquired {
	now := h.s.now()
	term, ok := h.node.MaySpend(m.shard, now)
	held := h.held[m.shard]
	if !ok || held == nil {
		return acquired{notHome: true}
	}
	portion, ok := h.s.portion(m.key)
	if !ok {
		return acquired{}
	}
	grant := held.buckets.Take(now, m.key, portion, m.tokens, m.partial)
	// A pause between the check and here may have outlasted the right. The tokens were
	// counted in time, yet an answer that late is withdrawn: it would start work after
	// a successor has begun.
	if _, ok := h.node.MaySpend(m.shard, h.s.now()); !ok {
		return acquired{notHome: true}
	}
	return acquired{grant: grant, term: term}
}

func (h *home) refund(m refund) {
	held := h.held[m.shard]
	if held == nil || m.term < held.first || m.term > held.term {
		h.s.count.refundsDropped.Inc(1)
		return
	}
	held.buckets.Refund(h.s.now(), m.key, m.charge, m.tokens, m.overdraft)
}

func (h *home) extend(m extend) []bool {
	answers := make([]bool, len(m.terms))
	for i, t := range m.terms {
		answers[i] = h.node.Extend(m.member, t.shard, t.term)
	}
	return answers
}

func (h *home) handOver(m handOver) bool {
	if m.spending {
		h.offered[m.shard] = offeredLevels{term: m.term, levels: m.levels, filling: m.filling}
	}
	effects, ok := h.node.HandOver(h.s.now(), m.shard, m.term, m.from, m.spending)
	h.apply(effects)
	return ok
}

func (h *home) tick(m tick) {
	now := h.s.now()
	h.apply(h.node.Tick(now, h.viewer.of(m.members, h.s.draining.Load())))
	h.publish()
	if now >= h.gauged+gaugeEvery {
		h.gauged = now
		h.gauge(now)
	}
	if now >= h.pruned+pruneEvery {
		h.pruned = now
		h.s.pruneClients(m.members)
		for _, held := range h.held {
			held.buckets.Prune(now, h.s.portion)
		}
	}
}

// progress tells the log's reader where to go on.
func (h *home) progress() progress {
	h.publish()
	return progress{next: h.node.Next(), holds: len(h.node.Held(h.s.now())) > 0}
}

// publish shows askers where each shard's home is.
func (h *home) publish() {
	var r routes
	for shard := range r.holders {
		if cur, ok := h.node.Current(uint32(shard)); ok {
			r.holders[shard] = cur.Holder
		} else if shard < len(h.viewer.view.Homes) {
			r.holders[shard] = h.viewer.view.Homes[shard]
		}
	}
	h.s.routes.Store(&r)
}

// apply carries out what the lease state asks for.
func (h *home) apply(e lease.Effects) {
	for _, stop := range e.Stopped {
		h.stop(stop)
	}
	for _, start := range e.Started {
		h.start(start)
	}
	if len(e.Append) > 0 {
		h.s.append(e.Append)
	}
	h.s.askExtend(e.Extends)
	for _, ask := range e.Fences {
		h.s.askFence(ask)
	}
}

func (h *home) stop(stop lease.Stop) {
	held := h.held[stop.Shard]
	delete(h.held, stop.Shard)
	h.s.count.stopped.Inc(1)
	h.s.logger.Info("rate shard lost", zap.Uint32("shard", stop.Shard), zap.Uint64("term", uint64(stop.Term)),
		zap.String("successor", stop.Successor.Instance), zap.Bool("spending", stop.Spending))
	if stop.Successor.Instance == "" || lease.SameRun(stop.Successor, h.s.cfg.Self) {
		return
	}
	h.checkMember(stop)
	out := outgoing{stop: stop}
	if held != nil && stop.Spending {
		out.levels, out.filling = held.buckets.Snapshot(h.s.now())
	}
	h.s.sendHandOver(out)
}

// checkMember reports a successor that this instance does not know. Two groups of instances
// that use one log and do not hear one another take every shard from one another without end;
// without the line that names the other group one sees only shards come and go.
func (h *home) checkMember(stop lease.Stop) {
	known := func(m request.Holder) bool { return m.Instance == stop.Successor.Instance }
	if slices.ContainsFunc(h.viewer.members, known) {
		return
	}
	h.s.count.lostToUnknown.Inc(1)
	h.s.logger.Warn("rate shard lost to an instance that is not heard; it uses the same log", zap.Uint32("shard", stop.Shard),
		zap.String("successor", stop.Successor.Instance), zap.String("address", stop.Successor.Address))
}

func (h *home) start(start lease.Start) {
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
		buckets = share.NewFromLevels(now, offer.filling, offer.levels, h.s.portion)
	}
	delete(h.offered, start.Shard)
	h.held[start.Shard] = &heldShard{first: start.Term, term: start.Term, buckets: buckets}
}

// portion returns the limit of one share of an organisation.
func (s *Service) portion(key share.Key) (bucket.Limit, bool) {
	limit, ok := s.cfg.Limit(key.Organisation)
	if !ok {
		return bucket.Limit{}, false
	}
	return share.LimitOf(limit, key.Share), true
}

// Holders returns the instances that hold shards by what this one has read of the log.
func (s *Service) Holders() []request.Holder {
	var holders []request.Holder
	for _, h := range s.routes.Load().holders {
		if h.Instance != "" && !slices.Contains(holders, h) {
			holders = append(holders, h)
		}
	}
	return holders
}

// routes is the holder of each shard as far as known; an empty Instance is unknown.
type routes struct {
	holders [Shards]request.Holder
}
