package group

import (
	"time"

	"github.com/cairnworks/cairnworks/decision/prefill"
	"github.com/cairnworks/cairnworks/decision/queue"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
)

// Group schedules the requests of one service onto its upstreams.
type Group struct {
	cfg Config

	// prefillUpstreams is empty for plain services. servingUpstreams are the decode
	// or plain upstreams, which return answers.
	prefillUpstreams []*upstream
	servingUpstreams []*upstream
	// upstreams holds both in the order of SetUpstreams.
	upstreams []*upstream
	byName    map[string]*upstream
	byIndex   map[int]*upstream
	nextIndex int

	queue *queue.Queue[*waiter]
	// parked requests were taken from the queue and wait for memory or a link.
	parked []*waiter
	grants map[uint64]*grantRecord
	// usage holds the resources used by each organisation with grants; enginesInUse
	// is the sum of their engines.
	usage        map[string]*organisationUsage
	enginesInUse float64
	// refusedWork holds recently refused work by organisation. It is pruned when its
	// size reaches refusedWorkLimit.
	refusedWork      map[string]refusedWork
	refusedWorkLimit int
	nextGrantID      uint64
	// useCounter counts grants, for upstream.lastUse.
	useCounter uint64

	prefixIndex    *prefill.Index
	indexPrecision *prefill.IndexPrecision
	estimates      *estimates
	// prefillDoneReported is set by the first call of PrefillDone. From then on a
	// prefill slot is kept until PrefillDone or Release.
	prefillDoneReported bool
	// timedPrefills are grants whose prefill slot is freed after a timeout.
	timedPrefills []*grantRecord
	// queueUnfinished is set when the last decision reached maxFailedPlacements
	// while there were still free slots.
	queueUnfinished bool
	// capacityChanged is set when capacity may have become free since parkedTriedAt,
	// the time of the last attempt to place parked requests.
	capacityChanged bool
	parkedTriedAt   time.Time
	// decisions have not been returned to the caller yet.
	decisions []Decision
}

// waiter is a request without a grant.
type waiter struct {
	Request
	submitted time.Time
	// latestStart is the time after which it can no longer meet its deadline.
	latestStart time.Time
	// cost is the estimated engine time in seconds.
	cost float64
	item *queue.Item[*waiter]
	// reservedOn is the upstream that reserves memory for a parked request.
	reservedOn     *upstream
	reservedPieces int
	// nextReserveAt is the earliest time of the next search for memory to reserve.
	nextReserveAt time.Time
}

// grantRecord is a granted request.
type grantRecord struct {
	ActiveGrant
	class     request.Class
	keyID     string
	adopted   bool
	grantedAt time.Time
	cost      float64
	// engineShare is the fraction of the serving upstream that the request uses.
	engineShare    float64
	promptTokens   int
	uncachedTokens int
	maxTokens      int
	// expectedPrefill and expectedFirstToken are durations estimated at the grant.
	expectedPrefill    time.Duration
	expectedFirstToken time.Duration
	prefilling         bool
	expectedEnd        time.Time
	// runningAtGrant is the number of grants on the serving upstream, this one
	// included, when it was issued.
	runningAtGrant   int
	transferDuration time.Duration
	prefixHashes     []uint64

	prefillUpstream, servingUpstream *upstream
}

// New returns a group without upstreams.
func New(cfg Config) *Group {
	cfg = cfg.withDefaults()
	return &Group{
		cfg:     cfg,
		byName:  make(map[string]*upstream),
		byIndex: make(map[int]*upstream),
		queue:   queue.New[*waiter](cfg.DeferrableShare, cfg.PreferenceLead),
		grants:  make(map[uint64]*grantRecord),
		usage:   make(map[string]*organisationUsage),

		refusedWork:    make(map[string]refusedWork),
		nextGrantID:    cfg.FirstGrantID,
		prefixIndex:    prefill.NewIndex(),
		indexPrecision: prefill.NewIndexPrecision(),
		estimates:      newEstimates(cfg),
	}
}

// SetUpstreams replaces the set of upstreams. Grants on removed upstreams stay
// until they are released.
func (g *Group) SetUpstreams(now time.Time, ups []Upstream) []Decision {
	for _, u := range g.upstreams {
		u.removed = true
	}
	g.prefillUpstreams, g.servingUpstreams, g.upstreams = nil, nil, nil
	for _, spec := range ups {
		u := g.findOrAddUpstream(spec)
		u.configure(spec)
		g.upstreams = append(g.upstreams, u)
		if u.spec.Role == object.RolePrefill {
			g.prefillUpstreams = append(g.prefillUpstreams, u)
		} else {
			g.servingUpstreams = append(g.servingUpstreams, u)
		}
	}
	g.deleteRemovedUpstreams()
	g.capacityChanged = true
	return g.dispatch(now)
}

// findOrAddUpstream returns the record of an upstream and creates it if needed. An
// upstream that changes its role keeps its record, because its grants remain.
func (g *Group) findOrAddUpstream(spec Upstream) *upstream {
	if u := g.byName[spec.Name]; u != nil {
		return u
	}
	u := &upstream{index: g.nextIndex, health: 1, speed: prefill.NewUpstreamEstimator()}
	g.nextIndex++
	g.byName[spec.Name] = u
	g.byIndex[u.index] = u
	return u
}

// deleteRemovedUpstreams deletes the records of removed upstreams without grants.
// Those with grants keep their record: if they are added again, the slots in use
// must still be counted.
func (g *Group) deleteRemovedUpstreams() {
	for name, u := range g.byName {
		if u.removed && u.capacity.Running() == 0 {
			delete(g.byName, name)
			delete(g.byIndex, u.index)
			g.prefixIndex.RemoveUpstream(u.index)
		}
	}
}

// Adopt counts a grant that another scheduler issued and an instance still uses. It
// is counted even if that exceeds the slots or memory of the upstream.
func (g *Group) Adopt(now time.Time, active ActiveGrant) {
	if g.grants[active.ID] != nil {
		return
	}
	serving := g.byName[active.Decode]
	if serving == nil {
		serving = g.findOrAddUpstream(Upstream{Name: active.Decode})
		serving.spec.Name = active.Decode
		serving.removed = true
	}
	// The prefill is assumed to be done: it takes far less time than a takeover.
	rec := &grantRecord{ActiveGrant: active, adopted: true, grantedAt: now, servingUpstream: serving}
	rec.expectedEnd = now.Add(seconds(g.estimates.holdTime))
	rec.engineShare = g.engineShareOn(serving, active.Pieces)
	g.grants[active.ID] = rec
	g.addUsage(rec)
	serving.addGrant(rec)
	// This keeps grant IDs unique even if Config.FirstGrantID was too low.
	g.nextGrantID = max(g.nextGrantID, active.ID+1)
}
