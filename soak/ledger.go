package soak

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// request is one request as observed by its caller.
type request struct {
	kind         standin.Kind
	organisation string
	key          string
	// parts are the shared parts of the prompt.
	parts []string
	// badPart is the part of the prompt that crashes engines, if any.
	badPart string
	// instance is the name of the instance that it was sent to.
	instance string
	sentAt   time.Time
	// status is the HTTP status, or 0 if there was no response.
	status    int
	answer    string
	signature string
	// truncated is set if the connection was lost before the end of the answer.
	truncated bool
	endedAt   time.Time
}

// ledger records what callers sent and received and what engines ran.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*request
	runs     map[string][]standin.Run
	// withdrawnAt holds the time at which each withdrawn key was withdrawn.
	withdrawnAt map[string]time.Time
	// addedAt holds the time at which each key was added.
	addedAt map[string]time.Time
	// leavingSince holds the time at which each leaving engine announced that it leaves.
	leavingSince map[string]time.Time
	faultPeriods []faultPeriod
	orders       []standin.Order
	limits       []engineLimit
	// memory are the processes that were ended because of their memory.
	memory []Finding
	// statements are the requests that engines answered with a statement about themselves.
	statements []standin.Arrival
	// arrivals are the requests that arrived at engines.
	arrivals []standin.Arrival
	// partitions are the periods in which instances reached no engine; instances is the number of all.
	partitions []faultPeriod
	instances  int
	// crashingParts are the parts that crash engines, skews the times in which one instance got most requests.
	crashingParts []*crashingPart
	skews         []skew
	// probeStart is the time from which the fleet must serve callers again.
	probeStart time.Time
}

// engineLimit is the limit that an engine named for some time.
type engineLimit struct {
	engine     string
	perSecond  float64
	start, end time.Time
}

// Bound on the requests at an engine that names a limit: from limitDelay on, in any limitWindow,
// limitOver times what the limit allows, and limitSlack.
const (
	limitDelay  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
)

// faultPeriod is the period of a fault at one instance, or at all with allInstances.
type faultPeriod struct {
	instance   string
	start, end time.Time
}

func newLedger(instances int) *ledger {
	return &ledger{instances: instances, requests: make(map[string]*request), runs: make(map[string][]standin.Run), withdrawnAt: make(map[string]time.Time), addedAt: make(map[string]time.Time), leavingSince: make(map[string]time.Time)}
}

func (l *ledger) addLeavingEngine(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leavingSince[engine] = time.Now()
}

func (l *ledger) addFaultPeriod(instance string, start, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faultPeriods = append(l.faultPeriods, faultPeriod{instance, start, end})
}

func (l *ledger) addLimit(limit engineLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = append(l.limits, limit)
}

func (l *ledger) addOrder(o standin.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

func (l *ledger) addRequest(id string, s *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = s
}

func (l *ledger) recordAnswer(id string, status int, signature, answer string, truncated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.requests[id]
	s.status, s.signature, s.answer, s.truncated, s.endedAt = status, signature, answer, truncated, time.Now()
}

func (l *ledger) addRun(r standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.ID] = append(l.runs[r.ID], r)
}

func (l *ledger) markKeyWithdrawn(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawnAt[key] = time.Now()
}

// Finding is a violated guarantee.
type Finding struct {
	Guarantee string    `json:"promise"`
	Request   string    `json:"request"`
	Detail    string    `json:"detail"`
	At        time.Time `json:"at"`
}

// check compares what callers received with what engines ran and returns the findings ordered by
// time.
func (l *ledger) check() []Finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Finding
	for id, s := range l.requests {
		out = append(out, checkRequest(id, s, l.runs[id])...)
	}
	for id, runs := range l.runs {
		out = append(out, l.checkRuns(id, runs)...)
	}
	out = append(out, l.memory...)
	out = append(out, l.checkQuota()...)
	out = append(out, l.checkOrders()...)
	out = append(out, l.checkPartitions()...)
	out = append(out, l.checkLeavingSaid()...)
	out = append(out, l.checkBackoffs()...)
	out = append(out, l.checkCrashingParts()...)
	out = append(out, l.checkSkews()...)
	out = append(out, l.checkAddedKeys()...)
	out = append(out, l.checkBudget(standin.PlainService)...)
	out = append(out, l.checkBudget(standin.ModelService)...)
	for _, limit := range l.limits {
		out = append(out, l.checkLimit(limit)...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}

// checkRequest checks the answer to one request.
func checkRequest(id string, s *request, runs []standin.Run) []Finding {
	var out []Finding
	add := func(guarantee, format string, args ...any) {
		out = append(out, Finding{guarantee, id, fmt.Sprintf(format, args...), s.sentAt})
	}
	if !s.kind.Repeatable() && len(runs) > 1 {
		add("at most one run", "%v ran %d times, at %s and %s", s.kind, len(runs), runs[0].Engine, runs[1].Engine)
	}
	switch s.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if len(runs) > 0 {
			add("true refusals", "answered with status %d, but ran at %s", s.status, runs[0].Engine)
		}
	case http.StatusOK:
		stream := s.kind.Streamed()
		if s.truncated {
			return out
		}
		if s.answer != standin.Answer(id, stream) || s.signature != standin.Signature(id) {
			add("whole answer to the right caller", "%d bytes with signature %q", len(s.answer), s.signature)
		}
		if len(runs) == 0 {
			add("whole answer to the right caller", "answered with success, but no engine ran it")
		}
	case http.StatusBadRequest, http.StatusNotFound, http.StatusForbidden, http.StatusRequestEntityTooLarge:
		add("no proper request is denied", "answered with status %d", s.status)
	}
	return out
}

