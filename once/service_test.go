package once

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/once/memlog"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

var (
	booking       = route.GuardedCall{Organisation: "frames", Service: "leaf-desk", IdempotencyKey: "book-1", BodyHash: [32]byte{1}, RequestID: "r1"}
	bookingAnswer = route.RecordedAnswer{Status: 201, ContentType: "application/json", Body: []byte(`{"leaf":3}`)}
)

// testFleet is a set of instances that share one log, inside a synctest bubble.
type testFleet struct {
	t    *testing.T
	log  *memlog.Log
	mu   sync.Mutex
	live []request.Holder
	// links are the connections of the instances to the log.
	links map[string]*memlog.Link
	// net connects the instances. If it is nil, each instance serves all partitions itself.
	net *fakeNetwork
}

// runWithFleet runs a test with a new fleet.
func runWithFleet(t *testing.T, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) { test(t, &testFleet{t: t, log: memlog.New(), links: map[string]*memlog.Link{}}) })
}

// start starts an instance, which runs until the test ends or stop is called.
func (f *testFleet) start(name string) (s *Service, stop func()) {
	self := request.Holder{Instance: name, Incarnation: uint64(len(f.members())) + 1}
	f.setMembers(append(f.members(), self))
	f.links[name] = f.log.Link()
	cfg := Config{Self: self, Log: f.links[name], Members: f.members}
	if f.net != nil {
		cfg.Dial = f.net.dial
	}
	s, err := New(cfg)
	assert.NilError(f.t, err)
	if f.net != nil {
		_, handler := s.Handler()
		f.net.update(func() { f.net.handlers[name] = handler })
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Run(ctx)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	f.t.Cleanup(stop)
	synctest.Wait()
	return s, stop
}

func (f *testFleet) members() []request.Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.live)
}

func (f *testFleet) setMembers(live []request.Holder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = live
}

// kill simulates the death of an instance: it loses its connection to the log and is removed from
// the members.
func (f *testFleet) kill(name string) {
	f.links[name].SetDown(true)
	f.setMembers(slices.DeleteFunc(f.members(), func(h request.Holder) bool { return h.Instance == name }))
}

// waitForCatchUp waits until group commits are done and followers have caught up.
func waitForCatchUp() { time.Sleep(time.Second) }

// assertRefused asserts that a call is refused with the given reason and run state.
func assertRefused(t *testing.T, s *Service, call route.GuardedCall, reason verdict.Reason, ran verdict.Ran) *verdict.Verdict {
	t.Helper()
	ticket, answer, err := s.Begin(t.Context(), call)
	assert.Assert(t, ticket == nil && answer == nil)
	v := verdict.From(err)
	assert.Assert(t, v != nil)
	assert.Equal(t, v.Reason, reason)
	assert.Equal(t, v.Ran, ran)
	return v
}

// assertClaimed asserts that a call may be dispatched and returns its ticket.
func assertClaimed(t *testing.T, s *Service, call route.GuardedCall) *route.Ticket {
	t.Helper()
	ticket, answer, err := s.Begin(t.Context(), call)
	assert.NilError(t, err)
	assert.Assert(t, ticket != nil && answer == nil)
	return ticket
}

// assertReplayed asserts that a call gets the given recorded response.
func assertReplayed(t *testing.T, s *Service, call route.GuardedCall, want route.RecordedAnswer) {
	t.Helper()
	ticket, answer, err := s.Begin(t.Context(), call)
	assert.NilError(t, err)
	assert.Assert(t, ticket == nil)
	assert.DeepEqual(t, *answer, want)
}

// A client sends the same booking several times at once to two instances. Only one call may run;
// without the guard its customer would be charged twice.
func TestConcurrentCallsWithTheSameKey(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		tickets := make(chan *route.Ticket, 4)
		reasons := make(chan verdict.Reason, 4)
		var both sync.WaitGroup
		for _, name := range []string{"a", "b"} {
			s, _ := f.start(name)
			for range 2 {
				both.Go(func() {
					ticket, _, err := s.Begin(t.Context(), booking)
					if err != nil {
						reasons <- verdict.From(err).Reason
						return
					}
					tickets <- ticket
				})
			}
		}
		both.Wait()
		assert.Equal(t, len(tickets), 1)
		assert.Equal(t, len(reasons), 3)
		for range 3 {
			assert.Equal(t, <-reasons, verdict.ReasonInProgress)
		}
	})
}

