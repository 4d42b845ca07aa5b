package gossip

import (
	"math"
	"time"
)

// Config holds the protocol's figures. The zero value of a figure means its
// default.
type Config struct {
	// Self is this instance's first record; its Seq and State are set by NewNode.
	Self Record
	// Seeds are addresses (IP:port) to find others by.
	Seeds []string
	// ProbeInterval is the period of pings. The default of 500 ms gives two pings
	// a second, which is what the byte budget carries at 400 members.
	ProbeInterval time.Duration
	// AckTimeout is the wait before other members are asked to ping. The default
	// of 150 ms is far above the 1 ms between data centres, so that a garbage
	// collection or a busy core seldom costs an indirect probe.
	AckTimeout time.Duration
	// Suspicion is the time a suspect has to refute at up to 10 members. It grows
	// by half of it with each tenfold number, as more members probe and thus more
	// suspicions are false. The default of 1 s lets the member that suspects ping
	// the suspect eight more times: at 10 % loss each way all fail in two of a
	// million suspicions (0.19 to the 8th power).
	Suspicion time.Duration
	// Retention is how long dead and left records are kept. The default of 24 h is
	// far above the hour that regions may be parted for, so that an instance from
	// the other side cannot return under an incarnation declared dead here.
	Retention time.Duration
}

const (
	defaultProbeInterval = 500 * time.Millisecond
	defaultAckTimeout    = 150 * time.Millisecond
	defaultSuspicion     = time.Second
	defaultRetention     = 24 * time.Hour

	// indirectProbes members are asked to ping a silent one. Three keep a single
	// lossy path from raising a suspicion and bound the cost of a real death.
	indirectProbes = 3
	// confirmInterval is how often a member pings a suspect of its own.
	confirmInterval = 125 * time.Millisecond
	// hearsayFactor lengthens the suspicion for members that only heard of it.
	// The refutation reaches them by another path and up to some seconds after
	// the suspicion; declaring a death at the same age would kill live members.
	hearsayFactor = 4
	// lateTick is a gap between ticks from which this process is taken to have
	// been paused. Its own late timers would then look like others' silence.
	lateTick = time.Second
	// reconnectInterval is how often an address that is not a live member (a
	// seed, a listed instance, a dead member) is pinged. It heals partitions.
	reconnectInterval = time.Second
	// calmAfter is the time without a loss after which such pings come every
	// calmInterval only. Most of the dead then are replaced instances that never
	// return; together the members still try the other side of a partition about
	// once a second at 9 members, and one contact is enough.
	calmAfter    = 2 * time.Minute
	calmInterval = 10 * time.Second
	// behindInterval is how often the owner is told again that a peer holds a
	// higher configuration, in case its fetch failed.
	behindInterval = time.Second
	// urgentFanout is the number of random members that are told at once of a
	// change that matters to the owner. Three reach 1-e^-3, some 95 %, of any
	// number of members in a few ticks; the pings carry the news to the rest.
	urgentFanout = 3
	// leavePushes is the number of members told directly of a leave.
	leavePushes = 6

	// pageBytes bounds the records of one packet below the smallest usual MTU of
	// 1280 bytes, so that a packet is never fragmented.
	pageBytes = 1100
	// newsBytes bounds the records that ride on one ping or ack.
	newsBytes = 420
	// newsRate and newsBurst bound the bytes of news a second beyond the fixed
	// pings; a burst carries a rack's failure at once.
	newsRate  = 500
	newsBurst = 8000
	// syncRate and syncBurst bound the bytes a second of sync requests and of
	// answers to them. The burst is a whole table of 400 members with the requests
	// for it: with 30 kB, members ran dry when a partition healed, and their views
	// were unequal for 63 s in place of 34 s.
	syncRate  = 1000
	syncBurst = 50000
	// requestOverhead is the size of a sync request beside its filter.
	requestOverhead = 90
	// syncQuiet is how long the table must have been unchanged before a differing
	// digest is worth a sync: news under way explains a difference.
	syncQuiet = 2 * time.Second
	// syncPatience is how long a table that never comes to rest may differ from
	// every peer's before it syncs all the same.
	syncPatience = 3 * time.Second
	// syncInterval and bulkSyncInterval space the sync requests of one member, the
	// latter while it knows less than three quarters of a peer's records or the last page
	// brought bulkPage new ones.
	syncInterval     = time.Second
	bulkSyncInterval = 250 * time.Millisecond
	bulkPage         = 6
	// transmitFactor times log10 of the number of members is how often each
	// member repeats a piece of news; 4 is the usual choice of SWIM libraries, and
	// the bucket digests repair what is missed.
	transmitFactor = 4
)

func (c Config) withDefaults() Config {
	setDefault(&c.ProbeInterval, defaultProbeInterval)
	setDefault(&c.AckTimeout, defaultAckTimeout)
	setDefault(&c.Suspicion, defaultSuspicion)
	setDefault(&c.Retention, defaultRetention)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// suspicion is the time that a suspect has to refute among n members.
func (c Config) suspicion(n int) time.Duration {
	scale := math.Max(1, 0.5+0.5*math.Log10(float64(n)))
	return time.Duration(scale * float64(c.Suspicion))
}

func transmitLimit(n int) int {
	return transmitFactor * int(math.Ceil(math.Log10(float64(n+1))))
}
