package e2e

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An instance is killed while it streams. Its callers see their streams end without a terminator.
// The responses through the other instances must be complete and correct.
func TestStreamsOfOtherInstancesSurviveInstanceCrash(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 2, decode: 2, plain: 1, tokenTime: 20 * time.Millisecond})
	const (
		perInstance = 8
		maxTokens   = 60
	)
	responses := make([][perInstance]response, len(f.instances))
	var started, finished sync.WaitGroup
	for n, d := range f.instances {
		for k := range perInstance {
			started.Add(1)
			var once sync.Once
			finished.Go(func() {
				responses[n][k] = chat(context.Background(), d.callerAddress, f.keys["alpha"], prompt(n, k), maxTokens,
					func(int) { once.Do(started.Done) })
				once.Do(started.Done)
			})
		}
	}
	started.Wait()
	f.instances[0].kill()
	finished.Wait()
	for n := range f.instances {
		for k := range perInstance {
			problem := responses[n][k].problem(prompt(n, k), maxTokens)
			if n == 0 {
				assert.Assert(t, !responses[n][k].complete || problem == "", "an incorrect response is marked as complete: %s", problem)
				continue
			}
			assert.Equal(t, problem, "", "instance %d request %d", n, k)
		}
	}
	// The remaining instances must still serve new requests.
	resp := chat(context.Background(), f.instances[1].callerAddress, f.keys["beta"], "after the death", maxTokens, nil)
	assert.Equal(t, resp.problem("after the death", maxTokens), "")
}

// prompt returns a prompt that differs for each pair of n and k.
func prompt(n, k int) string {
	return fmt.Sprintf("rota of house %d on day %d with feeding at eight and cleaning at ten", n, k)
}
