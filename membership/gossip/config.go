package gossip

import (
	"math"
	"time"
)

// Config holds the protocol parameters. A zero duration selects the default.
type Config struct {
	// Self is the initial record of this instance; NewNode sets its Seq and State.
	Self Record
	// Seeds are the addresses (IP:port) used to discover other instances.
	Seeds []string
	// ProbeInterval is the time between pings. The default of 500 ms is two pings a
	// second, which is what the byte budget allows at 400 members.
	ProbeInterval time.Duration
	// AckTimeout is the time to wait for an ack before sending indirect probes. The
	// default of 150 ms is far above the 1 ms latency between data centres, so that
	// a garbage collection or a busy core seldom causes an indirect probe.
	AckTimeout time.Duration
	// SuspicionTimeout is the time a suspect has to refute the suspicion in a fleet
	// of up to 10 members. It grows by half of this value with each tenfold increase
	// in members, because more members probe and so more suspicions are false. In
	// the default of 1 s the suspecting member pings the suspect eight more times:
	// with 10 % packet loss in each direction all eight fail for two of a million
	// suspicions (0.19 to the 8th power).
	SuspicionTimeout time.Duration
	// Retention is how long dead and left records are kept. The default of 24 h is
	// far above the hour for which regions may be partitioned, so that an instance
	// on the other side cannot return with an incarnation declared dead here.
	Retention time.Duration
}

const (
	defaultProbeInterval    = 500 * time.Millisecond
	defaultAckTimeout       = 150 * time.Millisecond
	defaultSuspicionTimeout = time.Second
	defaultRetention        = 24 * time.Hour

	// indirectProbes is the number of members asked to ping a member that did not
	// answer. Three prevent a single lossy path from causing a suspicion and bound
	// the cost of a real death.
	indirectProbes = 3
	// suspectPingInterval is how often a member pings a suspect after its own probe
	// of it failed.
	suspectPingInterval = 125 * time.Millisecond
	// remoteSuspicionFactor multiplies the suspicion timeout at members that only
	// received the suspicion by gossip. The refutation reaches them by another path
	// and up to some seconds after the suspicion; with the same timeout they would
	// declare live members dead.
	remoteSuspicionFactor = 4
	// pauseThreshold is the gap between ticks from which this process is considered
	// to have been paused. Its own late timers would otherwise look like missing
	// answers from other members.
	pauseThreshold = time.Second
	// reconnectInterval is how often an address that belongs to no live member (a
	// seed, a listed instance, a dead member) is pinged, to recover from partitions.
	reconnectInterval = time.Second
	// stableAfter is the time without the loss of a member after which such pings
	// are sent only every stableReconnectInterval. By then most dead members are
	// replaced instances that never return. Together, 9 members still try the other
	// side of a partition about once a second, and one contact is enough.
	stableAfter             = 2 * time.Minute
	stableReconnectInterval = 10 * time.Second
	// newerConfigInterval is how often the application is notified again that a
	// peer has a newer configuration, in case fetching it failed.
	newerConfigInterval = time.Second
	// urgentFanout is the number of random members to which a change that matters to
	// the application is pushed immediately. Three reach 1-e^-3, about 95 %, of any number
	// of members within a few ticks; pings carry the update to the rest.
	urgentFanout = 3
	// leaveFanout is the number of members notified directly of a leave.
	leaveFanout = 6

	// maxPageBytes limits the records in one packet. It is below the smallest common
	// MTU of 1280 bytes, so that packets are never fragmented.
	maxPageBytes = 1100
	// maxPiggybackBytes limits the records piggybacked on one ping or ack.
	maxPiggybackBytes = 420
	// updateBytesPerSecond and updateBurstBytes limit the traffic of updates beyond
	// the fixed traffic of pings; one burst is enough for the failure of a rack.
	updateBytesPerSecond = 500
	updateBurstBytes     = 8000
	// syncBytesPerSecond and syncBurstBytes limit the traffic of sync requests and
	// the answers to them. The burst is a whole table of 400 members and the
	// requests for it: with 30 kB, members exhausted their budget after a partition
	// healed, and their views took 63 s instead of 34 s to converge.
	syncBytesPerSecond = 1000
	syncBurstBytes     = 50000
	// syncRequestOverhead is the size of a sync request without its filter, in bytes.
	syncRequestOverhead = 90
	// syncQuietPeriod is how long the table must have been unchanged before a
	// different digest causes a sync; until then, updates still in transit may be the
	// reason for the difference.
	syncQuietPeriod = 2 * time.Second
	// maxSyncDelay is how long a table that keeps changing may differ from those of
	// all peers before a sync is requested anyway.
	maxSyncDelay = 3 * time.Second
	// syncInterval is the minimum time between the sync requests of one member.
	// bulkSyncInterval applies instead while the member has less than three quarters
	// of a peer's records or the last page contained at least bulkPageRecords new
	// ones.
	syncInterval     = time.Second
	bulkSyncInterval = 250 * time.Millisecond
	bulkPageRecords  = 6
	// transmitFactor times log10 of the number of members is how often each member
	// sends an update; 4 is the usual choice of SWIM libraries. Updates that are
	// missed are repaired by a sync when the digests differ.
	transmitFactor = 4
)

func (c Config) withDefaults() Config {
	setDefault(&c.ProbeInterval, defaultProbeInterval)
	setDefault(&c.AckTimeout, defaultAckTimeout)
	setDefault(&c.SuspicionTimeout, defaultSuspicionTimeout)
	setDefault(&c.Retention, defaultRetention)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// suspicionTimeout returns the time a suspect has to refute the suspicion in a fleet
// of n members.
func (c Config) suspicionTimeout(n int) time.Duration {
	scale := math.Max(1, 0.5+0.5*math.Log10(float64(n)))
	return time.Duration(scale * float64(c.SuspicionTimeout))
}

// transmitLimit returns how often each of n members sends an update.
func transmitLimit(n int) int {
	return transmitFactor * int(math.Ceil(math.Log10(float64(n+1))))
}
