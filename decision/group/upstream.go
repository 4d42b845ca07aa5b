package group

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/decision/placement"
	"github.com/cairnworks/cairnworks/decision/prefill"
	"github.com/cairnworks/cairnworks/decision/transfer"
)

// upstream is what the group knows of one upstream.
type upstream struct {
	spec    Upstream
	index   int
	account placement.Upstream
	link    transfer.Link
	speed   *prefill.UpstreamEstimator
	health  float64
	// leaving is what the upstream says of itself, beside spec.Leaving.
	leaving bool
	// gone is set when the upstream is not in the set any more.
	gone bool
	// claimed is set while a parked request gathers memory.
	claimed bool
	// holds are the grants that the upstream serves as decode or plain upstream.
	holds []*held
	// lastUse orders upstreams that are otherwise equal.
	lastUse uint64
	// matched is scratch space of one decision: leading hashes held.
	matched int
}

func (u *upstream) configure(spec Upstream) {
	u.spec = spec
	u.gone = false
	u.account.Slots = spec.Slots
	u.account.Pieces = spec.Pieces
	u.account.PieceTokens = spec.PieceTokens
	u.link.BytesPerSecond = spec.LinkBytesPerSecond
}

// usable reports whether the upstream may get new work.
func (u *upstream) usable() bool {
	return !u.gone && !u.spec.Leaving && !u.leaving && u.health > 0
}

func (u *upstream) free(now time.Time) bool {
	return u.usable() && u.account.FreeSlots(now) > 0
}

func (u *upstream) hold(h *held) {
	if h.adopted {
		u.account.AdoptGrant(h.Pieces)
	} else {
		u.account.AddGrant(h.Pieces)
	}
	u.holds = append(u.holds, h)
}

func (u *upstream) unhold(now time.Time, h *held) {
	u.account.ReleaseGrant(now, h.Pieces)
	u.holds = slices.DeleteFunc(u.holds, func(other *held) bool { return other == h })
}

// memoryAt is when so many pieces are expected to be free, judged by the expected
// ends of the grants; false if that is never.
func (u *upstream) memoryAt(now time.Time, pieces int) (time.Time, bool) {
	missing := pieces - u.account.FreePieces(now)
	if missing <= 0 {
		return now, true
	}
	byEnd := slices.Clone(u.holds)
	slices.SortFunc(byEnd, func(a, b *held) int { return a.expectedEnd.Compare(b.expectedEnd) })
	for _, h := range byEnd {
		if missing -= h.Pieces; missing <= 0 {
			return h.expectedEnd, true
		}
	}
	return time.Time{}, false
}

// Report takes in an upstream's lagging report of itself. More load than was
// granted is believed, less is not; a smaller size than the object set gives is
// believed too.
func (g *Group) Report(now time.Time, name string, load LoadReport) {
	u := g.byName[name]
	if u == nil {
		return
	}
	g.changed = true
	u.leaving = load.Leaving
	u.account.Slots = believed(u.spec.Slots, load.Slots)
	u.account.Pieces = believed(u.spec.Pieces, load.Pieces)
	u.account.Report(now, placement.Usage{Requests: load.Running + load.Queued, Pieces: load.PiecesUsed})
}

func believed(configured, reported int) int {
	if reported > 0 && reported < configured {
		return reported
	}
	return configured
}

// SetHealth sets the weight of an upstream: 0 takes it out, 1 is full.
func (g *Group) SetHealth(now time.Time, name string, weight float64) {
	if u := g.byName[name]; u != nil {
		g.changed = true
		u.health = min(max(weight, 0), 1)
	}
}

// CacheEvent tells that a prefill upstream stored or dropped a prefix.
func (g *Group) CacheEvent(now time.Time, name string, hash uint64, stored bool) {
	u := g.byName[name]
	if u == nil {
		return
	}
	if stored {
		g.cache.Store(now, u.index, hash)
	} else {
		g.cache.Remove(u.index, hash)
	}
}

// CacheReset forgets what is believed of an upstream's prefix cache, after a gap
// in its events or a restart.
func (g *Group) CacheReset(name string) {
	if u := g.byName[name]; u != nil {
		g.cache.ResetUpstream(u.index)
	}
}

// avoided reports whether the request should not go to the upstream. Avoiding is
// dropped when it leaves no upstream of the role: another try at a place that
// failed once is better than none.
func avoided(w *waiter, u *upstream, among []*upstream) bool {
	if len(w.Avoid) == 0 || !slices.Contains(w.Avoid, u.spec.Name) {
		return false
	}
	return slices.ContainsFunc(among, func(other *upstream) bool {
		return other.usable() && !slices.Contains(w.Avoid, other.spec.Name)
	})
}
