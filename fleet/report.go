// Package fleet is what instances know of one another: which there are, and what
// each has spent, placed and heard.
package fleet

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cairnworks/cairnworks/decision/length"
	"github.com/cairnworks/cairnworks/decision/split"
	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/follow"
	"github.com/cairnworks/cairnworks/port"
)

// Hash is the short form of a name in reports.
type Hash uint64

// HashOf returns the short form of a name.
func HashOf(name string) Hash { return Hash(xxhash.Sum64String(name)) }

// ShortHashOf is the short form of an upstream's id among the loads of a report, of which there
// are many.
func ShortHashOf(id string) Hash { return Hash(uint32(HashOf(id))) }

// Run is the short form of one run of an instance in reports.
type Run uint32

// RunOf returns the short form of an instance's run.
func RunOf(name string, incarnation uint64) Run {
	return Run(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(name), incarnation)))
}

// Load is what an instance has placed at an upstream.
type Load struct{ Requests, Tokens int }

// Heard tells when a report's sender last heard its receiver.
type Heard struct {
	// Run of the receiver, 0 if it was not heard.
	Run Run
	// Age of the last report from it, and when that was made by the receiver's clock.
	Age, Made time.Duration
}

// Machine is what an instance runs on.
type Machine struct {
	DataCentre string `json:"data_centre,omitempty"`
	// Millicores is the processor time that it may use, in thousandths of a core.
	Millicores int `json:"millicores,omitempty"`
}

// Poll is what a report asks of its receiver.
type Poll struct {
	// Whole asks for what the receiver knows of all instances.
	Whole bool
	// Hubs is the digest of those that the sender has chosen.
	Hubs uint64
}

// Bill is what an instance has spent of an organisation's bucket at another, in total.
type Bill struct {
	Organisation Hash
	Tokens       int64
}

// Ask asks for tokens of an organisation's bucket.
type Ask struct {
	ID           uint64
	Organisation Hash
	Tokens       int64
}

// Grant answers an ask.
type Grant struct {
	ID               uint64
	Granted, Unknown bool
	Retry            time.Duration
	// Level is what is left in tokens, Part the part of the rate that flows in.
	Level, Part float64
}

// Crash is a request whose upstream ended while it ran.
type Crash struct {
	Fingerprint uint64
	// Upstream is the run that ended.
	Upstream Hash
	Age      time.Duration
}

// Work is what an instance has seen of the requests of a model service.
type Work struct {
	Split   split.Stats
	Lengths length.Sums
}

// Report is what an instance tells others. All figures are totals, so that a lost report is
// made good by the next.
type Report struct {
	Instance    string
	Incarnation uint64
	Sequence    uint64
	Machine     Machine
	// Instances is how many the sender knows of, itself included; 0 while it does not know who is
	// in the fleet.
	Instances int
	// Leaving tells that the sender takes no new work, or soon will not.
	Leaving bool
	// Made is when the report was made, by the sender's clock.
	Made  time.Duration
	Heard Heard
	// Poll is nil where no answer is asked for.
	Poll *Poll
	// Answer tells that the report answers a poll, Whole that its loads and works are those of
	// all instances but the receiver.
	Answer, Whole bool
	// Loads by the short hashes of upstreams' ids.
	Loads   map[Hash]Load
	Crashes []Crash
	Notes   []follow.Note
	// Known are the offsets up to which the sender knows the topics of the store.
	Known map[port.Topic]uint64
	// Works is what was seen of the requests of model services.
	Works map[Hash]Work
	// Shares are totals of the time of all rates that were handed to the receiver, by shard.
	Shares map[int]time.Duration
	Bills  []Bill
	// Short are organisations whose buckets at the sender are empty.
	Short []Hash
	// Hubs are instances that the sender would choose as hubs.
	Hubs []Member
	// Fleet is what the sender says of its fleet, in most reports without the name. It is
	// empty in reports of versions that do not tell it.
	Fleet fleetid.Identity
	// Ask, Grant, Claim and Place stand alone in a datagram.
	Ask   *Ask
	Grant *Grant
	Claim *Claim
	Place *Place
	// Partial tells that there are loads only, and of them those that have just changed.
	Partial bool
	// Earliest is the earliest time, of the receiver's clock that counts through
	// suspensions, at which the sender can have made the report; 0 if it has not heard
	// the receiver yet. It is not sent.
	Earliest time.Duration
}

func (r *Report) run() Run { return RunOf(r.Instance, r.Incarnation) }
