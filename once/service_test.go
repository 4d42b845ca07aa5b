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
	booking = route.GuardedCall{Organisation: "frames", Service: "leaf-desk", IdempotencyKey: "book-1", BodyHash: [32]byte{1}, RequestID: "r1"}
	booked  = route.RecordedAnswer{Status: 201, ContentType: "application/json", Body: []byte(`{"leaf":3}`)}
)

// fleet is a few instances on one log, inside a synctest bubble.
type fleet struct {
	t    *testing.T
	log  *memlog.Log
	mu   sync.Mutex
	live []request.Holder
	// links are the instances' ways to the log.
	links map[string]*memlog.Link
	// net connects the instances; without it each serves every partition itself.
	net *peerNet
}

// inFleet runs a test with a fresh fleet.
func inFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) { test(t, &fleet{t: t, log: memlog.New(), links: map[string]*memlog.Link{}}) })
}

// start runs an instance until the test ends or stop is called.
func (f *fleet) start(name string) (s *Service, stop func()) {
	self := request.Holder{Instance: name, Incarnation: uint64(len(f.members())) + 1}
	f.setLive(append(f.members(), self))
	f.links[name] = f.log.Link()
	cfg := Config{Self: self, Log: f.links[name], Members: f.members}
	if f.net != nil {
		cfg.Dial = f.net.dial
	}
	s, err := New(cfg)
	assert.NilError(f.t, err)
	if f.net != nil {
		_, handler := s.Handler()
		f.net.set(func() { f.net.handlers[name] = handler })
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

func (f *fleet) members() []request.Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.live)
}

func (f *fleet) setLive(live []request.Holder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = live
}

// kill cuts an instance off, as its death does.
func (f *fleet) kill(name string) {
	f.links[name].SetDown(true)
	f.setLive(slices.DeleteFunc(f.members(), func(h request.Holder) bool { return h.Instance == name }))
}

// settle lets group commits and followers catch up.
func settle() { time.Sleep(time.Second) }

// refused asserts that a call is refused for a reason with the given truth.
func refused(t *testing.T, s *Service, call route.GuardedCall, reason verdict.Reason, ran verdict.Ran) *verdict.Verdict {
	t.Helper()
	ticket, answer, err := s.Begin(t.Context(), call)
	assert.Assert(t, ticket == nil && answer == nil)
	v := verdict.From(err)
	assert.Assert(t, v != nil)
	assert.Equal(t, v.Reason, reason)
	assert.Equal(t, v.Ran, ran)
	return v
}

// claims asserts that a call may be dispatched.
func claims(t *testing.T, s *Service, call route.GuardedCall) *route.Ticket {
	t.Helper()
	ticket, answer, err := s.Begin(t.Context(), call)
	assert.NilError(t, err)
	assert.Assert(t, ticket != nil && answer == nil)
	return ticket
}

// replays asserts that a call gets a recorded answer.
func replays(t *testing.T, s *Service, call route.GuardedCall, want route.RecordedAnswer) {
	t.Helper()
	ticket, answer, err := s.Begin(t.Context(), call)
	assert.NilError(t, err)
	assert.Assert(t, ticket == nil)
	assert.DeepEqual(t, *answer, want)
}

// A shop's client sends the same booking over two connections that reach two
// instances at the same moment. Without the guard the shop is charged twice.
func TestTwoInstancesGetTheSameKeyAtOnce(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
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

// The caller's connection breaks after the booking was sent to the desk, and the
// caller repeats it elsewhere. It must get the answer of the first booking.
func TestCallerLeavesAfterDispatch(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		ticket := claims(t, a, booking)
		refused(t, b, booking, verdict.ReasonInProgress, verdict.MayHaveRun)
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		_ = a.Finish(gone, ticket, booked)
		settle()
		replays(t, b, booking, booked)
		replays(t, a, booking, booked)
		err := a.Abandon(t.Context(), ticket)
		assert.Equal(t, verdict.From(err).Ran, verdict.MayHaveRun)
		replays(t, b, booking, booked)
	})
}

// An instance dies after its intent reached the log, before or after it sent the
// booking to the desk; nobody can tell which. The caller must not be told that the
// booking did not run, and it must not be run again.
func TestInstanceDiesUnderAnIntent(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a, _ := f.start("a")
		claims(t, a, booking)
		f.kill("a")
		b, _ := f.start("b")
		v := refused(t, b, booking, verdict.ReasonOutcomeUnknown, verdict.MayHaveRun)
		known := b.Lookup(t.Context(), booking.Organisation, booking.Service, booking.IdempotencyKey)
		assert.Equal(t, known.State, "claimed")
		assert.Equal(t, known.Instance, "a")
		assert.Assert(t, !known.Running)
		assert.Assert(t, !v.Reason.Retryable())
	})
}

// The desk's answer breaks off, or its connection breaks before any answer. The
// caller's resend is told what is known, and does not wait for a call that ended.
func TestCallWithoutWholeAnswer(t *testing.T) {
	for ran, reason := range map[verdict.Ran]verdict.Reason{
		verdict.MayHaveRun: verdict.ReasonOutcomeUnknown, verdict.HasRun: verdict.ReasonAnswerNotKept,
	} {
		inFleet(t, func(t *testing.T, f *fleet) {
			a, _ := f.start("a")
			b, _ := f.start("b")
			assert.NilError(t, a.Unanswered(t.Context(), claims(t, a, booking), ran))
			refused(t, a, booking, reason, ran)
			time.Sleep(DefaultMaxRun + time.Second)
			refused(t, b, booking, reason, ran)
		})
	}
}

