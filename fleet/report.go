// Package fleet exchanges state between the instances of a fleet: which instances there are, how much of
// the quotas each has spent, which loads it has placed at upstreams, and which records of the store it
// has read.
package fleet

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cairnworks/cairnworks/decision/length"
	"github.com/cairnworks/cairnworks/decision/quarantine"
	"github.com/cairnworks/cairnworks/decision/split"
	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/follow"
	"github.com/cairnworks/cairnworks/port"
)

// Hash is the hash that stands for a name in reports.
type Hash uint64

// HashOf returns the hash of a name.
func HashOf(name string) Hash { return Hash(xxhash.Sum64String(name)) }

// ShortHashOf returns the hash of an upstream ID in 32 bits. A report has many loads, each with one.
func ShortHashOf(id string) Hash { return Hash(uint32(HashOf(id))) }

// Run is the hash that identifies one run of an instance in reports.
type Run uint32

// RunOf returns the hash of a run.
func RunOf(name string, incarnation uint64) Run {
	return Run(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(name), incarnation)))
}

// Load is the work that an instance has placed at an upstream.
type Load struct {
	Requests, Tokens int
	// Confirmed are the IDs of claims for which the instance was lately assigned the upstream, and which the other
	// figures include unless they have ended.
	Confirmed []uint64
	// Totals are those of the instance's run. They are zero in answers to polls.
	Totals Totals
	// Slowness is the time that the upstream takes for its work, relative to the median of its pool, or 0 if
	// unknown. Ejected is set if the sender has ejected it for its failures. Both are set in answers to polls only.
	Slowness float64
	Ejected  bool
}

// Totals counts the requests at an upstream that have ended.
type Totals struct {
	// Ended counts those that the upstream has answered or failed, Failed those that it has failed.
	Ended, Failed uint32
	// Work is the work of those that it has answered, in requests or tokens, and Busy the time that it took.
	Work uint64
	Busy time.Duration
}

// Since returns the difference to earlier totals of the same sender. If these are higher, the sender has started
// again, and all of the totals are new.
func (t Totals) Since(earlier Totals) Totals {
	if t.Ended < earlier.Ended || t.Failed < earlier.Failed || t.Work < earlier.Work || t.Busy < earlier.Busy {
		return t
	}
	return Totals{t.Ended - earlier.Ended, t.Failed - earlier.Failed, t.Work - earlier.Work, t.Busy - earlier.Busy}
}

// Features are what an instance can do for others, as a set of bits.
type Features uint32

// PlainPlaces is set by instances that assign places at the upstreams of plain services.
const PlainPlaces Features = 1

// Heard describes the last report that the sender of a report received from its receiver.
type Heard struct {
	// Run is the run of the receiver, or 0 if no report of it was received.
	Run Run
	// Age is the age of the last report from the receiver; Made is when that was made, by the
	// receiver's clock.
	Age, Made time.Duration
}

// Machine describes the machine of an instance.
type Machine struct {
	DataCentre string `json:"data_centre,omitempty"`
	// Millicores is the CPU time available to the instance, in thousandths of a core.
	Millicores int `json:"millicores,omitempty"`
}

// Poll is a request for an answer to a report.
type Poll struct {
	// Whole requests the loads and works of all instances, as known to the receiver of the poll.
	Whole bool
	// Hubs is the digest of the hubs that the sender has selected.
	Hubs uint64
}

// Bill is the total that an instance has spent from an organisation's bucket at another instance.
type Bill struct {
	Organisation Hash
	Tokens       int64
}

// Ask requests tokens from a bucket.
type Ask struct {
	ID uint64
	// Organisation is the hash of the organisation, or of the run of an upstream.
	Organisation Hash
	Tokens       int64
	// Upstream is set if the bucket is that of an upstream, which takes PerSecond requests per second.
	Upstream  bool
	PerSecond float64
	// Priority is that of the request; 0 is the highest. Left is how long its caller still waits.
	Priority int
	Left     time.Duration
	// RepeatKey is what a request and its repetitions by the same organisation have in common, or 0.
	RepeatKey uint64
}

