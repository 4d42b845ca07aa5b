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

// measureRounds is the number of measurements of each time.
const measureRounds = 20

// measurePollInterval is the resolution of the measured times.
const measurePollInterval = 5 * time.Millisecond

// reportTimes reports the median and the maximum of the measured times.
func reportTimes(b *testing.B, what string, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), what+"-median-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), what+"-worst-ms")
}

// waitUntil waits for a condition and returns the time since start.
func waitUntil(b *testing.B, start time.Time, condition func() bool) time.Duration {
	b.Helper()
	for !condition() {
		if time.Since(start) > waitTimeout {
			b.Fatalf("condition not met within %v", waitTimeout)
		}
		time.Sleep(measurePollInterval)
	}
	return time.Since(start)
}

// BenchmarkPublishInForce measures the time from the publication of a version until it is in force
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

// BenchmarkKeyWithdrawal measures the time from the publication of a key's withdrawal until the last
// of nine instances refuses the key.
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

// forEachInstance calls do for all instances concurrently and waits for the calls to return.
func (f *fleet) forEachInstance(do func(*daemon)) {
	var wg sync.WaitGroup
	for _, d := range f.instances {
		wg.Go(func() { do(d) })
	}
	wg.Wait()
}

// lookupStatus returns the HTTP status code of a lookup through an instance.
func (f *fleet) lookupStatus(d *daemon) int {
	resp, _ := callPlain(context.Background(), d.callerAddress, f.keys["alpha"], http.MethodGet, "/roster/x", "", "")
	return resp.status
}

// BenchmarkTakeover kills the instance that schedules the model service. It measures the time until
// the next request through another instance is answered, and the time until the engines have freed
// the memory of the killed instance's requests.
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

// BenchmarkCancel measures the time from a caller's disconnect until the engines hold no stream or
// KV cache of its request.
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
