package routed_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// longBackoff is a backoff that lasts beyond the end of each test.
const longBackoff = time.Hour

// stage returns the engines of a stage.
func (f *partitionFleet) stage(stage string) (engines []*standin.Engine) {
	for _, e := range f.running {
		if e.Stage() == stage {
			engines = append(engines, e)
		}
	}
	return engines
}

// countArrivals returns the number of requests and calls at an engine since a number of arrivals at all.
func (f *partitionFleet) countArrivals(id string, since int) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals[since:] {
		if a.Engine == id {
			n++
		}
	}
	return n
}

func (f *partitionFleet) allArrivals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.arrivals)
}

// tell sends requests to an instance until each of the engines has answered one, and what is under way has ended.
func (f *partitionFleet) tell(t *testing.T, i *linkedInstance, kinds []standin.Kind, ids ...string) {
	t.Helper()
	since := f.allArrivals()
	const maxRounds = 40
	for n := range maxRounds {
		i.sendMany(t, fmt.Sprint("told", n), 1, kinds...)
		told := 0
		for _, id := range ids {
			told += min(f.countArrivals(id, since), 1)
		}
		if told == len(ids) {
			settle()
			return
		}
	}
	t.Fatal("not all engines got a request")
}

// settle lets requests and calls end that were under way.
func settle() { time.Sleep(100 * time.Millisecond) }

// sendMany sends requests of all kinds to an instance and returns how many were answered with success, and the
// shortest Retry-After of the others.
func (i *linkedInstance) sendMany(t *testing.T, prefix string, rounds int, kinds ...standin.Kind) (good int, retry time.Duration) {
	t.Helper()
	for n := range rounds {
		for _, kind := range kinds {
			req, err := standin.Request(i.settings.Callers, fmt.Sprintf("%s-%s-%s-%d", prefix, i.settings.Instance, kind, n), "k", kind)
			assert.NilError(t, err)
			resp, err := i.client.Do(req)
			assert.NilError(t, err)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				good++
				continue
			}
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			assert.NilError(t, err, "a refusal without a time to come back")
			if after := time.Duration(seconds * float64(time.Second)); retry == 0 || after < retry {
				retry = after
			}
		}
	}
	return good, retry
}

// Guards against requests and calls to an engine whose answers say that it leaves, while its entry in the store
// says that it is ready, changes otherwise, or cannot be read.
func TestEngineThatSaysItLeavesGetsNothing(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		for _, stage := range []string{"", standin.StagePrefill, standin.StageDecode} {
			t.Run(fmt.Sprintf("stage %q, store down %v", stage, storeDown), func(t *testing.T) {
				t.Parallel()
				f := newPartitionFleet(t, 1)
				i := f.instances[0]
				waitFor(t, func() bool { return len(i.sendAll("before", 1)) == 0 })
				e := f.stage(stage)[0]
				f.store.SetDown(storeDown)
				id := e.SayLeaving()
				f.tell(t, i, allKinds, id)
				f.store.SetDown(false)
				e.SayLeaving()
				since := f.allArrivals()
				good, _ := i.sendMany(t, "after", 10, allKinds...)
				settle()
				assert.Equal(t, good, 10*len(allKinds))
				assert.Equal(t, f.countArrivals(id, since), 0, "requests and calls reached the engine")
			})
		}
	}
}

// Guards against requests to an engine that has told another instance that it leaves: with the store away,
// nothing else tells, and what runs there ends with the engine.
func TestLeavingReachesOtherInstances(t *testing.T) {
	t.Parallel()
	f := newPartitionFleet(t, 2)
	for _, i := range f.instances {
		waitFor(t, func() bool { return len(i.sendAll("before", 1)) == 0 })
	}
	f.store.SetDown(true)
	id := f.stage("")[0].SayLeaving()
	f.tell(t, f.instances[0], []standin.Kind{standin.Read}, id)
	const reportsArrive = 2 * time.Second
	time.Sleep(reportsArrive)
	since := f.allArrivals()
	good, _ := f.instances[1].sendMany(t, "after", 10, standin.Read, standin.Book)
	assert.Equal(t, good, 20)
	assert.Equal(t, f.countArrivals(id, since), 0, "requests reached the engine")
}

