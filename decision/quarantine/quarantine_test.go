package quarantine

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_764_700_000, 0)

func crash(upstream, process string, running ...uint64) Crash {
	return Crash{Upstream: upstream, Process: process, Running: running}
}

// A prompt crashes two engines. After the second it is refused with the time of
// its release, on two different upstreams or twice on the same; a third crash
// after the release keeps it away for longer.
func TestSecondCrashQuarantines(t *testing.T) {
	for _, second := range []string{"engine-1", "engine-2"} {
		l := New(DefaultConfig())
		assert.Equal(t, len(l.Crashed(start, crash("engine-1", "p1", 7, 8, 9))), 0)
		_, blocked := l.Blocked(start, 7)
		assert.Assert(t, !blocked && l.Suspect(start, 7))
		later := start.Add(time.Minute)
		assert.DeepEqual(t, l.Crashed(later, crash(second, "p2", 7, 20, 21)), []uint64{7})
		until, blocked := l.Blocked(later, 7)
		assert.Assert(t, blocked)
		assert.Equal(t, until, later.Add(10*time.Minute))
		assert.Assert(t, !l.Suspect(later, 20), "the suspect explains the crash")
		_, blocked = l.Blocked(until, 7)
		assert.Assert(t, !blocked)
		l.Crashed(until, crash("engine-3", "p3", 7))
		again, _ := l.Blocked(until, 7)
		assert.Equal(t, again, until.Add(20*time.Minute))
	}
}

// Each of twenty callers whose stream broke reports the same crash. Counted
// twenty times, it would quarantine every one of their prompts.
func TestOneCrashReportedOftenCountsOnce(t *testing.T) {
	for _, process := range []string{"p1", ""} {
		l := New(DefaultConfig())
		for i := range 20 {
			at := start.Add(time.Duration(i) * 50 * time.Millisecond)
			assert.Equal(t, len(l.Crashed(at, crash("engine-1", process, 7, 8))), 0)
		}
		_, blocked := l.Blocked(start, 8)
		assert.Assert(t, !blocked)
	}
}

// An innocent prompt ran beside a deadly one. Its later success clears it, and
// without one the crash is forgotten after the stated memory.
func TestInnocentIsCleared(t *testing.T) {
	l := New(DefaultConfig())
	l.Crashed(start, crash("engine-1", "p1", 7, 8, 9))
	l.Succeeded(8)
	assert.Equal(t, len(l.Crashed(start.Add(time.Minute), crash("engine-2", "p2", 8))), 0)
	late := start.Add(time.Hour)
	assert.Assert(t, !l.Suspect(late, 9))
	assert.Equal(t, len(l.Crashed(late, crash("engine-2", "p3", 9))), 0)
}

func TestMemoryIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxEntries = 50
	l := New(cfg)
	for i := range uint64(500) {
		l.Crashed(start.Add(time.Duration(i)*time.Second), crash("engine-1", strconv.FormatUint(i, 10), i))
	}
	assert.Equal(t, l.Len(), 50)
	assert.Assert(t, l.Suspect(start.Add(500*time.Second), 499))
}

// naiveLedger keeps all events and works each answer out from the first.
type naiveLedger struct {
	cfg    Config
	events []func(state map[uint64]*entry)
}

func (n *naiveLedger) replay() map[uint64]*entry {
	state := make(map[uint64]*entry)
	for _, e := range n.events {
		e(state)
	}
	return state
}

func (n *naiveLedger) crashed(now time.Time, running []uint64) {
	n.events = append(n.events, func(state map[uint64]*entry) {
		var suspects []uint64
		for f, e := range state {
			if now.Sub(e.crashed) >= n.cfg.Memory && now.Sub(e.until) >= n.cfg.Memory {
				delete(state, f)
			} else if slices.Contains(running, f) {
				suspects = append(suspects, f)
			}
		}
		for _, f := range running {
			if len(suspects) == 1 && f != suspects[0] {
				continue
			}
			if state[f] == nil {
				state[f] = &entry{}
			}
			e := state[f]
			e.crashes++
			e.crashed = now
			if e.crashes >= 2 && len(suspects) > 1 {
				e.until = now.Add(n.cfg.SharedDuration)
			} else if e.crashes >= 2 {
				e.until = now.Add(min(n.cfg.MaxDuration, n.cfg.Duration<<(e.crashes-2)))
			}
		}
	})
}

func TestAgainstNaive(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		l := New(DefaultConfig())
		naive := &naiveLedger{cfg: DefaultConfig()}
		now := start
		for step := range 120 {
			now = now.Add(time.Duration(rng.IntN(180)) * time.Second)
			if rng.IntN(3) == 0 {
				f := uint64(rng.IntN(12))
				l.Succeeded(f)
				naive.events = append(naive.events, func(state map[uint64]*entry) { delete(state, f) })
			} else {
				running := []uint64{uint64(rng.IntN(12)), uint64(12 + rng.IntN(12)), uint64(24 + rng.IntN(12))}
				l.Crashed(now, crash("engine-1", strconv.Itoa(step), running...))
				naive.crashed(now, running)
			}
			state := naive.replay()
			for f := range uint64(36) {
				_, got := l.Blocked(now, f)
				e := state[f]
				assert.Equal(t, got, e != nil && now.Before(e.until))
			}
		}
	}
}

// policy is what a bench run varies.
type policy struct {
	blocked   func(now time.Time, f uint64) bool
	suspect   func(now time.Time, f uint64) bool
	crashed   func(now time.Time, c Crash)
	succeeded func(f uint64)
}

