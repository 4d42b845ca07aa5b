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
const measurePoll = 5 * time.Millisecond

// report writes the median and the worst of measured times.
func report(b *testing.B, what string, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), what+"-median-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), what+"-worst-ms")
}

// until measures how long a condition takes to come about.
func until(b *testing.B, began time.Time, condition func() bool) time.Duration {
	b.Helper()
	for !condition() {
		if time.Since(began) > patience {
			b.Fatal("never came about")
		}
		time.Sleep(measurePoll)
	}
	return time.Since(began)
}

// BenchmarkPublishInForce measures from a publish to its version being in force
// on all nine instances, a hundred times.
func BenchmarkPublishInForce(b *testing.B) {
	f := newFleet(b, fleetConfig{instances: 9, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond})
	for b.Loop() {
		var times []time.Duration
		for range 5 * measureRounds {
			f.set.Limits[0].Burst++
			began := time.Now()
			f.publish()
			line := fmt.Sprintf("version=%d", f.version)
			times = append(times, until(b, began, func() bool {
				for _, d := range f.instances {
					if !slices.ContainsFunc(d.printed(), func(l string) bool {
						return strings.Contains(l, "configuration in force") && strings.Contains(l, line)
					}) {
						return false
					}
				}
				return true
			}))
		}
		report(b, "in-force", times)
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
			f.set.Keys = append(f.set.Keys, object.Key{Name: key, Organisation: "alpha", Hash: object.HashKey(key)})
			f.publish()
			f.each(func(d *daemon) { until(b, time.Now(), func() bool { return f.lookup(d) == http.StatusOK }) })
			f.set.Keys[len(f.set.Keys)-1].Withdrawn = true
			began := time.Now()
			f.publish()
			f.each(func(d *daemon) { until(b, began, func() bool { return f.lookup(d) == http.StatusUnauthorized }) })
			times = append(times, time.Since(began))
		}
		report(b, "withdrawn", times)
	}
}

func (f *fleet) each(do func(*daemon)) {
	var all sync.WaitGroup
	for _, d := range f.instances {
		all.Go(func() { do(d) })
	}
	all.Wait()
}

func (f *fleet) lookup(d *daemon) int {
	a, _ := call(context.Background(), d.callers, f.keys["alpha"], http.MethodGet, "/roster/x", "", "")
	return a.status
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
			gone := f.scheduler()
			_, wait := f.openStreams(context.Background(), gone, 4)
			began := time.Now()
			gone.signal(syscall.SIGKILL)
			a := chat(context.Background(), f.without(gone)[0].callers, f.keys["beta"], "next", 1, nil)
			if wrong := a.wrong("next", 1); wrong != "" {
				b.Fatal(wrong)
			}
			served = append(served, time.Since(began))
			freed = append(freed, until(b, began, func() bool { return f.held() == 0 }))
			wait()
		}
		report(b, "served", served)
		report(b, "freed", freed)
	}
}

// BenchmarkCancel measures from a caller's departure to the engine holding
// nothing of its request.
func BenchmarkCancel(b *testing.B) {
	f := newFleet(b, fleetConfig{instances: 1, prefill: 1, decode: 1, plain: 1, tokenTime: 20 * time.Millisecond})
	for b.Loop() {
		var times []time.Duration
		for range measureRounds {
			ctx, leave := context.WithCancel(context.Background())
			_, wait := f.openStreams(ctx, f.instances[0], 1)
			began := time.Now()
			leave()
			times = append(times, until(b, began, func() bool { return f.held() == 0 }))
			wait()
		}
		report(b, "freed", times)
	}
}