// checkRuns checks the runs of one request at engines.
func (l *ledger) checkRuns(id string, runs []standin.Run) []Finding {
	var out []Finding
	s, known := l.requests[id]
	for _, r := range runs {
		add := func(guarantee, detail string) { out = append(out, Finding{guarantee, id, detail, r.At}) }
		switch {
		case !known:
			add("nothing unasked", "no caller sent it")
			continue
		case r.Body != standin.Body(id) || r.Organisation != s.organisation:
			add("nothing unasked", fmt.Sprintf("ran with body %q and organisation %q, which the caller did not send", r.Body, r.Organisation))
		case r.WrongPrompt:
			add("its own prompt", "decoded from another request's prompt")
		}
		if detail, late := l.checkLeaving(s, r); late {
			add("leaving engines", detail)
		}
		if at, gone := l.withdrawnAt[s.key]; gone && r.At.Sub(at) > maxRevokeDelay+clockSlack {
			add("withdrawn keys", fmt.Sprintf("ran %v after its key was withdrawn", r.At.Sub(at)))
		}
	}
	return out
}

// undisturbed reports whether no fault affected an instance between undisturbedTime before from and
// until. Faults in progress are not in the list yet, so its result is reliable after all faults
// have ended.
func (l *ledger) undisturbed(instance string, from, until time.Time) bool {
	for _, d := range l.faultPeriods {
		affects := d.instance == instance || d.instance == allInstances
		if affects && d.start.Before(until) && d.end.After(from.Add(-undisturbedTime)) {
			return false
		}
	}
	return true
}

// checkLeaving checks that an engine that announced that it leaves gets no more work from instances
// that must have received the announcement.
func (l *ledger) checkLeaving(s *request, r standin.Run) (detail string, late bool) {
	at, leaving := l.leavingSince[r.Engine]
	if !leaving || r.At.Sub(at) <= maxLeaveDelay+clockSlack || !l.undisturbed(s.instance, at, r.At) {
		return "", false
	}
	return fmt.Sprintf("sent by %s to engine %s %v after the engine announced that it leaves", s.instance, r.Engine, r.At.Sub(at)), true
}

// checkLimit checks the number of requests at an engine that named a limit, from all instances.
func (l *ledger) checkLimit(limit engineLimit) []Finding {
	var at []time.Time
	from := limit.start.Add(limitDelay)
	for _, runs := range l.runs {
		for _, r := range runs {
			if r.Engine == limit.engine && r.At.After(from) && r.At.Before(limit.end) {
				at = append(at, r.At)
			}
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	allowed := int(limit.perSecond*limitWindow.Seconds()*limitOver) + limitSlack
	first := 0
	for n, t := range at {
		for t.Sub(at[first]) > limitWindow {
			first++
		}
		if n-first+1 > allowed {
			return []Finding{{"limits of engines", "", fmt.Sprintf("%d requests in %v at engine %s, allowed %d", n-first+1, limitWindow, limit.engine, allowed), t}}
		}
	}
	return nil
}

// checkOrders checks that each fencing token was used by one holder only.
func (l *ledger) checkOrders() []Finding {
	var out []Finding
	holders := make(map[int64]string)
	for _, o := range l.orders {
		if holder, known := holders[o.Token]; known && holder != o.Holder {
			out = append(out, Finding{"one holder of orders", "", fmt.Sprintf("token %d used by %s and %s", o.Token, holder, o.Holder), o.At})
		}
		holders[o.Token] = o.Holder
	}
	return out
}

// checkQuota checks the usage of limitedOrganisation in every window of quotaWindow.
func (l *ledger) checkQuota() []Finding {
	var at []time.Time
	for id, runs := range l.runs {
		if s, known := l.requests[id]; known && s.organisation == limitedOrganisation {
			for _, r := range runs {
				at = append(at, r.At)
			}
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	first := 0
	for n, t := range at {
		for t.Sub(at[first]) > quotaWindow {
			first++
		}
		if used := float64(n-first+1) * standin.DraftTokens; used > allowed {
			return []Finding{{"quota", "", fmt.Sprintf("%.0f tokens in %v, allowed %.0f", used, quotaWindow, allowed), t}}
		}
	}
	return nil
}
