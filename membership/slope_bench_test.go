package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/membership/gossip"
)

// pollStep is the resolution of the times that BenchmarkLossTogether reports.
const pollStep = 500 * time.Millisecond

// runInSteps runs until done returns true or the limit is reached, and returns the virtual time
// elapsed.
func runInSteps(sim *simNetwork, limit time.Duration, done func() bool) time.Duration {
	elapsed := time.Duration(0)
	for !done() && elapsed < limit {
		sim.run(pollStep)
		elapsed += pollStep
	}
	return elapsed
}

// BenchmarkLossTogether stops 1, 20 or 80 of 400 members at the same time, like the loss of an
// instance, a rack or a data centre. It reports the virtual time in seconds until each death is
// known to at least one survivor and until all are known to all survivors, and the bytes a
// second that a survivor sends meanwhile. Checking every victim at every survivor is slow, so it
// is done only every pollStep.
func BenchmarkLossTogether(b *testing.B) {
	const count = 400
	for _, victimCount := range []int{1, 20, 80} {
		b.Run(fmt.Sprint(victimCount), func(b *testing.B) {
			var first, all time.Duration
			bytes := 0.0
			for i := 0; b.Loop(); i++ {
				sim := newConverged(b, uint64(i+1), count)
				sim.run(20 * time.Second)
				victims := sim.nodes[count-victimCount:]
				for _, v := range victims {
					sim.stop(v)
				}
				sim.bytes = 0
				untilFirst := runInSteps(sim, time.Minute, func() bool {
					for _, v := range victims {
						if sim.allObserve(v, func(s gossip.State) bool { return !s.Terminal() }) {
							return false
						}
					}
					return true
				})
				afterFirst := runInSteps(sim, 2*time.Minute, func() bool {
					for _, v := range victims {
						if !sim.allObserve(v, gossip.State.Terminal) {
							return false
						}
					}
					return true
				})
				first += untilFirst
				all += untilFirst + afterFirst
				bytes += float64(sim.bytes) / (untilFirst + afterFirst).Seconds() / float64(count-victimCount)
			}
			rounds := float64(b.N)
			b.ReportMetric(first.Seconds()/rounds, "each-known-to-one-s")
			b.ReportMetric(all.Seconds()/rounds, "all-known-to-all-s")
			b.ReportMetric(bytes/rounds, "B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