// The caller's connection breaks after the booking was dispatched, and the caller retries at a
// different instance. It must get the response of the first booking.
func TestCallerDisconnectsAfterDispatch(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		ticket := assertClaimed(t, a, booking)
		assertRefused(t, b, booking, verdict.ReasonInProgress, verdict.MayHaveRun)
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		_ = a.Finish(gone, ticket, bookingAnswer)
		waitForCatchUp()
		assertReplayed(t, b, booking, bookingAnswer)
		assertReplayed(t, a, booking, bookingAnswer)
		err := a.Abandon(t.Context(), ticket)
		assert.Equal(t, verdict.From(err).Ran, verdict.MayHaveRun)
		assertReplayed(t, b, booking, bookingAnswer)
	})
}

// An instance dies after its intent reached the log; it is unknown whether it dispatched the booking.
// The caller must not be told that the booking did not run, and the booking must not run again.
func TestInstanceDiesAfterIntent(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a, _ := f.start("a")
		assertClaimed(t, a, booking)
		f.kill("a")
		b, _ := f.start("b")
		v := assertRefused(t, b, booking, verdict.ReasonOutcomeUnknown, verdict.MayHaveRun)
		known := b.Lookup(t.Context(), booking.Organisation, booking.Service, booking.IdempotencyKey)
		assert.Equal(t, known.State, "claimed")
		assert.Equal(t, known.Instance, "a")
		assert.Assert(t, !known.Running)
		assert.Assert(t, !v.Reason.Retryable())
	})
}

// The upstream's response is truncated, or its connection breaks before any response. A retry must be
// told what is known and must not be told to wait for a call that has ended.
func TestIncompleteResponse(t *testing.T) {
	for ran, reason := range map[verdict.Ran]verdict.Reason{
		verdict.MayHaveRun: verdict.ReasonOutcomeUnknown, verdict.HasRun: verdict.ReasonAnswerNotKept,
	} {
		runWithFleet(t, func(t *testing.T, f *testFleet) {
			a, _ := f.start("a")
			b, _ := f.start("b")
			assert.NilError(t, a.FinishWithoutAnswer(t.Context(), assertClaimed(t, a, booking), ran))
			assertRefused(t, a, booking, reason, ran)
			time.Sleep(DefaultMaxCallDuration + time.Second)
			assertRefused(t, b, booking, reason, ran)
		})
	}
}

// A client reuses its idempotency key for a different booking. Replaying the response of the first
// booking would silently lose the second one.
func TestKeyReusedWithDifferentBody(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a, _ := f.start("a")
		ticket := assertClaimed(t, a, booking)
		other := booking
		other.BodyHash[0]++
		assertRefused(t, a, other, verdict.ReasonIdempotencyKeyReused, verdict.NotRun)
		assert.NilError(t, a.Finish(t.Context(), ticket, bookingAnswer))
		assertRefused(t, a, other, verdict.ReasonIdempotencyKeyReused, verdict.NotRun)
		foreign := booking
		foreign.Organisation = "zoo"
		assertClaimed(t, a, foreign)
	})
}

// Either the log executes an append and its response is lost, or the append is lost on the way. The
// instance sees a broken connection in both cases. The booking must continue, and its intent must
// be in the log exactly once.
func TestAppendFailsWithBrokenConnection(t *testing.T) {
	for name, broken := range map[string]memlog.Fault{"response lost": memlog.LoseResponse, "request lost": memlog.LoseRequest} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(t *testing.T, f *testFleet) {
				a, _ := f.start("a")
				f.log.InjectFaults(broken)
				ticket := assertClaimed(t, a, booking)
				assert.Equal(t, ticket.Offset, uint64(1))
				waitForCatchUp()
				f.log.InjectFaults(broken)
				assert.NilError(t, a.Finish(t.Context(), ticket, bookingAnswer))
				assert.Equal(t, f.log.Len(ticket.Stream), 2)
				b, _ := f.start("b")
				assertReplayed(t, b, booking, bookingAnswer)
			})
		})
	}
}

