package e2e

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An instance is told to go in the middle of its streams, the scheduler of its
// services perhaps among what it runs. Every stream must reach its end, requests
// that still arrive must be served, and the process must exit with 0.
func TestDrainCutsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 2, prefill: 1, decode: 1, plain: 1, tokenTime: 20 * time.Millisecond, graceSeconds: 1})
	const maxTokens = 80
	for n, d := range f.instances {
		answers := make([]answer, 4)
		var flowing, all sync.WaitGroup
		for k := range answers {
			flowing.Add(1)
			var once sync.Once
			all.Go(func() {
				answers[k] = chat(context.Background(), d.callers, f.keys["alpha"], prompt(n, k), maxTokens, func(int) { once.Do(flowing.Done) })
				once.Do(flowing.Done)
			})
		}
		flowing.Wait()
		d.signal(syscall.SIGTERM)
		eventually(t, "not ready", func() bool { return status(d.operators, "/readyz") == http.StatusServiceUnavailable })
		late := chat(context.Background(), d.callers, f.keys["beta"], "late", 5, nil)
		assert.Equal(t, late.wrong("late", 5), "")
		all.Wait()
		for k := range answers {
			assert.Equal(t, answers[k].wrong(prompt(n, k), maxTokens), "", "instance %d request %d", n, k)
		}
		assert.Equal(t, d.exitCode(t), 0)
	}
}
