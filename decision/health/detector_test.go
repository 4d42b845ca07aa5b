package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// detector reads one outcome at a time and reports a rise of the failure rate.
type detector interface {
	observe(bad bool) bool
}

// windowDetector alarms at limit bad outcomes among the last size.
type windowDetector struct {
	outcomes []bool
	next     int
	bad      int
	limit    int
}

func newWindowDetector(size, limit int) *windowDetector {
	return &windowDetector{outcomes: make([]bool, size), limit: limit}
}

func (w *windowDetector) observe(bad bool) bool {
	if w.outcomes[w.next] {
		w.bad--
	}
	w.outcomes[w.next] = bad
	w.next = (w.next + 1) % len(w.outcomes)
	if bad {
		w.bad++
	}
	if w.bad < w.limit {
		return false
	}
	clear(w.outcomes)
	w.bad = 0
	return true
}

// restartedDetector is the restarted Bayesian online change-point detector
// (R-BOCPD) for Bernoulli outcomes: R. Alami, O. Maillard, R. Féraud, "Restarted
// Bayesian Online Change-point Detector achieves Optimal Detection Delay", ICML
// 2020, algorithm 2 with the closed form of its equation 10 and the weight
// scale/n in place of the paper's 1/n. It restarts at any change and reports a
// rise only.
type restartedDetector struct {
	scale float64
	// prefix[i] is the number of bad outcomes among the first i since the restart.
	prefix []int
}

func (d *restartedDetector) observe(bad bool) bool {
	if len(d.prefix) == 0 {
		d.prefix = append(d.prefix, 0)
	}
	total := d.prefix[len(d.prefix)-1]
	if bad {
		total++
	}
	d.prefix = append(d.prefix, total)
	n := len(d.prefix) - 1
	whole := lossOf(n, total)
	scale := math.Log(d.scale / float64(n))
	for s := 1; s < n; s++ {
		before, after := d.prefix[s], total-d.prefix[s]
		if scale-lossOf(s, before)-lossOf(n-s, after) > -whole {
			rise := float64(after)/float64(n-s) > float64(before)/float64(s)
			d.prefix = d.prefix[:0]
			return rise
		}
	}
	return false
}

// logFactorial[n] is log n!.
var logFactorial = func() []float64 {
	table := make([]float64, 4096)
	for n := 1; n < len(table); n++ {
		table[n] = table[n-1] + math.Log(float64(n))
	}
	return table
}()

// lossOf is the cumulative loss of the Laplace predictor over n outcomes of which
// k were bad (the paper's lemma 3).
func lossOf(n, k int) float64 {
	return math.Log(float64(n+1)) + logFactorial[n] - logFactorial[k] - logFactorial[n-k]
}

const (
	calibrationTraces = 200
	calibrationLength = 1000
	// allowedAlarms are false alarms over all calibration outcomes: one in 10,000.
	allowedAlarms = calibrationTraces * calibrationLength / 10_000
	delayTraces   = 200
	healthyBefore = 300
)

func falseAlarms(build func() detector, rate float64) int {
	alarms := 0
	for trace := range uint64(calibrationTraces) {
		rng := rand.New(rand.NewPCG(trace, 1))
		d := build()
		for range calibrationLength {
			if d.observe(rng.Float64() < rate) {
				alarms++
			}
		}
	}
	return alarms
}

// delays returns the sorted numbers of outcomes from the change to the alarm.
func delays(build func() detector, before, after float64) []int {
	var all []int
	for trace := range uint64(delayTraces) {
		rng := rand.New(rand.NewPCG(trace, 2))
		d := build()
		for range healthyBefore {
			d.observe(rng.Float64() < before)
		}
		delay := 1
		for !d.observe(rng.Float64() < after) && delay < 1000 {
			delay++
		}
		all = append(all, delay)
	}
	slices.Sort(all)
	return all
}

func mean(values []int) float64 {
	sum := 0
	for _, v := range values {
		sum += v
	}
	return float64(sum) / float64(len(values))
}

// calibratedWindow returns the window of a size with the lowest limit that keeps
// the allowed false alarms.
func calibratedWindow(size int, rate float64) func() detector {
	for limit := 2; limit <= size; limit++ {
		build := func() detector { return newWindowDetector(size, limit) }
		if falseAlarms(build, rate) <= allowedAlarms {
			return build
		}
	}
	return func() detector { return newWindowDetector(size, size) }
}

func calibratedRestarted(rate float64) func() detector {
	scale := 16.0
	build := func() detector { return &restartedDetector{scale: scale} }
	for falseAlarms(build, rate) > allowedAlarms {
		scale /= 2
	}
	return build
}

// BenchmarkDetectors counts the outcomes from a rise of the failure rate to its
// alarm, at one false alarm in 10,000 outcomes. The restarted Bayesian detector
// would have to be the sooner one to be worth its cost, which grows with the
// outcomes since its last restart.
func BenchmarkDetectors(b *testing.B) {
	for _, before := range []float64{0.02, 0.1} {
		for _, after := range []float64{0.2, 0.3, 0.5, 0.9} {
			b.Run(fmt.Sprintf("%.2f-%.2f", before, after), func(b *testing.B) {
				for b.Loop() {
					for _, size := range []int{8, 16, 32, 64} {
						d := delays(calibratedWindow(size, before), before, after)
						b.ReportMetric(mean(d), fmt.Sprintf("window%d", size))
					}
					d := delays(calibratedRestarted(before), before, after)
					b.ReportMetric(mean(d), "restarted")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}
