package e2e

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/verdict"
)

// An instance receives SIGTERM while it streams and possibly also schedules services. Every stream
// must complete, requests that still arrive must be served, and the process must exit with 0.
func TestDrainCompletesOpenStreams(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 2, prefill: 1, decode: 1, plain: 1, tokenTime: 20 * time.Millisecond, graceSeconds: 1})
	const maxTokens = 80
	for n, d := range f.instances {
		responses := make([]response, 4)
		var started, finished sync.WaitGroup
		for k := range responses {
			started.Add(1)
			var once sync.Once
			finished.Go(func() {
				responses[k] = chat(context.Background(), d.callerAddress, f.keys["alpha"], prompt(n, k), maxTokens, func(int) { once.Do(started.Done) })
				once.Do(started.Done)
			})
		}
		started.Wait()
		d.signal(syscall.SIGTERM)
		eventually(t, "instance not ready", func() bool { return probeStatus(d.operatorAddress, "/readyz") == http.StatusServiceUnavailable })
		late := chat(context.Background(), d.callerAddress, f.keys["beta"], "late", 5, nil)
		assert.Equal(t, late.problem("late", 5), "")
		finished.Wait()
		for k := range responses {
			assert.Equal(t, responses[k].problem(prompt(n, k), maxTokens), "", "instance %d request %d", n, k)
		}
		assert.Equal(t, d.exitCode(t), 0)
	}
}

// Guards against requests that are cut off without an answer because they outlast the limit of a drain.
func TestRequestsOpenAtTheLimitOfADrainAreAnswered(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 1, prefill: 1, decode: 1, plain: 1, tokenTime: 50 * time.Millisecond, graceSeconds: 1, drainSeconds: 2})
	d := f.instances[0]
	started, answered := make(chan struct{}), make(chan response, 1)
	go func() {
		var once sync.Once
		answered <- chat(context.Background(), d.callerAddress, f.keys["alpha"], prompt(0, 0), 400, func(int) { once.Do(func() { close(started) }) })
	}()
	<-started
	d.signal(syscall.SIGTERM)
	r := <-answered
	assert.Assert(t, !r.complete)
	assert.Equal(t, r.code, string(verdict.ReasonStopping), "%v", r.err)
	assert.Equal(t, d.exitCode(t), 0)
}
