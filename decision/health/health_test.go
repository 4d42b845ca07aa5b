package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_764_700_000, 0)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("engine-%02d", i)
	}
	return all
}

// bench is ten upstreams of eight slots under 40 requests a second of about a
// second each; requests go to the upstream with the most free slots, times its
// weight. One upstream is bad for two minutes of four.
type benchResult struct {
	inTarget, failed, late float64
	back                   time.Duration
}

func oneBad(monitored bool, slow, failing float64) benchResult {
	const (
		count, slots = 10, 8
		tick         = 10 * time.Millisecond
		target       = 1700 * time.Millisecond
		badFrom      = time.Minute
		badUntil     = 3 * time.Minute
		runFor       = 5 * time.Minute
	)
	type done struct {
		upstream int
		ok       bool
		latency  time.Duration
	}
	rng := rand.New(rand.NewPCG(1, 1))
	m := New(DefaultConfig())
	all := names(count)
	m.SetUpstreams(all)
	running := make([]int, count)
	finish := make(map[int][]done)
	var asked, good, failed, late int
	back := time.Duration(-1)
	for i := range int(runFor / tick) {
		at := time.Duration(i) * tick
		now := start.Add(at)
		for _, d := range finish[i] {
			running[d.upstream]--
			m.Observe(now, all[d.upstream], d.ok, d.latency, time.Second)
		}
		delete(finish, i)
		weights := m.Weights()
		if at > badUntil && back < 0 && weights[3].Weight > 0.7 {
			back = at - badUntil
		}
		if rng.Float64() > 40*tick.Seconds() {
			continue
		}
		best, bestScore := -1, 0.0
		if name, due := m.Trial(now); due && monitored {
			best, bestScore = slices.Index(all, name), slots*slots
		}
		for u := range count {
			score := float64(slots-running[u]) * (1 + 0.01*rng.Float64())
			if monitored {
				score *= weights[u].Weight
			}
			if score > bestScore {
				best, bestScore = u, score
			}
		}
		bad := at >= badFrom && at < badUntil
		if bad {
			asked++
		}
		if best < 0 {
			late++
			continue
		}
		d := done{upstream: best, ok: true, latency: time.Duration((0.8 + 0.4*rng.Float64()) * float64(time.Second))}
		if bad && best == 3 {
			d.latency = time.Duration(float64(d.latency) * slow)
			if rng.Float64() < failing {
				d.ok, d.latency = false, 20*time.Millisecond
			}
		}
		if bad && !d.ok {
			failed++
		} else if bad && d.latency > target {
			late++
		} else if bad {
			good++
		}
		running[best]++
		finish[i+int(d.latency/tick)] = append(finish[i+int(d.latency/tick)], d)
	}
	total := float64(asked)
	return benchResult{float64(good) / total, float64(failed) / total, float64(late) / total, back}
}

// One upstream of ten becomes five times slower, or fails nine of ten requests at
// once while its slots stand empty. Without the monitor its callers miss the
// target, or most of all callers get its errors.
func TestOneBadUpstream(t *testing.T) {
	for _, c := range []struct {
		name          string
		slow, failing float64
	}{{"slow", 5, 0}, {"failing", 1, 0.9}} {
		naive := oneBad(false, c.slow, c.failing)
		ours := oneBad(true, c.slow, c.failing)
		t.Logf("%s: naive %+v, monitored %+v", c.name, naive, ours)
		assert.Assert(t, ours.inTarget > 0.97, c.name)
		assert.Assert(t, ours.inTarget > naive.inTarget, c.name)
		assert.Assert(t, ours.back >= 0 && ours.back < time.Minute, c.name)
	}
}

