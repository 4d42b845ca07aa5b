package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/membership/gossip"
)

// BenchmarkTraffic reports the bytes that a member sends a second, IP and UDP
// headers included (it receives as many), and the processor time of a member's
// second of virtual time, codec and simulation included: in quiet operation, and
// while one member is replaced every three seconds, which at 400 members is a
// rolling replacement of the fleet in 20 minutes.
func BenchmarkTraffic(b *testing.B) {
	for _, count := range []int{9, 100, 400} {
		for _, mode := range []string{"quiet", "rolling"} {
			b.Run(fmt.Sprint(count, "/", mode), func(b *testing.B) {
				w := formed(b, 1, count)
				w.run(time.Minute)
				w.bytes = 0
				b.ResetTimer()
				for i := 0; b.Loop(); i++ {
					for replaced := i * 20; replaced < (i+1)*20; replaced++ {
						if mode == "rolling" {
							w.leave(w.nodes[replaced%count])
							w.run(time.Second)
							w.start(w.nodes[replaced%count])
						} else {
							w.run(time.Second)
						}
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
}

// BenchmarkTimes reports, in seconds of virtual time averaged over runs: a fresh
// fleet finding itself, a death known to the first and to all members, a new
// configuration version known to all, and the views equal again after a partition
// into halves of a minute, with the bytes each member sent until then.
func BenchmarkTimes(b *testing.B) {
	for _, count := range []int{9, 100, 400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			total := make(map[string]float64)
			for i := 0; b.Loop(); i++ {
				w := newNetwork(uint64(i+1), count)
				total["form-s"] += w.settle(b, 2*time.Minute).Seconds()
				w.run(20 * time.Second)
				victim := w.nodes[count-1]
				w.stop(victim)
				someone := func() bool {
					return !w.everyone(victim, func(s gossip.State) bool { return !s.Terminal() })
				}
				first := w.runUntil(time.Minute, someone).Seconds()
				total["first-death-s"] += first
				total["all-death-s"] += first + w.runUntil(time.Minute, func() bool {
					return w.everyone(victim, gossip.State.Terminal)
				}).Seconds()
				total["version-s"] += w.spreadVersion(0, 9).Seconds()
				w.side = func(s *simNode) int { return int(s.name[len(s.name)-1]) % 2 }
				w.run(time.Minute)
				w.side, w.bytes = nil, 0
				total["heal-s"] += w.settle(b, 5*time.Minute).Seconds()
				total["heal-B"] += float64(w.bytes / count)
			}
			for unit, sum := range total {
				b.ReportMetric(sum/float64(b.N), unit)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
