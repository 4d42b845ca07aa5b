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

const tokens = "100 100"

// events is a stream of events with ids from one number to another.
func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

func TestModelRequestIsPrefilledAndDecoded(t *testing.T) {
	w := newWorld(t)
	w.run = func(_ context.Context, to upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
		assert.Equal(t, to.Role, upstream.Decode)
		return answer(http.StatusOK, events(1, 5))
	}
	rec, aborted := w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.Assert(t, !aborted)
	assert.Equal(t, rec.Body.String(), events(1, 5))
	assert.Equal(t, w.options[0].Reservation, "reservation")
	assert.Equal(t, w.options[0].Source.Handle, "handle")
	assert.Equal(t, len(w.gateway.desks.all()[0].decode.room.OwnLoads()), 0, "a claim was left behind")
}

// The engine breaks a stream off in the middle of an event. A caller whose stream may
// be resumed gets the rest from another engine, each event once; any other must see
// that its answer is not whole.
func TestBrokenStream(t *testing.T) {
	w := newWorld(t)
	w.run = func(_ context.Context, _ upstream.Entry, _ *Call, o RunOptions) (*Answer, error) {
		if len(w.sends)%2 == 1 {
			return &Answer{Status: http.StatusOK, Body: &broken{events(1, 3) + "id: 4\nda"}, Length: -1}, nil
		}
		assert.Equal(t, o.LastEventID, "3")
		return answer(http.StatusOK, events(4, 6))
	}
	rec, aborted := w.ask("/resumable/1", map[string]string{"Tokens": tokens})
	assert.Assert(t, !aborted)
	assert.Equal(t, rec.Body.String(), events(1, 6))
	assert.Assert(t, w.sends[0] != w.sends[1])
	rec, aborted = w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.Assert(t, aborted)
	assert.Assert(t, strings.HasPrefix(rec.Body.String(), events(1, 3)))
}

// No prefill engine takes the prompt. The decode engine reads it itself, which is
// slower and better than a refusal beside engines with room.
func TestDecodeEngineReadsThePromptItself(t *testing.T) {
	w := newWorld(t)
	w.prefill = func(upstream.Entry) (string, error) { return "", refused() }
	w.run = func(_ context.Context, _ upstream.Entry, _ *Call, o RunOptions) (*Answer, error) {
		assert.Equal(t, o.Source.Handle, "")
		return answer(http.StatusOK, events(1, 2))
	}
	rec, _ := w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.Equal(t, rec.Body.String(), events(1, 2))
}

// The decode engine refuses after the prompt was read. The caller is told truly that
// nothing ran, and what was reserved and read is given back.
func TestRefusedDecodeGivesMemoryBack(t *testing.T) {
	w := newWorld(t)
	w.always(refused())
	rec, _ := w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	assert.Assert(t, rec.Header().Get("Retry-After") != "")
	for range 100 {
		w.mu.Lock()
		n := len(w.released)
		w.mu.Unlock()
		if n == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("given back: %v", w.released)
}

// All engines are full for good. The request is refused when it can no longer be on
// time, and not held until its deadline.
func TestFullPoolRefusesInTime(t *testing.T) {
	w := newWorld(t)
	w.always(refused())
	d := w.gateway.desks.get(&object.Service{Name: "model", Pool: set().Services[1].Pool})
	d.sync()
	for _, e := range d.decode.room.Engines() {
		d.decode.withdraw(e.ID, time.Minute)
	}
	begun := time.Now()
	rec, _ := w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	assert.Equal(t, len(w.sends), 0)
	assert.Assert(t, time.Since(begun) < 2*time.Second)
}

// The engine whose reservation is refused is full by more than is known here. Another
// is asked before anything is read.
func TestRefusedReservationAsksAnother(t *testing.T) {
	w := newWorld(t)
	asked := map[string]int{}
	w.reserve = func(to upstream.Entry) (string, error) {
		asked[to.ID]++
		if len(asked) == 1 {
			return "", refused()
		}
		return "r", nil
	}
	w.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return answer(http.StatusOK, events(1, 1))
	}
	rec, _ := w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.Equal(t, rec.Code, http.StatusOK)
	assert.Equal(t, len(asked), 2)
}

