package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/stand"
)

// A key is withdrawn while its organisation has open streams through every instance. The streams
// must end with the code key_withdrawn, new requests must be refused, and other organisations must
// not be affected.
func TestWithdrawnKeyEndsOpenStreamsOnAllInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 2, plain: 1, tokenTime: 50 * time.Millisecond})
	var waits []func()
	var open [][]response
	for _, d := range f.instances {
		responses, wait := f.openStreams(context.Background(), d, 2)
		open, waits = append(open, responses), append(waits, wait)
	}
	f.withdrawKeys("alpha")
	for n, wait := range waits {
		wait()
		for k := range open[n] {
			assert.Equal(t, open[n][k].code, "key_withdrawn")
			assert.Assert(t, !open[n][k].complete)
		}
	}
	for _, d := range f.instances {
		resp := chat(context.Background(), d.callerAddress, f.keys["alpha"], "again", 5, nil)
		assert.Equal(t, resp.status, http.StatusUnauthorized)
		assert.Equal(t, resp.code, "key_withdrawn")
		assert.Equal(t, resp.ran, "not_run")
		resp = chat(context.Background(), d.callerAddress, f.keys["beta"], "still here", 5, nil)
		assert.Equal(t, resp.problem("still here", 5), "")
	}
	eventually(t, "engines hold no streams or KV caches", func() bool { return f.heldByEngines() == 0 })
}

// Guards against forwarding a caller's key. It is a credential: an upstream that receives it could
// act on behalf of the organisation. Callers also send the key in places where it does not belong.
func TestCallerKeysAreNotForwardedToUpstreams(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 1, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond})
	key := f.keys["alpha"]
	completion := chat(context.Background(), f.instances[0].callerAddress, key, "one", 5, nil)
	assert.Equal(t, completion.problem("one", 5), "")
	lookup, _ := callPlain(context.Background(), f.instances[0].callerAddress, key, http.MethodGet, "/roster/today", "", "")
	assert.Equal(t, lookup.status, http.StatusOK)
	for name := range f.upstreams {
		var stats struct {
			Seen []stand.SeenCall `json:"seen"`
		}
		f.readStats(name, &stats)
		assert.Assert(t, len(stats.Seen) > 0, name)
		assert.Assert(t, !strings.Contains(fmt.Sprint(stats.Seen), key), name)
	}
}

// withdrawKeys publishes an object set in which all keys of an organisation are withdrawn.
func (f *fleet) withdrawKeys(organisation string) {
	f.t.Helper()
	for i := range f.objectSet.Keys {
		if f.objectSet.Keys[i].Organisation == organisation {
			f.objectSet.Keys[i].Withdrawn = true
		}
	}
	f.publish()
}
