package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
)

// Guards against an instance that has not read the list of upstreams, or of instances, and refuses
// requests as if there were none.
func TestInstanceThatStartsSaysSo(t *testing.T) {
	w := newWorld(t)
	directory := w.state.Directory
	w.state = NewState(w.now, 4*time.Second)
	w.state.Directory = directory
	w.gateway.state = w.state
	w.always(nil)
	for _, read := range []func(){
		func() { w.state.Apply(object.NewIndex(set(), 1)); w.state.ConfirmCurrent(w.now()) },
		w.state.UpstreamsRead,
		w.state.InstancesRead,
	} {
		select {
		case <-w.state.Complete():
			t.Fatal("something is missing")
		default:
		}
		rec, _ := w.ask("/read/1", nil)
		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		assert.Equal(t, rec.Header().Get("Retry-After"), "0.500")
		assert.Equal(t, len(w.sends), 0)
		read()
	}
	<-w.state.Complete()
	assert.Equal(t, w.state.Missing(), NoPrerequisite)
}

// Guards against an instance that is asked for a place before it has read the list of upstreams,
// and refuses it as if no engine had room.
func TestClaimsBeforeTheListIsReadAreLeftUnanswered(t *testing.T) {
	w := newWorld(t)
	service, _ := w.state.Index().Service("model")
	w.gateway.desks.get(service)
	claim := fleet.Claim{ID: 1, Service: fleet.HashOf("model"), Prefill: true, Tokens: 100}
	answered := func() (n int) {
		w.gateway.HandleClaim(boottime.Now(), "b", claim, func(fleet.Place) { n++ })
		return n
	}
	w.gateway.state = NewState(w.now, 4*time.Second)
	assert.Assert(t, w.gateway.state.Apply(object.NewIndex(set(), 1)))
	assert.Equal(t, answered(), 0)
	w.gateway.state = w.state
	assert.Equal(t, answered(), 1)
}
