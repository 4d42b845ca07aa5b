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

// peerFault is a fault of requests to an instance.
type peerFault uint8

const (
	// unreachable refuses connections.
	unreachable peerFault = iota + 1
	// paused accepts requests and never responds.
	paused
	// responsesLost processes requests and breaks the connection before the response.
	responsesLost
)

// fakeNetwork delivers requests between instances in memory.
type fakeNetwork struct {
	handlers map[string]http.Handler
	mu       sync.Mutex
	faults   map[string]peerFault
}

func (n *fakeNetwork) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *fakeNetwork) fail(name string, fault peerFault) {
	n.update(func() { n.faults[name] = fault })
}

func (n *fakeNetwork) dial(to request.Holder) (connect.HTTPClient, string) {
	return peerClient{n, to.Instance}, "http://" + to.Instance
}

type peerClient struct {
	net *fakeNetwork
	to  string
}

func (c peerClient) Do(req *http.Request) (*http.Response, error) {
	var fault peerFault
	var handler http.Handler
	c.net.update(func() { fault, handler = c.net.faults[c.to], c.net.handlers[c.to] })
	switch fault {
	case unreachable:
		return nil, memlog.ErrConnectionBroken
	case paused:
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, req)
	if fault == responsesLost {
		return nil, memlog.ErrConnectionBroken
	}
	return answer.Result(), nil
}

// runWithPeers runs a test with three instances that send appends to the partition owners. order
// contains their names in the order in which they rank for the partition of booking.
func runWithPeers(t *testing.T, test func(t *testing.T, f *testFleet, s map[string]*Service, order []string)) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		f.net = &fakeNetwork{handlers: map[string]http.Handler{}, faults: map[string]peerFault{}}
		services := map[string]*Service{}
		for _, name := range []string{"a", "b", "c"} {
			services[name], _ = f.start(name)
		}
		waitForCatchUp()
		var order []string
		for _, m := range rank(f.members(), partitionOf(keyOf(booking))) {
			order = append(order, m.Instance)
		}
		test(t, f, services, order)
	})
}

// Calls with keys of one partition arrive at all instances at once. If each instance appended on
// its own, 400 instances would exceed the append rate of the log.
func TestOwnerBatchesAppendsOfAllInstances(t *testing.T) {
	runWithPeers(t, func(t *testing.T, f *testFleet, s map[string]*Service, order []string) {
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
				assert.NilError(t, at.Finish(t.Context(), assertClaimed(t, at, call), bookingAnswer))
			})
		}
		all.Wait()
		stream := streamName(partition)
		assert.Assert(t, f.log.Len(stream) > 300)
		assert.Assert(t, f.links[order[0]].Appends(stream) < 10)
		assert.Equal(t, f.links[order[1]].Appends(stream)+f.links[order[2]].Appends(stream), 0)
	})
}

// sameStreamKey returns a different key in the partition of booking.
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

// The owner of a partition dies, is paused, or accepts the intent but its responses are lost; or no
// other instance can be reached. The booking must continue through the next instance and run once,
// and a retry must get its response at any instance.
func TestOwnerFails(t *testing.T) {
	for name, faults := range map[string][2]peerFault{
		"dead": {unreachable}, "paused": {paused}, "responses lost": {responsesLost}, "alone": {unreachable, unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			runWithPeers(t, func(t *testing.T, f *testFleet, s map[string]*Service, order []string) {
				f.net.fail(order[0], faults[0])
				f.net.fail(order[1], faults[1])
				last := s[order[2]]
				ticket := assertClaimed(t, last, booking)
				waitForCatchUp()
				for _, at := range s {
					assertRefused(t, at, booking, verdict.ReasonInProgress, verdict.MayHaveRun)
				}
				assert.NilError(t, last.Finish(t.Context(), ticket, bookingAnswer))
				waitForCatchUp()
				for _, at := range s {
					assertReplayed(t, at, booking, bookingAnswer)
				}
			})
		})
	}
}