type deadlyResult struct {
	crashes, lost, refused, asked int
}

// deadlyRun lets ten engines of twenty slots serve half an hour of prompts that
// run 10 s each, ten a second out of 200 that recur. The prompt with fingerprint 0
// crashes its engine after a second and its caller sends it again five seconds
// after each failure; requests that a crash ends come back once after a second.
// Each minute one engine crashes by a fault of its own. Restarts take 30 s.
func deadlyRun(p policy) deadlyResult {
	const (
		engines, slots = 10, 20
		restart        = 30
		innocentRun    = 10
		prompts        = 200
		ownFault       = 60
	)
	type job struct {
		fingerprint uint64
		ends        int
		retried     bool
	}
	rng := rand.New(rand.NewPCG(1, 1))
	running := make([][]job, engines)
	down := make([]int, engines)
	due := map[int][]job{10: {{fingerprint: 0}}}
	var result deadlyResult
	next := uint64(1)
	for second := range 1800 {
		now := start.Add(time.Duration(second) * time.Second)
		for range 10 {
			due[second] = append(due[second], job{fingerprint: 1 + next%prompts})
			next++
		}
		for i := range running {
			killed := slices.ContainsFunc(running[i], func(j job) bool { return j.fingerprint == 0 && j.ends <= second })
			kept := running[i][:0]
			for _, j := range running[i] {
				if j.ends > second {
					kept = append(kept, j)
				} else if j.fingerprint != 0 {
					p.succeeded(j.fingerprint)
				}
			}
			running[i] = kept
			if !killed && (second%ownFault != 0 || second/ownFault%engines != i) {
				continue
			}
			result.crashes++
			down[i] = second + restart
			c := crash(strconv.Itoa(i), strconv.Itoa(result.crashes))
			if killed {
				c.Running = append(c.Running, 0)
				due[second+5] = append(due[second+5], job{fingerprint: 0})
			}
			for _, j := range running[i] {
				c.Running = append(c.Running, j.fingerprint)
				if j.retried {
					result.lost++
				} else {
					due[second+1] = append(due[second+1], job{fingerprint: j.fingerprint, retried: true})
				}
			}
			p.crashed(now, c)
			running[i] = nil
		}
		for _, j := range due[second] {
			if j.fingerprint != 0 {
				result.asked++
			}
			if p.blocked(now, j.fingerprint) {
				if j.fingerprint == 0 {
					due[second+5] = append(due[second+5], j)
				} else {
					result.refused++
				}
				continue
			}
			at := place(p, now, running, down, second, slots, rng, j.fingerprint, func(j job) uint64 { return j.fingerprint })
			if at < 0 {
				result.lost++
				continue
			}
			j.ends = second + innocentRun
			if j.fingerprint == 0 {
				j.ends = second + 1
			}
			running[at] = append(running[at], j)
		}
		delete(due, second)
	}
	return result
}

// place picks a random engine with a free slot; a suspect goes to one without
// another suspect where there is one.
func place[J any](p policy, now time.Time, running [][]J, down []int, second, slots int, rng *rand.Rand, f uint64, fingerprint func(J) uint64) int {
	fallback := -1
	for _, i := range rng.Perm(len(running)) {
		if down[i] > second || len(running[i]) >= slots {
			continue
		}
		hasSuspect := slices.ContainsFunc(running[i], func(j J) bool { return p.suspect(now, fingerprint(j)) })
		if !p.suspect(now, f) || !hasSuspect {
			return i
		}
		fallback = i
	}
	return fallback
}

// One prompt crashes each engine that runs it and is sent again by its caller.
// Without quarantine it takes engine after engine down and callers beside it lose
// their answers; with plain counts the callers beside it are refused too.
func TestDeadlyPrompt(t *testing.T) {
	never := func(time.Time, uint64) bool { return false }
	nothing := deadlyRun(policy{
		blocked: never, suspect: never, crashed: func(time.Time, Crash) {}, succeeded: func(uint64) {},
	})
	counts := make(map[uint64]int)
	plain := deadlyRun(policy{
		blocked: func(_ time.Time, f uint64) bool { return counts[f] >= 2 },
		suspect: never,
		crashed: func(_ time.Time, c Crash) {
			for _, f := range c.Running {
				counts[f]++
			}
		},
		succeeded: func(uint64) {},
	})
	l := New(DefaultConfig())
	ours := deadlyRun(policy{
		blocked: func(now time.Time, f uint64) bool {
			_, blocked := l.Blocked(now, f)
			return blocked
		},
		suspect:   l.Suspect,
		crashed:   func(now time.Time, c Crash) { l.Crashed(now, c) },
		succeeded: l.Succeeded,
	})
	t.Logf("no quarantine %+v, plain counts %+v, ledger %+v", nothing, plain, ours)
	const ownFaults = 30
	assert.Assert(t, nothing.crashes > 8*ownFaults && nothing.lost > 1000)
	assert.Assert(t, plain.refused > 1000, "innocents blamed for ever")
	assert.Assert(t, ours.crashes <= ownFaults+5)
	assert.Assert(t, ours.refused <= 10 && ours.lost <= 10)
}

func BenchmarkCrashOfTwenty(b *testing.B) {
	l := New(DefaultConfig())
	running := make([]uint64, 20)
	for i := 0; b.Loop(); i++ {
		for j := range running {
			running[j] = uint64(i*20 + j)
		}
		l.Crashed(start.Add(time.Duration(i)*time.Second), crash("engine-1", strconv.Itoa(i), running...))
	}
}
