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

// oneBad runs ten upstreams of eight slots under some 40 requests a second of about
// a second each; a request goes to the upstream with the most free slots, times
// its weight. The fourth is bad from the second minute on for two of four. It
// returns the share of requests of that time answered within 1.7 s, and the time
// from its recovery until it has a healthy weight again.
func oneBad(monitored bool, slow, failing float64) (inTarget float64, back time.Duration) {
	const (
		slots = 8
		tick  = 10 * time.Millisecond
	)
	type done struct {
		upstream int
		ok       bool
		latency  time.Duration
	}
	rng := rand.New(rand.NewPCG(1, 1))
	m := New(DefaultConfig())
	all := names(10)
	m.SetUpstreams(all)
	running := make([]int, len(all))
	finish := make(map[int][]done)
	asked, good := 0.0, 0.0
	for i := range int(4 * time.Minute / tick) {
		at := time.Duration(i) * tick
		now := start.Add(at)
		bad := at >= time.Minute && at < 3*time.Minute
		for _, d := range finish[i] {
			running[d.upstream]--
			m.Observe(now, all[d.upstream], d.ok, d.latency, time.Second)
		}
		if at > 3*time.Minute && back == 0 && m.Weights()[3].Weight > 0.7 {
			back = at - 3*time.Minute
		}
		if rng.Float64() > 0.4 {
			continue
		}
		best, bestScore := 0, -1.0
		for u, w := range m.Weights() {
			score := float64(slots-running[u]) + 0.01*rng.Float64()
			if monitored {
				score *= w.Weight
			}
			if score > bestScore {
				best, bestScore = u, score
			}
		}
		if name, due := m.NextProbe(now); due && monitored {
			best = slices.Index(all, name)
		}
		d := done{best, true, time.Duration((0.8 + 0.4*rng.Float64()) * float64(time.Second))}
		if bad && best == 3 {
			d.latency = time.Duration(float64(d.latency) * slow)
			if rng.Float64() < failing {
				d.ok, d.latency = false, 20*time.Millisecond
			}
		}
		if bad {
			asked++
		}
		if bad && d.ok && d.latency <= 1700*time.Millisecond {
			good++
		}
		running[best]++
		finish[i+int(d.latency/tick)] = append(finish[i+int(d.latency/tick)], d)
	}
	return good / asked, back
}

// One upstream of ten becomes five times slower, or fails nine of ten requests at
// once while its slots stand empty. Without the monitor its callers miss the
// target, or most of all callers get its errors.
func TestOneBadUpstream(t *testing.T) {
	for _, c := range []struct {
		name          string
		slow, failing float64
	}{{"slow", 5, 0}, {"failing", 1, 0.9}} {
		naive, _ := oneBad(false, c.slow, c.failing)
		ours, back := oneBad(true, c.slow, c.failing)
		t.Logf("%s: in target without monitor %.4f, with %.4f, back after %v", c.name, naive, ours, back)
		assert.Assert(t, ours > 0.97 && ours > naive, c.name)
		assert.Assert(t, back > 0 && back < time.Minute, c.name)
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

// naiveMedian sorts the whole of the last outcomes for each question.
func naiveMedian(values []float64) float64 {
	if len(values) < DefaultConfig().MinSamples {
		return 0
	}
	last := slices.Clone(values[max(0, len(values)-DefaultConfig().Window):])
	slices.Sort(last)
	return last[(len(last)-1)/2]
}

func naiveWeight(history [][]float64, of int) float64 {
	var peers []float64
	for i, values := range history {
		if m := naiveMedian(values); i != of && m > 0 {
			peers = append(peers, m)
		}
	}
	own := naiveMedian(history[of])
	if own == 0 || len(peers) == 0 {
		return 1
	}
	slices.Sort(peers)
	if slowness := own / peers[(len(peers)-1)/2]; slowness >= DefaultConfig().SlowFactor {
		return 1 / slowness
	}
	return 1
}

func TestWeightsAgainstNaive(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 3))
		m := New(DefaultConfig())
		m.SetUpstreams(names(5))
		history := make([][]float64, 5)
		for range 300 {
			i := rng.IntN(5)
			slowness := (1 + 0.4*float64(i)) * (0.7 + 0.6*rng.Float64())
			m.Observe(start, names(5)[i], true, time.Duration(slowness*float64(time.Second)), time.Second)
			history[i] = append(history[i], slowness)
			for i, w := range m.Weights() {
				assert.Assert(t, w.State == Healthy)
				assert.Assert(t, math.Abs(w.Weight-naiveWeight(history, i)) < 1e-6)
			}
		}
	}
}

func TestFailureLimitAgainstNaive(t *testing.T) {
	for _, rate := range []float64{0.02, 0.1, 0.3, 0.6} {
		// exactly[k] is the probability of k failures, one outcome after another.
		exactly := []float64{1}
		for n := 1; n <= 32; n++ {
			next := make([]float64, n+1)
			for k, p := range exactly {
				next[k] += p * (1 - rate)
				next[k+1] += p * rate
			}
			exactly = next
			want, tail := n, exactly[n]
			for want > 1 && tail+exactly[want-1] < 0.0001 {
				want--
				tail += exactly[want]
			}
			assert.Equal(t, failureLimit(n, rate, 0.0001), want)
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
