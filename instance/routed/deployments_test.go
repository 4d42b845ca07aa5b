package routed_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A deployment's list can contain an address that has since been reassigned to an instance of
// another deployment. The instances must not treat each other as members of one fleet. Otherwise,
// the other instance would report its configuration, which has a higher version: callers with keys
// of the other deployment would be accepted, those with keys of this one refused, and
// configurations published here would no longer be applied.
func TestDeploymentsDoNotExchangeState(t *testing.T) {
	t.Parallel()
	own, other := start(t, respondSigned), startNamed(t, "b", respondSigned)
	own.store.put("keyed.instances", "b", fmt.Sprintf(`{"incarnation":1,"address":%q,"beat":1}`, other.settings.Reports))
	other.eventually(t, func() bool {
		doc := other.metrics(t)
		return strings.Contains(doc, "cairnworks_instances 2") || strings.Contains(doc, `cairnworks_fleet_meetings{relation="stranger"}`)
	})
	other.store.put("keyed.op", "config", fmt.Sprintf(configuration, 9, `"theirs"`))
	other.eventually(t, func() bool { status, _, _ := other.request("theirs"); return status == http.StatusOK })
	// Several reports have announced the new version by then.
	time.Sleep(time.Second)
	own.store.put("keyed.op", "config", fmt.Sprintf(configuration, 2, `"k2"`))
	own.eventually(t, func() bool { status, _, _ := own.request("k2"); return status == http.StatusOK })
	for range 50 {
		status, _, err := own.request("theirs")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusUnauthorized)
		status, _, err = own.request("k2")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
}

// An instance that has not read its fleet ID yet must not apply reports of another deployment with
// the same fleet name, and must not continue to use them afterwards.
func TestInstanceWithoutFleetIDAppliesNoReports(t *testing.T) {
	t.Parallel()
	const name = "rota"
	other := prepare(t, "b", respondSigned)
	other.settings.Fleet = name
	other.run(t)
	own := prepare(t, "a", respondSigned)
	own.settings.Fleet = name
	own.store.setRefused("keyed.fleet", true)
	own.store.put("keyed.instances", "b", fmt.Sprintf(`{"incarnation":1,"address":%q,"beat":1}`, other.settings.Reports))
	other.store.put("keyed.instances", "a", fmt.Sprintf(`{"incarnation":1,"address":%q,"beat":1}`, own.settings.Reports))
	own.run(t)
	relationMetric := `cairnworks_fleet_meetings{relation="same_name"}`
	other.eventually(t, func() bool { return strings.Contains(other.metrics(t), relationMetric) })
	own.eventually(t, func() bool { return strings.Contains(own.metrics(t), relationMetric) })
	time.Sleep(2 * time.Second)
	// Only some reports contain the fleet name, so publish a series of versions that many reports
	// announce.
	for version := 9; version < 39; version++ {
		other.store.put("keyed.op", "config", fmt.Sprintf(configuration, version, `"theirs"`))
		time.Sleep(30 * time.Millisecond)
	}
	for range 50 {
		status, _, err := own.request("theirs")
		assert.Assert(t, err != nil || status != http.StatusOK, "a key of the other deployment was accepted")
		time.Sleep(20 * time.Millisecond)
	}
	own.store.setRefused("keyed.fleet", false)
	own.store.put("keyed.op", "config", fmt.Sprintf(configuration, 2, `"k2"`))
	own.eventually(t, func() bool { status, _, err := own.request("k2"); return err == nil && status == http.StatusOK })
	status, _, err := own.request("theirs")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusUnauthorized)
}
