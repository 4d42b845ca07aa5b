package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/verdict"
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
		assert.Equal(t, len(l.RecordCrash(start, crash("engine-1", "p1", 7, 8, 9))), 0)
		_, blocked := l.BlockedUntil(start, 7)
		assert.Assert(t, !blocked && l.Suspect(start, 7))
		later := start.Add(time.Minute)
		assert.DeepEqual(t, l.RecordCrash(later, crash(second, "p2", 7, 20, 21)), []uint64{7})
		until, blocked := l.BlockedUntil(later, 7)
		assert.Assert(t, blocked)
		assert.Equal(t, until, later.Add(10*time.Minute))
		refusal := l.Refusal(later, 7)
		assert.Equal(t, refusal.RetryAfter, 10*time.Minute)
		assert.Equal(t, refusal.Reason, verdict.ReasonQuarantined)
		assert.Assert(t, l.Refusal(later, 8) == nil)
		assert.Assert(t, !l.Suspect(later, 20), "the suspect explains the crash")
		_, blocked = l.BlockedUntil(until, 7)
		assert.Assert(t, !blocked)
		l.RecordCrash(until, crash("engine-3", "p3", 7))
		again, _ := l.BlockedUntil(until, 7)
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
			assert.Equal(t, len(l.RecordCrash(at, crash("engine-1", process, 7, 8))), 0)
		}
		_, blocked := l.BlockedUntil(start, 8)
		assert.Assert(t, !blocked)
	}
}

// An innocent prompt ran beside a deadly one. Its later success clears it, and
// without one the crash is forgotten after the stated memory.
func TestInnocentIsCleared(t *testing.T) {
	l := New(DefaultConfig())
	l.RecordCrash(start, crash("engine-1", "p1", 7, 8, 9))
	l.RecordSuccess(8)
	assert.Equal(t, len(l.RecordCrash(start.Add(time.Minute), crash("engine-2", "p2", 8))), 0)
	late := start.Add(time.Hour)
	assert.Assert(t, !l.Suspect(late, 9))
	assert.Equal(t, len(l.RecordCrash(late, crash("engine-2", "p3", 9))), 0)
}

func TestMemoryIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxEntries = 50
	l := New(cfg)
	for i := range uint64(500) {
		l.RecordCrash(start.Add(time.Duration(i)*time.Second), crash("engine-1", strconv.FormatUint(i, 10), i))
	}
	assert.Equal(t, l.Len(), 50)
	assert.Assert(t, l.Suspect(start.Add(500*time.Second), 499))
}

// event of a ledger's history: a crash, or a success of the one running.
type event struct {
	at      time.Time
	crash   bool
	running []uint64
}

// naiveBlocked works out from the whole history what is blocked at its end.
func naiveBlocked(cfg Config, history []event) func(f uint64) bool {
	state := make(map[uint64]*entry)
	for _, e := range history {
		if !e.crash {
			delete(state, e.running[0])
			continue
		}
		maps.DeleteFunc(state, func(_ uint64, s *entry) bool {
			return e.at.Sub(s.crashed) >= cfg.Memory && e.at.Sub(s.until) >= cfg.Memory
		})
		charged := slices.DeleteFunc(slices.Clone(e.running), func(f uint64) bool { return state[f] == nil })
		shared := len(charged) > 1
		if len(charged) != 1 {
			charged = e.running
		}
		for _, f := range charged {
			if state[f] == nil {
				state[f] = &entry{}
			}
			s := state[f]
			s.crashes++
			s.crashed = e.at
			if s.crashes >= 2 && shared {
				s.until = e.at.Add(cfg.SharedDuration)
			} else if s.crashes >= 2 {
				s.until = e.at.Add(min(cfg.MaxDuration, cfg.Duration<<(s.crashes-2)))
			}
		}
	}
	end := history[len(history)-1].at
	return func(f uint64) bool { return state[f] != nil && end.Before(state[f].until) }
}

