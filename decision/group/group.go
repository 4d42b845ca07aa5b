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

	// entries are plain upstreams or prefill upstreams; sinks are plain or decode
	// upstreams, which answer. For plain services entries is empty.
	entries []*upstream
	sinks   []*upstream
	ordered []*upstream
	byName  map[string]*upstream
	byIndex map[int]*upstream
	indexes int

	queue  *queue.Queue[*waiter]
	parked []*waiter
	grants map[uint64]*held
	// shares is what each organisation with grants holds, in engines.
	shares  map[string]*share
	engines float64
	// returning is what was refused of late, by organisation.
	returning    map[string]returns
	returnsLimit int
	nextID       uint64
	uses         uint64

	cache    *prefill.Index
	trust    *prefill.IndexPrecision
	estimate *estimates
	// tellsPrefill is set once the driver has told the end of a prefill; from then
	// on prefill places are kept until it does.
	tellsPrefill bool
	// untold are grants whose prefill place comes free by the estimate.
	untold []*held
	// triesSpent is set when a decision ended before the queue was served as far
	// as there are places.
	triesSpent bool
	// changed is set when places may have come free since triedParked, the last
	// try of parked requests.
	changed     bool
	triedParked time.Time
	out         []Decision
}

// waiter is a request without a grant.
type waiter struct {
	Request
	submitted time.Time
	// latest is when it can no longer meet its deadline.
	latest time.Time
	// cost is the estimated engine time in seconds.
	cost float64
	item *queue.Item[*waiter]
	// claim is the upstream whose memory gathers for a parked request.
	claim       *upstream
	claimPieces int
	// claimAfter is when a claim may be sought again.
	claimAfter time.Time
}

// held is a granted request.
type held struct {
	ActiveGrant
	class   request.Class
	key     string
	adopted bool
	granted time.Time
	cost    float64
	// engineShare is the part of the decode upstream that the request takes.
	engineShare float64
	prompt      int
	uncached    int
	maxTokens   int
	// prefillEstimate and firstToken were expected at the grant.
	prefillEstimate time.Duration
	firstToken      time.Duration
	prefilling      bool
	expectedEnd     time.Time
	// runningAtGrant is the size of the decode batch that it joined.
	runningAtGrant int
	transfer       time.Duration
	prefix         []uint64

	from, to *upstream
}

// New returns a group without upstreams.
func New(cfg Config) *Group {
	cfg = cfg.withDefaults()
	return &Group{
		cfg:     cfg,
		byName:  make(map[string]*upstream),
		byIndex: make(map[int]*upstream),
		queue:   queue.New[*waiter](cfg.DeferrableShare, cfg.PreferenceLead),
		grants:  make(map[uint64]*held),
		shares:  make(map[string]*share),

		returning: make(map[string]returns),
		nextID:    cfg.FirstGrantID,
		cache:     prefill.NewIndex(),
		trust:     prefill.NewIndexPrecision(),
		estimate:  newEstimates(cfg),
	}
}

// SetUpstreams replaces the set of upstreams. Grants on upstreams that are no
// longer in the set stay until they are released.
func (g *Group) SetUpstreams(now time.Time, ups []Upstream) []Decision {
	for _, u := range g.ordered {
		u.gone = true
	}
	g.entries, g.sinks, g.ordered = nil, nil, nil
	for _, spec := range ups {
		u := g.upstream(spec)
		u.configure(spec)
		g.ordered = append(g.ordered, u)
		if u.spec.Role == object.RolePrefill {
			g.entries = append(g.entries, u)
		} else {
			g.sinks = append(g.sinks, u)
		}
	}
	g.forgetGone()
	g.changed = true
	return g.dispatch(now)
}

// upstream returns the account of an upstream and opens one if needed. An
// upstream that changed its role keeps the account, because its grants do.
func (g *Group) upstream(spec Upstream) *upstream {
	if u := g.byName[spec.Name]; u != nil {
		return u
	}
	u := &upstream{index: g.indexes, health: 1, speed: prefill.NewUpstreamEstimator()}
	g.indexes++
	g.byName[spec.Name] = u
	g.byIndex[u.index] = u
	return u
}

// forgetGone drops upstreams that left the set and hold nothing any more. Those
// that still hold something keep their account: if they come back, the slots in
// use must still be counted.
func (g *Group) forgetGone() {
	for name, u := range g.byName {
		if u.gone && u.account.Running() == 0 {
			delete(g.byName, name)
			delete(g.byIndex, u.index)
			g.cache.RemoveUpstream(u.index)
		}
	}
}

// Adopt counts a grant that an instance still uses and another scheduler gave.
// It fills the places it uses even beyond their number.
func (g *Group) Adopt(now time.Time, h ActiveGrant) {
	if g.grants[h.ID] != nil {
		return
	}
	to := g.byName[h.Decode]
	if to == nil {
		to = g.upstream(Upstream{Name: h.Decode})
		to.spec.Name = h.Decode
		to.gone = true
	}
	// The prefill is taken as done: a prefill lasts far less than a takeover.
	adopted := &held{ActiveGrant: h, adopted: true, granted: now, to: to}
	adopted.expectedEnd = now.Add(seconds(g.estimate.hold))
	adopted.engineShare = g.shareOf(to, h.Pieces)
	g.grants[h.ID] = adopted
	g.addShare(adopted)
	to.hold(adopted)
	// Grant ids never meet, also when a driver started this group too low.
	g.nextID = max(g.nextID, h.ID+1)
}
