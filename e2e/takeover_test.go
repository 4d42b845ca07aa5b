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

// scheduler returns the instance that schedules the model service, once all
// instances name the same one.
func (f *fleet) agreedScheduler() *daemon {
	f.t.Helper()
	var found *daemon
	eventually(f.t, "all instances name one scheduler", func() bool {
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

// schedulerBy returns the name of the scheduler by one instance's view.
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

// without returns the instances but one.
func (f *fleet) instancesExcept(d *daemon) []*daemon {
	var others []*daemon
	for _, other := range f.instances {
		if other != d {
			others = append(others, other)
		}
	}
	return others
}

// The instance that hands out the decode slots dies, or is stopped, while some
// requests run on its grants and others wait in its queue. Those who wait must
// get a place from its successor, those who run must not be cut, and the
// successor must not give the running ones' slots away twice.
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
			eventually(t, "the slots are full", func() bool { return f.heldByEngines() >= 4 })
			scheduler.signal(fault)
			wg.Wait()
			for k := range responses {
				assert.Equal(t, responses[k].problem(prompt(3, k), maxTokens), "", "request %d", k)
			}
			eventually(t, "engines hold nothing", func() bool { return f.heldByEngines() == 0 })
			var stats stand.EngineStats
			f.readStats("decode-0", &stats)
			assert.Equal(t, stats.SlotRefusals, 0, "slots were given away twice")
		})
	}
}

// The platform's log is down, so that no home can move, and then an instance
// dies. Callers of the others go on being served, by the shares that are left;
// when the log is back everything moves on.
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
	eventually(t, "the others serve while the log is down", allServe)
	f.setFaults("log", stand.Faults{})
	eventually(t, "a booking goes through with the log back", func() bool {
		resp, _ := callPlain(context.Background(), survivors[0].callerAddress, f.keys["alpha"], http.MethodPost, "/swaps", "after", "{}")
		return resp.status == http.StatusOK
	})
	assert.Assert(t, allServe())
}

// An instance is stopped with open streams of a key, the key is withdrawn, and
// the instance comes back as if nothing had happened. The key must stop working
// there too, for its open streams and for new requests.
func TestKeyWithdrawnWhileInstanceIsPaused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 2, plain: 1, tokenTime: 50 * time.Millisecond})
	paused := f.instances[1]
	responses, wait := f.openStreams(context.Background(), paused, 3)
	paused.signal(syscall.SIGSTOP)
	f.withdrawKeys("alpha")
	eventually(t, "refused elsewhere", func() bool { return f.refusesWithdrawnKey(f.instances[0]) })
	paused.signal(syscall.SIGCONT)
	eventually(t, "refused after the pause", func() bool { return f.refusesWithdrawnKey(paused) })
	wait()
	for k := range responses {
		assert.Assert(t, !responses[k].complete, "stream %d went on to its end", k)
	}
	eventually(t, "engines hold nothing", func() bool { return f.heldByEngines() == 0 })
}

func (f *fleet) refusesWithdrawnKey(d *daemon) bool {
	resp := chat(context.Background(), d.callerAddress, f.keys["alpha"], "again", 5, nil)
	return resp.code == "key_withdrawn"
}

// An instance is paused until the others declare it dead, and comes back under a
// new incarnation. Later another instance dies. The shards of rates that then
// belong to the one that came back must be taken up by it; left to nobody, their
// organisations would miss a third of their rate until it is restarted.
func TestPausedInstanceBecomesRateHomeAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 4, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond})
	paused := f.instances[1]
	heldShards := func() int { return paused.countLines("msg=\"rate shard held\"") }
	paused.signal(syscall.SIGSTOP)
	eventually(t, "the others go on without it", func() bool { return f.memberStates(f.instances[0])[paused.name] == "dead" })
	paused.signal(syscall.SIGCONT)
	eventually(t, "it is back under a new incarnation", func() bool { return paused.countLines("declared dead while paused") > 0 })
	eventually(t, "the others see it again", func() bool { return f.memberStates(f.instances[0])[paused.name] == "alive" })
	before := heldShards()
	f.instances[0].kill()
	eventually(t, "it takes homes of the dead one", func() bool { return heldShards() > before })
}

// count returns how many lines a process printed with a text.
func (p *process) countLines(text string) int {
	n := 0
	for _, line := range p.outputLines() {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// states returns the state of each instance by the view of one of them.
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