// The owner is alive but cannot reach the log, while other instances can. If only the owner were
// asked, all bookings of the partition would be refused while it is alive.
func TestOwnerCannotReachLog(t *testing.T) {
	runWithPeers(t, func(t *testing.T, f *testFleet, s map[string]*Service, order []string) {
		ticket := assertClaimed(t, s[order[2]], booking)
		f.links[order[0]].SetDown(true)
		assert.NilError(t, s[order[2]].Finish(t.Context(), ticket, bookingAnswer))
		assertReplayed(t, s[order[1]], booking, bookingAnswer)
		fresh := booking
		fresh.IdempotencyKey = sameStreamKey(t)
		assertClaimed(t, s[order[2]], fresh)
	})
}

// The owner accepts an intent and its response is lost. The second instance is unreachable, and the
// third cannot reach the log. The caller is told "not run", so a retry must be able to run.
func TestIntentWithLostResponseIsVoided(t *testing.T) {
	runWithPeers(t, func(t *testing.T, f *testFleet, s map[string]*Service, order []string) {
		f.net.fail(order[0], responsesLost)
		f.net.fail(order[1], unreachable)
		f.links[order[2]].SetDown(true)
		assertRefused(t, s[order[2]], booking, verdict.ReasonLogUnavailable, verdict.NotRun)
		f.links[order[2]].SetDown(false)
		f.net.fail(order[0], 0)
		time.Sleep(time.Minute)
		assertClaimed(t, s[order[1]], booking)
	})
}

// The owner cannot reach the log and dies with an outcome queued. The outcome must still reach the
// log; otherwise a retry would never get the response.
func TestOwnerDiesWithQueuedOutcome(t *testing.T) {
	runWithPeers(t, func(t *testing.T, f *testFleet, s map[string]*Service, order []string) {
		last := s[order[2]]
		ticket := assertClaimed(t, last, booking)
		f.links[order[0]].SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), appendServerTimeout+recordRetryMin/2)
		defer cancel()
		_ = last.Finish(ctx, ticket, bookingAnswer)
		f.net.fail(order[0], unreachable)
		waitForCatchUp()
		assertReplayed(t, s[order[1]], booking, bookingAnswer)
	})
}

// The log takes longer than an instance waits for the owner. If the owner were considered dead, every
// instance would append to the slow log itself.
func TestSlowLogIsNotTakenForDeadOwner(t *testing.T) {
	runWithPeers(t, func(t *testing.T, f *testFleet, s map[string]*Service, order []string) {
		f.log.SetAppendDelay(900 * time.Millisecond)
		last := s[order[2]]
		ticket := assertClaimed(t, last, booking)
		f.log.SetAppendDelay(4 * time.Second)
		assert.NilError(t, last.Finish(t.Context(), ticket, bookingAnswer))
		f.log.SetAppendDelay(0)
		time.Sleep(time.Minute)
		stream := streamName(partitionOf(keyOf(booking)))
		assert.Equal(t, f.links[order[1]].Appends(stream)+f.links[order[2]].Appends(stream), 0)
		assertReplayed(t, last, booking, bookingAnswer)
	})
}

// An instance is shut down just after its last booking got a response, while the owner of the
// partition cannot be reached. The outcome must reach the log first; otherwise a retry would never
// get the response.
func TestShutdownRecordsOutcomes(t *testing.T) {
	runWithPeers(t, func(t *testing.T, f *testFleet, s map[string]*Service, order []string) {
		d, stop := f.start("d")
		waitForCatchUp()
		ticket := assertClaimed(t, d, booking)
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		for _, name := range order {
			f.net.fail(name, unreachable)
		}
		_ = d.Finish(gone, ticket, bookingAnswer)
		stop()
		assertReplayed(t, s["a"], booking, bookingAnswer)
	})
}

// The owner must reject records of the wrong partition or kind, and requests without a record.
func TestHandlerRejectsInvalidRecords(t *testing.T) {
	s, err := New(Config{Log: memlog.New()})
	assert.NilError(t, err)
	intent := s.newIntent(booking, time.Unix(0, 0))
	number := uint32(partitionOf(intent.Key))
	_, _, err = checkRecord(number, intentRecord(intent), 1)
	assert.NilError(t, err)
	_, _, err = checkRecord(number+1, intentRecord(intent), 1)
	assert.ErrorIs(t, err, errWrongPartition)
	_, _, err = checkRecord(number, outcomeRecord(intent, route.RecordedAnswer{}), 1)
	assert.ErrorContains(t, err, "wrong kind")
	_, _, err = checkRecord(number, nil, 1)
	assert.ErrorIs(t, err, errWrongPartition)
}
