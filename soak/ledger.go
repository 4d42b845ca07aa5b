package soak

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// sent is one request as its caller knows it.
type sent struct {
	kind         standin.Kind
	organisation string
	key          string
	// instance is whom it was sent to.
	instance string
	at       time.Time
	// status is 0 where no answer came.
	status int
	answer string
	sign   string
	// broken tells that the answer ended early.
	broken bool
	ended  time.Time
}

// ledger holds what callers have sent and got and what engines have run.
type ledger struct {
	mu   sync.Mutex
	sent map[string]*sent
	runs map[string][]standin.Run
	// withdrawn is when a key was withdrawn.
	withdrawn map[string]time.Time
	// leaving is when an engine has said that it leaves.
	leaving      map[string]time.Time
	disturbances []disturbance
	orders       []standin.Order
	// from is when the fleet must serve again.
	from time.Time
}

// disturbance is a fault at an instance, or at everybody.
type disturbance struct {
	instance     string
	began, ended time.Time
}

func newLedger() *ledger {
	return &ledger{sent: make(map[string]*sent), runs: make(map[string][]standin.Run), withdrawn: make(map[string]time.Time), leaving: make(map[string]time.Time)}
}

func (l *ledger) leaves(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[engine] = time.Now()
}

func (l *ledger) disturbed(instance string, began, ended time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbances = append(l.disturbances, disturbance{instance, began, ended})
}

func (l *ledger) ordered(o standin.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

func (l *ledger) send(id string, s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = s
}

func (l *ledger) answered(id string, status int, sign, answer string, broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sent[id]
	s.status, s.sign, s.answer, s.broken, s.ended = status, sign, answer, broken, time.Now()
}

func (l *ledger) ran(r standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.ID] = append(l.runs[r.ID], r)
}

func (l *ledger) withdraw(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawn[key] = time.Now()
}

// Finding is a promise that was broken.
type Finding struct {
	Promise string    `json:"promise"`
	Request string    `json:"request"`
	Detail  string    `json:"detail"`
	At      time.Time `json:"at"`
}

// check compares what callers got with what engines ran, oldest finding first.
func (l *ledger) check() []Finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Finding
	for id, s := range l.sent {
		out = append(out, checkRequest(id, s, l.runs[id])...)
	}
	for id, runs := range l.runs {
		out = append(out, l.checkRuns(id, runs)...)
	}
	out = append(out, l.checkQuota()...)
	out = append(out, l.checkOrders()...)
	sort.Slice(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}

// checkRequest checks one request's answer.
func checkRequest(id string, s *sent, runs []standin.Run) []Finding {
	var out []Finding
	add := func(promise, format string, args ...any) {
		out = append(out, Finding{promise, id, fmt.Sprintf(format, args...), s.at})
	}
	if s.kind != standin.Read && len(runs) > 1 {
		add("at most one run", "%v ran %d times, at %s and %s", s.kind, len(runs), runs[0].Engine, runs[1].Engine)
	}
	switch s.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if len(runs) > 0 {
			add("true refusals", "answered %d and ran at %s", s.status, runs[0].Engine)
		}
	case http.StatusOK:
		stream := s.kind == standin.Draft
		if s.broken {
			return out
		}
		if s.answer != standin.Answer(id, stream) || s.sign != standin.Signature(id) {
			add("whole answer to the right caller", "%d bytes, signed %q", len(s.answer), s.sign)
		}
		if len(runs) == 0 {
			add("whole answer to the right caller", "a success that nobody ran")
		}
	case http.StatusBadRequest, http.StatusNotFound, http.StatusForbidden, http.StatusRequestEntityTooLarge:
		add("no proper request is denied", "answered %d", s.status)
	}
	return out
}

// checkRuns checks what engines ran of one request.
func (l *ledger) checkRuns(id string, runs []standin.Run) []Finding {
	var out []Finding
	s, known := l.sent[id]
	for _, r := range runs {
		add := func(promise, detail string) { out = append(out, Finding{promise, id, detail, r.At}) }
		switch {
		case !known:
			add("nothing unasked", "no caller sent it")
			continue
		case r.Body != standin.Body(id) || r.Organisation != s.organisation:
			add("nothing unasked", fmt.Sprintf("changed: body %q, organisation %q", r.Body, r.Organisation))
		case r.WrongPrompt:
			add("its own prompt", "went on from another request's prompt")
		}
		if detail, late := l.checkLeaving(s, r); late {
			add("leaving engines", detail)
		}
		if at, gone := l.withdrawn[s.key]; gone && r.At.Sub(at) > revokeBound+clockSlack {
			add("withdrawn keys", fmt.Sprintf("ran %v after its key was withdrawn", r.At.Sub(at)))
		}
	}
	return out
}

// inTouch reports whether an instance was disturbed by nothing from contactTime before a time
// until another. Faults that go on are not in the list yet; checks are made at the end.
func (l *ledger) inTouch(instance string, from, until time.Time) bool {
	for _, d := range l.disturbances {
		concerns := d.instance == instance || d.instance == everybody
		if concerns && d.began.Before(until) && d.ended.After(from.Add(-contactTime)) {
			return false
		}
	}
	return true
}

// checkLeaving checks that an engine that has said that it leaves gets no more work from
// instances that can know it.
func (l *ledger) checkLeaving(s *sent, r standin.Run) (detail string, late bool) {
	at, leaving := l.leaving[r.Engine]
	if !leaving || r.At.Sub(at) <= leaveBound+clockSlack || !l.inTouch(s.instance, at, r.At) {
		return "", false
	}
	return fmt.Sprintf("%s got it %v after it had said that it leaves, from %s", r.Engine, r.At.Sub(at), s.instance), true
}

// checkOrders checks that each fencing token belongs to one holder.
func (l *ledger) checkOrders() []Finding {
	var out []Finding
	holders := make(map[int64]string)
	for _, o := range l.orders {
		if holder, known := holders[o.Token]; known && holder != o.Holder {
			out = append(out, Finding{"one holder of orders", "", fmt.Sprintf("token %d of %s and %s", o.Token, holder, o.Holder), o.At})
		}
		holders[o.Token] = o.Holder
	}
	return out
}

// checkQuota checks the organisation that has a quota over every window.
func (l *ledger) checkQuota() []Finding {
	var at []time.Time
	for id, runs := range l.runs {
		if s, known := l.sent[id]; known && s.organisation == limited {
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
