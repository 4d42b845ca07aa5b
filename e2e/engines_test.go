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

// A decode engine freezes in the middle of its streams: its connections stay
// open and nothing comes any more. The callers' answers must go on elsewhere from
// the next token, without a repeated or a lost one.
func TestFrozenEngineIsLeftInMidStream(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 2, prefill: 1, decode: 2, plain: 1, tokenTime: 20 * time.Millisecond})
	const streams, maxTokens = 6, 120
	answers := make([]answer, streams)
	var flowing, all sync.WaitGroup
	for k := range answers {
		flowing.Add(1)
		var once sync.Once
		all.Go(func() {
			answers[k] = chat(context.Background(), f.instances[k%2].callers, f.keys["alpha"], prompt(4, k), maxTokens, func(int) { once.Do(flowing.Done) })
			once.Do(flowing.Done)
		})
	}
	flowing.Wait()
	f.fault("decode-0", stand.Faults{Freeze: true})
	all.Wait()
	f.fault("decode-0", stand.Faults{})
	for k := range answers {
		assert.Equal(t, answers[k].wrong(prompt(4, k), maxTokens), "", "request %d", k)
	}
	eventually(t, "engines hold nothing", func() bool { return f.held() == 0 })
}

// A decode engine's process dies in the middle of its streams and a new one
// starts in its place. The callers must not notice.
func TestCrashedEngineIsResumedElsewhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 1, prefill: 1, decode: 2, plain: 1, tokenTime: 20 * time.Millisecond})
	const maxTokens = 60
	answers := make([]answer, 6)
	var flowing, all sync.WaitGroup
	for k := range answers {
		flowing.Add(1)
		var once sync.Once
		all.Go(func() {
			answers[k] = chat(context.Background(), f.instances[0].callers, f.keys["alpha"], prompt(5, k), maxTokens, func(int) { once.Do(flowing.Done) })
			once.Do(flowing.Done)
		})
	}
	flowing.Wait()
	f.fault("decode-1", stand.Faults{Crash: true})
	all.Wait()
	for k := range answers {
		assert.Equal(t, answers[k].wrong(prompt(5, k), maxTokens), "", "request %d", k)
	}
	eventually(t, "engines hold nothing", func() bool { return f.held() == 0 })
}

// A prompt crashes every engine that runs it, and its caller sends it again and
// again through different instances. Without a quarantine it takes the pool down,
// engine after engine, and everybody's answers with it.
func TestAPromptThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 3, decode: 2, plain: 1, tokenTime: 5 * time.Millisecond})
	const poison = "the prompt that kills"
	for n := range 3 {
		f.fault(fmt.Sprintf("prefill-%d", n), stand.Faults{CrashOnText: poison})
	}
	eventually(t, "the prompt is refused as quarantined", func() bool {
		for _, d := range f.instances {
			a := chat(context.Background(), d.callers, f.keys["alpha"], poison, 10, nil)
			assert.Assert(t, !a.whole)
			if a.code == "quarantined" && a.ran == "not_run" {
				return true
			}
		}
		return false
	})
	before := f.crashes()
	for range 2 {
		for _, d := range f.instances {
			a := chat(context.Background(), d.callers, f.keys["beta"], poison, 10, nil)
			assert.Equal(t, a.code, "quarantined")
			assert.Equal(t, a.ran, "not_run")
			assert.Assert(t, a.header.Get("Retry-After") != "")
			other := chat(context.Background(), d.callers, f.keys["beta"], "an innocent one", 10, nil)
			assert.Equal(t, other.wrong("an innocent one", 10), "")
		}
	}
	assert.Equal(t, f.crashes(), before, "a quarantined prompt ran")
	assert.Assert(t, before <= 3, "it took %d crashes", before)
}

// crashes counts the engines' crashes on a prompt.
func (f *fleet) crashes() int {
	total := 0
	for name := range f.upstreams {
		if strings.HasPrefix(name, "prefill") {
			var stats stand.EngineStats
			f.stats(name, &stats)
			total += stats.CrashesOnText
		}
	}
	return total
}
