package routed_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// While a data centre is evacuated, its upstreams must receive no requests: they would be lost when
// its power is turned off, although other data centres could serve them. After the evacuation ends,
// its upstreams must be used again. An instance that first reads the list during an evacuation must
// apply the evacuation as well.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	f := start(t, respondSigned)
	var otherRequests atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		otherRequests.Add(1)
		respondSigned(w, r)
	}))
	defer other.Close()
	f.store.put("keyed.servers", "i-2", fmt.Sprintf(`{"service":"s","address":%q,"zone":"y","slots":4,"state":"ready","seq":1}`, other.Listener.Addr()))
	f.store.put("keyed.op", "evacuate/z", "{}")
	f.eventually(t, func() bool {
		before := otherRequests.Load()
		for range 10 {
			if status, _, err := f.request("k"); err != nil || status != http.StatusOK {
				return false
			}
		}
		return otherRequests.Load() == before+10
	})
	f.store.put("keyed.op", "evacuate/y", "{}")
	f.eventually(t, func() bool { status, _, _ := f.request("k"); return status == http.StatusServiceUnavailable })
	f.store.put("keyed.op", "evacuate/z", "")
	f.eventually(t, func() bool { status, _, _ := f.request("k"); return status == http.StatusOK })
	before := otherRequests.Load()
	status, _, err := f.request("k")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, otherRequests.Load(), before)
}
