package once

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/once/memlog"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

// peerFault is what becomes of requests to an instance.
type peerFault uint8

const (
	// unreachable refuses connections.
	unreachable peerFault = iota + 1
	// paused takes requests and never answers.
	paused
	// answersLost serves requests and breaks the connection before the answer.
	answersLost
)

// peerNet carries requests between instances in memory.
type peerNet struct {
	handlers map[string]http.Handler
	mu       sync.Mutex
	faults   map[string]peerFault
}

func (n *peerNet) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *peerNet) fail(name string, fault peerFault) {
	n.set(func() { n.faults[name] = fault })
}

func (n *peerNet) dial(to request.Holder) (connect.HTTPClient, string) {
	return peerClient{n, to.Instance}, "http://" + to.Instance
}

type peerClient struct {
	net *peerNet
	to  string
}

func (c peerClient) Do(req *http.Request) (*http.Response, error) {
	var fault peerFault
	var handler http.Handler
	c.net.set(func() { fault, handler = c.net.faults[c.to], c.net.handlers[c.to] })
	switch fault {
	case unreachable:
		return nil, memlog.ErrConnectionBroken
	case paused:
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, req)
	if fault == answersLost {
		return nil, memlog.ErrConnectionBroken
	}
	return answer.Result(), nil
}

// inPeerFleet runs a test with three instances that share their appends; order
// has their names as they rank for booking's partition.
func inPeerFleet(t *testing.T, test func(t *testing.T, f *fleet, s map[string]*Service, order []string)) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.net = &peerNet{handlers: map[string]http.Handler{}, faults: map[string]peerFault{}}
		services := map[string]*Service{}
		for _, name := range []string{"a", "b", "c"} {
			services[name], _ = f.start(name)
		}
		settle()
		var order []string
		for _, m := range rank(f.members(), partitionOf(keyOf(booking))) {
			order = append(order, m.Instance)
		}
		test(t, f, services, order)
	})
}

// Calls with one partition's keys arrive at every instance at once. Were each to
// append on its own, 400 of them would pass the log's appends a second.
func TestOwnerBatchesForAll(t *testing.T) {
	inPeerFleet(t, func(t *testing.T, f *fleet, s map[string]*Service, order []string) {
		partition := partitionOf(keyOf(booking))
		var all sync.WaitGroup
		for i := range 3000 {
			call := booking
			call.IdempotencyKey = fmt.Sprint("key-", i)
			if partitionOf(keyOf(call)) != partition {
				continue
			}
			all.Go(func() {
				at := s[order[i%3]]
				assert.NilError(t, at.Finish(t.Context(), claims(t, at, call), booked))
			})
		}
		all.Wait()
		stream := streamName(partition)
		assert.Assert(t, f.log.Len(stream) > 300)
		assert.Assert(t, f.links[order[0]].Appends(stream) < 10)
		assert.Equal(t, f.links[order[1]].Appends(stream)+f.links[order[2]].Appends(stream), 0)
	})
}

// sameStreamKey returns another key of booking's partition.
func sameStreamKey(t *testing.T) string {
	for i := range 1000 {
		call := booking
		call.IdempotencyKey = fmt.Sprint("key-", i)
		if partitionOf(keyOf(call)) == partitionOf(keyOf(booking)) {
			return call.IdempotencyKey
		}
	}
	t.Fatal("no key")
	return ""
}

// The owner of a partition dies, is paused, or its answers are lost after it took
// the intent; or nobody else can be reached. The booking goes on through the next
// instance and runs once; the resend gets its answer wherever it arrives.
func TestOwnerFails(t *testing.T) {
	for name, faults := range map[string][2]peerFault{
		"dead": {unreachable}, "paused": {paused}, "answers lost": {answersLost}, "alone": {unreachable, unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			inPeerFleet(t, func(t *testing.T, f *fleet, s map[string]*Service, order []string) {
				f.net.fail(order[0], faults[0])
				f.net.fail(order[1], faults[1])
				last := s[order[2]]
				ticket := claims(t, last, booking)
				settle()
				for _, at := range s {
					refused(t, at, booking, verdict.ReasonInProgress, verdict.MayHaveRun)
				}
				assert.NilError(t, last.Finish(t.Context(), ticket, booked))
				settle()
				for _, at := range s {
					replays(t, at, booking, booked)
				}
			})
		})
	}
}

