package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/upstream"
)

const tokenCounts = "100 100"

// events returns a stream of events with the IDs from one number to another.
func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

func TestModelRequestIsPrefilledAndDecoded(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = func(_ context.Context, to upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
		assert.Equal(t, to.Role, upstream.Decode)
		return newAnswer(http.StatusOK, events(1, 5))
	}
	rec, aborted := gw.request("/draft/1", map[string]string{"Tokens": tokenCounts})
	assert.Assert(t, !aborted)
	assert.Equal(t, rec.Body.String(), events(1, 5))
	assert.Equal(t, gw.options[0].Reservation, "reservation")
	assert.Equal(t, gw.options[0].Source.Handle, "handle")
	assert.Equal(t, len(gw.gateway.dispatchers.all()[0].decode.allocator.OwnLoads()), 0, "a claim was left behind")
}

// The engine's stream breaks off in the middle of an event. On a resumable route, the caller gets
// the rest from another engine and each event once; on other routes the caller must see that its
// answer is truncated.
func TestBrokenStream(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = func(_ context.Context, _ upstream.Entry, _ *Call, o RunOptions) (*Answer, error) {
		if len(gw.sends)%2 == 1 {
			return &Answer{Status: http.StatusOK, Body: &truncatedBody{events(1, 3) + "id: 4\nda"}, Length: -1, EndStated: true}, nil
		}
		assert.Equal(t, o.LastEventID, "3")
		return newAnswer(http.StatusOK, events(4, 6))
	}
	rec, aborted := gw.request("/resumable/1", map[string]string{"Tokens": tokenCounts})
	assert.Assert(t, !aborted)
	assert.Equal(t, rec.Body.String(), events(1, 6))
	assert.Assert(t, gw.sends[0] != gw.sends[1])
	rec, aborted = gw.request("/draft/1", map[string]string{"Tokens": tokenCounts})
	assert.Assert(t, aborted)
	assert.Assert(t, strings.HasPrefix(rec.Body.String(), events(1, 3)))
}

// No prefill engine accepts the prompt. The decode engine processes the prompt itself, which is
// slower but better than a refusal while engines have capacity.
func TestDecodeEngineReadsThePromptItself(t *testing.T) {
	gw := newTestGateway(t)
	gw.prefill = func(upstream.Entry) (string, error) { return "", refusedError() }
	gw.run = func(_ context.Context, _ upstream.Entry, _ *Call, o RunOptions) (*Answer, error) {
		assert.Equal(t, o.Source.Handle, "")
		return newAnswer(http.StatusOK, events(1, 2))
	}
	rec, _ := gw.request("/draft/1", map[string]string{"Tokens": tokenCounts})
	assert.Equal(t, rec.Body.String(), events(1, 2))
}

// The decode engine refuses the request after the prefill. The caller is told that nothing ran, and
// the reservation and the KV cache are freed.
func TestRefusedDecodeGivesMemoryBack(t *testing.T) {
	gw := newTestGateway(t)
	gw.failWith(refusedError())
	rec, _ := gw.request("/draft/1", map[string]string{"Tokens": tokenCounts})
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	assert.Assert(t, rec.Header().Get("Retry-After") != "")
	for range 100 {
		gw.mu.Lock()
		n := len(gw.released)
		gw.mu.Unlock()
		if n == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("released: %v", gw.released)
}

// All engines remain full. The request is refused once it can no longer meet its objective, instead
// of being held until its deadline.
func TestFullPoolRefusesInTime(t *testing.T) {
	gw := newTestGateway(t)
	gw.failWith(refusedError())
	d := gw.gateway.dispatchers.get(&object.Service{Name: "model", Pool: testObjects().Services[1].Pool})
	d.sync()
	for _, e := range d.decode.allocator.Engines() {
		d.decode.withdraw(e.ID, time.Minute)
	}
	started := time.Now()
	rec, _ := gw.request("/draft/1", map[string]string{"Tokens": tokenCounts})
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	assert.Equal(t, len(gw.sends), 0)
	assert.Assert(t, time.Since(started) < 2*time.Second)
}

// An engine refuses a reservation because it is fuller than known here. Another engine is asked
// before the prompt is prefilled.
func TestRefusedReservationAsksAnother(t *testing.T) {
	gw := newTestGateway(t)
	asked := map[string]int{}
	gw.reserve = func(to upstream.Entry) (string, error) {
		asked[to.ID]++
		if len(asked) == 1 {
			return "", refusedError()
		}
		return "r", nil
	}
	gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return newAnswer(http.StatusOK, events(1, 1))
	}
	rec, _ := gw.request("/draft/1", map[string]string{"Tokens": tokenCounts})
	assert.Equal(t, rec.Code, http.StatusOK)
	assert.Equal(t, len(asked), 2)
}

