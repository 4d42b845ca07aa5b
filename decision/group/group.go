// Package group is the whole decision of one service's scheduler: who waits, who
// is refused, and which upstreams a request gets. It is a pure state machine;
// times are passed in and must not go backwards. It is not safe for concurrent use.
package group

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

// Group schedules the requests of one service onto its upstreams.
type Group struct {
	cfg       Config
	upstreams []*upstream
	byName    map[string]*upstream
	waiting   []Request
	grants    map[uint64]*held
	nextID    uint64
}

type upstream struct {
	Upstream
	running int
	pieces  int
	health  float64
	leaving bool
}

type held struct {
	Held
	prefilling bool
}

// New returns a group without upstreams.
func New(cfg Config) *Group {
	cfg = cfg.withDefaults()
	return &Group{
		cfg:    cfg,
		byName: make(map[string]*upstream),
		grants: make(map[uint64]*held),
		nextID: cfg.FirstGrantID,
	}
}

// SetUpstreams replaces the set of upstreams. Grants on upstreams that are no
// longer in the set stay until they are released.
func (g *Group) SetUpstreams(now time.Time, ups []Upstream) []Decision {
	byName := make(map[string]*upstream, len(ups))
	list := make([]*upstream, 0, len(ups))
	for _, spec := range ups {
		u := g.byName[spec.Name]
		if u == nil {
			u = &upstream{health: 1}
		}
		u.Upstream = spec
		byName[spec.Name] = u
		list = append(list, u)
	}
	g.byName, g.upstreams = byName, list
	return g.dispatch(now)
}

// Submit adds a request. The decisions may concern other requests too.
func (g *Group) Submit(now time.Time, req Request) []Decision {
	g.remove(req.ID)
	g.waiting = append(g.waiting, req)
	return g.dispatch(now)
}

// Withdraw removes a waiting request whose caller is gone. It gets no decision.
func (g *Group) Withdraw(now time.Time, requestID string) []Decision {
	g.remove(requestID)
	return g.dispatch(now)
}

// PrefillDone frees the prefill place of a grant whose decode goes on.
func (g *Group) PrefillDone(now time.Time, grantID uint64) []Decision {
	if h := g.grants[grantID]; h != nil {
		g.freePrefill(h)
	}
	return g.dispatch(now)
}

// Release frees everything that a grant holds. Unknown grants are ignored, so
// that a release can be repeated.
func (g *Group) Release(now time.Time, grantID uint64, out Outcome) []Decision {
	h := g.grants[grantID]
	if h == nil {
		return nil
	}
	delete(g.grants, grantID)
	g.freePrefill(h)
	if u := g.byName[h.Decode]; u != nil {
		u.running--
		u.pieces -= h.Pieces
	}
	return g.dispatch(now)
}

// Adopt counts a grant that an instance still uses and another scheduler gave.
func (g *Group) Adopt(now time.Time, h Held) {
	if g.grants[h.ID] != nil {
		return
	}
	g.hold(&held{Held: h})
}

// Report takes in an upstream's lagging report of itself.
func (g *Group) Report(now time.Time, name string, load Load) {
	if u := g.byName[name]; u != nil {
		u.leaving = load.Leaving
	}
}

// SetHealth sets the weight of an upstream: 0 takes it out, 1 is full.
func (g *Group) SetHealth(now time.Time, name string, weight float64) {
	if u := g.byName[name]; u != nil {
		u.health = weight
	}
}

// CacheEvent tells that a prefill upstream stored or dropped a prefix.
func (g *Group) CacheEvent(now time.Time, name string, hash uint64, stored bool) {}

// CacheReset forgets what is believed of an upstream's prefix cache, after a gap
// in its events or a restart.
func (g *Group) CacheReset(name string) {}

