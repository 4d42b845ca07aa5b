package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/verdict"
)

var start = time.Unix(1_764_700_000, 0)

func crashVerdict(ran verdict.Ran) *verdict.Verdict {
	return verdict.Fail(ran, verdict.ReasonUpstreamCrashed, nil, "upstream crashed")
}

func TestDecide(t *testing.T) {
	deadline := start.Add(time.Second)
	cases := []struct {
		name   string
		a      Attempt
		retry  bool
		reason verdict.Reason
	}{
		{"prompt after a crash", Attempt{Number: 1, Verdict: crashVerdict(verdict.MayHaveRun), Repeatable: true, Deadline: deadline}, true, ""},
		{"call that may have run", Attempt{Number: 1, Verdict: crashVerdict(verdict.MayHaveRun), Deadline: deadline}, false, verdict.ReasonUpstreamCrashed},
		{"call that did not run", Attempt{Number: 1, Verdict: crashVerdict(verdict.NotRun), Deadline: deadline}, true, ""},
		{"full pool", Attempt{Number: 1, Verdict: verdict.Refuse(verdict.ReasonQueueTimeout, 0, ""), Repeatable: true, Deadline: deadline}, false, verdict.ReasonQueueTimeout},
		{"third attempt", Attempt{Number: 3, Verdict: crashVerdict(verdict.NotRun), Repeatable: true, Deadline: deadline}, false, verdict.ReasonUpstreamCrashed},
		{"deadline too close", Attempt{Number: 1, Verdict: crashVerdict(verdict.NotRun), Repeatable: true, Deadline: start.Add(30 * time.Millisecond)}, false, verdict.ReasonDeadlineUnmeetable},
		{"retry delay beyond the deadline", Attempt{Number: 1, Verdict: verdict.Refuse(verdict.ReasonUpstreamRefused, 2*time.Second, ""), Repeatable: true, Deadline: deadline}, false, verdict.ReasonDeadlineUnmeetable},
	}
	for _, c := range cases {
		c.a.Now = start
		d := New(DefaultConfig(), func() float64 { return 0.5 }).Decide(c.a)
		assert.Equal(t, d.Retry, c.retry, c.name)
		assert.Equal(t, d.Reason, c.reason, c.name)
	}
}

// event is a success or a requested retry in the history of a budget.
type event struct {
	success bool
	at      time.Time
}

// referenceGranted replays the whole history and reports whether its last event, a
// requested retry, is within the budget.
func referenceGranted(cfg Config, history []event) bool {
	available, granted := cfg.Burst, false
	var last time.Time
	for _, e := range history {
		if e.success {
			available = min(cfg.Burst, available+cfg.RetriesPerSuccess)
			continue
		}
		if !last.IsZero() {
			available = min(cfg.Burst, available+e.at.Sub(last).Seconds()*cfg.RetriesPerSecond)
		}
		last = e.at
		if granted = available >= 1; granted {
			available--
		}
	}
	return granted
}

func TestBudgetMatchesReference(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		p := New(DefaultConfig(), rng.Float64)
		var history []event
		now := start
		for range 300 {
			now = now.Add(time.Duration(rng.IntN(800)) * time.Millisecond)
			history = append(history, event{success: rng.IntN(3) == 0, at: now})
			if history[len(history)-1].success {
				p.Succeeded("pisar")
				continue
			}
			_, _, ok := p.Next("pisar", 1, crashVerdict(verdict.NotRun), now, now.Add(time.Minute))
			assert.Equal(t, ok, referenceGranted(DefaultConfig(), history))
		}
	}
}

// simulateStall simulates three minutes of 85 requests per second to a pool that
// processes attempts in order, one per 10 ms, and stalls once for five seconds. An
// attempt times out at its sender after 500 ms, but the pool still processes it. It
// returns the share of the requests of the last minute that were answered within
// their deadline of 1.7 s.
func simulateStall(next func(attempt int, now, deadline time.Time) (time.Duration, bool), succeeded func()) float64 {
	const tick = 10 * time.Millisecond
	type attempt struct {
		number   int
		sent     time.Time
		deadline time.Time
		answered bool
	}
	var queue, sent []*attempt
	later := make(map[int][]*attempt)
	requests, answered := 0.0, 0.0
	for i := range 18_000 {
		now := start.Add(time.Duration(i) * tick)
		if i*85/100 != (i+1)*85/100 {
			later[i] = append(later[i], &attempt{number: 1, deadline: now.Add(1700 * time.Millisecond)})
		}
		for _, a := range later[i] {
			a.sent = now
			queue, sent = append(queue, a), append(sent, a)
			if a.number == 1 && i >= 12_000 {
				requests++
			}
		}
		if stalled := i >= 1000 && i < 1500; !stalled && len(queue) > 0 {
			a := queue[0]
			queue = queue[1:]
			if now.Sub(a.sent) < 500*time.Millisecond && now.Before(a.deadline) {
				a.answered = true
				succeeded()
				if i >= 12_000 {
					answered++
				}
			}
		}
		for len(sent) > 0 && now.Sub(sent[0].sent) >= 500*time.Millisecond {
			a := sent[0]
			sent = sent[1:]
			if a.answered {
				continue
			}
			if wait, ok := next(a.number, now, a.deadline); ok {
				at := i + max(1, int(wait/tick))
				later[at] = append(later[at], &attempt{number: a.number + 1, deadline: a.deadline})
			}
		}
	}
	return answered / requests
}

// A pool stalls for five seconds at 85 % load. With up to three attempts per request
// and no budget, the retries alone keep it overloaded, and minutes after the stall
// requests still time out. With a budget the pool recovers.
func TestBudgetRecoversFromStall(t *testing.T) {
	unlimited := simulateStall(func(number int, now, deadline time.Time) (time.Duration, bool) {
		return 0, number < 3 && now.Before(deadline)
	}, func() {})
	p := New(DefaultConfig(), rand.New(rand.NewPCG(1, 1)).Float64)
	timeout := verdict.Fail(verdict.MayHaveRun, verdict.ReasonTimeout, nil, "timed out")
	withBudget := simulateStall(func(number int, now, deadline time.Time) (time.Duration, bool) {
		wait, _, ok := p.Next("pisar", number, timeout, now, deadline)
		return wait, ok
	}, func() { p.Succeeded("pisar") })
	t.Logf("answered in time two minutes after the stall: without budget %.3f, with budget %.3f", unlimited, withBudget)
	assert.Assert(t, unlimited < 0.1, "%v", unlimited)
	assert.Assert(t, withBudget > 0.99, "%v", withBudget)
}

// Thirty requests lose their upstream at the same moment. If they were all retried at
// the same time, the next upstream would get them as one burst.
func TestBackoffJitter(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Burst = 30
	p := New(cfg, rand.New(rand.NewPCG(1, 1)).Float64)
	perMillisecond := make(map[time.Duration]int)
	for range 30 {
		wait, _, ok := p.Next("pisar", 1, crashVerdict(verdict.MayHaveRun), start, start.Add(time.Second))
		assert.Assert(t, ok && wait >= 10*time.Millisecond && wait < 30*time.Millisecond)
		perMillisecond[wait.Truncate(time.Millisecond)]++
	}
	for at, count := range perMillisecond {
		assert.Assert(t, count <= 6, fmt.Sprint(at))
	}
}

func BenchmarkDecide(b *testing.B) {
	p := New(DefaultConfig(), rand.New(rand.NewPCG(1, 1)).Float64)
	v := crashVerdict(verdict.NotRun)
	for b.Loop() {
		p.Succeeded("pisar")
		p.Next("pisar", 1, v, start, start.Add(time.Second))
	}
}
