package routed_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Operators want a data centre emptied. An instance that sends on there loses the requests
// when the power goes, though other data centres could have served them; once it is given back
// its upstreams are needed again. An instance that reads the list for the first time while
// it holds must know it too.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	f := start(t, signed)
	var elsewhere atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		elsewhere.Add(1)
		signed(w, r)
	}))
	defer other.Close()
	f.store.put("keyed.servers", "i-2", fmt.Sprintf(`{"service":"s","address":%q,"zone":"y","slots":4,"state":"ready","seq":1}`, other.Listener.Addr()))
	f.store.put("keyed.op", "evacuate/z", "{}")
	f.await(t, func() bool {
		before := elsewhere.Load()
		for range 10 {
			if status, _, err := f.ask("k"); err != nil || status != http.StatusOK {
				return false
			}
		}
		return elsewhere.Load() == before+10
	})
	f.store.put("keyed.op", "evacuate/y", "{}")
	f.await(t, func() bool { status, _, _ := f.ask("k"); return status == http.StatusServiceUnavailable })
	f.store.put("keyed.op", "evacuate/z", "")
	f.await(t, func() bool { status, _, _ := f.ask("k"); return status == http.StatusOK })
	before := elsewhere.Load()
	status, _, err := f.ask("k")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, elsewhere.Load(), before)
}
