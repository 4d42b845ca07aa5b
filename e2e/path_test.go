package e2e

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An instance dies in the middle of its streams. The callers connected to it see
// their streams break without a terminator; everybody else's answers go on, whole
// and their own, through the instances that are left.
func TestStreamsThroughThreeInstancesWhileOneDies(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 2, decode: 2, plain: 1, tokenTime: 20 * time.Millisecond})
	const (
		perInstance = 8
		maxTokens   = 60
	)
	answers := make([][perInstance]answer, len(f.instances))
	var flowing, all sync.WaitGroup
	for n, d := range f.instances {
		for k := range perInstance {
			flowing.Add(1)
			var once sync.Once
			all.Go(func() {
				answers[n][k] = chat(context.Background(), d.callers, f.keys["alpha"], prompt(n, k), maxTokens,
					func(int) { once.Do(flowing.Done) })
				once.Do(flowing.Done)
			})
		}
	}
	flowing.Wait()
	f.instances[0].kill()
	all.Wait()
	for n := range f.instances {
		for k := range perInstance {
			wrong := answers[n][k].wrong(prompt(n, k), maxTokens)
			if n == 0 {
				assert.Assert(t, !answers[n][k].whole || wrong == "", "a cut answer looked whole: %s", wrong)
				continue
			}
			assert.Equal(t, wrong, "", "instance %d request %d", n, k)
		}
	}
	// The fleet goes on serving.
	a := chat(context.Background(), f.instances[1].callers, f.keys["beta"], "after the death", maxTokens, nil)
	assert.Equal(t, a.wrong("after the death", maxTokens), "")
}

func prompt(n, k int) string {
	return fmt.Sprintf("rota of house %d on day %d with feeding at eight and cleaning at ten", n, k)
}