// UpstreamLimit is the newest statement of an upstream about the requests that it takes.
type UpstreamLimit struct {
	// Upstream is the hash of the run of the upstream.
	Upstream Hash
	// Limited is set if it named PerSecond requests per second; Age is the time since.
	Limited   bool
	PerSecond float64
	Age       time.Duration
}

// Grant is the answer to an ask.
type Grant struct {
	ID               uint64
	Granted, Unknown bool
	Retry            time.Duration
	// Level is the number of tokens left; Part is the part of the rate that flows into the bucket.
	Level, Part float64
}

// Crash is a request whose upstream ended while the request was running.
type Crash struct {
	Fingerprint quarantine.Attribute
	// Upstream is the run of the upstream that ended.
	Upstream Hash
	Age      time.Duration
	// Parts are the parts of the request's prompt that others may share.
	Parts []quarantine.Attribute
}

// Answered is the last complete answer to a request with an attribute that was running in a crash.
type Answered struct {
	Attribute quarantine.Attribute
	Age       time.Duration
}

// Quarantine is the quarantine of an attribute at the sender of a report.
type Quarantine struct {
	Attribute quarantine.Attribute
	// Part is set for parts of prompts.
	Part bool
	// Crashes is the number of processes that crashed, LastCrash the time since the last crash.
	Crashes   int
	LastCrash time.Duration
	// Left is the time until the end of the quarantine.
	Left time.Duration
}

// Work is what an instance has observed of the requests of a model service.
type Work struct {
	Split   split.Stats
	Lengths length.Sums
}

// Report is the state that an instance sends to others. All figures are totals, so that the next report
// makes up for a lost one.
type Report struct {
	Instance    string
	Incarnation uint64
	Sequence    uint64
	Machine     Machine
	// Instances is the number of instances known to the sender, including itself, or 0 while the
	// sender does not know the members of the fleet.
	Instances int
	// Leaving means that the sender accepts no new work, or is about to stop accepting it.
	Leaving bool
	// Made is when the report was made, by the sender's clock.
	Made  time.Duration
	Heard Heard
	// Poll is nil if no answer is requested.
	Poll *Poll
	// Answer means that the report answers a poll; Whole means that its loads and works are those
	// of all instances except the receiver.
	Answer, Whole bool
	Features      Features
	// Loads are keyed by the short hash of the upstream ID.
	Loads   map[Hash]Load
	Crashes []Crash
	Notes   []follow.Note
	// Known are the offsets up to which the sender knows the topics of the store.
	Known map[port.Topic]uint64
	// Works are the observations of the requests of model services, keyed by the hash of the service.
	Works map[Hash]Work
	// To is the run of the receiver for which the shares and bills count, or 0 if the sender does not state it.
	To Run
	// Shares are the totals, by shard, of the credit that the sender has transferred to the receiver.
	// Credit is a duration; multiplied by an organisation's rate, it is a number of tokens.
	Shares map[int]time.Duration
	Bills  []Bill
	// Short lists the organisations whose buckets at the sender are empty.
	Short []Hash
	// Limits are the limits of upstreams that name one or have ended one.
	Limits []UpstreamLimit
	// LeavingUpstreams are the hashes of the runs of upstreams that have said that they leave.
	LeavingUpstreams []Hash
	// Answered are answers to requests with attributes that were running in crashes.
	Answered    []Answered
	Quarantines []Quarantine
	// Hubs lists the instances that the sender would select as hubs.
	Hubs []Member
	// Fleet is the sender's fleet identity. Most reports omit the name. It is empty in reports of
	// versions that do not send it.
	Fleet fleetid.Identity
	// A report with Ask, Grant, Claim or Place has no other content.
	Ask   *Ask
	Grant *Grant
	Claim *Claim
	Place *Place
	// Partial means that the report has only loads, and only those that have just changed.
	Partial bool
	// Earliest is the earliest time at which the sender can have made the report, by the receiver's
	// clock that includes suspensions, or 0 if the sender has received no report of the receiver yet.
	// It is not sent.
	Earliest time.Duration
	// Sender is the address from which the report was received. It is not sent.
	Sender string
}

func (r *Report) run() Run { return RunOf(r.Instance, r.Incarnation) }
