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

// A prompt crashes two different engines, or the same engine twice. After the second
// crash it is refused until the end of its quarantine; a third crash after that
// quarantines it for longer.
func TestSecondCrashQuarantines(t *testing.T) {
	for _, second := range []string{"engine-1", "engine-2"} {
		tracker := New(DefaultConfig())
		assert.Equal(t, len(tracker.RecordCrash(start, crash("engine-1", "p1", 7, 8, 9))), 0)
		_, blocked := tracker.BlockedUntil(start, 7)
		assert.Assert(t, !blocked && tracker.Suspect(start, 7))
		later := start.Add(time.Minute)
		assert.DeepEqual(t, tracker.RecordCrash(later, crash(second, "p2", 7, 20, 21)), []uint64{7})
		until, blocked := tracker.BlockedUntil(later, 7)
		assert.Assert(t, blocked)
		assert.Equal(t, until, later.Add(10*time.Minute))
		refusal := tracker.Refusal(later, 7)
		assert.Equal(t, refusal.RetryAfter, 10*time.Minute)
		assert.Equal(t, refusal.Reason, verdict.ReasonQuarantined)
		assert.Assert(t, tracker.Refusal(later, 8) == nil)
		assert.Assert(t, !tracker.Suspect(later, 20), "the crash must be attributed to the suspect alone")
		_, blocked = tracker.BlockedUntil(until, 7)
		assert.Assert(t, !blocked)
		tracker.RecordCrash(until, crash("engine-3", "p3", 7))
		again, _ := tracker.BlockedUntil(until, 7)
		assert.Equal(t, again, until.Add(20*time.Minute))
	}
}

// Twenty callers whose streams broke report the same crash. Counting every report
// would quarantine all their prompts.
func TestDuplicateCrashReportsCountOnce(t *testing.T) {
	for _, process := range []string{"p1", ""} {
		tracker := New(DefaultConfig())
		for i := range 20 {
			at := start.Add(time.Duration(i) * 50 * time.Millisecond)
			assert.Equal(t, len(tracker.RecordCrash(at, crash("engine-1", process, 7, 8))), 0)
		}
		_, blocked := tracker.BlockedUntil(start, 8)
		assert.Assert(t, !blocked)
	}
}

// A harmless prompt runs on the same engine as one that crashes it. A later success
// clears it; without one, the crash expires after CrashRetention.
func TestConcurrentPromptIsCleared(t *testing.T) {
	tracker := New(DefaultConfig())
	tracker.RecordCrash(start, crash("engine-1", "p1", 7, 8, 9))
	tracker.RecordSuccess(8)
	assert.Equal(t, len(tracker.RecordCrash(start.Add(time.Minute), crash("engine-2", "p2", 8))), 0)
	late := start.Add(time.Hour)
	assert.Assert(t, !tracker.Suspect(late, 9))
	assert.Equal(t, len(tracker.RecordCrash(late, crash("engine-2", "p3", 9))), 0)
}

func TestEntriesAreBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxEntries = 50
	tracker := New(cfg)
	for i := range uint64(500) {
		tracker.RecordCrash(start.Add(time.Duration(i)*time.Second), crash("engine-1", strconv.FormatUint(i, 10), i))
	}
	assert.Equal(t, tracker.Len(), 50)
	assert.Assert(t, tracker.Suspect(start.Add(500*time.Second), 499))
}

// event is a crash of all running fingerprints, or a success of the first.
type event struct {
	at      time.Time
	crash   bool
	running []uint64
}

// referenceBlocked recomputes from the whole history which fingerprints are
// quarantined at its end.
func referenceBlocked(cfg Config, history []event) func(f uint64) bool {
	state := make(map[uint64]*entry)
	for _, e := range history {
		if !e.crash {
			delete(state, e.running[0])
			continue
		}
		maps.DeleteFunc(state, func(_ uint64, s *entry) bool {
			return e.at.Sub(s.lastCrash) >= cfg.CrashRetention && e.at.Sub(s.quarantinedUntil) >= cfg.CrashRetention
		})
		attributed := slices.DeleteFunc(slices.Clone(e.running), func(f uint64) bool { return state[f] == nil })
		shared := len(attributed) > 1
		if len(attributed) != 1 {
			attributed = e.running
		}
		for _, f := range attributed {
			if state[f] == nil {
				state[f] = &entry{}
			}
			s := state[f]
			s.crashes++
			s.lastCrash = e.at
			if s.crashes >= 2 && shared {
				s.quarantinedUntil = e.at.Add(cfg.SharedDuration)
			} else if s.crashes >= 2 {
				s.quarantinedUntil = e.at.Add(min(cfg.MaxDuration, cfg.Duration<<(s.crashes-2)))
			}
		}
	}
	end := history[len(history)-1].at
	return func(f uint64) bool { return state[f] != nil && end.Before(state[f].quarantinedUntil) }
}