// An engine was ordered to change its role by an instance that has since ended. It still accepts
// reservations but refuses the requests that follow. Without a report, each instance would prefill
// prompts in vain to learn of it.
func TestRefusingEngineIsReportedToPeers(t *testing.T) {
	gw := newTestGateway(t)
	gw.failWith(refusedError())
	gw.request("/draft/1", map[string]string{"Tokens": tokenCounts})
	loads := map[fleet.Hash]fleet.Load{}
	report := &fleet.Report{Loads: loads}
	gw.gateway.dispatchers.addReport(report)
	assert.Equal(t, loads[fleet.ShortHashOf(gw.sends[0])].Tokens, 1000)
	other := newTestGateway(t)
	modelDispatcher(other)
	other.gateway.dispatchers.applyReport(&fleet.Report{Instance: "b", Incarnation: 1, Loads: loads})
	other.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return newAnswer(http.StatusOK, events(1, 1))
	}
	for range 3 {
		rec, _ := other.request("/draft/1", map[string]string{"Tokens": tokenCounts})
		assert.Equal(t, rec.Code, http.StatusOK)
	}
	for _, id := range other.sends {
		assert.Assert(t, id != gw.sends[0])
	}
}

// deadlineRecorder records the write deadlines set on a caller's connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	set []time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(at time.Time) error {
	d.set = append(d.set, at)
	return nil
}

// A caller reads a stream and, seconds later, sends a lookup on the same connection. If the
// stream's write deadline were still set, the lookup would run but its answer could not be written,
// and the caller would see the connection close.
func TestStreamLeavesNoDeadlineBehind(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return newAnswer(http.StatusOK, events(1, 3))
	}
	rec := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	r := httptest.NewRequest(http.MethodPost, "http://h/draft/1", strings.NewReader("body"))
	r.Header.Set("Id", "1")
	r.Header.Set("Key", "key")
	r.Header.Set("Tokens", tokenCounts)
	gw.gateway.ServeHTTP(rec, r)
	assert.Equal(t, rec.Code, http.StatusOK)
	assert.Assert(t, len(rec.set) > 1)
	assert.Assert(t, !rec.set[0].IsZero())
	assert.Assert(t, rec.set[len(rec.set)-1].IsZero())
}

// Guards against taking slow prefill engines for failed ones, so that their prompts are processed
// again elsewhere and they are ejected for a while.
func TestPrefillTimeoutFollowsMeasuredSpeed(t *testing.T) {
	timeoutAfter := func(took time.Duration) time.Duration {
		d := modelDispatcher(newTestGateway(t))
		assert.Equal(t, d.prefillTimeout(3000), minPrefillTimeout, "no measurements yet")
		for range 20 {
			d.recordPrefill(3000, took, true)
		}
		return d.prefillTimeout(3000)
	}
	assert.Equal(t, timeoutAfter(54*time.Millisecond), minPrefillTimeout)
	slow := timeoutAfter(250 * time.Millisecond)
	assert.Assert(t, slow > 2250*time.Millisecond && slow < maxPrefillTimeout, "nine such prompts may be queued: %v", slow)
	assert.Equal(t, timeoutAfter(3*time.Second), maxPrefillTimeout)
}

// Guards against a service that has no engines for seconds because its last one refused a request.
func TestLastEngineIsNotWithdrawn(t *testing.T) {
	gw := newTestGateway(t)
	gw.failWith(refusedError())
	d := modelDispatcher(gw)
	engines := d.decode.allocator.Engines()
	d.decode.withdraw(engines[0].ID, time.Minute)
	gw.request("/draft/1", map[string]string{"Tokens": tokenCounts})
	assert.DeepEqual(t, gw.sends, []string{engines[1].ID})
	gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return newAnswer(http.StatusOK, events(1, 1))
	}
	rec, _ := gw.request("/draft/1", map[string]string{"Tokens": tokenCounts})
	assert.Equal(t, rec.Code, http.StatusOK)
}
