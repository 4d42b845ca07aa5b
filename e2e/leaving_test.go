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

// An upstream is taken out of service. An engine reports this itself. For a plain service it appears
// only in the platform's list, with a delay. The published object set does not show it. Requests
// that are still sent to the upstream would be cut off when it stops.
func TestLeavingUpstreamsGetNoNewWork(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 2, prefill: 1, decode: 2, plain: 2, tokenTime: time.Millisecond})
	f.setFaults("decode-0", stand.Faults{Leaving: true})
	f.markLeavingInList("plain-0")
	eventually(t, "the leaving engine receives no requests", func() bool {
		return !f.receivesWork("decode-0", func() {
			resp := chat(context.Background(), f.instances[0].callerAddress, f.keys["alpha"], "leaving", 5, nil)
			assert.Equal(t, resp.problem("leaving", 5), "")
		})
	})
	eventually(t, "the leaving plain upstream receives no requests", func() bool {
		return !f.receivesWork("plain-0", func() {
			resp, _ := callPlain(context.Background(), f.instances[1].callerAddress, f.keys["alpha"], http.MethodGet, "/roster/x", "", "")
			assert.Equal(t, resp.status, http.StatusOK)
		})
	})
}

// receivesWork sends ten requests and reports whether the upstream executed any work meanwhile.
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

// markLeavingInList marks an upstream as leaving in the platform's list.
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
