package e2e

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/stand"
)

// heldByEngines returns the number of streams and KV caches that all engines hold.
func (f *fleet) heldByEngines() int {
	total := 0
	for name := range f.upstreams {
		if !strings.HasPrefix(name, "prefill") && !strings.HasPrefix(name, "decode") {
			continue
		}
		var stats stand.EngineStats
		f.readStats(name, &stats)
		total += stats.Held
	}
	return total
}

// openStreams opens n long streams through an instance and returns once each of them has received
// a token or ended. wait waits for the end of all streams; the responses are valid after that.
func (f *fleet) openStreams(ctx context.Context, d *daemon, n int) (responses []response, wait func()) {
	responses = make([]response, n)
	var started, finished sync.WaitGroup
	for k := range n {
		started.Add(1)
		var once sync.Once
		finished.Go(func() {
			responses[k] = chat(ctx, d.callerAddress, f.keys["alpha"], longPrompt(k), longMaxTokens, func(int) { once.Do(started.Done) })
			once.Do(func() {
				f.t.Logf("stream %d ended before its first token: status %d code %s ran %s error %v", k, responses[k].status, responses[k].code, responses[k].ran, responses[k].err)
				started.Done()
			})
		})
	}
	started.Wait()
	return responses, finished.Wait
}

// longMaxTokens is an output limit that no response reaches.
const longMaxTokens = 900

// longPrompt returns the k-th prompt whose response is so long that no stream ends before the test
// has acted.
func longPrompt(k int) string {
	const leastTokens = 200
	for n := 0; ; n++ {
		text := prompt(0, n)
		if len(stand.Answer("user: "+text+"\n", longMaxTokens)) < leastTokens {
			continue
		}
		if k == 0 {
			return text
		}
		k--
	}
}

// Callers disconnect during long responses. Their streams hold slots and memory on the decode
// engines. Unless they are cancelled, the pool fills with work for callers that have disconnected,
// and the requests of the remaining callers are refused.
func TestEngineMemoryIsFreedWhenCallersDisconnect(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 1, prefill: 1, decode: 1, plain: 1, tokenTime: 50 * time.Millisecond})
	ctx, disconnect := context.WithCancel(context.Background())
	_, wait := f.openStreams(ctx, f.instances[0], 6)
	assert.Equal(t, f.heldByEngines(), 6)
	disconnect()
	wait()
	eventually(t, "engines hold no streams or KV caches", func() bool { return f.heldByEngines() == 0 })
}

// An instance is killed while it streams. No other instance tracks its requests, and the engines
// would hold the memory until their own timeout, which is set far beyond the duration of the test.
// The scheduler, on whichever instance it then runs, must cancel the streams once their grants have
// expired.
func TestEngineMemoryIsFreedWhenInstanceIsKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{
		instances: 3, prefill: 1, decode: 1, plain: 1, tokenTime: 50 * time.Millisecond,
		engineArgs: []string{"--resume-ttl", "1h"},
	})
	for len(f.instances) > 1 {
		_, wait := f.openStreams(context.Background(), f.instances[0], 4)
		f.instances[0].kill()
		f.instances = f.instances[1:]
		wait()
		eventually(t, "engines hold no streams or KV caches", func() bool { return f.heldByEngines() == 0 })
	}
}

// An instance is paused for longer than its leases, as during the migration of its machine, and
// then resumes without noticing. Its slots have been granted to other requests by then. It must not
// present a partial response as complete, and the engines must not work on abandoned requests.
func TestPausedInstanceLosesItsStreams(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{
		instances: 3, prefill: 1, decode: 2, plain: 1, tokenTime: 50 * time.Millisecond,
		engineArgs: []string{"--resume-ttl", "1h"},
	})
	responses, wait := f.openStreams(context.Background(), f.instances[0], 4)
	f.instances[0].signal(syscall.SIGSTOP)
	eventually(t, "engines hold no streams or KV caches", func() bool { return f.heldByEngines() == 0 })
	f.instances[0].signal(syscall.SIGCONT)
	wait()
	for k := range responses {
		problem := responses[k].problem(longPrompt(k), longMaxTokens)
		assert.Assert(t, problem == "" || !responses[k].complete, "an incorrect response is marked as complete: %s", problem)
	}
	eventually(t, "engines hold no streams or KV caches at the end", func() bool { return f.heldByEngines() == 0 })
}

// A decode stream repeatedly ends without its terminator, as behind a faulty network device. The
// caller must receive every token once and in order, and no error.
func TestTruncatedStreamsAreResumedWithoutLossOrRepetition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 1, prefill: 1, decode: 1, plain: 1, tokenTime: 2 * time.Millisecond})
	f.setFaults("decode-0", stand.Faults{TruncateAfter: 40})
	resp := chat(context.Background(), f.instances[0].callerAddress, f.keys["alpha"], prompt(1, 1), 60, nil)
	assert.Equal(t, resp.problem(prompt(1, 1), 60), "")
}
