package lease

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// Node is one instance's part in the protocol for all shards: holder, successor and
// fence member. Times are readings of the instance's monotonic clock and must be
// above zero. It is not safe for concurrent use.
type Node struct {
	self   request.Holder
	timing Timing
	log    ledger
	own    []*ownTerm
	// fencedUpTo is, for each shard, the highest term this instance must not extend.
	fencedUpTo []Term
	// handovers are the last hand over received for each shard.
	handovers []handOver
	// firstRead is when the log was first read to its end, lastRead when the last
	// such read began.
	firstRead, lastRead time.Duration
	hasRead             bool
	claims              []claimState
	// heard is when each instance last wrote to the stream. It is replaced, never
	// changed in place.
	heard       []hearing
	lastMove    time.Duration
	lastRefresh time.Duration
}

// claimState is what a node knows of its wish for a shard.
type claimState struct {
	// seen is the end of the stream at the last claim, sent at since; zero if none was
	// sent since the shard last began.
	seen  uint64
	since time.Duration
	// wanted is since when the shard's place is here though another holds it.
	isWanted bool
	wanted   time.Duration
	// contests counts how often in a row the shard was lost to a run that is not
	// among the members; lostAt is the last time.
	contests int
	lostAt   time.Duration
	// wasLost marks a loss that has not been judged yet.
	wasLost bool
}

type handOver struct {
	term     Term
	from     request.Holder
	spending bool
}

// Effects are what a call asks the caller to do. Started and Stopped come first, in
// this order: a shard that moves from one term to the next of the same instance is
// only in Started.
type Effects struct {
	Stopped []Stop
	Started []Start
	// Append are records for the log stream, to be sent once, in one call.
	Append  []Record
	Extends []Ask
	Fences  []Ask
}

// Stop says that the instance has stopped for good under a term.
type Stop struct {
	Shard    uint32
	Term     Term
	Spending bool
	// Successor holds the next term; its Instance is empty if it is not known.
	Successor request.Holder
}

// Start says that the instance begins to spend under a term.
type Start struct {
	Shard uint32
	Term  Term
	// Levels tells where the bucket's contents come from.
	Levels LevelSource
	// Previous is the term whose levels are carried on, for LevelsKept and
	// LevelsHandedOver.
	Previous Term
}

// LevelSource is where the levels of a fresh term come from.
type LevelSource uint8

const (
	// LevelsEmpty begins with empty buckets.
	LevelsEmpty LevelSource = iota
	// LevelsKept carries on with the instance's own buckets of the previous term.
	LevelsKept
	// LevelsHandedOver uses the levels that the previous holder sent.
	LevelsHandedOver
)

// Ask is an Extend or Fence to one fence member.
type Ask struct {
	Member request.Holder
	Shard  uint32
	Term   Term
	// SentAt is the clock reading that an acknowledgement is counted from.
	SentAt time.Duration
}

// View is what the instance believes about the fleet.
type View struct {
	// Members are the runs that are alive and not draining, possibly with this one.
	Members []request.Holder
	// Homes is the place of each shard among the members.
	Homes []request.Holder
	// Fence is the fence set for terms that this instance claims: one, three or five
	// other members, or none.
	Fence []request.Holder
}

// NewNode returns a node that holds nothing.
func NewNode(self request.Holder, shards uint32, timing Timing) *Node {
	return &Node{
		self:       self,
		timing:     timing,
		log:        newLedger(shards),
		own:        make([]*ownTerm, shards),
		fencedUpTo: make([]Term, shards),
		handovers:  make([]handOver, shards),
		claims:     make([]claimState, shards),
	}
}

// Next returns the offset that the next read of the stream begins at.
func (n *Node) Next() uint64 { return n.log.next }

// Current returns the shard's current term as the log last said.
func (n *Node) Current(shard uint32) (Holding, bool) { return n.log.current(shard) }

// MaySpend returns the term under which the instance may spend from the shard at a
// clock reading.
func (n *Node) MaySpend(shard uint32, now time.Duration) (Term, bool) {
	t := n.own[shard]
	if t == nil || !t.spending || now >= n.rightEnds(t) {
		return 0, false
	}
	return t.Term, true
}

// rightEnds returns the clock reading at which the right to spend under t ends
// unless it is proved again.
func (n *Node) rightEnds(t *ownTerm) time.Duration {
	ends := n.lastRead + n.timing.Lease
	if at, ok := t.extendedAt(); ok {
		byFence := min(at+n.timing.Lease, n.lastRead+n.timing.Outage)
		ends = max(ends, byFence)
	}
	return ends
}

// LogAge returns the time since the last read to the log's end began, or zero before
// the first one.
func (n *Node) LogAge(now time.Duration) time.Duration {
	if !n.hasRead {
		return 0
	}
	return now - n.lastRead
}

// Phase is how far a held term has come.
type Phase string

const (
	// PhaseWaiting terms wait until earlier terms are out.
	PhaseWaiting Phase = "waiting"
	// PhaseSpending terms have a right to spend that was proved by the log.
	PhaseSpending Phase = "spending"
	// PhaseExtended terms spend on their fence set's word because the log is silent.
	PhaseExtended Phase = "extended"
	// PhaseLapsed terms have no proof of their right at the moment.
	PhaseLapsed Phase = "lapsed"
)

// HeldStatus describes a term that the instance holds.
type HeldStatus struct {
	Shard uint32
	Term  Term
	Phase Phase
	// Since is the age of the term, LogAge the age of the last read of the log.
	Since, LogAge time.Duration
	// Open are the earlier terms that a waiting term still waits for.
	Open []Holding
	// WaitsAtMost bounds the rest of the wait.
	WaitsAtMost time.Duration
}

// Held lists the terms that the instance holds.
func (n *Node) Held(now time.Duration) []HeldStatus {
	var held []HeldStatus
	for shard, t := range n.own {
		if t == nil {
			continue
		}
		s := HeldStatus{
			Shard: uint32(shard), Term: t.Term, Phase: n.phase(t, now),
			Since: now - t.confirmed, LogAge: n.LogAge(now),
		}
		if s.Phase == PhaseWaiting {
			s.Open = t.openBefore()
			s.WaitsAtMost = t.confirmed + n.timing.OutageWait - now
		}
		held = append(held, s)
	}
	return held
}

func (n *Node) phase(t *ownTerm, now time.Duration) Phase {
	switch {
	case !t.spending:
		return PhaseWaiting
	case now < n.lastRead+n.timing.Lease:
		return PhaseSpending
	case now < n.rightEnds(t):
		return PhaseExtended
	default:
		return PhaseLapsed
	}
}

func (t *ownTerm) openBefore() []Holding {
	var open []Holding
	for _, p := range t.before {
		if !p.out {
			open = append(open, p.Holding)
		}
	}
	return open
}

// String returns the word used in logs.
func (s LevelSource) String() string {
	switch s {
	case LevelsKept:
		return "kept"
	case LevelsHandedOver:
		return "handed_over"
	default:
		return "empty"
	}
}
