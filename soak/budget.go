package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// Budget of repeated arrivals at a service: in any retryWindow, retryRatio times the requests for it and retrySlack.
const (
	retryRatio  = 0.1
	retrySlack  = 20
	retryWindow = 10 * time.Second
)

// massKinds let many requests fail at once. They are drawn separately, like delayKinds.
var massKinds = []faultKind{
	{"engines crash in numbers", 2, func(r *run, f fault) { r.crashInNumbers(f, standin.StageDecode) }},
	{"engines that prefill crash in numbers", 1, func(r *run, f fault) { r.crashInNumbers(f, standin.StagePrefill) }},
}

const (
	// meanMassGap is the mean time between two faults of massKinds.
	meanMassGap = 10 * time.Second
	// massCrashGap is the time between two crashes of such a fault.
	massCrashGap = 250 * time.Millisecond
)

// crashInNumbers crashes one engine of a stage after another.
func (r *run) crashInNumbers(f fault, stage string) {
	var engines []proxiedEngine
	for _, e := range r.engines {
		if e.engine.Stage() == stage {
			engines = append(engines, e)
		}
	}
	if len(engines) == 0 {
		return
	}
	end := time.Now().Add(f.Duration)
	for n := f.Target; time.Now().Before(end); n++ {
		engines[n%len(engines)].engine.Crash("")
		time.Sleep(massCrashGap)
	}
}

// addArrival records a request that arrived at an engine.
func (l *ledger) addArrival(a standin.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// checkBudget checks the arrivals at a service beyond the first of each request in every retryWindow. The first prefill
// of a request that an engine accepts is not counted.
func (l *ledger) checkBudget(service string) []Finding {
	arrivals := slices.DeleteFunc(slices.Clone(l.arrivals), func(a standin.Arrival) bool { return a.Service != service })
	slices.SortFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	var repeated []standin.Arrival
	prefilled, arrived := make(map[string]bool), make(map[string]bool)
	for _, a := range arrivals {
		switch {
		case a.Prefill && !a.Refused && !prefilled[a.ID]:
			prefilled[a.ID] = true
		case !arrived[a.ID]:
			arrived[a.ID] = true
		default:
			repeated = append(repeated, a)
		}
	}
	var sent []time.Time
	for _, s := range l.requests {
		if s.kind.Streamed() == (service == standin.ModelService) {
			sent = append(sent, s.sentAt)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	requests := func(from time.Time) int {
		first, _ := slices.BinarySearchFunc(sent, from, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(sent, from.Add(retryWindow), time.Time.Compare)
		return end - first
	}
	first := 0
	for n, a := range repeated {
		for a.At.Sub(repeated[first].At) > retryWindow {
			first++
		}
		from := a.At.Add(-retryWindow)
		most := max(requests(from), requests(from.Add(-retryWindow/2)), requests(from.Add(-retryWindow)))
		if allowed := retryRatio*float64(most) + retrySlack; float64(n-first+1) > allowed {
			return []Finding{{"retry budget", a.ID, fmt.Sprintf("%d arrivals at %s beyond the first of each request in %v for %d requests, allowed %.0f", n-first+1, service, retryWindow, most, allowed), a.At}}
		}
	}
	return nil
}
