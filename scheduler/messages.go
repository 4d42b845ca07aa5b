// Package scheduler runs the group scheduler of a service on the instance that
// rendezvous hashing picks, and gives the other instances a client for it.
//
// The scheduler's state is soft. A new scheduler learns what is running from the
// upstreams' own lists and from the instances that renew their grants. Two
// schedulers at once may ask more of an upstream than it has, which it refuses;
// no promise depends on there being one.
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

// attemptKey names one attempt of one request, the thing that grants, renewals
// and engine streams have in common.
type attemptKey struct {
	request string
	attempt uint32
}

func (k attemptKey) String() string { return fmt.Sprintf("%s/%d", k.request, k.attempt) }

func keyOf(id port.StreamID) attemptKey { return attemptKey{id.RequestID, id.Attempt} }

// reply answers a reservation: exactly one field is set.
type reply struct {
	grant   *group.Grant
	refusal *verdict.Verdict
}

// Messages of the service actor.
type (
	reserveMsg struct {
		key    attemptKey
		req    group.Request
		holder request.Holder
		// answer has room for one reply, so that the actor never waits for a
		// handler that has gone.
		answer chan<- reply
	}
	// withdrawMsg is sent when a reservation's asker is gone, granted or not.
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
		// listed tells that streams is the upstream's list; listNow asks for one.
		listed  bool
		listNow chan<- struct{}
		streams []port.StreamState
		// asked is when the lists were asked for.
		asked time.Time
	}
	unreachableMsg struct{ upstream string }
	cacheMsg       struct {
		upstream string
		events   []port.CacheEvent
		reset    bool
	}
	tickMsg   struct{}
	statusMsg struct{ answer chan<- statusReply }
)

// statusReply is what operators see of a service.
type statusReply struct {
	status group.Status
	advice string
	// health is the monitors' state of each upstream.
	health map[string]string
}

// heldGrant is a grant that an instance renews.
type heldGrant struct {
	id           uint64
	key          attemptKey
	organisation string
	prefill      string
	decode       string
	pieces       int
	fingerprint  uint64
}
