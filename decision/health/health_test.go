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

func upstreamNames(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("engine-%02d", i)
	}
	return all
}

// simulateFaultyUpstream simulates four minutes of about 40 requests per second, one
// second each, on ten upstreams with eight slots. Each request goes to the upstream
// with the most free slots, multiplied by its weight if monitored. The fourth is faulty
// during the second and third minutes. It returns the share of the requests of
// those two minutes that were answered within 1.7 s, and the time from the end of
// the fault until the upstream's weight exceeds 0.7.
func simulateFaultyUpstream(monitored bool, slow, failing float64) (inTarget float64, recovery time.Duration) {
	const (
		slots = 8
		tick  = 10 * time.Millisecond
	)
	type completion struct {
		upstream int
		ok       bool
		latency  time.Duration
	}
	rng := rand.New(rand.NewPCG(1, 1))
	m := New(DefaultConfig())
	all := upstreamNames(10)
	m.SetUpstreams(all)
	running := make([]int, len(all))
	finish := make(map[int][]completion)
	sent, answered := 0.0, 0.0
	for i := range int(4 * time.Minute / tick) {
		at := time.Duration(i) * tick
		now := start.Add(at)
		faulty := at >= time.Minute && at < 3*time.Minute
		for _, d := range finish[i] {
			running[d.upstream]--
			m.Observe(now, all[d.upstream], d.ok, d.latency, time.Second)
		}
		if at > 3*time.Minute && recovery == 0 && m.Weights()[3].Weight > 0.7 {
			recovery = at - 3*time.Minute
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
		d := completion{best, true, time.Duration((0.8 + 0.4*rng.Float64()) * float64(time.Second))}
		if faulty && best == 3 {
			d.latency = time.Duration(float64(d.latency) * slow)
			if rng.Float64() < failing {
				d.ok, d.latency = false, 20*time.Millisecond
			}
		}
		if faulty {
			sent++
		}
		if faulty && d.ok && d.latency <= 1700*time.Millisecond {
			answered++
		}
		running[best]++
		finish[i+int(d.latency/tick)] = append(finish[i+int(d.latency/tick)], d)
	}
	return answered / sent, recovery
}

// One upstream of ten becomes five times slower, or immediately fails nine of ten
// requests while its slots stay free. Without the monitor, its callers miss the
// latency target, or most callers get its errors.
func TestFaultyUpstream(t *testing.T) {
	for _, c := range []struct {
		name          string
		slow, failing float64
	}{{"slow", 5, 0}, {"failing", 1, 0.9}} {
		without, _ := simulateFaultyUpstream(false, c.slow, c.failing)
		with, recovery := simulateFaultyUpstream(true, c.slow, c.failing)
		t.Logf("%s: answered within the target without monitor %.4f, with monitor %.4f, recovered after %v", c.name, without, with, recovery)
		assert.Assert(t, with > 0.97 && with > without, c.name)
		assert.Assert(t, recovery > 0 && recovery < time.Minute, c.name)
	}
}

// All upstreams fail or become slow at the same time because of overload or a shared
// dependency. Ejecting them one after another would leave callers without any
// upstream.
func TestEjectionLimit(t *testing.T) {
	for _, count := range []int{1, 2, 3, 10, 15} {
		rng := rand.New(rand.NewPCG(uint64(count), 1))
		m := New(DefaultConfig())
		m.SetUpstreams(upstreamNames(count))
		now := start
		for range 200 * count {
			now = now.Add(20 * time.Millisecond)
			m.Observe(now, upstreamNames(count)[rng.IntN(count)], rng.Float64() < 0.1, 9*time.Second, time.Second)
			ejected := 0
			for _, w := range m.Weights() {
				assert.Assert(t, w.Weight > 0 && w.Weight <= 1)
				if w.State == Ejected || w.State == Recovering {
					ejected++
				}
			}
			assert.Assert(t, ejected <= maxEjected(count) && ejected < count)
		}
	}
}

// All upstreams slow down together under load. None is an outlier, so no weight may
// drop.
func TestSharedSlowdownKeepsWeights(t *testing.T) {
	m := New(DefaultConfig())
	m.SetUpstreams(upstreamNames(10))
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		factor := 1 + 8*float64(i)/2000
		latency := time.Duration((0.9 + 0.2*rng.Float64()) * factor * float64(time.Second))
		m.Observe(now, upstreamNames(10)[i%10], true, latency, time.Second)
	}
	for _, w := range m.Weights() {
		assert.Equal(t, w.Weight, 1.0, w.Upstream)
	}
}

// referenceMedian recomputes the median of the window from the whole history.
func referenceMedian(values []float64) float64 {
	if len(values) < DefaultConfig().MinSamples {
		return 0
	}
	last := slices.Clone(values[max(0, len(values)-DefaultConfig().Window):])
	slices.Sort(last)
	return last[(len(last)-1)/2]
}

func referenceWeight(history [][]float64, of int) float64 {
	var peers []float64
	for i, values := range history {
		if m := referenceMedian(values); i != of && m > 0 {
			peers = append(peers, m)
		}
	}
	own := referenceMedian(history[of])
	if own == 0 || len(peers) == 0 {
		return 1
	}
	slices.Sort(peers)
	if slowness := own / peers[(len(peers)-1)/2]; slowness >= DefaultConfig().SlowFactor {
		return 1 / slowness
	}
	return 1
}

func TestWeightsMatchReference(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 3))
		m := New(DefaultConfig())
		m.SetUpstreams(upstreamNames(5))
		history := make([][]float64, 5)
		for range 300 {
			i := rng.IntN(5)
			slowness := (1 + 0.4*float64(i)) * (0.7 + 0.6*rng.Float64())
			m.Observe(start, upstreamNames(5)[i], true, time.Duration(slowness*float64(time.Second)), time.Second)
			history[i] = append(history[i], slowness)
			for i, w := range m.Weights() {
				assert.Assert(t, w.State == Healthy)
				assert.Assert(t, math.Abs(w.Weight-referenceWeight(history, i)) < 1e-6)
			}
		}
	}
}

func TestFailureThresholdMatchesReference(t *testing.T) {
	for _, rate := range []float64{0.02, 0.1, 0.3, 0.6} {
		// probability[k] is the probability of k failures among n outcomes, computed
		// outcome by outcome.
		probability := []float64{1}
		for n := 1; n <= 32; n++ {
			next := make([]float64, n+1)
			for k, p := range probability {
				next[k] += p * (1 - rate)
				next[k+1] += p * rate
			}
			probability = next
			want, tail := n, probability[n]
			for want > 1 && tail+probability[want-1] < 0.0001 {
				want--
				tail += probability[want]
			}
			assert.Equal(t, failureThreshold(n, rate, 0.0001), want)
		}
	}
}

func BenchmarkObserveAndWeights(b *testing.B) {
	m := New(DefaultConfig())
	all := upstreamNames(15)
	m.SetUpstreams(all)
	for i := 0; b.Loop(); i++ {
		m.Observe(start, all[i%15], true, time.Second, time.Second)
		m.Weights()
	}
}
