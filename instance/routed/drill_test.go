package routed_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// Times of the tests in which the store comes back from a copy.
const (
	// settleTime is the time between the last change that the copy has and the first that it lacks.
	settleTime = 300 * time.Millisecond
	// revokeTime is the time within which a withdrawn key must be refused everywhere.
	revokeTime = 5 * time.Second
	// countTime is the time over which calls of the store are counted.
	countTime = 4 * time.Second
	// leaveTime is the time within which upstreams that leave get no further requests.
	leaveTime = 2500 * time.Millisecond
)

// drill is a fleet whose store comes back from a copy.
type drill struct {
	*partitionFleet
	version  uint64
	copiedAt time.Time
}

// newDrill starts a fleet with the key "k" and publishes further versions of the same content.
func newDrill(t *testing.T, size, versions int) *drill {
	t.Helper()
	d := &drill{partitionFleet: newFleet(t, size, map[string][]string{standin.PlainService: {"", "", ""}}), version: 1}
	for range versions {
		d.publish("k")
	}
	for _, i := range d.instances {
		waitFor(t, func() bool { return i.statusOf(fmt.Sprint("first-", i.settings.Instance), "k") == http.StatusOK })
	}
	return d
}

// publish publishes a version with the given keys.
func (d *drill) publish(keys ...string) {
	d.version++
	d.store.Publish(d.version, []standin.Organisation{{Name: "o", Keys: keys}})
}

// copyNow sets the time of the copy that goBack restores.
func (d *drill) copyNow() {
	time.Sleep(settleTime)
	d.copiedAt = time.Now()
	time.Sleep(settleTime)
}

// goBack makes the store come back from the copy after it was away for a moment. It returns the function that writes
// again what the operator wrote.
func (d *drill) goBack() (writeAgain func()) {
	d.store.SetDown(true)
	time.Sleep(settleTime)
	writeAgain = d.store.GoBack(time.Since(d.copiedAt))
	d.store.SetDown(false)
	return writeAgain
}

// callsOver returns the number of calls of the store in a time.
func (d *drill) callsOver(span time.Duration) int {
	before := d.store.Calls()
	time.Sleep(span)
	return d.store.Calls() - before
}

// start starts an instance of the fleet that has run before, and waits until it serves.
func (d *drill) start(t *testing.T, name, key string) {
	t.Helper()
	d.startInstance(t, name, false)
	i := d.instances[len(d.instances)-1]
	waitFor(t, func() bool { return i.statusOf("start-"+name, key) == http.StatusOK })
}

// statusOf returns the status of a request with a key, or 0 without an answer.
func (i *linkedInstance) statusOf(id, key string) int {
	status, _ := i.answerTo(id, key)
	return status
}

// answerTo returns the status of a request with a key and its body, or 0 and the error without an answer.
func (i *linkedInstance) answerTo(id, key string) (status int, body string) {
	req, err := standin.Request(i.settings.Callers, id, key, standin.Read)
	if err != nil {
		return 0, err.Error()
	}
	resp, err := i.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	read, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(read)
}

// checkRefused checks that all instances refuse a key from revokeTime on, and that they serve another one then.
func (d *drill) checkRefused(t *testing.T, withdrawn, valid string) {
	t.Helper()
	time.Sleep(revokeTime)
	for _, i := range d.instances {
		for n := range 5 {
			id := fmt.Sprintf("%s-%s-%d", withdrawn, i.settings.Instance, n)
			assert.Equal(t, i.statusOf(id, withdrawn), http.StatusUnauthorized, "%s serves a withdrawn key", i.settings.Instance)
			status, body := i.answerTo("v"+id, valid)
			assert.Equal(t, status, http.StatusOK, "%s refuses a valid key: %s", i.settings.Instance, body)
		}
	}
}

// Guards against an instance that holds its position in a log for valid after the store came back from a copy, and
// ignores all that is written until the log is longer than it was.
func TestChangesAfterTheStoreCameBackAreApplied(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1, 4} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			d := newDrill(t, size, 1)
			d.copyNow()
			for range 6 {
				d.publish("k")
			}
			time.Sleep(settleTime)
			calm := d.callsOver(countTime)
			d.goBack()
			time.Sleep(settleTime)
			after := d.callsOver(countTime)
			assert.Assert(t, after <= 2*calm, "%d calls of the store in %v, %d before it came back", after, countTime, calm)
			d.publish("k", "other")
			time.Sleep(settleTime)
			d.publish("other")
			d.checkRefused(t, "k", "other")
		})
	}
}

