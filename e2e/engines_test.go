package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/stand"
)

// A decode engine freezes while it streams: its connections stay open but deliver nothing more.
// The responses must continue on another engine from the next token, without a repeated or a lost
// token.
func TestStreamsResumeOnAnotherEngineAfterFreeze(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 2, prefill: 1, decode: 2, plain: 1, tokenTime: 20 * time.Millisecond})
	const streams, maxTokens = 6, 120
	responses := make([]response, streams)
	var started, finished sync.WaitGroup
	for k := range responses {
		started.Add(1)
		var once sync.Once
		finished.Go(func() {
			responses[k] = chat(context.Background(), f.instances[k%2].callerAddress, f.keys["alpha"], prompt(4, k), maxTokens, func(int) { once.Do(started.Done) })
			once.Do(started.Done)
		})
	}
	started.Wait()
	f.setFaults("decode-0", stand.Faults{Freeze: true})
	finished.Wait()
	f.setFaults("decode-0", stand.Faults{})
	for k := range responses {
		assert.Equal(t, responses[k].problem(prompt(4, k), maxTokens), "", "request %d", k)
	}
	eventually(t, "engines hold no streams or KV caches", func() bool { return f.heldByEngines() == 0 })
}

// A decode engine's process crashes while it streams, and a new process starts at the same address.
// The callers must receive complete and correct responses.
func TestStreamsResumeOnAnotherEngineAfterCrash(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 1, prefill: 1, decode: 2, plain: 1, tokenTime: 20 * time.Millisecond})
	const maxTokens = 60
	responses := make([]response, 6)
	var started, finished sync.WaitGroup
	for k := range responses {
		started.Add(1)
		var once sync.Once
		finished.Go(func() {
			responses[k] = chat(context.Background(), f.instances[0].callerAddress, f.keys["alpha"], prompt(5, k), maxTokens, func(int) { once.Do(started.Done) })
			once.Do(started.Done)
		})
	}
	started.Wait()
	f.setFaults("decode-1", stand.Faults{Crash: true})
	finished.Wait()
	for k := range responses {
		assert.Equal(t, responses[k].problem(prompt(5, k), maxTokens), "", "request %d", k)
	}
	eventually(t, "engines hold no streams or KV caches", func() bool { return f.heldByEngines() == 0 })
}

// A prompt crashes every engine that runs it, and its caller resends it repeatedly through
// different instances. Without quarantine it would crash one engine after another, and with them
// the requests of all other callers.
func TestPromptThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 3, decode: 2, plain: 1, tokenTime: 5 * time.Millisecond})
	const crashPrompt = "the prompt that kills"
	for n := range 3 {
		f.setFaults(fmt.Sprintf("prefill-%d", n), stand.Faults{CrashOnText: crashPrompt})
	}
	eventually(t, "the prompt is rejected as quarantined", func() bool {
		for _, d := range f.instances {
			resp := chat(context.Background(), d.callerAddress, f.keys["alpha"], crashPrompt, 10, nil)
			assert.Assert(t, !resp.complete)
			if resp.code == "quarantined" && resp.ran == "not_run" {
				return true
			}
		}
		return false
	})
	before := f.crashesOnPrompt()
	for range 2 {
		for _, d := range f.instances {
			resp := chat(context.Background(), d.callerAddress, f.keys["beta"], crashPrompt, 10, nil)
			assert.Equal(t, resp.code, "quarantined")
			assert.Equal(t, resp.ran, "not_run")
			assert.Assert(t, resp.header.Get("Retry-After") != "")
			other := chat(context.Background(), d.callerAddress, f.keys["beta"], "an innocent one", 10, nil)
			assert.Equal(t, other.problem("an innocent one", 10), "")
		}
	}
	assert.Equal(t, f.crashesOnPrompt(), before, "a quarantined prompt was executed")
	assert.Assert(t, before <= 3, "%d crashes before the quarantine, want at most 3", before)
}

// crashesOnPrompt returns the number of crashes caused by a prompt over all prefill engines.
func (f *fleet) crashesOnPrompt() int {
	total := 0
	for name := range f.upstreams {
		if strings.HasPrefix(name, "prefill") {
			var stats stand.EngineStats
			f.readStats(name, &stats)
			total += stats.CrashesOnText
		}
	}
	return total
}

// One of three decode engines becomes ten times slower but still reports free slots. Other requests
// must not wait behind it: it must be ejected and receive only probes, and return to rotation once
// it has recovered.
func TestSlowEngineGetsLessAndComesBack(t *testing.T) {
	t.Parallel()
	// The time for a token must exceed the wake-up latency of a busy machine. With a shorter one the
	// slow engine is less than four times as slow as the others there and stays in rotation with a
	// lower weight.
	f := newFleet(t, fleetConfig{instances: 1, prefill: 1, decode: 3, plain: 1, tokenTime: 6 * time.Millisecond})
	f.setFaults("decode-1", stand.Faults{SlowFactor: 10})
	send := func() { f.sendBatch(t, 6) }
	d := f.instances[0]
	stateLogged := func(state string) func() bool {
		return func() bool {
			send()
			for _, line := range d.outputLines() {
				if strings.Contains(line, "upstream health") && strings.Contains(line, "upstream=decode-1") && strings.Contains(line, "state="+state) {
					return true
				}
			}
			return false
		}
	}
	eventually(t, "the slow engine is ejected", stateLogged("out"))
	before := f.decodedRequests("decode-1")
	for range 5 {
		send()
	}
	assert.Assert(t, f.decodedRequests("decode-1")-before <= 6, "the slow engine received %d of 30 requests", f.decodedRequests("decode-1")-before)
	f.setFaults("decode-1", stand.Faults{})
	eventually(t, "the recovered engine is healthy again", stateLogged("healthy"))
}

// sendBatch sends n concurrent requests and checks their responses.
func (f *fleet) sendBatch(t *testing.T, n int) {
	var wg sync.WaitGroup
	for k := range n {
		wg.Go(func() {
			resp := chat(context.Background(), f.instances[0].callerAddress, f.keys["alpha"], prompt(6, k), 30, nil)
			assert.Check(t, resp.problem(prompt(6, k), 30) == "", resp.problem(prompt(6, k), 30))
		})
	}
	wg.Wait()
}

// decodedRequests returns the number of requests that an engine has decoded.
func (f *fleet) decodedRequests(name string) int {
	var stats stand.EngineStats
	f.readStats(name, &stats)
	return len(stats.Requests)
}