func TestBlockedMatchesReference(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		tracker := New(DefaultConfig())
		var history []event
		now := start
		for step := range 120 {
			now = now.Add(time.Duration(rng.IntN(180)) * time.Second)
			e := event{now, rng.IntN(3) > 0, []uint64{rng.Uint64N(12), 12 + rng.Uint64N(12), 24 + rng.Uint64N(12)}}
			history = append(history, e)
			if e.crash {
				tracker.RecordCrash(now, crash("engine-1", strconv.Itoa(step), e.running...))
			} else {
				tracker.RecordSuccess(e.running[0])
			}
			blocked := referenceBlocked(DefaultConfig(), history)
			for f := range uint64(36) {
				_, got := tracker.BlockedUntil(now, f)
				assert.Equal(t, got, blocked(f))
			}
		}
	}
}

// policy is the quarantine policy of a simulation; Tracker implements it.
type policy interface {
	BlockedUntil(now time.Time, f uint64) (time.Time, bool)
	RecordCrash(now time.Time, c Crash) []uint64
	RecordSuccess(f uint64)
}

// crashCounter blocks a fingerprint at a fixed number of crashes, which never expire.
type crashCounter struct {
	limit  int
	counts map[uint64]int
}

func (p crashCounter) BlockedUntil(now time.Time, f uint64) (time.Time, bool) {
	return now, p.counts[f] >= p.limit
}
func (p crashCounter) RecordSuccess(uint64) {}
func (p crashCounter) RecordCrash(_ time.Time, c Crash) []uint64 {
	for _, f := range c.Running {
		p.counts[f]++
	}
	return nil
}

type simulationResult struct {
	crashes, lost, refused int
}

// simulate runs ten engines for half an hour. Each starts one of 200 recurring prompts
// per second and runs it for ten seconds. Prompt 0 crashes its engine immediately and
// its caller sends it again every five seconds. Every minute one engine crashes for
// an unrelated reason. Restarts take 30 s. The result counts crashes, and other
// prompts lost in a crash or refused.
func simulate(p policy) simulationResult {
	const crashingPrompt = 0
	var result simulationResult
	var running [10][]uint64
	var restartedAt [10]int
	rng := rand.New(rand.NewPCG(1, 1))
	for second := range 1800 {
		now := start.Add(time.Duration(second) * time.Second)
		target := rng.IntN(10)
		_, refused := p.BlockedUntil(now, crashingPrompt)
		for i := range running {
			next := 1 + rng.Uint64N(200)
			if restartedAt[i] > second {
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
			crashedByPrompt := second%5 == 0 && i == target && !refused
			if !crashedByPrompt && (second%60 != 0 || second/60%10 != i) {
				continue
			}
			result.crashes++
			result.lost += len(running[i])
			if crashedByPrompt {
				running[i] = append(running[i], crashingPrompt)
			}
			p.RecordCrash(now, crash(strconv.Itoa(i), strconv.Itoa(second), running[i]...))
			running[i], restartedAt[i] = nil, second+30
		}
	}
	return result
}

// One prompt crashes every engine that runs it, and its caller sends it again.
// Without quarantine it crashes one engine after another and other callers lose their
// answers; with crash counts alone, other callers are refused too.
func TestCrashingPrompt(t *testing.T) {
	withoutQuarantine := simulate(crashCounter{1 << 30, make(map[uint64]int)})
	withCounter := simulate(crashCounter{2, make(map[uint64]int)})
	withTracker := simulate(New(DefaultConfig()))
	t.Logf("without quarantine %+v, crash counts alone %+v, tracker %+v", withoutQuarantine, withCounter, withTracker)
	const unrelatedCrashes = 30
	assert.Assert(t, withoutQuarantine.crashes > 4*unrelatedCrashes && withoutQuarantine.lost > 1000)
	assert.Assert(t, withCounter.refused > 1000, "crash counts alone must refuse other prompts")
	assert.Assert(t, withTracker.crashes <= unrelatedCrashes+5)
	assert.Assert(t, withTracker.refused < withCounter.refused/10 && withTracker.lost < withoutQuarantine.lost/2)
}

func BenchmarkRecordCrash(b *testing.B) {
	tracker := New(DefaultConfig())
	running := make([]uint64, 20)
	for i := 0; b.Loop(); i++ {
		for j := range running {
			running[j] = uint64(i*20 + j)
		}
		tracker.RecordCrash(start.Add(time.Duration(i)*time.Second), crash("engine-1", strconv.Itoa(i), running...))
	}
}
