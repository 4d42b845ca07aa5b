package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// detector reads one outcome at a time and reports a rise of the failure rate.
type detector func(bad bool) bool

// newWindow alarms at limit bad outcomes among the last size, with the window of
// the monitor.
func newWindow(size, limit int) detector {
	var u upstream
	return func(bad bool) bool {
		u.add(outcome{failed: bad}, Config{Window: size})
		if u.failed < limit {
			return false
		}
		u.forget()
		return true
	}
}

// newRestarted is the restarted Bayesian online change-point detector (R-BOCPD)
// for Bernoulli outcomes: R. Alami, O. Maillard, R. Féraud, "Restarted Bayesian
// Online Change-point Detector achieves Optimal Detection Delay", ICML 2020,
// algorithm 2 with the closed form of its equation 10 and the weight scale/n in
// place of the paper's 1/n. It restarts at any change and reports a rise only.
func newRestarted(scale float64) detector {
	// prefix[i] is the number of bad outcomes among the first i since the restart.
	prefix := []int{0}
	return func(bad bool) bool {
		total := prefix[len(prefix)-1]
		if bad {
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

// loss is the cumulative loss of the Laplace predictor over n outcomes of which
// k were bad (the paper's lemma 3).
func loss(n, k int) float64 {
	return math.Log(float64(n+1)) + logFactorial[n] - logFactorial[k] - logFactorial[n-k]
}

// perAlarm runs 200 traces of 300 outcomes at a rate, which may alarm, and then at
// another until an alarm or the limit; it returns the mean of the latter numbers.
func perAlarm(d func() detector, before, after float64, limit int) float64 {
	sum := 0
	for trace := range uint64(200) {
		rng := rand.New(rand.NewPCG(trace, 2))
		one := d()
		for range 300 {
			one(rng.Float64() < before)
		}
		for n := 1; n <= limit; n++ {
			sum++
			if one(rng.Float64() < after) {
				break
			}
		}
	}
	return float64(sum) / 200
}

// calibrated returns the first of ever stricter detectors that at a constant rate
// run as long as one with a false alarm in 10,000 outcomes does in 1,000, 952.
func calibrated(rate float64, strictness func(step int) detector) func() detector {
	for step := 0; ; step++ {
		build := func() detector { return strictness(step) }
		if perAlarm(build, rate, rate, 1000) >= 952 {
			return build
		}
	}
}

// BenchmarkDetectors counts the outcomes from a rise of the failure rate to its
// alarm, at one false alarm in 10,000 outcomes. The restarted Bayesian detector
// would have to be the sooner one to be worth its cost, which grows with the
// outcomes since its last restart.
func BenchmarkDetectors(b *testing.B) {
	for _, before := range []float64{0.02, 0.1} {
		restarted := calibrated(before, func(step int) detector { return newRestarted(math.Ldexp(16, -step)) })
		for _, after := range []float64{0.2, 0.3, 0.5, 0.9} {
			b.Run(fmt.Sprintf("%.2f-%.2f", before, after), func(b *testing.B) {
				for b.Loop() {
					for _, size := range []int{8, 16, 32, 64} {
						window := calibrated(before, func(step int) detector { return newWindow(size, 2+step) })
						b.ReportMetric(perAlarm(window, before, after, 3000), fmt.Sprintf("window%d", size))
					}
					b.ReportMetric(perAlarm(restarted, before, after, 3000), "restarted")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
