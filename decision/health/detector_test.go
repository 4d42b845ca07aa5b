package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// detector consumes one outcome at a time and reports an increase of the failure rate.
type detector func(failed bool) bool

// newWindowDetector raises an alarm at limit failures among the last size outcomes,
// with the sliding window of the monitor.
func newWindowDetector(size, limit int) detector {
	var u upstream
	return func(failed bool) bool {
		u.add(outcome{failed: failed}, Config{Window: size})
		if u.failures < limit {
			return false
		}
		u.reset()
		return true
	}
}

// newBOCPD is the restarted Bayesian online change-point detector (R-BOCPD)
// for Bernoulli outcomes: R. Alami, O. Maillard, R. Féraud, "Restarted Bayesian
// Online Change-point Detector achieves Optimal Detection Delay", ICML 2020,
// algorithm 2 with the closed form of equation 10 and the weight scale/n instead of
// the paper's 1/n. It restarts at any change but reports only an increase.
func newBOCPD(scale float64) detector {
	// prefix[i] is the number of failures among the first i outcomes since the restart.
	prefix := []int{0}
	return func(failed bool) bool {
		total := prefix[len(prefix)-1]
		if failed {
			total++
		}
		prefix = append(prefix, total)
		n := len(prefix) - 1
		limit := math.Log(scale/float64(n)) + loss(n, total)
		for s := 1; s < n; s++ {
			before, after := prefix[s], total-prefix[s]
			if loss(s, before)+loss(n-s, after) < limit {
				prefix = prefix[:1]
				return after*s > before*(n-s)
			}
		}
		return false
	}
}

// logFactorial[n] is log n!.
var logFactorial = func() []float64 {
	table := make([]float64, 4096)
	for n := 1; n < len(table); n++ {
		table[n] = table[n-1] + math.Log(float64(n))
	}
	return table
}()

// loss is the cumulative loss of the Laplace predictor over n outcomes with k
// failures (lemma 3 of the paper).
func loss(n, k int) float64 {
	return math.Log(float64(n+1)) + logFactorial[n] - logFactorial[k] - logFactorial[n-k]
}

// meanRunLength is the mean number of outcomes from a change of the failure rate to
// the first alarm, or to limit, over 200 traces. Each trace starts with 300 outcomes
// at the first rate, whose alarms are ignored.
func meanRunLength(newDetector func() detector, before, after float64, limit int) float64 {
	sum := 0
	for trace := range uint64(200) {
		rng := rand.New(rand.NewPCG(trace, 2))
		detect := newDetector()
		for range 300 {
			detect(rng.Float64() < before)
		}
		for n := 1; n <= limit; n++ {
			sum++
			if detect(rng.Float64() < after) {
				break
			}
		}
	}
	return float64(sum) / 200
}

// calibrate returns the first of increasingly strict detectors with at most one false
// alarm in 10,000 outcomes at a constant rate. Such a detector has a mean run length
// of 952 in runs of at most 1,000 outcomes.
func calibrate(rate float64, strictness func(step int) detector) func() detector {
	for step := 0; ; step++ {
		build := func() detector { return strictness(step) }
		if meanRunLength(build, rate, rate, 1000) >= 952 {
			return build
		}
	}
}

// BenchmarkDetectors measures the detection delay in outcomes after an increase of the
// failure rate, at one false alarm in 10,000 outcomes. The Bayesian detector costs
// more, in proportion to the outcomes since its last restart, and would only be
// worth it with a shorter delay than the window detector.
func BenchmarkDetectors(b *testing.B) {
	for _, before := range []float64{0.02, 0.1} {
		restarted := calibrate(before, func(step int) detector { return newBOCPD(math.Ldexp(16, -step)) })
		for _, after := range []float64{0.2, 0.3, 0.5, 0.9} {
			b.Run(fmt.Sprintf("%.2f-%.2f", before, after), func(b *testing.B) {
				for b.Loop() {
					for _, size := range []int{8, 16, 32, 64} {
						window := calibrate(before, func(step int) detector { return newWindowDetector(size, 2+step) })
						b.ReportMetric(meanRunLength(window, before, after, 3000), fmt.Sprintf("window%d", size))
					}
					b.ReportMetric(meanRunLength(restarted, before, after, 3000), "restarted")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
