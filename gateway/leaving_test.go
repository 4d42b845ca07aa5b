package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/upstream"
)

// Guards against a prompt that is prefilled in vain, or twice, because the decode engine says that it leaves in
// the answer to the reservation, or while the prompt is prefilled.
func TestLeavingDuringPlacementLosesNoPrompt(t *testing.T) {
	for _, when := range []string{"reservation", "prefill"} {
		gw := newTestGateway(t)
		gw.run = answerOK
		var reserved []string
		leave := func(id string) {
			entry, ok := gw.state.Directory.Current(id)
			assert.Assert(t, ok)
			gw.record(entry, upstream.Statement{Leaving: true})
		}
		gw.reserve = func(to upstream.Entry) (string, error) {
			reserved = append(reserved, to.ID)
			if when == "reservation" && len(reserved) == 1 {
				leave(to.ID)
			}
			return fmt.Sprint("reservation ", len(reserved)), nil
		}
		prefills := 0
		gw.prefill = func(upstream.Entry) (string, error) {
			if prefills++; when == "prefill" {
				leave(reserved[0])
			}
			return "handle", nil
		}
		rec, _ := gw.request("/draft/1", map[string]string{"Tokens": tokenCounts})
		assert.Equal(t, rec.Code, http.StatusOK, "%s: %s", when, rec.Body)
		assert.Equal(t, prefills, 1, when)
		assert.Equal(t, len(reserved), 2, when)
		assert.DeepEqual(t, gw.sends, []string{reserved[1]})
		assert.Equal(t, gw.options[0].Source.Handle, "handle", when)
		assert.Equal(t, gw.options[0].Reservation, "reservation 2", when)
		assert.Equal(t, len(gw.gateway.dispatchers.all()[0].decode.allocator.OwnLoads()), 0, "a claim was left behind")
	}
}

// Guards against instances that are not told by a report that an upstream leaves, also if they learn of the
// upstream later.
func TestLeavingIsReported(t *testing.T) {
	a, b := newTestGateway(t), newTestGateway(t)
	entry, ok := a.state.Directory.Current("plain 0")
	assert.Assert(t, ok)
	late := upstream.Entry{ID: "late", Started: 3, Service: "plain"}
	a.state.Directory.Put(late)
	a.record(entry, upstream.Statement{Leaving: true})
	a.record(late, upstream.Statement{Leaving: true})
	r := &fleet.Report{}
	a.gateway.FillReport(boottime.Now(), r)
	b.gateway.ApplyReport(boottime.Now(), r)
	_, ok = b.state.Directory.Current("plain 0")
	assert.Assert(t, !ok)
	b.state.Directory.Put(late)
	b.gateway.Sweep()
	_, ok = b.state.Directory.Current("late")
	assert.Assert(t, !ok)
	late.Started++
	b.state.Directory.Put(late)
	_, ok = b.state.Directory.Current("late")
	assert.Assert(t, ok, "another run has said nothing")
}
