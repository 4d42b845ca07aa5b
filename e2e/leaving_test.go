package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
	"github.com/cairnworks/cairnworks/stand"
)

// An upstream is taken out of service. The platform's list says so late, and the
// published set not at all; an engine says so itself, a plain service does not.
// New work that still goes there is cut off when it stops.
func TestLeavingUpstreamsGetNoNewWork(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 2, prefill: 1, decode: 2, plain: 2, tokenTime: time.Millisecond})
	f.setFaults("decode-0", stand.Faults{Leaving: true})
	f.markLeavingInList("plain-0")
	eventually(t, "the leaving engine gets nothing", func() bool {
		return !f.receivesWork("decode-0", func() {
			resp := chat(context.Background(), f.instances[0].callerAddress, f.keys["alpha"], "leaving", 5, nil)
			assert.Equal(t, resp.problem("leaving", 5), "")
		})
	})
	eventually(t, "the leaving service gets nothing", func() bool {
		return !f.receivesWork("plain-0", func() {
			resp, _ := callPlain(context.Background(), f.instances[1].callerAddress, f.keys["alpha"], http.MethodGet, "/roster/x", "", "")
			assert.Equal(t, resp.status, http.StatusOK)
		})
	})
}

// worked reports whether an upstream was given any work by ten requests.
func (f *fleet) receivesWork(upstream string, request func()) bool {
	work := func() int {
		var stats struct {
			Requests map[string]any `json:"requests"`
			Runs     int            `json:"runs"`
		}
		f.readStats(upstream, &stats)
		return len(stats.Requests) + stats.Runs
	}
	before := work()
	for range 10 {
		request()
	}
	return work() != before
}

// listLeaving marks an upstream as leaving in the platform's list.
func (f *fleet) markLeavingInList(upstream string) {
	f.t.Helper()
	data, err := json.Marshal([]wire.Listed{{Name: upstream, Address: f.upstreamAddress(upstream), Leaving: true}})
	assert.NilError(f.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+f.listAddress+"/v1/upstreams", bytes.NewReader(data))
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	resp.Body.Close()
	assert.Equal(f.t, resp.StatusCode/100, 2)
}
