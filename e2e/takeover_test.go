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
func (f *fleet) scheduler() *daemon {
	f.t.Helper()
	var found *daemon
	eventually(f.t, "all instances name one scheduler", func() bool {
		names := map[string]bool{}
		for _, d := range f.instances {
			names[f.schedulerBy(d)] = true
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
func (f *fleet) schedulerBy(d *daemon) string {
	resp, err := http.Get("http://" + d.operators + "/queues")
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
func (f *fleet) without(d *daemon) []*daemon {
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
func TestRequestsOutliveTheirScheduler(t *testing.T) {
	for _, end := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		t.Run(end.String(), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 1, slots: 4, tokenTime: 20 * time.Millisecond, engineArgs: []string{"--slots", "4"}})
			gone := f.scheduler()
			const requests, maxTokens = 10, 60
			answers := make([]answer, requests)
			var all sync.WaitGroup
			others := f.without(gone)
			for k := range answers {
				all.Go(func() {
					answers[k] = chat(context.Background(), others[k%2].callers, f.keys["alpha"], prompt(3, k), maxTokens, nil)
				})
			}
			eventually(t, "the slots are full", func() bool { return f.held() >= 4 })
			gone.signal(end)
			all.Wait()
			for k := range answers {
				assert.Equal(t, answers[k].wrong(prompt(3, k), maxTokens), "", "request %d", k)
			}
			eventually(t, "engines hold nothing", func() bool { return f.held() == 0 })
			var stats stand.EngineStats
			f.stats("decode-0", &stats)
			assert.Equal(t, stats.SlotRefusals, 0, "slots were given away twice")
		})
	}
}

// The platform's log is down, so that no home can move, and then an instance
// dies. Callers of the others go on being served, by the shares that are left;
// when the log is back everything moves on.
func TestLogDownWhileAnInstanceDies(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond})
	f.fault("log", stand.Faults{Down: true})
	f.instances[0].kill()
	left := f.instances[1:]
	serve := func() bool {
		for _, d := range left {
			a := chat(context.Background(), d.callers, f.keys["alpha"], "log down", 20, nil)
			if a.wrong("log down", 20) != "" {
				return false
			}
		}
		return true
	}
	eventually(t, "the others serve while the log is down", serve)
	f.fault("log", stand.Faults{})
	eventually(t, "a booking goes through with the log back", func() bool {
		a, _ := call(context.Background(), left[0].callers, f.keys["alpha"], http.MethodPost, "/swaps", "after", "{}")
		return a.status == http.StatusOK
	})
	assert.Assert(t, serve())
}

// An instance is stopped with open streams of a key, the key is withdrawn, and
// the instance comes back as if nothing had happened. The key must stop working
// there too, for its open streams and for new requests.
func TestKeyWithdrawnWhileAnInstanceIsPaused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 2, plain: 1, tokenTime: 50 * time.Millisecond})
	paused := f.instances[1]
	answers, wait := f.openStreams(context.Background(), paused, 3)
	paused.signal(syscall.SIGSTOP)
	f.withdraw("alpha")
	eventually(t, "refused elsewhere", func() bool { return f.refusedAsWithdrawn(f.instances[0]) })
	paused.signal(syscall.SIGCONT)
	eventually(t, "refused after the pause", func() bool { return f.refusedAsWithdrawn(paused) })
	wait()
	for k := range answers {
		assert.Assert(t, !answers[k].whole, "stream %d went on to its end", k)
	}
	eventually(t, "engines hold nothing", func() bool { return f.held() == 0 })
}

func (f *fleet) refusedAsWithdrawn(d *daemon) bool {
	a := chat(context.Background(), d.callers, f.keys["alpha"], "again", 5, nil)
	return a.code == "key_withdrawn"
}

// An instance is paused until the others declare it dead, and comes back under a
// new incarnation. Later another instance dies. The shards of rates that then
// belong to the one that came back must be taken up by it; left to nobody, their
// organisations would miss a third of their rate until it is restarted.
func TestAnInstanceThatWasPausedTakesHomesAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 4, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond})
	paused := f.instances[1]
	held := func() int { return paused.count("msg=\"rate shard held\"") }
	paused.signal(syscall.SIGSTOP)
	eventually(t, "the others go on without it", func() bool { return f.states(f.instances[0])[paused.name] == "dead" })
	paused.signal(syscall.SIGCONT)
	eventually(t, "it is back under a new incarnation", func() bool { return paused.count("declared dead while paused") > 0 })
	eventually(t, "the others see it again", func() bool { return f.states(f.instances[0])[paused.name] == "alive" })
	before := held()
	f.instances[0].kill()
	eventually(t, "it takes homes of the dead one", func() bool { return held() > before })
}

// count returns how many lines a process printed with a text.
func (p *process) count(text string) int {
	n := 0
	for _, line := range p.printed() {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// states returns the state of each instance by the view of one of them.
func (f *fleet) states(d *daemon) map[string]string {
	resp, err := http.Get("http://" + d.operators + "/instances")
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