// The log is down for one hour. New bookings must be refused immediately without having run. The
// response of a booking that was running when the log went down must be kept, and a retry must get
// it after the log has recovered.
func TestLogDownForOneHour(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a, _ := f.start("a")
		ticket := assertClaimed(t, a, booking)
		f.log.SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Equal(t, verdict.From(a.Finish(ctx, ticket, bookingAnswer)).Ran, verdict.HasRun)
		fresh := booking
		fresh.IdempotencyKey = "book-2"
		for range 60 {
			began := time.Now()
			v := assertRefused(t, a, fresh, verdict.ReasonLogUnavailable, verdict.NotRun)
			assert.Assert(t, v.RetryAfter > 0)
			assert.Assert(t, time.Since(began) < DefaultClaimTimeout)
			assertRefused(t, a, booking, verdict.ReasonInProgress, verdict.MayHaveRun)
			time.Sleep(time.Second / 2)
		}
		time.Sleep(59 * time.Minute)
		assertRefused(t, a, booking, verdict.ReasonInProgress, verdict.MayHaveRun)
		f.log.SetDown(false)
		time.Sleep(appendBackoffMax + readBackoffMax)
		assertReplayed(t, a, booking, bookingAnswer)
		assertClaimed(t, a, fresh)
	})
}

// The log hangs until the claim times out, and the intent then reaches the log without being
// dispatched. The refusal said "not run", so a retry must be able to run.
func TestClaimTimesOutBeforeDecision(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a, _ := f.start("a")
		f.log.SetAppendDelay(1700 * time.Millisecond)
		assertRefused(t, a, booking, verdict.ReasonLogUnavailable, verdict.NotRun)
		f.log.SetAppendDelay(0)
		time.Sleep(time.Minute)
		b, _ := f.start("b")
		ticket := assertClaimed(t, b, booking)
		assert.Equal(t, ticket.Offset, uint64(3)) // after the intent and its void
	})
}

// The upstream refused the connection, so the booking certainly did not run. A retry may run.
func TestAbandonedCallMayRunAgain(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		ticket := assertClaimed(t, a, booking)
		assert.NilError(t, a.Abandon(t.Context(), ticket))
		waitForCatchUp()
		ticket = assertClaimed(t, b, booking)
		assert.NilError(t, b.Finish(t.Context(), ticket, bookingAnswer))
	})
}

// The log drops records that an instance has not read. The instance does not know which keys they
// claimed, so it must refuse unknown keys for one window.
func TestUnknownKeysAreRefusedAfterLogGap(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a, _ := f.start("a")
		f.log.Truncate(streamName(partitionOf(keyOf(booking))), 6)
		waitForCatchUp()
		v := assertRefused(t, a, booking, verdict.ReasonRetentionOver, verdict.NotRun)
		assert.Assert(t, v.RetryAfter > DefaultWindow-time.Minute)
		time.Sleep(DefaultWindow)
		assertClaimed(t, a, booking)
	})
}

// A client repeats a booking after the window, when the first use of the key may have expired. If the
// key contains its creation time, the retry must be refused.
func TestKeyOlderThanWindowIsRefused(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a, _ := f.start("a")
		call := booking
		call.IdempotencyKey = "00dc6acf-ac00-7000-8000-000000000000" // 2000-01-01T00:00:00Z, the start time of a synctest bubble
		ticket := assertClaimed(t, a, call)
		assert.NilError(t, a.Finish(t.Context(), ticket, bookingAnswer))
		assertReplayed(t, a, call, bookingAnswer)
		time.Sleep(DefaultWindow + 2*expiryInterval)
		assertRefused(t, a, call, verdict.ReasonRetentionOver, verdict.NotRun)
	})
}

// The response is too large to record. A retry must be told that the call ran.
func TestLargeResponseIsNotStored(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a, _ := f.start("a")
		large := bookingAnswer
		large.Body = make([]byte, MaxAnswerBytes+1)
		assert.NilError(t, a.Finish(t.Context(), assertClaimed(t, a, booking), large))
		assertRefused(t, a, booking, verdict.ReasonAnswerNotKept, verdict.HasRun)
	})
}
