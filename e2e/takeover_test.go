package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/operator"
	"github.com/cairnworks/cairnworks/stand"
)

// agreedScheduler waits until all instances report the same scheduler of the model service and
// returns it.
func (f *fleet) agreedScheduler() *daemon {
	f.t.Helper()
	var found *daemon
	eventually(f.t, "all instances report the same scheduler", func() bool {
		names := map[string]bool{}
		for _, d := range f.instances {
			names[f.schedulerSeenBy(d)] = true
		}
		for _, d := range f.instances {
			if len(names) == 1 && names[d.name] {
				found = d
				return true
			}
		}
		return false
	})
	return found
}

// schedulerSeenBy returns the name of the model service's scheduler as reported by one instance.
func (f *fleet) schedulerSeenBy(d *daemon) string {
	resp, err := http.Get("http://" + d.operatorAddress + "/queues")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var queues []operator.Queue
	if err := json.NewDecoder(resp.Body).Decode(&queues); err != nil {
		return ""
	}
	for _, q := range queues {
		if q.Service == "pisar" {
			return q.Scheduler
		}
	}
	return ""
}

// instancesExcept returns all instances except one.
func (f *fleet) instancesExcept(d *daemon) []*daemon {
	var others []*daemon
	for _, other := range f.instances {
		if other != d {
			others = append(others, other)
		}
	}
	return others
}

// The scheduler that grants the decode slots is killed or paused while some requests run on its
// grants and others wait in its queue. The waiting requests must get a slot from its successor, the
// running ones must not be interrupted, and the successor must not grant their slots a second time.
func TestRequestsSurviveSchedulerFailure(t *testing.T) {
	for _, fault := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 1, slots: 4, tokenTime: 20 * time.Millisecond, engineArgs: []string{"--slots", "4"}})
			scheduler := f.agreedScheduler()
			const requests, maxTokens = 10, 60
			responses := make([]response, requests)
			var wg sync.WaitGroup
			others := f.instancesExcept(scheduler)
			for k := range responses {
				wg.Go(func() {
					responses[k] = chat(context.Background(), others[k%2].callerAddress, f.keys["alpha"], prompt(3, k), maxTokens, nil)
				})
			}
			eventually(t, "all slots are in use", func() bool { return f.heldByEngines() >= 4 })
			scheduler.signal(fault)
			wg.Wait()
			for k := range responses {
				assert.Equal(t, responses[k].problem(prompt(3, k), maxTokens), "", "request %d", k)
			}
			eventually(t, "engines hold no streams or KV caches", func() bool { return f.heldByEngines() == 0 })
			var stats stand.EngineStats
			f.readStats("decode-0", &stats)
			assert.Equal(t, stats.SlotRefusals, 0, "slots were granted twice")
		})
	}
}

// The platform's log is down, so that no rate home can move, and then an instance is killed. The
// other instances must continue to serve callers from the remaining shares of the rate. Once the log
// is back, swaps must succeed too.
func TestInstanceKilledWhileLogIsDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond})
	f.setFaults("log", stand.Faults{Down: true})
	f.instances[0].kill()
	survivors := f.instances[1:]
	allServe := func() bool {
		for _, d := range survivors {
			resp := chat(context.Background(), d.callerAddress, f.keys["alpha"], "log down", 20, nil)
			if resp.problem("log down", 20) != "" {
				return false
			}
		}
		return true
	}
	eventually(t, "the other instances serve while the log is down", allServe)
	f.setFaults("log", stand.Faults{})
	eventually(t, "a swap succeeds after the log is back", func() bool {
		resp, _ := callPlain(context.Background(), survivors[0].callerAddress, f.keys["alpha"], http.MethodPost, "/swaps", "after", "{}")
		return resp.status == http.StatusOK
	})
	assert.Assert(t, allServe())
}

// An instance with open streams of a key is paused, the key is withdrawn, and the instance resumes
// without noticing the pause. It must also end the open streams of the key and refuse new requests.
func TestKeyWithdrawnWhileInstanceIsPaused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 2, plain: 1, tokenTime: 50 * time.Millisecond})
	paused := f.instances[1]
	responses, wait := f.openStreams(context.Background(), paused, 3)
	paused.signal(syscall.SIGSTOP)
	f.withdrawKeys("alpha")
	eventually(t, "another instance refuses the withdrawn key", func() bool { return f.refusesWithdrawnKey(f.instances[0]) })
	paused.signal(syscall.SIGCONT)
	eventually(t, "the resumed instance refuses the withdrawn key", func() bool { return f.refusesWithdrawnKey(paused) })
	wait()
	for k := range responses {
		assert.Assert(t, !responses[k].complete, "stream %d completed with a withdrawn key", k)
	}
	eventually(t, "engines hold no streams or KV caches", func() bool { return f.heldByEngines() == 0 })
}

// refusesWithdrawnKey reports whether an instance refuses a request with the code key_withdrawn.
func (f *fleet) refusesWithdrawnKey(d *daemon) bool {
	resp := chat(context.Background(), d.callerAddress, f.keys["alpha"], "again", 5, nil)
	return resp.code == "key_withdrawn"
}

// An instance is paused until the others declare it dead, and resumes with a new incarnation. Then
// another instance is killed. The resumed instance must claim the rate shards that are then assigned
// to it. Otherwise they would have no home, and their organisations would lose a third of their rate
// until the instance is restarted.
func TestPausedInstanceBecomesRateHomeAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 4, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond})
	paused := f.instances[1]
	heldShards := func() int { return paused.countLines("msg=\"rate shard held\"") }
	paused.signal(syscall.SIGSTOP)
	eventually(t, "the others declare the paused instance dead", func() bool { return f.memberStates(f.instances[0])[paused.name] == "dead" })
	paused.signal(syscall.SIGCONT)
	eventually(t, "the resumed instance has a new incarnation", func() bool { return paused.countLines("declared dead while paused") > 0 })
	eventually(t, "the others report the resumed instance as alive", func() bool { return f.memberStates(f.instances[0])[paused.name] == "alive" })
	before := heldShards()
	f.instances[0].kill()
	eventually(t, "the resumed instance claims shards of the killed one", func() bool { return heldShards() > before })
}

// countLines returns the number of printed lines that contain a text.
func (p *process) countLines(text string) int {
	n := 0
	for _, line := range p.outputLines() {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// memberStates returns the state of each instance as reported by one of them.
func (f *fleet) memberStates(d *daemon) map[string]string {
	resp, err := http.Get("http://" + d.operatorAddress + "/instances")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var instances []operator.Instance
	if err := json.NewDecoder(resp.Body).Decode(&instances); err != nil {
		return nil
	}
	states := map[string]string{}
	for _, i := range instances {
		states[i.Name] = i.State
	}
	return states
}
