package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/object"
)

// measureRounds is how often each time is measured.
const measureRounds = 20

// measurePoll is how finely a time is measured.
const measurePollInterval = 5 * time.Millisecond

// report writes the median and the worst of measured times.
func reportTimes(b *testing.B, what string, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), what+"-median-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), what+"-worst-ms")
}

// until measures how long a condition takes to come about.
func waitUntil(b *testing.B, start time.Time, condition func() bool) time.Duration {
	b.Helper()
	for !condition() {
		if time.Since(start) > waitTimeout {
			b.Fatal("never came about")
		}
		time.Sleep(measurePollInterval)
	}
	return time.Since(start)
}

// BenchmarkPublishInForce measures from a publish to its version being in force
// on all nine instances, a hundred times.
func BenchmarkPublishInForce(b *testing.B) {
	f := newFleet(b, fleetConfig{instances: 9, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond})
	for b.Loop() {
		var times []time.Duration
		for range 5 * measureRounds {
			f.objectSet.Limits[0].Burst++
			start := time.Now()
			f.publish()
			line := fmt.Sprintf("version=%d", f.version)
			times = append(times, waitUntil(b, start, func() bool {
				for _, d := range f.instances {
					if !slices.ContainsFunc(d.outputLines(), func(l string) bool {
						return strings.Contains(l, "configuration in force") && strings.Contains(l, line)
					}) {
						return false
					}
				}
				return true
			}))
		}
		reportTimes(b, "in-force", times)
	}
}

// BenchmarkKeyWithdrawal measures from the publish of a withdrawal to the last
// of nine instances refusing the key.
func BenchmarkKeyWithdrawal(b *testing.B) {
	f := newFleet(b, fleetConfig{instances: 9, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond})
	for b.Loop() {
		var times []time.Duration
		for n := range measureRounds {
			key := fmt.Sprintf("key-%d", n)
			f.keys["alpha"] = key
			f.objectSet.Keys = append(f.objectSet.Keys, object.Key{Name: key, Organisation: "alpha", Hash: object.HashKey(key)})
			f.publish()
			f.forEachInstance(func(d *daemon) { waitUntil(b, time.Now(), func() bool { return f.lookupStatus(d) == http.StatusOK }) })
			f.objectSet.Keys[len(f.objectSet.Keys)-1].Withdrawn = true
			start := time.Now()
			f.publish()
			f.forEachInstance(func(d *daemon) {
				waitUntil(b, start, func() bool { return f.lookupStatus(d) == http.StatusUnauthorized })
			})
			times = append(times, time.Since(start))
		}
		reportTimes(b, "withdrawn", times)
	}
}

func (f *fleet) forEachInstance(do func(*daemon)) {
	var wg sync.WaitGroup
	for _, d := range f.instances {
		wg.Go(func() { do(d) })
	}
	wg.Wait()
}

func (f *fleet) lookupStatus(d *daemon) int {
	resp, _ := callPlain(context.Background(), d.callerAddress, f.keys["alpha"], http.MethodGet, "/roster/x", "", "")
	return resp.status
}

// BenchmarkTakeover kills the scheduler of the model service and measures until
// another instance's next request is answered, and until the engines have freed
// what the dead instance's callers held.
func BenchmarkTakeover(b *testing.B) {
	for b.Loop() {
		var served, freed []time.Duration
		for range 3 {
			f := newFleet(b, fleetConfig{
				instances: 3, prefill: 1, decode: 1, plain: 1, tokenTime: 50 * time.Millisecond,
				engineArgs: []string{"--resume-ttl", "1h"},
			})
			scheduler := f.agreedScheduler()
			_, wait := f.openStreams(context.Background(), scheduler, 4)
			start := time.Now()
			scheduler.signal(syscall.SIGKILL)
			resp := chat(context.Background(), f.instancesExcept(scheduler)[0].callerAddress, f.keys["beta"], "next", 1, nil)
			if problem := resp.problem("next", 1); problem != "" {
				b.Fatal(problem)
			}
			served = append(served, time.Since(start))
			freed = append(freed, waitUntil(b, start, func() bool { return f.heldByEngines() == 0 }))
			wait()
		}
		reportTimes(b, "served", served)
		reportTimes(b, "freed", freed)
	}
}

// BenchmarkCancel measures from a caller's departure to the engine holding
// nothing of its request.
func BenchmarkCancel(b *testing.B) {
	f := newFleet(b, fleetConfig{instances: 1, prefill: 1, decode: 1, plain: 1, tokenTime: 20 * time.Millisecond})
	for b.Loop() {
		var times []time.Duration
		for range measureRounds {
			ctx, disconnect := context.WithCancel(context.Background())
			_, wait := f.openStreams(ctx, f.instances[0], 1)
			start := time.Now()
			disconnect()
			times = append(times, waitUntil(b, start, func() bool { return f.heldByEngines() == 0 }))
			wait()
		}
		reportTimes(b, "freed", times)
	}
}