// An engine was ordered to change its role by an instance that has ended since. It goes
// on taking reservations and refuses what comes with them; each instance would read
// prompts in vain to learn it.
func TestRefusingEngineIsToldToAll(t *testing.T) {
	w := newWorld(t)
	w.always(refused())
	w.ask("/draft/1", map[string]string{"Tokens": tokens})
	loads := map[fleet.Hash]fleet.Load{}
	report := &fleet.Report{Loads: loads}
	w.gateway.desks.fill(report)
	assert.Equal(t, loads[fleet.ShortHashOf(w.sends[0])].Tokens, 1000)
	other := newWorld(t)
	modelDesk(other)
	other.gateway.desks.take(&fleet.Report{Instance: "b", Incarnation: 1, Loads: loads})
	other.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return answer(http.StatusOK, events(1, 1))
	}
	for range 3 {
		rec, _ := other.ask("/draft/1", map[string]string{"Tokens": tokens})
		assert.Equal(t, rec.Code, http.StatusOK)
	}
	for _, id := range other.sends {
		assert.Assert(t, id != w.sends[0])
	}
}

// deadlines notes the write deadlines that are set on a caller's connection.
type deadlines struct {
	*httptest.ResponseRecorder
	set []time.Time
}

func (d *deadlines) SetWriteDeadline(at time.Time) error {
	d.set = append(d.set, at)
	return nil
}

// A caller reads a stream and, seconds later, sends a lookup on the same connection.
// Were the stream's write deadline still set, the lookup would run and its answer could
// not be written: the caller would see the connection close.
func TestStreamLeavesNoDeadlineBehind(t *testing.T) {
	w := newWorld(t)
	w.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return answer(http.StatusOK, events(1, 3))
	}
	rec := &deadlines{ResponseRecorder: httptest.NewRecorder()}
	r := httptest.NewRequest(http.MethodPost, "http://h/draft/1", strings.NewReader("body"))
	r.Header.Set("Id", "1")
	r.Header.Set("Key", "key")
	r.Header.Set("Tokens", tokens)
	w.gateway.ServeHTTP(rec, r)
	assert.Equal(t, rec.Code, http.StatusOK)
	assert.Assert(t, len(rec.set) > 1)
	assert.Assert(t, !rec.set[0].IsZero())
	assert.Assert(t, rec.set[len(rec.set)-1].IsZero())
}

// Guards against engines that read slowly and are taken for ill, so that their prompts are read
// again elsewhere and they get none for a while.
func TestSlowEnginesAreGivenTime(t *testing.T) {
	patience := func(took time.Duration) time.Duration {
		d := modelDesk(newWorld(t))
		assert.Equal(t, d.prefillPatience(3000), leastPatience, "nothing is known yet")
		for range 20 {
			d.prefilled(3000, took, true)
		}
		return d.prefillPatience(3000)
	}
	assert.Equal(t, patience(54*time.Millisecond), leastPatience)
	slow := patience(250 * time.Millisecond)
	assert.Assert(t, slow > 2250*time.Millisecond && slow < mostPatience, "nine such prompts wait: %v", slow)
	assert.Equal(t, patience(3*time.Second), mostPatience)
}

// Guards against a service without any engine for seconds since its last one refused a request.
func TestLastEngineIsNotWithdrawn(t *testing.T) {
	w := newWorld(t)
	w.always(refused())
	d := modelDesk(w)
	engines := d.decode.room.Engines()
	d.decode.withdraw(engines[0].ID, time.Minute)
	w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.DeepEqual(t, w.sends, []string{engines[1].ID})
	w.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return answer(http.StatusOK, events(1, 1))
	}
	rec, _ := w.ask("/draft/1", map[string]string{"Tokens": tokens})
	assert.Equal(t, rec.Code, http.StatusOK)
}
