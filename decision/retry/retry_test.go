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

func crashed(ran verdict.Ran) *verdict.Verdict {
	return verdict.Fail(ran, verdict.ReasonUpstreamCrashed, nil, "gone")
}

func TestRules(t *testing.T) {
	far := start.Add(time.Second)
	cases := []struct {
		name   string
		a      Attempt
		retry  bool
		reason verdict.Reason
	}{
		{"prompt after a crash", Attempt{Number: 1, Verdict: crashed(verdict.MayHaveRun), Repeatable: true, Deadline: far}, true, ""},
		{"booking that may have run", Attempt{Number: 1, Verdict: crashed(verdict.MayHaveRun), Deadline: far}, false, verdict.ReasonUpstreamCrashed},
		{"booking that did not run", Attempt{Number: 1, Verdict: crashed(verdict.NotRun), Deadline: far}, true, ""},
		{"full pool", Attempt{Number: 1, Verdict: verdict.Refuse(verdict.ReasonQueueTimeout, 0, ""), Repeatable: true, Deadline: far}, false, verdict.ReasonQueueTimeout},
		{"third attempt", Attempt{Number: 3, Verdict: crashed(verdict.NotRun), Repeatable: true, Deadline: far}, false, verdict.ReasonUpstreamCrashed},
		{"too late", Attempt{Number: 1, Verdict: crashed(verdict.NotRun), Repeatable: true, Deadline: start.Add(30 * time.Millisecond)}, false, verdict.ReasonDeadlineUnmeetable},
		{"told to come back later", Attempt{Number: 1, Verdict: verdict.Refuse(verdict.ReasonUpstreamRefused, 2*time.Second, ""), Repeatable: true, Deadline: far}, false, verdict.ReasonDeadlineUnmeetable},
	}
	for _, c := range cases {
		c.a.Now = start
		d := New(DefaultConfig(), func() float64 { return 0.5 }).Decide(c.a)
		assert.Equal(t, d.Retry, c.retry, c.name)
		assert.Equal(t, d.Reason, c.reason, c.name)
	}
}

// event of a budget's history: a success, or a retry that was asked for.
type event struct {
	success bool
	at      time.Time
}

// naiveGranted replays the whole history and reports whether its last event, a
// retry, is within the budget.
func naiveGranted(cfg Config, history []event) bool {
	level, granted := cfg.Reserve, false
	var last time.Time
	for _, e := range history {
		if e.success {
			level = min(cfg.Reserve, level+cfg.Ratio)
			continue
		}
		if !last.IsZero() {
			level = min(cfg.Reserve, level+e.at.Sub(last).Seconds()*cfg.FloorPerSecond)
		}
		last = e.at
		if granted = level >= 1; granted {
			level--
		}
	}
	return granted
}

func TestBudgetAgainstNaive(t *testing.T) {
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
			_, _, ok := p.Next("pisar", 1, crashed(verdict.NotRun), now, now.Add(time.Minute))
			assert.Equal(t, ok, naiveGranted(DefaultConfig(), history))
		}
	}
}

// storm is a pool that works off attempts in order, one in 10 ms, and stalls for
// five seconds, under 85 requests a second. An attempt that waits 500 ms is given
// up by its sender, yet the pool still works on it. It returns the share of
// requests answered within their deadline of 1.7 s in the last minute of three.
func storm(next func(attempt int, now, deadline time.Time) (time.Duration, bool), succeeded func()) float64 {
	const tick = 10 * time.Millisecond
	type attempt struct {
		number   int
		sent     time.Time
		deadline time.Time
		answered bool
	}
	var queue, sent []*attempt
	later := make(map[int][]*attempt)
	asked, answered := 0.0, 0.0
	for i := range 18_000 {
		now := start.Add(time.Duration(i) * tick)
		if i*85/100 != (i+1)*85/100 {
			later[i] = append(later[i], &attempt{number: 1, deadline: now.Add(1700 * time.Millisecond)})
		}
		for _, a := range later[i] {
			a.sent = now
			queue, sent = append(queue, a), append(sent, a)
			if a.number == 1 && i >= 12_000 {
				asked++
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
	return answered / asked
}

// A pool stalls for five seconds at 85 % load. When each of its requests is sent
// up to three times, the retries alone keep it overloaded: minutes after the stall
// callers still get nothing. With a budget the pool recovers.
func TestStallEndsWithBudgetOnly(t *testing.T) {
	naive := storm(func(number int, now, deadline time.Time) (time.Duration, bool) {
		return 0, number < 3 && now.Before(deadline)
	}, func() {})
	p := New(DefaultConfig(), rand.New(rand.NewPCG(1, 1)).Float64)
	timeout := verdict.Fail(verdict.MayHaveRun, verdict.ReasonTimeout, nil, "late")
	ours := storm(func(number int, now, deadline time.Time) (time.Duration, bool) {
		wait, _, ok := p.Next("pisar", number, timeout, now, deadline)
		return wait, ok
	}, func() { p.Succeeded("pisar") })
	t.Logf("answered in time two minutes after the stall: naive %.3f, budget %.3f", naive, ours)
	assert.Assert(t, naive < 0.1, "%v", naive)
	assert.Assert(t, ours > 0.99, "%v", ours)
}

// Thirty requests lose their upstream in the same instant. Were they all to come
// back together, the next upstream would get them as one burst.
func TestBackoffsAreSpread(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Reserve = 30
	p := New(cfg, rand.New(rand.NewPCG(1, 1)).Float64)
	perMillisecond := make(map[time.Duration]int)
	for range 30 {
		wait, _, ok := p.Next("pisar", 1, crashed(verdict.MayHaveRun), start, start.Add(time.Second))
		assert.Assert(t, ok && wait >= 10*time.Millisecond && wait < 30*time.Millisecond)
		perMillisecond[wait.Truncate(time.Millisecond)]++
	}
	for at, count := range perMillisecond {
		assert.Assert(t, count <= 6, fmt.Sprint(at))
	}
}

func BenchmarkDecide(b *testing.B) {
	p := New(DefaultConfig(), rand.New(rand.NewPCG(1, 1)).Float64)
	v := crashed(verdict.NotRun)
	for b.Loop() {
		p.Succeeded("pisar")
		p.Next("pisar", 1, v, start, start.Add(time.Second))
	}
}
