package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// drillKinds let the store come back from a copy that is some seconds old, alone, and beside the end of all or half of
// the instances. They are drawn separately, like delayKinds.
var drillKinds = []faultKind{
	{"drill of the store", 3, func(r *run, f fault) { r.drill(f) }},
	{"drill after a key withdrawn", 2, func(r *run, f fault) {
		r.rotateKey()
		r.drill(f)
	}},
	{"drill before a key withdrawn", 2, func(r *run, f fault) {
		r.drill(f)
		r.rotateKey()
	}},
	{"drill while half end", 2, func(r *run, f fault) {
		for n := f.Target % 2; n < len(r.instances); n += 2 {
			r.instances[n].signal(syscall.SIGTERM)
		}
		r.drill(f)
	}},
	{"drill while all are killed", 1, func(r *run, f fault) {
		r.store.SetDown(true)
		r.killAll()
		r.drill(f)
	}},
	{"drills in series", 1, func(r *run, f fault) {
		for range 3 {
			r.drill(f)
			time.Sleep(time.Second)
		}
	}},
}

const (
	// meanDrillGap is the mean time between two faults of drillKinds.
	meanDrillGap = 9 * time.Second
	// maxCopyAge is the age of the oldest copy. The store is away for drillOutage before, and drillRewrite after that what
	// the operator wrote is written again.
	maxCopyAge   = 5 * time.Second
	drillOutage  = 400 * time.Millisecond
	drillRewrite = 200 * time.Millisecond
	// maxApplyDelay is the time within which a changed configuration is in force.
	maxApplyDelay = 2 * time.Second
)

// drill makes the store come back from a copy whose age depends on the fault.
func (r *run) drill(f fault) {
	r.store.SetDown(true)
	time.Sleep(drillOutage)
	writeAgain := r.store.GoBack(f.Duration % maxCopyAge)
	r.store.SetDown(false)
	time.Sleep(drillRewrite)
	writeAgain()
}

// fleetID returns the id of the fleet in the store.
func (r *run) fleetID() string { return string(r.store.Newest("keyed.fleet", "id")) }

// checkFleetID checks that the fleet has kept its id.
func (r *run) checkFleetID() []Finding {
	if id := r.fleetID(); id != r.firstID {
		return []Finding{{"one fleet id", "", fmt.Sprintf("%q after %q", id, r.firstID), time.Now()}}
	}
	return nil
}

func (l *ledger) markKeyAdded(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.addedAt[key]; !known {
		l.addedAt[key] = time.Now()
	}
}

// checkAddedKeys checks that undisturbed instances refuse no key that was added in time: a configuration that was
// applied does not come back older.
func (l *ledger) checkAddedKeys() (out []Finding) {
	for id, s := range l.requests {
		added, known := l.addedAt[s.key]
		withdrawn, gone := l.withdrawnAt[s.key]
		switch {
		case s.status != http.StatusUnauthorized || !known || s.sentAt.Sub(added) < maxApplyDelay+clockSlack:
		case gone && s.endedAt.After(withdrawn.Add(-clockSlack)):
		case l.undisturbed(s.instance, added, s.endedAt):
			out = append(out, Finding{"configuration", id, fmt.Sprintf("refused for its key, which was added %v before", s.sentAt.Sub(added)), s.sentAt})
		}
	}
	return out
}
