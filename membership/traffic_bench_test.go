package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/membership/gossip"
)

// BenchmarkTraffic reports the bytes a second that a member sends, including IP and UDP headers
// (it receives as many), and the CPU time of a member for a second of virtual time, including
// codec and simulation. It measures a fleet without changes, and one in which a member is
// replaced every three seconds, which for 400 members is a rolling replacement of the fleet in
// 20 minutes.
func BenchmarkTraffic(b *testing.B) {
	for _, count := range []int{9, 100, 400} {
		for _, mode := range []string{"quiet", "rolling"} {
			b.Run(fmt.Sprint(count, "/", mode), func(b *testing.B) {
				sim := newConverged(b, 1, count)
				sim.run(time.Minute)
				sim.bytes = 0
				b.ResetTimer()
				for i := 0; b.Loop(); i++ {
					for replaced := i * 20; replaced < (i+1)*20; replaced++ {
						if mode == "rolling" {
							sim.leave(sim.nodes[replaced%count])
							sim.run(time.Second)
							sim.start(sim.nodes[replaced%count])
						} else {
							sim.run(time.Second)
						}
						sim.run(2 * time.Second)
					}
				}
				seconds := float64(b.N) * 60 * float64(count)
				b.ReportMetric(float64(sim.bytes)/seconds, "B/s")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds, "cpu-µs/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkTimes reports the virtual time in seconds, averaged over runs, until a new fleet has
// converged, until a death is known to the first and to all members, until a new configuration
// version is known to all, and until the views are equal again after a partition into two halves
// that lasts a minute, with the bytes that each member sent to recover.
func BenchmarkTimes(b *testing.B) {
	for _, count := range []int{9, 100, 400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			total := make(map[string]float64)
			for i := 0; b.Loop(); i++ {
				sim := newSimNetwork(uint64(i+1), count)
				total["form-s"] += sim.waitConverged(b, 2*time.Minute).Seconds()
				sim.run(20 * time.Second)
				victim := sim.nodes[count-1]
				sim.stop(victim)
				knownToAny := func() bool {
					return !sim.allObserve(victim, func(s gossip.State) bool { return !s.Terminal() })
				}
				first := sim.runUntil(time.Minute, knownToAny).Seconds()
				total["first-death-s"] += first
				total["all-death-s"] += first + sim.runUntil(time.Minute, func() bool {
					return sim.allObserve(victim, gossip.State.Terminal)
				}).Seconds()
				total["version-s"] += sim.spreadVersion(0, 9).Seconds()
				sim.partition = func(s *simNode) int { return int(s.name[len(s.name)-1]) % 2 }
				sim.run(time.Minute)
				sim.partition, sim.bytes = nil, 0
				total["heal-s"] += sim.waitConverged(b, 5*time.Minute).Seconds()
				total["heal-B"] += float64(sim.bytes / count)
			}
			for unit, sum := range total {
				b.ReportMetric(sum/float64(b.N), unit)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
