package routed_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A deployment's list names an instance whose address was given to another deployment's since.
// It reports there, and the other takes it for one of its own and reports back, its
// configuration with it, which is the higher version. Callers with a key that was never given
// here are served, those with a key that was are refused, and no configuration that operators
// publish here comes into force any more.
func TestDeploymentsThatMeetDoNotMix(t *testing.T) {
	own, other := start(t, signed), startNamed(t, "b", signed)
	own.store.put("keyed.instances", "b", fmt.Sprintf(`{"incarnation":1,"address":%q,"beat":1}`, other.settings.Reports))
	other.await(t, func() bool {
		page := other.metrics(t)
		return strings.Contains(page, "cairnworks_instances 2") || strings.Contains(page, `cairnworks_fleet_meetings{relation="stranger"}`)
	})
	other.store.put("keyed.op", "config", fmt.Sprintf(configuration, 9, `"theirs"`))
	other.await(t, func() bool { status, _, _ := other.ask("theirs"); return status == http.StatusOK })
	// Several reports have told of it by then.
	time.Sleep(time.Second)
	own.store.put("keyed.op", "config", fmt.Sprintf(configuration, 2, `"k2"`))
	own.await(t, func() bool { status, _, _ := own.ask("k2"); return status == http.StatusOK })
	for range 50 {
		status, _, err := own.ask("theirs")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusUnauthorized)
		status, _, err = own.ask("k2")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
}
