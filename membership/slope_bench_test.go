package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/membership/gossip"
)

// lossStep is how finely BenchmarkLossTogether tells times.
const lossStep = 500 * time.Millisecond

// runInSteps runs until done holds, at most for limit, and returns the time it took.
func runInSteps(w *network, limit time.Duration, done func() bool) time.Duration {
	took := time.Duration(0)
	for !done() && took < limit {
		w.run(lossStep)
		took += lossStep
	}
	return took
}

// BenchmarkLossTogether stops so many of 400 members at one moment, as the loss of
// an instance, a rack or a data centre does, and reports in seconds of virtual time
// when the first and when every survivor knows of all of them, and the bytes that a
// survivor sends a second meanwhile. Asking every survivor about every victim takes
// long, so that it is done in steps of lossStep.
func BenchmarkLossTogether(b *testing.B) {
	const count = 400
	for _, lost := range []int{1, 20, 80} {
		b.Run(fmt.Sprint(lost), func(b *testing.B) {
			var first, all time.Duration
			bytes := 0.0
			for i := 0; b.Loop(); i++ {
				w := formed(b, uint64(i+1), count)
				w.run(20 * time.Second)
				victims := w.nodes[count-lost:]
				for _, v := range victims {
					w.stop(v)
				}
				w.bytes = 0
				some := runInSteps(w, time.Minute, func() bool {
					for _, v := range victims {
						if w.everyone(v, func(s gossip.State) bool { return !s.Terminal() }) {
							return false
						}
					}
					return true
				})
				rest := runInSteps(w, 2*time.Minute, func() bool {
					for _, v := range victims {
						if !w.everyone(v, gossip.State.Terminal) {
							return false
						}
					}
					return true
				})
				first += some
				all += some + rest
				bytes += float64(w.bytes) / (some + rest).Seconds() / float64(count-lost)
			}
			rounds := float64(b.N)
			b.ReportMetric(first.Seconds()/rounds, "each-known-to-one-s")
			b.ReportMetric(all.Seconds()/rounds, "all-known-to-all-s")
			b.ReportMetric(bytes/rounds, "B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
