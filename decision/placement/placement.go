// Package placement counts what is held on upstreams (slots and memory pieces)
// and adapts how many requests a decode upstream is given.
//
// Load pattern: decode upstreams that are nearly full, report late, and slow down
// with each request in their batch. Without exact counts a prefill is paid for
// and then finds no slot; without memory for the whole answer a decode stops in
// the middle; without a limit that follows the token rate, a slow upstream is
// filled to its nominal slots and every answer on it misses the target.
//
// A place holds pieces for prompt and longest answer from before the prefill
// until its release: growth while decoding can then never fail. With pieces of
// 2048 tokens an answer of a few hundred tokens costs at most one piece more than
// it uses, which is why a smaller estimate with preemption was not taken.
package placement

import "time"

// DefaultPieceTokens is the piece size of the platform's engines.
const DefaultPieceTokens = 2048

// Foreign load is what an upstream reports beyond this scheduler's own grants.
const (
	// reportLag is how old a report may be: grants released within it may still
	// be counted by the report and are not taken for foreign ones.
	reportLag = 2 * time.Second
	// reportLifetime is how long foreign load is believed without a new report:
	// a few missed reports, after which it is more often gone than not.
	reportLifetime = 10 * time.Second
)

// Upstream is the account of one upstream.
type Upstream struct {
	Slots       int
	Pieces      int
	PieceTokens int

	running int
	pieces  int
	claimed int
	limit   Limit

	foreign       Usage
	foreignUntil  time.Time
	recentRelease []release
}

// Usage is a number of requests and the memory pieces they hold.
type Usage struct {
	Requests int
	Pieces   int
}

type release struct {
	at     time.Time
	pieces int
}

// PiecesFor is the memory to reserve for a prompt and its longest answer.
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

// AddGrant counts a grant.
func (u *Upstream) AddGrant(pieces int) {
	u.running++
	u.pieces += pieces
}

// AdoptGrant counts a grant that another scheduler gave. Reports have shown it as
// foreign load until now; counted twice, it would keep a place empty until the
// next report.
func (u *Upstream) AdoptGrant(pieces int) {
	u.foreign.Requests = max(0, u.foreign.Requests-1)
	u.foreign.Pieces = max(0, u.foreign.Pieces-pieces)
	u.AddGrant(pieces)
}

// ReleaseGrant gives a grant's place back. The release is remembered for as long as a
// lagging report may still count it.
func (u *Upstream) ReleaseGrant(now time.Time, pieces int) {
	u.running--
	u.pieces -= pieces
	u.forget(now)
	u.recentRelease = append(u.recentRelease, release{at: now, pieces: pieces})
}

// ReservePieces holds pieces alone, ahead of a grant that does not fit yet, so that the
// pieces that others free gather for it. Without it a large request waits for
// ever behind small ones that take each piece as it comes free.
func (u *Upstream) ReservePieces(pieces int) { u.claimed += pieces }

// UnreservePieces gives a claim back.
func (u *Upstream) UnreservePieces(pieces int) { u.claimed -= pieces }

// Report takes in an upstream's own count. More than was granted is believed to
// be another scheduler's work: filling those places would make the upstream
// refuse a decode after its prefill. Less than granted is only lag.
func (u *Upstream) Report(now time.Time, reported Usage) {
	u.forget(now)
	known := Usage{Requests: u.running, Pieces: u.pieces}
	for _, r := range u.recentRelease {
		known.Requests++
		known.Pieces += r.pieces
	}
	u.foreign = Usage{
		Requests: max(0, reported.Requests-known.Requests),
		Pieces:   max(0, reported.Pieces-known.Pieces),
	}
	u.foreignUntil = now.Add(reportLifetime)
}

func (u *Upstream) forget(now time.Time) {
	old := 0
	for old < len(u.recentRelease) && now.Sub(u.recentRelease[old].at) > reportLag {
		old++
	}
	u.recentRelease = append(u.recentRelease[:0], u.recentRelease[old:]...)
}

// RaiseLimit lets a cut limit grow while the upstream is idle. It is called again and
// again, a few times in RaiseInterval at least.
func (u *Upstream) RaiseLimit(now time.Time) { u.limit.raise(u.Slots, u.running, now) }

// Observe feeds the limit with an answer.
func (u *Upstream) Observe(now time.Time, a ResponseStats) {
	u.limit.observe(u.Slots, u.running+1, now, a)
}