// The owner lives and cannot reach the log; others can. Were it the only one to be
// asked, every booking of the partition would be refused while it lives.
func TestOwnerIsCutOffFromTheLog(t *testing.T) {
	inPeerFleet(t, func(t *testing.T, f *fleet, s map[string]*Service, order []string) {
		ticket := claims(t, s[order[2]], booking)
		f.links[order[0]].SetDown(true)
		assert.NilError(t, s[order[2]].Finish(t.Context(), ticket, booked))
		replays(t, s[order[1]], booking, booked)
		fresh := booking
		fresh.IdempotencyKey = sameStreamKey(t)
		claims(t, s[order[2]], fresh)
	})
}

// The owner takes an intent and its answer is lost; the next instances cannot reach
// the log. The caller is told "not run", so its resend must be able to run.
func TestLostIntentOfAnOwnerIsVoided(t *testing.T) {
	inPeerFleet(t, func(t *testing.T, f *fleet, s map[string]*Service, order []string) {
		f.net.fail(order[0], answersLost)
		f.net.fail(order[1], unreachable)
		f.links[order[2]].SetDown(true)
		refused(t, s[order[2]], booking, verdict.ReasonLogUnavailable, verdict.NotRun)
		f.links[order[2]].SetDown(false)
		f.net.fail(order[0], 0)
		time.Sleep(time.Minute)
		claims(t, s[order[1]], booking)
	})
}

// The owner cannot reach the log, holds an outcome for it, and dies. The outcome
// must still reach the log, or the caller's resend would never get its answer.
func TestOwnerDiesWithOutcomes(t *testing.T) {
	inPeerFleet(t, func(t *testing.T, f *fleet, s map[string]*Service, order []string) {
		last := s[order[2]]
		ticket := claims(t, last, booking)
		f.links[order[0]].SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), appendHold+appendPauseMin/2)
		defer cancel()
		_ = last.Finish(ctx, ticket, booked)
		f.net.fail(order[0], unreachable)
		settle()
		replays(t, s[order[1]], booking, booked)
	})
}

// The log takes longer than an instance waits for the owner. Were this taken for
// the owner's death, every instance would turn to the slow log itself.
func TestSlowLogIsNoDeadOwner(t *testing.T) {
	inPeerFleet(t, func(t *testing.T, f *fleet, s map[string]*Service, order []string) {
		f.log.SetAppendDelay(900 * time.Millisecond)
		last := s[order[2]]
		ticket := claims(t, last, booking)
		f.log.SetAppendDelay(4 * time.Second)
		assert.NilError(t, last.Finish(t.Context(), ticket, booked))
		f.log.SetAppendDelay(0)
		time.Sleep(time.Minute)
		stream := streamName(partitionOf(keyOf(booking)))
		assert.Equal(t, f.links[order[1]].Appends(stream)+f.links[order[2]].Appends(stream), 0)
		replays(t, last, booking, booked)
	})
}

// An instance is shut down just after its last booking was answered, while the
// owner of the partition cannot be reached. The outcome
// must reach the log first, or the caller's resend would never get the answer.
func TestShutdownRecordsOutcomes(t *testing.T) {
	inPeerFleet(t, func(t *testing.T, f *fleet, s map[string]*Service, order []string) {
		d, stop := f.start("d")
		settle()
		ticket := claims(t, d, booking)
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		for _, name := range order {
			f.net.fail(name, unreachable)
		}
		_ = d.Finish(gone, ticket, booked)
		stop()
		replays(t, s["a"], booking, booked)
	})
}

// Hostile or mistaken records are refused at the owner's door.
func TestHandlerChecksRecords(t *testing.T) {
	s, err := New(Config{Log: memlog.New()})
	assert.NilError(t, err)
	intent := s.newIntent(booking, time.Unix(0, 0))
	number := uint32(partitionOf(intent.Key))
	_, _, err = checkRecord(number, intentRecord(intent), 1)
	assert.NilError(t, err)
	_, _, err = checkRecord(number+1, intentRecord(intent), 1)
	assert.ErrorIs(t, err, errBadPartition)
	_, _, err = checkRecord(number, outcomeRecord(intent, route.RecordedAnswer{}), 1)
	assert.ErrorContains(t, err, "wrong kind")
	_, _, err = checkRecord(number, nil, 1)
	assert.ErrorIs(t, err, errBadPartition)
}
