package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// BenchmarkDecision measures Submit, PrefillDone and Release of one request while all
// slots are in use, so that each release grants the next queued request. The queue
// holds one request of each organisation.
//
//	go test ./decision/group -run '^$' -bench Decision -benchmem
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{3, 30, 300, 600} {
		for _, orgs := range []int{5, 500, 12000} {
			b.Run(fmt.Sprintf("upstreams=%d/organisations=%d", upstreams, orgs), func(b *testing.B) {
				benchmarkDecision(b, upstreams, orgs)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, upstreams, orgs int) {
	s := pisar
	s.prefillCount = max(1, upstreams/3)
	s.servingCount = upstreams - s.prefillCount
	g := New(Config{})
	now := epoch
	g.SetUpstreams(now, s.upstreams(linkRate))
	var running []uint64
	n := 0
	apply := func(decisions []Decision) {
		for len(decisions) > 0 {
			d := decisions[0]
			decisions = decisions[1:]
			if d.Grant != nil {
				running = append(running, d.Grant.ID)
				decisions = append(decisions, g.PrefillDone(now, d.Grant.ID)...)
			}
		}
	}
	submit := func() {
		n++
		apply(g.Submit(now, Request{
			ID: fmt.Sprint(n), Organisation: fmt.Sprint(n % orgs), KeyID: "key", Class: request.Deferrable,
			PromptTokens: meanPromptTokens, MaxTokens: 2 * meanOutputTokens, Arrived: now, Deadline: now.Add(1000 * time.Hour),
			PrefixHashes: []uint64{uint64(n % orgs), uint64(n % 1000), uint64(n)},
		}))
	}
	// One release per interval keeps all decode slots in use for 8 s each.
	interval := 8 * time.Second / time.Duration(s.servingCount*decodeSlots)
	for g.queueLength() < orgs {
		now = now.Add(interval)
		submit()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(interval)
		submit()
		id := running[0]
		running = running[1:]
		apply(g.Release(now, id, Outcome{Kind: OutcomeDone, Prefill: 150 * time.Millisecond, Decode: 8 * time.Second, OutputTokens: meanOutputTokens}))
	}
}
