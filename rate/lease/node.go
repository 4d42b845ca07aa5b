package lease

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// Node is the state of one instance in the protocol for all shards, as holder, successor
// and fence member. Times are readings of the instance's monotonic clock and must be
// greater than zero. It is not safe for concurrent use.
type Node struct {
	self   request.Holder
	timing Timing
	log    logState
	held   []*heldTerm
	// fencedUpTo is, for each shard, the highest term that this instance must not extend.
	fencedUpTo []Term
	// handovers holds the last handover received for each shard.
	handovers []handOver
	// firstRead is when the log was first read to its end, lastRead when the latest
	// such read began.
	firstRead, lastRead time.Duration
	hasRead             bool
	claims              []claimState
	// activity holds, for each instance, when its latest record was read. It is replaced
	// and never modified in place.
	activity    []runActivity
	lastMove    time.Duration
	lastRefresh time.Duration
}

// claimState is the state of a node's claims to one shard.
type claimState struct {
	// seen is the end of the stream at the last claim, which was sent at sentAt. It is
	// zero if no claim was sent since this instance last began a term of the shard.
	seen   uint64
	sentAt time.Duration
	// assignedAt is when the shard was assigned to this instance while another live
	// instance holds it; valid if isAssigned is set.
	isAssigned bool
	assignedAt time.Duration
	// contestedLosses counts how often in a row the shard was lost to a run that is not
	// a member; lostAt is the time of the latest loss.
	contestedLosses int
	lostAt          time.Duration
	// hasNewLoss marks a loss that countLoss has not processed yet.
	hasNewLoss bool
}

type handOver struct {
	term     Term
	from     request.Holder
	spending bool
}

// Effects are the actions that the caller must carry out: first those of Stopped, then
// those of Started. A shard that goes on spending under the next term of the same
// instance is only in Started.
type Effects struct {
	Stopped []Stop
	Started []Start
	// Append are records to append to the log stream, once and in one call.
	Append  []Record
	Extends []MemberRequest
	Fences  []MemberRequest
}

// Stop reports that the instance has stopped for good under a term.
type Stop struct {
	Shard    uint32
	Term     Term
	Spending bool
	// Successor holds the next term. Its Instance is empty if the successor is unknown.
	Successor request.Holder
}

// Start reports that the instance begins to spend under a term.
type Start struct {
	Shard uint32
	Term  Term
	// Levels is the source of the initial bucket levels.
	Levels LevelSource
	// Previous is the term whose levels are used, for LevelsKept and LevelsHandedOver.
	Previous Term
}

// LevelSource is the source of the bucket levels of a new term.
type LevelSource uint8

const (
	// LevelsEmpty starts with empty buckets.
	LevelsEmpty LevelSource = iota
	// LevelsKept keeps the instance's own buckets of the previous term.
	LevelsKept
	// LevelsHandedOver starts with the levels that the previous holder sent.
	LevelsHandedOver
)

// MemberRequest is an Extend or Fence request to one fence member.
type MemberRequest struct {
	Member request.Holder
	Shard  uint32
	Term   Term
	// SentAt is the clock reading from which an acknowledged Extend is valid.
	SentAt time.Duration
}

// View is the instance's view of the fleet.
type View struct {
	// Members are the runs that are alive and not draining; this run may be among them.
	Members []request.Holder
	// Homes is the member that each shard is assigned to.
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
		log:        newLogState(shards),
		held:       make([]*heldTerm, shards),
		fencedUpTo: make([]Term, shards),
		handovers:  make([]handOver, shards),
		claims:     make([]claimState, shards),
	}
}

// Next returns the offset at which the next read of the stream begins.
func (n *Node) Next() uint64 { return n.log.next }

// Current returns the shard's current term according to the latest read of the log.
func (n *Node) Current(shard uint32) (ClaimedTerm, bool) { return n.log.current(shard) }

// MaySpend returns the term under which the instance may spend from the shard at clock
// reading now, false if it may not spend.
func (n *Node) MaySpend(shard uint32, now time.Duration) (Term, bool) {
	t := n.held[shard]
	if t == nil || !t.spending || now >= n.spendDeadline(t) {
		return 0, false
	}
	return t.Term, true
}

// spendDeadline returns the clock reading at which the instance must stop spending under t
// unless there is a new proof by then.
func (n *Node) spendDeadline(t *heldTerm) time.Duration {
	ends := n.lastRead + n.timing.Lease
	if at, ok := t.extendedAt(); ok {
		byFence := min(at+n.timing.Lease, n.lastRead+n.timing.Outage)
		ends = max(ends, byFence)
	}
	return ends
}

// LogAge returns the time since the latest read to the end of the log began, or zero before
// the first such read.
func (n *Node) LogAge(now time.Duration) time.Duration {
	if !n.hasRead {
		return 0
	}
	return now - n.lastRead
}

// Phase is the phase of a held term.
type Phase string

const (
	// PhaseWaiting terms wait until all earlier terms have ended.
	PhaseWaiting Phase = "waiting"
	// PhaseSpending terms may spend because of a recent read of the log.
	PhaseSpending Phase = "spending"
	// PhaseExtended terms may spend because a majority of their fence set acknowledged
	// an Extend while the log could not be read.
	PhaseExtended Phase = "extended"
	// PhaseLapsed terms may not spend because they have no current proof.
	PhaseLapsed Phase = "lapsed"
)

// HeldStatus describes a term that the instance holds.
type HeldStatus struct {
	Shard uint32
	Term  Term
	Phase Phase
	// Age is the time since the claim was confirmed, LogAge the age of the latest full
	// read of the log.
	Age, LogAge time.Duration
	// Open are the earlier terms that a waiting term still waits for.
	Open []ClaimedTerm
	// MaxWait is an upper bound on the remaining wait.
	MaxWait time.Duration
}

// Held lists the terms that the instance holds.
func (n *Node) Held(now time.Duration) []HeldStatus {
	var held []HeldStatus
	for shard, t := range n.held {
		if t == nil {
			continue
		}
		s := HeldStatus{
			Shard: uint32(shard), Term: t.Term, Phase: n.phase(t, now),
			Age: now - t.confirmedAt, LogAge: n.LogAge(now),
		}
		if s.Phase == PhaseWaiting {
			s.Open = t.openPredecessors()
			s.MaxWait = t.confirmedAt + n.timing.OutageWait - now
		}
		held = append(held, s)
	}
	return held
}

func (n *Node) phase(t *heldTerm, now time.Duration) Phase {
	switch {
	case !t.spending:
		return PhaseWaiting
	case now < n.lastRead+n.timing.Lease:
		return PhaseSpending
	case now < n.spendDeadline(t):
		return PhaseExtended
	default:
		return PhaseLapsed
	}
}

func (t *heldTerm) openPredecessors() []ClaimedTerm {
	var open []ClaimedTerm
	for _, p := range t.predecessors {
		if !p.ended {
			open = append(open, p.ClaimedTerm)
		}
	}
	return open
}

// String returns the value used in logs.
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
