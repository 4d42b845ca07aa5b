package gateway

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/upstream"
)

// Limits and timings of ejections.
const (
	// baseEjection is how long an upstream gets no requests after its first failure; the time
	// doubles with each further failure up to maxEjection. A crashed engine remains listed for up
	// to three of its heartbeats.
	baseEjection = 400 * time.Millisecond
	maxEjection  = 3 * time.Second
	// restartedEjection is how long a model engine gets no requests after its process has ended. It
	// may be back at its address immediately, in another role and with empty memory, and refuses
	// requests until its new entry has arrived, which takes a heartbeat and a read.
	restartedEjection = 2 * time.Second
	// failureRetention is how long failures count against an upstream.
	failureRetention = 10 * time.Second
	// unreachableCheckInterval is how often upstreams of a service are checked while none of them can be
	// reached and requests arrive; maxUnreachableChecks is the number of upstreams that are checked.
	unreachableCheckInterval = 250 * time.Millisecond
	maxUnreachableChecks     = 8
)

// outlierDetector ejects upstreams that were unreachable or broke off answers. It is safe for
// concurrent use.
type outlierDetector struct {
	now boottime.Clock
	mu  sync.Mutex
	// ejections are keyed by ID and start time of the run.
	ejections map[upstreamRun]ejection
	// checked is when the upstreams of a service were last checked, if none could be reached.
	checked map[serviceRole]time.Duration
	// failing are the pools whose upstreams are watched for failed requests.
	failing map[serviceRole]*failingPool
}

type serviceRole struct {
	service string
	role    upstream.Role
}

type upstreamRun struct {
	id      string
	started int64
}

type ejection struct {
	failures    int
	lastFailure time.Duration
	until       time.Duration
	// unreachable is set if no instance could connect at the last failure.
	unreachable bool
}

func newOutlierDetector(now boottime.Clock) *outlierDetector {
	return &outlierDetector{now: now, ejections: make(map[upstreamRun]ejection), checked: make(map[serviceRole]time.Duration), failing: make(map[serviceRole]*failingPool)}
}

// recordUnreachable ejects an upstream that could not be reached.
func (o *outlierDetector) recordUnreachable(e upstream.Entry, cause error) {
	minimum := baseEjection
	if e.Role != upstream.Plain && errors.Is(cause, syscall.ECONNREFUSED) {
		minimum = restartedEjection
	}
	o.eject(e, minimum, true)
}

// recordFailure ejects an upstream that failed a request.
func (o *outlierDetector) recordFailure(e upstream.Entry) { o.eject(e, baseEjection, false) }

// eject ejects an upstream for a time that grows with each failure.
func (o *outlierDetector) eject(e upstream.Entry, minimum time.Duration, unreachable bool) {
	now := o.now()
	key := upstreamRun{e.ID, e.Started}
	o.mu.Lock()
	defer o.mu.Unlock()
	entry := o.ejections[key]
	entry.unreachable = unreachable
	if entry.until > now {
		// Concurrent failures count as one.
		o.ejections[key] = entry
		return
	}
	if now-entry.lastFailure > failureRetention {
		entry.failures = 0
	}
	entry.lastFailure = now
	entry.until = now + min(max(baseEjection<<min(entry.failures, 4), minimum), maxEjection)
	entry.failures++
	o.ejections[key] = entry
}

// unreachable reports whether none of the entries with the role can be reached, so that requests are refused
// at once. If a check is due, it returns the entries that the caller must check.
func (o *outlierDetector) unreachable(service string, entries []upstream.Entry, role upstream.Role) (all bool, check []upstream.Entry) {
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.ejections) == 0 {
		return false, nil
	}
	for _, e := range entries {
		if e.Role != role || e.Leaving {
			continue
		}
		f := o.ejections[upstreamRun{e.ID, e.Started}]
		if !f.unreachable || f.until <= now {
			return false, nil
		}
		check = append(check, e)
	}
	if len(check) == 0 {
		return false, nil
	}
	key := serviceRole{service, role}
	if last, checked := o.checked[key]; checked && now-last < unreachableCheckInterval {
		return true, nil
	}
	o.checked[key] = now
	return true, check[:min(len(check), maxUnreachableChecks)]
}

// recordSuccess clears the failures of an upstream.
func (o *outlierDetector) recordSuccess(e upstream.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.ejections, upstreamRun{e.ID, e.Started})
}

// ejectedByConnections returns which of the entries are ejected because they were unreachable or broke off answers, and drops
// expired failures.
func (o *outlierDetector) ejectedByConnections(entries []upstream.Entry) map[string]bool {
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.ejections) == 0 {
		return nil
	}
	out := make(map[string]bool)
	for _, e := range entries {
		if f, known := o.ejections[upstreamRun{e.ID, e.Started}]; known && f.until > now {
			out[e.ID] = true
		}
	}
	for key, f := range o.ejections {
		if now-f.lastFailure > failureRetention {
			delete(o.ejections, key)
		}
	}
	return out
}