// A client reuses its idempotency key for another booking. Answering with the
// first booking's answer would lose the second one unnoticed.
func TestKeyReusedWithAnotherBody(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a, _ := f.start("a")
		ticket := claims(t, a, booking)
		other := booking
		other.BodyHash[0]++
		refused(t, a, other, verdict.ReasonIdempotencyKeyReused, verdict.NotRun)
		assert.NilError(t, a.Finish(t.Context(), ticket, booked))
		refused(t, a, other, verdict.ReasonIdempotencyKeyReused, verdict.NotRun)
		foreign := booking
		foreign.Organisation = "zoo"
		claims(t, a, foreign)
	})
}

// The log takes an append but its answer is lost, or the append is lost on the way;
// the instance sees the same broken connection. The booking must go on, and its
// intent must stand in the log once.
func TestLogAnswersAreLost(t *testing.T) {
	for name, broken := range map[string]memlog.Fault{"answer lost": memlog.LoseResponse, "request lost": memlog.LoseRequest} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fleet) {
				a, _ := f.start("a")
				f.log.InjectFaults(broken)
				ticket := claims(t, a, booking)
				assert.Equal(t, ticket.Offset, uint64(1))
				settle()
				f.log.InjectFaults(broken)
				assert.NilError(t, a.Finish(t.Context(), ticket, booked))
				assert.Equal(t, f.log.Len(ticket.Stream), 2)
				b, _ := f.start("b")
				replays(t, b, booking, booked)
			})
		})
	}
}

// The log is down for an hour. New bookings are refused at once and truly have not
// run; a booking that was running when it went down keeps its answer, and its
// resend gets it once the log is back.
func TestLogIsDownForAnHour(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a, _ := f.start("a")
		ticket := claims(t, a, booking)
		f.log.SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Equal(t, verdict.From(a.Finish(ctx, ticket, booked)).Ran, verdict.HasRun)
		fresh := booking
		fresh.IdempotencyKey = "book-2"
		for range 60 {
			began := time.Now()
			v := refused(t, a, fresh, verdict.ReasonLogUnavailable, verdict.NotRun)
			assert.Assert(t, v.RetryAfter > 0)
			assert.Assert(t, time.Since(began) < DefaultClaimTimeout)
			refused(t, a, booking, verdict.ReasonInProgress, verdict.MayHaveRun)
			time.Sleep(time.Second / 2)
		}
		time.Sleep(59 * time.Minute)
		refused(t, a, booking, verdict.ReasonInProgress, verdict.MayHaveRun)
		f.log.SetDown(false)
		time.Sleep(appendBackoffMax + readBackoffMax)
		replays(t, a, booking, booked)
		claims(t, a, fresh)
	})
}

// The log hangs until the caller's time is up; the intent then stands in the log
// with nobody to dispatch it. The refusal said "not run", so a resend must be able
// to run.
func TestCallerGivesUpBeforeTheLogDecides(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a, _ := f.start("a")
		f.log.SetAppendDelay(1700 * time.Millisecond)
		refused(t, a, booking, verdict.ReasonLogUnavailable, verdict.NotRun)
		f.log.SetAppendDelay(0)
		time.Sleep(time.Minute)
		b, _ := f.start("b")
		ticket := claims(t, b, booking)
		assert.Equal(t, ticket.Offset, uint64(3)) // after the intent and its void
	})
}

// The desk's address refused the connection, so the booking certainly did not run.
// Its resend may run.
func TestAbandonedCallMayRunAgain(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		ticket := claims(t, a, booking)
		assert.NilError(t, a.Abandon(t.Context(), ticket))
		settle()
		ticket = claims(t, b, booking)
		assert.NilError(t, b.Finish(t.Context(), ticket, booked))
	})
}

// An instance was cut off from the log while the log dropped records that it had
// not read. It does not know which keys those used.
func TestReaderThatMissedRecordsDoesNotVouch(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a, _ := f.start("a")
		f.log.Truncate(streamName(partitionOf(keyOf(booking))), 6)
		settle()
		v := refused(t, a, booking, verdict.ReasonRetentionOver, verdict.NotRun)
		assert.Assert(t, v.RetryAfter > DefaultWindow-time.Minute)
		time.Sleep(DefaultWindow)
		claims(t, a, booking)
	})
}

// A client repeats a booking days later. The first may be forgotten by then; a key
// that carries its time of creation shows it.
func TestOldKeyIsRefused(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a, _ := f.start("a")
		call := booking
		call.IdempotencyKey = "00dc6acf-ac00-7000-8000-000000000000" // 2000-01-01T00:00:00Z, the bubble's start
		ticket := claims(t, a, call)
		assert.NilError(t, a.Finish(t.Context(), ticket, booked))
		replays(t, a, call, booked)
		time.Sleep(DefaultWindow + 2*forgetInterval)
		refused(t, a, call, verdict.ReasonRetentionOver, verdict.NotRun)
	})
}

// An answer too large to record: the resend is told that the call ran.
func TestLargeAnswerIsRecordedAsRan(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a, _ := f.start("a")
		large := booked
		large.Body = make([]byte, MaxAnswerBytes+1)
		assert.NilError(t, a.Finish(t.Context(), claims(t, a, booking), large))
		refused(t, a, booking, verdict.ReasonAnswerNotKept, verdict.HasRun)
	})
}