// Advance handles what is due at now. It returns when it must be called next;
// the zero time means that nothing is due.
func (g *Group) Advance(now time.Time) ([]Decision, time.Time) {
	decisions := g.dispatch(now)
	var next time.Time
	for _, req := range g.waiting {
		if next.IsZero() || req.Deadline.Before(next) {
			next = req.Deadline
		}
	}
	return decisions, next
}

// Status reports queue lengths and use per upstream.
func (g *Group) Status(now time.Time) Status {
	status := Status{Granted: len(g.grants)}
	for _, req := range g.waiting {
		if req.Class == request.Deferrable {
			status.QueuedDeferrable++
		} else {
			status.QueuedInteractive++
		}
	}
	for _, u := range g.upstreams {
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			Name: u.Name, Role: u.Role, Running: u.running, Slots: u.Slots,
			PiecesUsed: u.pieces, Pieces: u.Pieces, Health: u.health, Leaving: u.Leaving || u.leaving,
		})
	}
	return status
}

func (g *Group) remove(requestID string) {
	g.waiting = slices.DeleteFunc(g.waiting, func(r Request) bool { return r.ID == requestID })
}

func (g *Group) dispatch(now time.Time) []Decision {
	var decisions []Decision
	rest := g.waiting[:0]
	for _, req := range g.waiting {
		if !now.Before(req.Deadline) {
			refusal := verdict.Refuse(verdict.ReasonQueueTimeout, time.Second, "no place before the deadline")
			decisions = append(decisions, Decision{RequestID: req.ID, Refusal: refusal})
			continue
		}
		if grant := g.place(now, req); grant != nil {
			decisions = append(decisions, Decision{RequestID: req.ID, Grant: grant})
			continue
		}
		rest = append(rest, req)
	}
	g.waiting = rest
	return decisions
}

func (g *Group) place(now time.Time, req Request) *Grant {
	role := object.RolePlain
	var prefill string
	if g.cfg.Kind == object.KindModel {
		role = object.RoleDecode
		p := g.leastLoaded(object.RolePrefill, req)
		if p == nil {
			return nil
		}
		prefill = p.Name
	}
	d := g.leastLoaded(role, req)
	if d == nil {
		return nil
	}
	h := &held{Held: Held{
		ID: g.nextID, RequestID: req.ID, Organisation: req.Organisation,
		Prefill: prefill, Decode: d.Name, Pieces: piecesFor(d, req),
	}}
	g.nextID++
	h.prefilling = prefill != ""
	g.hold(h)
	return &Grant{
		ID: h.ID, RequestID: req.ID, Prefill: prefill, Decode: d.Name,
		Pieces: h.Pieces, TransferAfter: now, Queued: now.Sub(req.Arrived),
	}
}

func (g *Group) leastLoaded(role object.Role, req Request) *upstream {
	var best *upstream
	for _, u := range g.upstreams {
		if u.Role != role || !u.takes(req) {
			continue
		}
		if best == nil || u.running < best.running {
			best = u
		}
	}
	return best
}

func (u *upstream) takes(req Request) bool {
	if u.Leaving || u.leaving || u.health <= 0 || u.running >= u.Slots {
		return false
	}
	if u.Pieces > 0 && u.pieces+piecesFor(u, req) > u.Pieces {
		return false
	}
	return !slices.Contains(req.Avoid, u.Name)
}

func piecesFor(u *upstream, req Request) int {
	size := u.PieceTokens
	if size == 0 {
		size = defaultPieceTokens
	}
	if u.Role != object.RoleDecode {
		return 0
	}
	return (req.PromptTokens + req.MaxTokens + size - 1) / size
}

func (g *Group) hold(h *held) {
	g.grants[h.ID] = h
	if u := g.byName[h.Decode]; u != nil {
		u.running++
		u.pieces += h.Pieces
	}
	if u := g.byName[h.Prefill]; u != nil && h.prefilling {
		u.running++
	}
}

func (g *Group) freePrefill(h *held) {
	if !h.prefilling {
		return
	}
	h.prefilling = false
	if u := g.byName[h.Prefill]; u != nil {
		u.running--
	}
}