// Guards against requests that are held, or refused without a time to come back, although all engines of the
// service have said that they leave.
func TestServiceWhoseEnginesLeaveIsRefused(t *testing.T) {
	for _, stage := range []string{"", standin.StageDecode} {
		t.Run(fmt.Sprintf("stage %q", stage), func(t *testing.T) {
			t.Parallel()
			f := newPartitionFleet(t, 1)
			i := f.instances[0]
			waitFor(t, func() bool { return len(i.sendAll("before", 1)) == 0 })
			kinds := []standin.Kind{standin.Read, standin.Book}
			if stage == standin.StageDecode {
				kinds = []standin.Kind{standin.Draft, standin.Resume}
			}
			var ids []string
			for _, e := range f.stage(stage) {
				ids = append(ids, e.SayLeaving())
			}
			f.tell(t, i, kinds, ids...)
			since := f.allArrivals()
			good, retry := i.sendMany(t, "after", 5, kinds...)
			settle()
			assert.Equal(t, good, 0)
			assert.Assert(t, retry > 0)
			assert.Equal(t, f.allArrivals(), since, "requests and calls reached engines")
		})
	}
}

// backoffSlack is the number of requests and calls that may reach an engine after it was told to back off: some are
// under way.
const backoffSlack = 2

// Guards against requests and calls to an engine that requested a backoff, from its first answer on.
func TestEngineThatRequestsBackoffGetsNothing(t *testing.T) {
	for _, stage := range []string{"", standin.StagePrefill, standin.StageDecode} {
		for _, alone := range []bool{false, true} {
			t.Run(fmt.Sprintf("stage %q, all %v", stage, alone), func(t *testing.T) {
				t.Parallel()
				f := newPartitionFleet(t, 1)
				i := f.instances[0]
				waitFor(t, func() bool { return len(i.sendAll("before", 1)) == 0 })
				kinds := []standin.Kind{standin.Read, standin.Book}
				if stage != "" {
					kinds = []standin.Kind{standin.Draft}
				}
				backingOff := f.stage(stage)
				if !alone {
					backingOff = backingOff[:1]
				}
				ids := make([]string, len(backingOff))
				for n, e := range backingOff {
					ids[n] = e.RequestBackoff(longBackoff)
				}
				f.tell(t, i, kinds, ids...)
				since := f.allArrivals()
				const rounds = 10
				good, retry := i.sendMany(t, "after", rounds, kinds...)
				settle()
				for _, id := range ids {
					got := f.countArrivals(id, since)
					assert.Assert(t, got <= backoffSlack, "%d requests and calls reached %s", got, id)
				}
				if alone && stage != standin.StagePrefill {
					assert.Equal(t, good, 0)
					assert.Assert(t, retry > longBackoff/2, "refused until %v", retry)
					assert.Equal(t, f.allArrivals(), since, "requests and calls reached engines")
					return
				}
				assert.Equal(t, good, rounds*len(kinds), "the other engines, or the decode engines, serve")
			})
		}
	}
}

// cutOff returns an instance of a fleet that reaches the engines over the others only.
func cutOff(t *testing.T) (*partitionFleet, *linkedInstance) {
	t.Helper()
	f := newPartitionFleet(t, 3)
	for _, i := range f.instances {
		waitFor(t, func() bool { return len(i.sendAll("before", 1)) == 0 })
	}
	cut := f.instances[0]
	assert.NilError(t, cut.links.Partition((*standin.Link).Sever))
	time.Sleep(partitionGrace)
	waitFor(t, func() bool { return len(cut.sendAll("over", 1)) == 0 })
	return f, cut
}

// Guards against an engine that says that it leaves in an answer that was relayed, and gets requests on.
func TestLeavingHoldsOverAnotherInstance(t *testing.T) {
	t.Parallel()
	f, cut := cutOff(t)
	f.store.SetDown(true)
	id := f.stage("")[0].SayLeaving()
	f.tell(t, cut, []standin.Kind{standin.Read}, id)
	since := f.allArrivals()
	good, _ := cut.sendMany(t, "after", 10, standin.Read, standin.Book)
	assert.Equal(t, good, 20)
	assert.Equal(t, f.countArrivals(id, since), 0, "requests reached the engine")
}

// Guards against requests that go round over another instance to an engine that told this instance to back off.
func TestBackoffHoldsOverAnotherInstance(t *testing.T) {
	t.Parallel()
	f, cut := cutOff(t)
	var ids []string
	for _, e := range f.stage("") {
		ids = append(ids, e.RequestBackoff(longBackoff))
	}
	f.tell(t, cut, []standin.Kind{standin.Read, standin.Book}, ids...)
	since := f.allArrivals()
	good, retry := cut.sendMany(t, "after", 10, standin.Read, standin.Book)
	assert.Equal(t, good, 0)
	assert.Assert(t, retry > longBackoff/2)
	assert.Equal(t, f.allArrivals(), since, "requests went round")
}
