package rate

import (
	"time"

	"github.com/cairnworks/cairnworks/decision/bucket"
	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/rate/share"
	"github.com/cairnworks/cairnworks/request"
)

// Messages to the home actor. Every reply channel has a buffer of one, so that the actor
// never blocks on a sender that no longer waits for the reply.

type acquire struct {
	shard   uint32
	key     share.Key
	tokens  uint64
	partial bool
	reply   chan acquired
}

type acquired struct {
	grant   share.Grant
	term    lease.Term
	notHome bool
}

type refund struct {
	shard     uint32
	key       share.Key
	term      lease.Term
	chargeID  bucket.ChargeID
	tokens    uint64
	overdraft uint64
}

type logPage struct {
	startedAt time.Duration
	page      lease.Page
	next      chan readPosition
}

type readPosition struct {
	next        uint64
	holdsShards bool
}

type tick struct {
	members []request.Holder
}

type extend struct {
	member request.Holder
	terms  []termRef
	reply  chan []bool
}

type termRef struct {
	shard uint32
	term  lease.Term
}

type fence struct {
	member request.Holder
	shard  uint32
	term   lease.Term
	reply  chan bool
}

type extendAcks struct{ requests []lease.MemberRequest }

type fenceAck struct{ request lease.MemberRequest }

type handOver struct {
	shard    uint32
	term     lease.Term
	from     request.Holder
	levels   []share.Level
	spending bool
	filling  time.Duration
	reply    chan bool
}

type statusQuery struct{ reply chan Status }

// outgoingHandOver is a handover to be sent.
type outgoingHandOver struct {
	stop    lease.Stop
	levels  []share.Level
	filling time.Duration
}