// Every upstream becomes slow, or fails, at the same time: the cause is overload or
// something they share. Taking them out one after another would leave callers
// with none at all.
func TestNeverAllOut(t *testing.T) {
	for _, count := range []int{1, 2, 3, 10, 15} {
		rng := rand.New(rand.NewPCG(uint64(count), 1))
		m := New(DefaultConfig())
		m.SetUpstreams(names(count))
		now := start
		for range 200 * count {
			now = now.Add(20 * time.Millisecond)
			m.Observe(now, names(count)[rng.IntN(count)], rng.Float64() < 0.1, 9*time.Second, time.Second)
			out := 0
			for _, w := range m.Weights() {
				assert.Assert(t, w.Weight > 0 && w.Weight <= 1)
				if w.State == Out || w.State == Returning {
					out++
				}
			}
			assert.Assert(t, out <= maxOut(count) && out < count)
		}
	}
}

// All upstreams slow down together under load. Nobody is worse than the others, so
// that nobody loses weight.
func TestOverloadIsNoIllness(t *testing.T) {
	m := New(DefaultConfig())
	m.SetUpstreams(names(10))
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		factor := 1 + 8*float64(i)/2000
		latency := time.Duration((0.9 + 0.2*rng.Float64()) * factor * float64(time.Second))
		m.Observe(now, names(10)[i%10], true, latency, time.Second)
	}
	for _, w := range m.Weights() {
		assert.Equal(t, w.Weight, 1.0, w.Upstream)
	}
}

// naiveWeight works a healthy upstream's weight out from the whole history.
func naiveWeight(cfg Config, history map[string][]float64, name string) float64 {
	medianOf := func(values []float64) float64 {
		values = slices.Clone(values[max(0, len(values)-cfg.Window):])
		if len(values) < cfg.MinSamples {
			return 0
		}
		slices.Sort(values)
		return values[(len(values)-1)/2]
	}
	var peers []float64
	for peer, values := range history {
		if s := medianOf(values); peer != name && s > 0 {
			peers = append(peers, s)
		}
	}
	own := medianOf(history[name])
	if own == 0 || len(peers) == 0 {
		return 1
	}
	slices.Sort(peers)
	slowness := own / peers[(len(peers)-1)/2]
	if slowness < cfg.SlowFactor {
		return 1
	}
	return 1 / slowness
}

func TestWeightsAgainstNaive(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 3))
		m := New(DefaultConfig())
		m.SetUpstreams(names(5))
		history := make(map[string][]float64)
		for range 300 {
			i := rng.IntN(5)
			slowness := (1 + 0.4*float64(i)) * (0.5 + rng.Float64())
			latency := time.Duration(slowness * float64(time.Second))
			m.Observe(start, names(5)[i], true, latency, time.Second)
			history[names(5)[i]] = append(history[names(5)[i]], float64(latency)/float64(time.Second))
			for _, w := range m.Weights() {
				if w.State == Healthy {
					assert.Assert(t, math.Abs(w.Weight-naiveWeight(DefaultConfig(), history, w.Upstream)) < 1e-9)
				}
			}
			if slices.ContainsFunc(m.Weights(), func(w Weight) bool { return w.State != Healthy }) {
				break
			}
		}
	}
}

// naiveTail sums the binomial distribution term by term.
func naiveTail(n, atLeast int, rate float64) float64 {
	sum := 0.0
	for k := atLeast; k <= n; k++ {
		ways := 1.0
		for i := range k {
			ways *= float64(n-i) / float64(i+1)
		}
		sum += ways * math.Pow(rate, float64(k)) * math.Pow(1-rate, float64(n-k))
	}
	return sum
}

func TestFailureLimitAgainstNaive(t *testing.T) {
	for n := 4; n <= 32; n++ {
		for _, rate := range []float64{0.02, 0.1, 0.3, 0.6} {
			limit := failureLimit(n, rate, 0.0001)
			if limit < n {
				assert.Assert(t, naiveTail(n, limit, rate) < 0.0001)
			}
			assert.Assert(t, naiveTail(n, limit-1, rate) >= 0.0001)
		}
	}
}

func BenchmarkObserveAndWeights(b *testing.B) {
	m := New(DefaultConfig())
	all := names(15)
	m.SetUpstreams(all)
	for i := 0; b.Loop(); i++ {
		m.Observe(start, all[i%15], true, time.Second, time.Second)
		m.Weights()
	}
}