func TestAgainstNaive(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		l := New(DefaultConfig())
		var history []event
		now := start
		for step := range 120 {
			now = now.Add(time.Duration(rng.IntN(180)) * time.Second)
			e := event{now, rng.IntN(3) > 0, []uint64{rng.Uint64N(12), 12 + rng.Uint64N(12), 24 + rng.Uint64N(12)}}
			history = append(history, e)
			if e.crash {
				l.RecordCrash(now, crash("engine-1", strconv.Itoa(step), e.running...))
			} else {
				l.RecordSuccess(e.running[0])
			}
			blocked := naiveBlocked(DefaultConfig(), history)
			for f := range uint64(36) {
				_, got := l.BlockedUntil(now, f)
				assert.Equal(t, got, blocked(f))
			}
		}
	}
}

// policy is what a run varies; Tracker is one.
type policy interface {
	BlockedUntil(now time.Time, f uint64) (time.Time, bool)
	RecordCrash(now time.Time, c Crash) []uint64
	RecordSuccess(f uint64)
}

// plainCounts blocks at a number of crashes and never forgets.
type plainCounts struct {
	limit  int
	counts map[uint64]int
}

func (p plainCounts) BlockedUntil(now time.Time, f uint64) (time.Time, bool) {
	return now, p.counts[f] >= p.limit
}
func (p plainCounts) RecordSuccess(uint64) {}
func (p plainCounts) RecordCrash(_ time.Time, c Crash) []uint64 {
	for _, f := range c.Running {
		p.counts[f]++
	}
	return nil
}

type deadlyResult struct {
	crashes, lost, refused int
}

// run lets ten engines serve half an hour of prompts out of 200 that recur, one a
// second and engine, each for ten seconds. The prompt 0 crashes its engine at once
// and its caller sends it again every five seconds; each minute one engine crashes
// by a fault of its own. Restarts take 30 s. It counts crashes, innocent prompts
// lost with their engine, and innocent prompts refused.
func run(p policy) deadlyResult {
	const deadly = 0
	var result deadlyResult
	var running [10][]uint64
	var back [10]int
	rng := rand.New(rand.NewPCG(1, 1))
	for second := range 1800 {
		now := start.Add(time.Duration(second) * time.Second)
		target := rng.IntN(10)
		_, refused := p.BlockedUntil(now, deadly)
		for i := range running {
			next := 1 + rng.Uint64N(200)
			if back[i] > second {
				continue
			}
			if _, blocked := p.BlockedUntil(now, next); blocked {
				result.refused++
			} else {
				running[i] = append(running[i], next)
			}
			if len(running[i]) > 10 {
				p.RecordSuccess(running[i][0])
				running[i] = running[i][1:]
			}
			killed := second%5 == 0 && i == target && !refused
			if !killed && (second%60 != 0 || second/60%10 != i) {
				continue
			}
			result.crashes++
			result.lost += len(running[i])
			if killed {
				running[i] = append(running[i], deadly)
			}
			p.RecordCrash(now, crash(strconv.Itoa(i), strconv.Itoa(second), running[i]...))
			running[i], back[i] = nil, second+30
		}
	}
	return result
}

// One prompt crashes each engine that runs it and is sent again by its caller.
// Without quarantine it takes engine after engine down and callers beside it lose
// their answers; with plain counts the callers beside it are refused too.
func TestDeadlyPrompt(t *testing.T) {
	nothing := run(plainCounts{1 << 30, make(map[uint64]int)})
	plain := run(plainCounts{2, make(map[uint64]int)})
	ours := run(New(DefaultConfig()))
	t.Logf("without quarantine %+v, plain counts %+v, ledger %+v", nothing, plain, ours)
	const ownFaults = 30
	assert.Assert(t, nothing.crashes > 4*ownFaults && nothing.lost > 1000)
	assert.Assert(t, plain.refused > 1000, "innocents blamed for ever")
	assert.Assert(t, ours.crashes <= ownFaults+5)
	assert.Assert(t, ours.refused < plain.refused/10 && ours.lost < nothing.lost/2)
}

func BenchmarkCrashOfTwenty(b *testing.B) {
	l := New(DefaultConfig())
	running := make([]uint64, 20)
	for i := 0; b.Loop(); i++ {
		for j := range running {
			running[j] = uint64(i*20 + j)
		}
		l.RecordCrash(start.Add(time.Duration(i)*time.Second), crash("engine-1", strconv.Itoa(i), running...))
	}
}
