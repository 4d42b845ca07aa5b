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

// Guards against an instance that has not read the list of upstreams or of instances yet and
// refuses requests as if the list were empty.
func TestStartingInstanceRefusesWithRetryAfter(t *testing.T) {
	gw := newTestGateway(t)
	directory := gw.state.Directory
	gw.state = NewState(gw.now, 4*time.Second)
	gw.state.Directory = directory
	gw.gateway.state = gw.state
	gw.failWith(nil)
	for _, read := range []func(){
		func() { gw.state.Apply(object.NewIndex(testObjects(), 1)); gw.state.ConfirmCurrent(gw.now()) },
		gw.state.UpstreamsRead,
		gw.state.InstancesRead,
	} {
		select {
		case <-gw.state.Complete():
			t.Fatal("complete before everything was read")
		default:
		}
		rec, _ := gw.request("/read/1", nil)
		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		assert.Equal(t, rec.Header().Get("Retry-After"), "0.500")
		assert.Equal(t, len(gw.sends), 0)
		read()
	}
	<-gw.state.Complete()
	assert.Equal(t, gw.state.Missing(), NoPrerequisite)
}

// Guards against an instance that receives a claim before it has read the list of upstreams and
// refuses it as if no engine had capacity.
func TestClaimsBeforeTheListIsReadAreLeftUnanswered(t *testing.T) {
	gw := newTestGateway(t)
	service, _ := gw.state.Index().Service("model")
	gw.gateway.dispatchers.get(service)
	claim := fleet.Claim{ID: 1, Service: fleet.HashOf("model"), Prefill: true, Tokens: 100}
	answered := func() (n int) {
		gw.gateway.HandleClaim(boottime.Now(), "b", claim, func(fleet.Place) { n++ })
		return n
	}
	gw.gateway.state = NewState(gw.now, 4*time.Second)
	assert.Assert(t, gw.gateway.state.Apply(object.NewIndex(testObjects(), 1)))
	assert.Equal(t, answered(), 0)
	gw.gateway.state = gw.state
	assert.Equal(t, answered(), 1)
}
