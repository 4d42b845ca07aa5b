package group

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
)

// Guards against a decode engine that stays unused after it recovers. While it was
// slow, its limit was cut to one request; the other engines have capacity, so it
// would never be chosen and could not show that it is fast again until another
// scheduler takes over. Operators saw an idle engine next to busy ones and nothing in
// the log.
func TestRecoveredEngineIsUsedAgain(t *testing.T) {
	now := time.Unix(0, 0)
	g := New(Config{})
	g.SetUpstreams(now, []Upstream{
		{Name: "p", Role: object.RolePrefill, Slots: 8},
		{Name: "healthy", Role: object.RoleDecode, Slots: 20, Pieces: 400},
		{Name: "slow", Role: object.RoleDecode, Slots: 20, Pieces: 400},
	})
	served := map[string]int{}
	run := func(n int, slow bool) {
		decisions := g.Submit(now, Request{
			ID: fmt.Sprint(n), Organisation: "o", Class: request.Interactive,
			PromptTokens: 100, MaxTokens: 100, Arrived: now, Deadline: now.Add(time.Minute),
		})
		assert.Equal(t, len(decisions), 1)
		grant := decisions[0].Grant
		served[grant.Decode]++
		took := time.Second
		if slow && grant.Decode == "slow" {
			took = 30 * time.Second
		}
		now = now.Add(200 * time.Millisecond)
		g.Advance(now)
		g.Release(now, grant.ID, Outcome{
			Kind: OutcomeDone, Prefill: 20 * time.Millisecond, FirstToken: 50 * time.Millisecond, Decode: took, OutputTokens: 100,
		})
	}
	for n := range 50 {
		run(n, true)
	}
	servedWhileSlow := served["slow"]
	for n := range 900 {
		run(100+n, false)
	}
	assert.Assert(t, served["slow"]-servedWhileSlow > 50, "it got %d of 900 requests after it recovered", served["slow"]-servedWhileSlow)
}
