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

// A key is withdrawn while its holder has streams open through every instance.
// The streams must end with the reason, new requests must be refused, and other
// organisations must not notice.
func TestWithdrawnKeyEndsOpenStreamsEverywhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 2, plain: 1, tokenTime: 50 * time.Millisecond})
	var waits []func()
	var open [][]answer
	for _, d := range f.instances {
		answers, wait := f.openStreams(context.Background(), d, 2)
		open, waits = append(open, answers), append(waits, wait)
	}
	f.withdraw("alpha")
	for n, wait := range waits {
		wait()
		for k := range open[n] {
			assert.Equal(t, open[n][k].code, "key_withdrawn")
			assert.Assert(t, !open[n][k].whole)
		}
	}
	for _, d := range f.instances {
		a := chat(context.Background(), d.callers, f.keys["alpha"], "again", 5, nil)
		assert.Equal(t, a.status, http.StatusUnauthorized)
		assert.Equal(t, a.code, "key_withdrawn")
		assert.Equal(t, a.ran, "not_run")
		a = chat(context.Background(), d.callers, f.keys["beta"], "still here", 5, nil)
		assert.Equal(t, a.wrong("still here", 5), "")
	}
	eventually(t, "engines hold nothing", func() bool { return f.held() == 0 })
}

// A caller's key is a credential; an upstream that sees it can act for the
// organisation. Callers also send it in places where it does not belong.
func TestNoUpstreamSeesAKey(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 1, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond})
	key := f.keys["alpha"]
	a := chat(context.Background(), f.instances[0].callers, key, "one", 5, nil)
	assert.Equal(t, a.wrong("one", 5), "")
	b, _ := call(context.Background(), f.instances[0].callers, key, http.MethodGet, "/roster/today", "", "")
	assert.Equal(t, b.status, http.StatusOK)
	for name := range f.upstreams {
		var stats struct {
			Seen []stand.SeenCall `json:"seen"`
		}
		f.stats(name, &stats)
		assert.Assert(t, len(stats.Seen) > 0, name)
		assert.Assert(t, !strings.Contains(fmt.Sprint(stats.Seen), key), name)
	}
}

// withdraw publishes a set in which an organisation's keys are withdrawn.
func (f *fleet) withdraw(organisation string) {
	f.t.Helper()
	for i := range f.set.Keys {
		if f.set.Keys[i].Organisation == organisation {
			f.set.Keys[i].Withdrawn = true
		}
	}
	f.publish()
}
