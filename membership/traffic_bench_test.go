package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/membership/gossip"
)

// BenchmarkTraffic runs a minute of quiet operation and reports the bytes that a
// member sends a second, IP and UDP headers included (it receives as many), and
// the processor time of a member's second of virtual time, codec included.
func BenchmarkTraffic(b *testing.B) {
	for _, count := range []int{9, 100, 400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			w := formed(b, 1, count)
			w.run(time.Minute)
			w.bytes = 0
			b.ResetTimer()
			for b.Loop() {
				w.run(time.Minute)
			}
			seconds := float64(b.N) * 60 * float64(count)
			b.ReportMetric(float64(w.bytes)/seconds, "B/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds, "cpu-µs/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkChurn restarts one member every 3 seconds, which at 400 members is a
// rolling replacement of the fleet in 20 minutes.
func BenchmarkChurn(b *testing.B) {
	for _, count := range []int{9, 100, 400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			w := formed(b, 1, count)
			w.run(time.Minute)
			w.bytes = 0
			next := 0
			b.ResetTimer()
			for b.Loop() {
				for range 20 {
					s := w.nodes[next%count]
					next++
					w.leave(s)
					w.run(time.Second)
					w.start(s)
					w.run(2 * time.Second)
				}
			}
			seconds := float64(b.N) * 60 * float64(count)
			b.ReportMetric(float64(w.bytes)/seconds, "B/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds, "cpu-µs/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkTimes reports, in seconds of virtual time averaged over runs: a fresh
// fleet finding itself, a death known to the first and to all members, a new
// configuration version known to all, and the views equal again after a partition
// into halves of a minute.
func BenchmarkTimes(b *testing.B) {
	for _, count := range []int{9, 100, 400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var form, first, all, version, heal time.Duration
			peak := 0.0
			for i := 0; b.Loop(); i++ {
				w := newNetwork(uint64(i+1), count)
				form += w.runUntil(2*time.Minute, w.converged)
				w.run(20 * time.Second)
				victim := w.nodes[count-1]
				w.stop(victim)
				some := w.runUntil(time.Minute, func() bool {
					return !w.everyone(victim, func(s gossip.State) bool { return !s.Terminal() })
				})
				first += some
				all += some + w.runUntil(time.Minute, func() bool { return w.everyone(victim, gossip.State.Terminal) })
				w.nodes[0].node.SetConfigVersion(9)
				version += w.runUntil(time.Minute, func() bool {
					for _, s := range w.live()[1:] {
						if s.behind < 9 {
							return false
						}
					}
					return true
				})
				w.side = func(s *simNode) int { return int(s.address[len(s.address)-6]) % 2 }
				w.run(time.Minute)
				w.side = nil
				w.bytes = 0
				took := w.runUntil(5*time.Minute, w.converged)
				heal += took
				peak = max(peak, float64(w.bytes)/took.Seconds()/float64(count))
			}
			report := func(total time.Duration, unit string) {
				b.ReportMetric(total.Seconds()/float64(b.N), unit)
			}
			report(form, "form-s")
			report(first, "first-death-s")
			report(all, "all-death-s")
			report(version, "version-s")
			report(heal, "heal-s")
			b.ReportMetric(peak, "heal-B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
