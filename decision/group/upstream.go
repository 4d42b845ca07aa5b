package group

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/decision/placement"
	"github.com/cairnworks/cairnworks/decision/prefill"
	"github.com/cairnworks/cairnworks/decision/transfer"
)

// upstream is the state of one upstream.
type upstream struct {
	spec     Upstream
	index    int
	capacity placement.Upstream
	link     transfer.Link
	speed    *prefill.UpstreamEstimator
	health   float64
	// reportedLeaving is set when the upstream itself reports that it is leaving;
	// spec.Leaving is the configured state.
	reportedLeaving bool
	// removed is set when the upstream is no longer in the set of SetUpstreams.
	removed bool
	// hasReservation is set while memory is reserved for a parked request.
	hasReservation bool
	// grants are those that the upstream serves as decode or plain upstream.
	grants []*grantRecord
	// lastUse breaks ties: the upstream whose last grant is older is preferred.
	lastUse uint64
	// matchedHashes is the number of leading prefix hashes in the upstream's cache.
	// It is valid only during one decision.
	matchedHashes int
}

func (u *upstream) configure(spec Upstream) {
	u.spec = spec
	u.removed = false
	u.capacity.Slots = spec.Slots
	u.capacity.Pieces = spec.Pieces
	u.capacity.PieceTokens = spec.PieceTokens
	u.link.BytesPerSecond = spec.LinkBytesPerSecond
}

// usable reports whether the upstream may receive new requests.
func (u *upstream) usable() bool {
	return !u.removed && !u.spec.Leaving && !u.reportedLeaving && u.health > 0
}

func (u *upstream) hasFreeSlot(now time.Time) bool {
	return u.usable() && u.capacity.FreeSlots(now) > 0
}

func (u *upstream) addGrant(rec *grantRecord) {
	if rec.adopted {
		u.capacity.AdoptGrant(rec.Pieces)
	} else {
		u.capacity.AddGrant(rec.Pieces)
	}
	u.grants = append(u.grants, rec)
}

func (u *upstream) removeGrant(now time.Time, rec *grantRecord) {
	u.capacity.ReleaseGrant(now, rec.Pieces)
	u.grants = slices.DeleteFunc(u.grants, func(other *grantRecord) bool { return other == rec })
}

// memoryFreeAt returns when the given number of pieces is expected to be free,
// according to the expected ends of the grants. It returns false if that many never
// become free.
func (u *upstream) memoryFreeAt(now time.Time, pieces int) (time.Time, bool) {
	missing := pieces - u.capacity.FreePieces(now)
	if missing <= 0 {
		return now, true
	}
	byEnd := slices.Clone(u.grants)
	slices.SortFunc(byEnd, func(a, b *grantRecord) int { return a.expectedEnd.Compare(b.expectedEnd) })
	for _, rec := range byEnd {
		if missing -= rec.Pieces; missing <= 0 {
			return rec.expectedEnd, true
		}
	}
	return time.Time{}, false
}

// Report applies the load that an upstream reports, which may be out of date. A load
// above what was granted is used and a lower one is ignored; slots and memory below
// the configured ones are used as well.
func (g *Group) Report(now time.Time, name string, load LoadReport) {
	u := g.byName[name]
	if u == nil {
		return
	}
	g.capacityChanged = true
	u.reportedLeaving = load.Leaving
	u.capacity.Slots = effectiveSize(u.spec.Slots, load.Slots)
	u.capacity.Pieces = effectiveSize(u.spec.Pieces, load.Pieces)
	u.capacity.Report(now, placement.Usage{Requests: load.Running + load.Queued, Pieces: load.PiecesUsed})
}

// effectiveSize returns the smaller of the configured and the reported number; a
// reported number of 0 is ignored.
func effectiveSize(configured, reported int) int {
	if reported > 0 && reported < configured {
		return reported
	}
	return configured
}

// SetHealth sets the weight of an upstream: 0 excludes it, 1 is full weight.
func (g *Group) SetHealth(now time.Time, name string, weight float64) {
	if u := g.byName[name]; u != nil {
		g.capacityChanged = true
		u.health = min(max(weight, 0), 1)
	}
}

// CacheEvent records that a prefill upstream stored or evicted a prefix.
func (g *Group) CacheEvent(now time.Time, name string, hash uint64, stored bool) {
	u := g.byName[name]
	if u == nil {
		return
	}
	if stored {
		g.prefixIndex.Store(now, u.index, hash)
	} else {
		g.prefixIndex.Remove(u.index, hash)
	}
}

// CacheReset discards the recorded contents of an upstream's prefix cache, for use
// after a gap in its events or a restart.
func (g *Group) CacheReset(name string) {
	if u := g.byName[name]; u != nil {
		g.prefixIndex.ResetUpstream(u.index)
	}
}

// avoided reports whether the request should not be sent to the upstream. Avoid is
// ignored when it would leave no usable candidate: another attempt on an upstream
// that failed once is better than none.
func avoided(w *waiter, u *upstream, candidates []*upstream) bool {
	if len(w.Avoid) == 0 || !slices.Contains(w.Avoid, u.spec.Name) {
		return false
	}
	return slices.ContainsFunc(candidates, func(other *upstream) bool {
		return other.usable() && !slices.Contains(w.Avoid, other.spec.Name)
	})
}
