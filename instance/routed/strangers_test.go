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

// Guards against an instance that, while it has not read its fleet's id, takes what another
// deployment of its fleet's name tells, and goes on using it.
func TestInstanceWithoutAFleetIDTakesNothing(t *testing.T) {
	const name = "rota"
	other := prepare(t, "b", signed)
	other.settings.Fleet = name
	other.run(t)
	own := prepare(t, "a", signed)
	own.settings.Fleet = name
	own.store.refuse("keyed.fleet", true)
	own.store.put("keyed.instances", "b", fmt.Sprintf(`{"incarnation":1,"address":%q,"beat":1}`, other.settings.Reports))
	other.store.put("keyed.instances", "a", fmt.Sprintf(`{"incarnation":1,"address":%q,"beat":1}`, own.settings.Reports))
	own.run(t)
	met := `cairnworks_fleet_meetings{relation="same_name"}`
	other.await(t, func() bool { return strings.Contains(other.metrics(t), met) })
	own.await(t, func() bool { return strings.Contains(own.metrics(t), met) })
	time.Sleep(2 * time.Second)
	// Only some reports tell the fleet's name; changes that follow one another stand in several.
	for version := 9; version < 39; version++ {
		other.store.put("keyed.op", "config", fmt.Sprintf(configuration, version, `"theirs"`))
		time.Sleep(30 * time.Millisecond)
	}
	for range 50 {
		status, _, err := own.ask("theirs")
		assert.Assert(t, err != nil || status != http.StatusOK, "the other deployment's key holds")
		time.Sleep(20 * time.Millisecond)
	}
	own.store.refuse("keyed.fleet", false)
	own.store.put("keyed.op", "config", fmt.Sprintf(configuration, 2, `"k2"`))
	own.await(t, func() bool { status, _, err := own.ask("k2"); return err == nil && status == http.StatusOK })
	status, _, err := own.ask("theirs")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusUnauthorized)
}
