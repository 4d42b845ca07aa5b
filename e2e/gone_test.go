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

// held sums what all engines hold.
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

// openStreams opens n long streams through an instance and returns once all of
// them have received a token.
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

// longAnswer is an output bound that no answer reaches.
const longMaxTokens = 900

// longPrompt is the k-th prompt that engines answer with so many tokens that no stream ends before
// a test has acted.
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

// Callers hang up in the middle of long answers. Their streams hold slots and
// memory on the decode engines; if nobody cancels them, the pool fills with work
// for people who have left, and those who stayed are refused.
func TestEngineMemoryIsFreedWhenCallersDisconnect(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 1, prefill: 1, decode: 1, plain: 1, tokenTime: 50 * time.Millisecond})
	ctx, disconnect := context.WithCancel(context.Background())
	_, wait := f.openStreams(ctx, f.instances[0], 6)
	assert.Equal(t, f.heldByEngines(), 6)
	disconnect()
	wait()
	eventually(t, "engines hold nothing", func() bool { return f.heldByEngines() == 0 })
}

// An instance is killed while it streams. Nobody is left who knows of its
// requests, and the engines would hold their memory until their own time-out,
// which is set far beyond the test. Its grants lapse and their streams are
// cancelled by the scheduler, wherever that runs by then.
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
		eventually(t, "engines hold nothing", func() bool { return f.heldByEngines() == 0 })
	}
}

// An instance is stopped for longer than its leases, as when its machine is
// moved, and then goes on as if nothing had happened. Its slots have been given
// to others by then. Its callers must not be told that half an answer is whole,
// and the engines must not work for requests that were given up.
func TestPausedInstanceLosesItsStreams(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{
		instances: 3, prefill: 1, decode: 2, plain: 1, tokenTime: 50 * time.Millisecond,
		engineArgs: []string{"--resume-ttl", "1h"},
	})
	responses, wait := f.openStreams(context.Background(), f.instances[0], 4)
	f.instances[0].signal(syscall.SIGSTOP)
	eventually(t, "engines hold nothing", func() bool { return f.heldByEngines() == 0 })
	f.instances[0].signal(syscall.SIGCONT)
	wait()
	for k := range responses {
		problem := responses[k].problem(longPrompt(k), longMaxTokens)
		assert.Assert(t, problem == "" || !responses[k].complete, "a broken answer looked whole: %s", problem)
	}
	eventually(t, "engines hold nothing at the end", func() bool { return f.heldByEngines() == 0 })
}

// A decode stream breaks off without its terminator, again and again, as behind
// a broken network element. The caller must receive every token once, in order,
// and no sign of the break.
func TestTruncatedStreamsAreResumedWithoutLossOrRepetition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 1, prefill: 1, decode: 1, plain: 1, tokenTime: 2 * time.Millisecond})
	f.setFaults("decode-0", stand.Faults{TruncateAfter: 40})
	resp := chat(context.Background(), f.instances[0].callerAddress, f.keys["alpha"], prompt(1, 1), 60, nil)
	assert.Equal(t, resp.problem(prompt(1, 1), 60), "")
}
