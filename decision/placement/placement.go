// Package placement tracks the slots and memory pieces in use on upstreams, and adapts the
// number of concurrent requests on a decode upstream.
//
// Load pattern: decode upstreams are nearly full, report their state late, and slow down
// with each request in their batch. Without exact accounting, a request is prefilled and then
// finds no slot; without memory for the whole answer, a decode stops in the middle;
// without a limit that follows the token rate, a slow upstream is filled to its nominal
// slots and all of its answers miss the target.
//
// A grant reserves pieces for the prompt and the longest possible answer from before the
// prefill until its release, so that growth during decoding cannot fail. With pieces of
// 2048 tokens an answer of a few hundred tokens reserves at most one piece more than it
// uses; a smaller estimate combined with preemption was rejected for this reason.
package placement

import "time"

// DefaultPieceTokens is the piece size of the platform's engines.
const DefaultPieceTokens = 2048

// External load is the load that an upstream reports beyond this scheduler's own grants.
const (
	// reportLag is the maximum age of a report. A report may still count grants that were
	// released within it; they are not external load.
	reportLag = 2 * time.Second
	// reportLifetime is how long external load counts without a new report. It covers a few
	// missed reports; older load has usually ended.
	reportLifetime = 10 * time.Second
)

// Upstream tracks the slots and pieces in use on one upstream.
type Upstream struct {
	Slots       int
	Pieces      int
	PieceTokens int

	running  int
	pieces   int
	reserved int
	limit    Limit

	external       Usage
	externalUntil  time.Time
	recentReleases []release
}

// Usage is a number of requests and the memory pieces that they occupy.
type Usage struct {
	Requests int
	Pieces   int
}

type release struct {
	at     time.Time
	pieces int
}

// PiecesFor returns the number of pieces to reserve for a prompt and its longest answer. It
// is 0 for upstreams without memory accounting.
func (u *Upstream) PiecesFor(promptTokens, maxTokens int) int {
	if u.Pieces == 0 {
		return 0
	}
	size := u.PieceTokens
	if size == 0 {
		size = DefaultPieceTokens
	}
	return (promptTokens + maxTokens + size - 1) / size
}

// AddGrant counts a grant and its pieces.
func (u *Upstream) AddGrant(pieces int) {
	u.running++
	u.pieces += pieces
}

// AdoptGrant counts a grant that another scheduler issued. Until now it was part of the
// reported external load; counted twice, it would block a slot until the next report.
func (u *Upstream) AdoptGrant(pieces int) {
	u.external.Requests = max(0, u.external.Requests-1)
	u.external.Pieces = max(0, u.external.Pieces-pieces)
	u.AddGrant(pieces)
}

// ReleaseGrant releases a grant. The release is remembered for as long as a delayed report
// may still count the grant.
func (u *Upstream) ReleaseGrant(now time.Time, pieces int) {
	u.running--
	u.pieces -= pieces
	u.dropOldReleases(now)
	u.recentReleases = append(u.recentReleases, release{at: now, pieces: pieces})
}

// ReservePieces reserves pieces for a request that does not fit yet, so that pieces released
// by others accumulate for it. Without a reservation, a large request would starve behind
// small ones that take each piece as it is released.
func (u *Upstream) ReservePieces(pieces int) { u.reserved += pieces }

// UnreservePieces cancels a reservation of ReservePieces.
func (u *Upstream) UnreservePieces(pieces int) { u.reserved -= pieces }

// Report processes an upstream's own count. Usage beyond the grants is attributed to another
// scheduler: if those slots were granted as well, the upstream would refuse a decode after
// its prefill. Usage below the grants only means that the report is delayed.
func (u *Upstream) Report(now time.Time, reported Usage) {
	u.dropOldReleases(now)
	known := Usage{Requests: u.running, Pieces: u.pieces}
	for _, r := range u.recentReleases {
		known.Requests++
		known.Pieces += r.pieces
	}
	u.external = Usage{
		Requests: max(0, reported.Requests-known.Requests),
		Pieces:   max(0, reported.Pieces-known.Pieces),
	}
	u.externalUntil = now.Add(reportLifetime)
}

// dropOldReleases removes releases older than reportLag.
func (u *Upstream) dropOldReleases(now time.Time) {
	old := 0
	for old < len(u.recentReleases) && now.Sub(u.recentReleases[old].at) > reportLag {
		old++
	}
	u.recentReleases = append(u.recentReleases[:0], u.recentReleases[old:]...)
}

// RaiseLimit raises a reduced limit while the upstream is idle. It must be called at least a
// few times per RaiseInterval.
func (u *Upstream) RaiseLimit(now time.Time) { u.limit.raise(u.Slots, u.running, now) }

// Observe adjusts the limit to a finished answer.
func (u *Upstream) Observe(now time.Time, r AnswerStats) {
	u.limit.observe(u.Slots, u.running+1, now, r)
}