// Guards against an instance that believes its peers' positions in the log more than its own reads, and against one that
// learns from the copy only.
func TestInstanceThatStartsAfterTheStoreCameBack(t *testing.T) {
	t.Parallel()
	d := newDrill(t, 3, 1)
	d.publish("k", "other")
	d.copyNow()
	d.publish("other")
	d.checkRefused(t, "k", "other")
	d.goBack()
	d.startInstance(t, "late", false)
	late := d.instances[len(d.instances)-1]
	served := 0
	for n := range 300 {
		assert.Assert(t, late.statusOf(fmt.Sprint("late-", n), "k") != http.StatusOK, "a key that was withdrawn before is valid in the copy")
		if late.statusOf(fmt.Sprint("late-v-", n), "other") == http.StatusOK {
			served++
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, served > 0)
	d.publish("third")
	d.checkRefused(t, "other", "third")
}

// Guards against withdrawn keys that are valid again, and against two drills in series.
func TestKeysWithdrawnBeforeTheStoreCameBackStayWithdrawn(t *testing.T) {
	t.Parallel()
	d := newDrill(t, 3, 1)
	d.publish("k", "other")
	for range 2 {
		d.copyNow()
		d.publish("other")
		d.checkRefused(t, "k", "other")
		d.goBack()
		d.checkRefused(t, "k", "other")
	}
	d.publish("third")
	d.checkRefused(t, "other", "third")
}

// Guards against upstreams whose leaving is not heeded after the store came back from a copy, and against upstreams
// that are dropped since the copy lacks them.
func TestUpstreamsAfterTheStoreCameBack(t *testing.T) {
	t.Parallel()
	d := newDrill(t, 3, 0)
	d.copyNow()
	time.Sleep(4 * time.Second)
	d.goBack()
	left := d.running[0].Leave()
	time.Sleep(leaveTime)
	before := time.Now()
	for _, i := range d.instances {
		for n := range 20 {
			assert.Equal(t, i.statusOf(fmt.Sprintf("leave-%s-%d", i.settings.Instance, n), "k"), http.StatusOK)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	at := make(map[string]int)
	for _, r := range d.allRuns {
		if r.At.After(before) {
			at[r.Engine]++
		}
	}
	assert.Equal(t, at[left], 0, "runs at the engine that leaves: %v", at)
	assert.Equal(t, len(at), 2, "runs: %v", at)
}

// Guards against instances that stand still because they have read the topic before the store came back, although all
// others that did have ended.
func TestAllInstancesEndBesideTheStore(t *testing.T) {
	t.Parallel()
	d := newDrill(t, 3, 1)
	d.copyNow()
	for range 3 {
		d.publish("k", "other")
	}
	d.endAll()
	d.start(t, "a", "other")
	d.start(t, "b", "other")
	writeAgain := d.goBack()
	d.startInstance(t, "c", false)
	writeAgain()
	d.publish("other")
	d.checkRefused(t, "k", "other")
	d.copyNow()
	d.publish("third")
	d.store.SetDown(true)
	d.endAll()
	writeAgain = d.goBack()
	d.startInstance(t, "d", false)
	writeAgain()
	d.startInstance(t, "e", false)
	d.checkRefused(t, "other", "third")
}

// Guards against an evacuation that ends because the store has lost it.
func TestEvacuationOutlivesTheStore(t *testing.T) {
	t.Parallel()
	d := newDrill(t, 3, 0)
	d.copyNow()
	d.store.Evacuate("z", true)
	for _, i := range d.instances {
		waitFor(t, func() bool { return i.statusOf("e-"+i.settings.Instance, "k") == http.StatusServiceUnavailable })
	}
	writeAgain := d.goBack()
	d.startInstance(t, "late", false)
	for n := range 100 {
		for _, i := range d.instances {
			assert.Assert(t, i.statusOf(fmt.Sprintf("l-%s-%d", i.settings.Instance, n), "k") != http.StatusOK, "%s uses an evacuated data centre", i.settings.Instance)
		}
		time.Sleep(20 * time.Millisecond)
	}
	writeAgain()
	d.store.Evacuate("z", false)
	for _, i := range d.instances {
		waitFor(t, func() bool { return i.statusOf("v-"+i.settings.Instance, "k") == http.StatusOK })
	}
}

// Guards against a second id of the fleet, with which the quotas of both parts would be spent, if the copy is older
// than the first.
func TestFleetIDOutlivesTheStore(t *testing.T) {
	t.Parallel()
	f := &drill{copiedAt: time.Now()}
	f.partitionFleet = newFleet(t, 2, map[string][]string{standin.PlainService: {""}})
	id := string(f.store.Newest("keyed.fleet", "id"))
	assert.Assert(t, id != "")
	f.version = 1
	f.goBack()
	f.publish("k")
	assert.Equal(t, len(f.store.Newest("keyed.fleet", "id")), 0)
	f.startInstance(t, "late", false)
	late := f.instances[len(f.instances)-1]
	waitFor(t, func() bool { return late.statusOf("late", "k") == http.StatusOK })
	assert.Equal(t, string(f.store.Newest("keyed.fleet", "id")), id)
}
