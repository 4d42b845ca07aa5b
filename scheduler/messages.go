// Package scheduler runs the group scheduler of a service on the instance selected by rendezvous
// hashing, and provides a client for the other instances.
//
// The scheduler keeps only soft state. A new scheduler learns what is running from the stream lists
// of the upstreams and from the instances that renew their grants. Two schedulers active at the
// same time may overcommit an upstream, which then refuses the excess; no guarantee depends on
// there being a single scheduler.
package scheduler

import (
	"fmt"
	"time"

	"github.com/cairnworks/cairnworks/decision/group"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

// attemptKey identifies one attempt of a request. Grants, renewals and engine streams share it.
type attemptKey struct {
	request string
	attempt uint32
}

func (k attemptKey) String() string { return fmt.Sprintf("%s/%d", k.request, k.attempt) }

func attemptKeyOf(id port.StreamID) attemptKey { return attemptKey{id.RequestID, id.Attempt} }

// reserveReply is the result of a reservation. Exactly one field is set.
type reserveReply struct {
	grant   *group.Grant
	refusal *verdict.Verdict
}

// Messages to serviceActor.
type (
	reserveMsg struct {
		key    attemptKey
		req    group.Request
		holder request.Holder
		// replyTo has a buffer of one, so that the actor never blocks on a handler that has
		// returned.
		replyTo chan<- reserveReply
	}
	// withdrawMsg is sent when the client of a reservation has disconnected, whether or not the
	// reservation was granted.
	withdrawMsg    struct{ key attemptKey }
	prefillDoneMsg struct{ key attemptKey }
	releaseMsg     struct {
		key     attemptKey
		outcome group.Outcome
	}
	renewMsg struct {
		holder request.Holder
		grants []heldGrant
		lost   chan<- []uint64
	}
	configureMsg struct {
		service   *object.Service
		upstreams []*object.Upstream
	}
	reportMsg struct {
		upstream string
		load     port.Load
		// hasStreams is set if streams contains the upstream's stream list. requestList requests a
		// list with the next poll.
		hasStreams  bool
		requestList chan<- struct{}
		streams     []port.StreamState
		// requestedAt is the time at which the poll was sent.
		requestedAt time.Time
	}
	unreachableMsg struct{ upstream string }
	cacheEventsMsg struct {
		upstream string
		events   []port.CacheEvent
		reset    bool
	}
	tickMsg   struct{}
	statusMsg struct{ replyTo chan<- statusReply }
)

// statusReply is the status of a service shown to operators.
type statusReply struct {
	status group.Status
	advice string
	// health is the state of each upstream according to its health monitor.
	health map[string]string
}

// heldGrant is a grant in a renewal from an instance.
type heldGrant struct {
	id           uint64
	key          attemptKey
	organisation string
	prefill      string
	decode       string
	pieces       int
	fingerprint  uint64
}
