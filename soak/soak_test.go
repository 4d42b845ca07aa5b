package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// Three instances are killed, paused, terminated and isolated for some seconds, on the schedule of
// a fixed seed. No guarantee may be violated. Recovery is not checked here, as its speed depends on
// the machine; cairnsoak checks it.
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	daemon := filepath.Join(dir, "cairnworksd")
	out, err := exec.Command("go", "build", "-o", daemon, "../cmd/cairnworksd").CombinedOutput()
	assert.NilError(t, err, string(out))
	report, err := Run(t.Context(), Options{Seed: 7, Length: 5 * time.Second, Instances: 3, Callers: 6, Daemon: daemon, Dir: filepath.Join(dir, "out"), Progress: io.Discard})
	assert.NilError(t, err)
	for _, f := range report.Findings {
		assert.Equal(t, f.Guarantee, "recovers", "%+v", f)
	}
	assert.Assert(t, report.Runs > 0)
	assert.NilError(t, report.Write(io.Discard))
}

func TestScheduleIsDeterministic(t *testing.T) {
	first := newSchedule(3, time.Minute, 4, 8)
	assert.DeepEqual(t, first, newSchedule(3, time.Minute, 4, 8))
	assert.Assert(t, len(first) > 30)
	assert.Assert(t, !cmp.DeepEqual(first, newSchedule(4, time.Minute, 4, 8))().Success())
}

// ledgerOf returns a ledger with one request and its runs.
func ledgerOf(s request, runs ...standin.Run) *ledger {
	l := newLedger(4)
	s.organisation, s.sentAt = unlimitedOrganisation, time.Now()
	l.addRequest("a", &s)
	for _, r := range runs {
		r.ID, r.Body = "a", standin.Body("a")
		if r.Organisation == "" {
			r.Organisation = unlimitedOrganisation
		}
		l.addRun(r)
	}
	return l
}

// Guards against checks that miss violations, which would make a soak run without findings
// meaningless.
func TestChecksFindViolations(t *testing.T) {
	complete := request{kind: standin.Book, status: http.StatusOK, answer: standin.Answer("a", false), signature: standin.Signature("a")}
	ran := standin.Run{Engine: "e", At: time.Now()}
	cut := complete
	cut.answer = cut.answer[:10]
	foreign := complete
	foreign.signature = standin.Signature("b")
	late := ledgerOf(request{kind: standin.Book, key: "k", status: http.StatusOK, answer: complete.answer, signature: complete.signature}, standin.Run{At: time.Now().Add(time.Hour)})
	late.markKeyWithdrawn("k")
	ranAfterLeaving := func(after time.Duration) *ledger {
		l := ledgerOf(request{kind: standin.Book, instance: "i0", status: http.StatusOK, answer: complete.answer, signature: complete.signature},
			standin.Run{Engine: "e", At: time.Now().Add(after)})
		l.addLeavingEngine("e")
		return l
	}
	soon, tooLate, disturbed := ranAfterLeaving(maxLeaveDelay), ranAfterLeaving(time.Minute), ranAfterLeaving(time.Minute)
	tooLate.addFaultPeriod("i1", time.Now(), time.Now().Add(time.Second))
	disturbed.addFaultPeriod("i0", time.Now(), time.Now().Add(time.Second))
	ordered := func(holders ...string) *ledger {
		l := newLedger(4)
		for _, holder := range holders {
			l.addOrder(standin.Order{Engine: "e", Holder: holder, Token: 7})
		}
		return l
	}
	unasked := newLedger(4)
	unasked.addRun(standin.Run{ID: "x"})
	for _, c := range []struct {
		name      string
		ledger    *ledger
		guarantee string
	}{
		{"no violation", ledgerOf(complete, ran), ""},
		{"two runs", ledgerOf(complete, ran, ran), "at most one run"},
		{"a refusal that ran", ledgerOf(request{kind: standin.Book, status: http.StatusServiceUnavailable}, ran), "true refusals"},
		{"a truncated answer", ledgerOf(cut, ran), "whole answer to the right caller"},
		{"the answer to another request", ledgerOf(foreign, ran), "whole answer to the right caller"},
		{"a success without a run", ledgerOf(complete), "whole answer to the right caller"},
		{"a valid request rejected", ledgerOf(request{kind: standin.Read, status: http.StatusNotFound}), "no proper request is denied"},
		{"a run for another organisation", ledgerOf(complete, standin.Run{Organisation: "other"}), "nothing unasked"},
		{"a run without a request", unasked, "nothing unasked"},
		{"a run on another prompt", ledgerOf(complete, standin.Run{WrongPrompt: true}), "its own prompt"},
		{"a withdrawn key", late, "withdrawn keys"},
		{"just after an engine announced that it leaves", soon, ""},
		{"long after an engine announced that it leaves", tooLate, "leaving engines"},
		{"from an instance that was disturbed meanwhile", disturbed, ""},
		{"one holder's token", ordered("i0", "i0"), ""},
		{"a token of two holders", ordered("i0", "i1"), "one holder of orders"},
	} {
		findings := c.ledger.check()
		if c.guarantee == "" {
			assert.Equal(t, len(findings), 0, c.name)
			continue
		}
		assert.Equal(t, len(findings), 1, c.name)
		assert.Equal(t, findings[0].Guarantee, c.guarantee, c.name)
	}
}

// Guards against checks that miss requests to engines that have said that they leave or request a backoff.
func TestChecksFindWorkAgainstStatements(t *testing.T) {
	start := time.Unix(100, 0)
	record := func(statement standin.Arrival, passedOn bool, others int, after time.Duration) *ledger {
		l := newLedger(1)
		add := func(id string, sent time.Time) {
			s := &request{kind: standin.Book, instance: "i0", sentAt: sent, organisation: unlimitedOrganisation, status: http.StatusOK, signature: standin.Signature(id), answer: standin.Answer(id, false), endedAt: sent}
			l.addRequest(id, s)
			l.addRun(standin.Run{ID: id, Engine: "other", Organisation: unlimitedOrganisation, Body: standin.Body(id), At: sent})
		}
		statement.ID, statement.Engine, statement.At = "a", "e", start
		add("a", start)
		if !passedOn {
			l.requests["a"].status, l.requests["a"].signature = http.StatusBadGateway, ""
		}
		l.addStatement(statement)
		for n := range others {
			id := strconv.Itoa(n)
			add(id, start.Add(after))
			l.runs[id][0].Engine = "e"
			l.addStatement(standin.Arrival{ID: id, Engine: "e", Leaving: statement.Leaving, Backoff: statement.Backoff, At: start.Add(after)})
		}
		return l
	}
	leaving, backoff := standin.Arrival{Leaving: true}, standin.Arrival{Backoff: backoffTime}
	const late, soon = 4 * time.Second, time.Second
	assert.Equal(t, len(record(leaving, true, 1, late).checkLeavingSaid()), 1)
	assert.Equal(t, len(record(leaving, true, 1, soon).checkLeavingSaid()), 0)
	// The later requests were told as well, at the same time.
	assert.Equal(t, len(record(leaving, false, 1, late).checkLeavingSaid()), 0)
	assert.Assert(t, len(record(backoff, true, backoffSlack+1, late).checkBackoffs()) > 0)
	assert.Equal(t, len(record(backoff, true, backoffSlack, late).checkBackoffs()), 0)
	assert.Equal(t, len(record(backoff, true, backoffSlack+1, soon).checkBackoffs()), 0)
	assert.Equal(t, len(record(backoff, false, backoffSlack+1, late).checkBackoffs()), 0)
	disturbed := record(backoff, true, backoffSlack+1, late)
	disturbed.addPartition("i0", start, start.Add(time.Second))
	assert.Equal(t, len(disturbed.checkBackoffs()), 0)
}

func TestCheckFindsExceededQuota(t *testing.T) {
	l := newLedger(4)
	allowed := int(((quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack) / standin.DraftTokens)
	add := func(n int) {
		id := string(rune('a' + n))
		l.addRequest(id, &request{kind: standin.Draft, organisation: limitedOrganisation})
		l.addRun(standin.Run{ID: id, Organisation: limitedOrganisation, Body: standin.Body(id), At: time.Unix(100, int64(n))})
	}
	for n := range allowed {
		add(n)
	}
	assert.Equal(t, len(l.checkQuota()), 0)
	add(allowed)
	assert.Equal(t, len(l.checkQuota()), 1)
}

func TestCheckFindsExceededLimit(t *testing.T) {
	start := time.Unix(100, 0)
	atEngine := func(n int, limit engineLimit) *ledger {
		l := newLedger(4)
		l.addLimit(limit)
		for i := range n {
			id := strconv.Itoa(i)
			l.addRun(standin.Run{ID: id, Engine: "e", At: start.Add(limitDelay + time.Duration(i+1)*time.Millisecond)})
		}
		return l
	}
	limit := engineLimit{engine: "e", perSecond: 2, start: start, end: start.Add(time.Minute)}
	allowed := int(2*limitOver*limitWindow.Seconds()) + limitSlack
	assert.Equal(t, len(atEngine(allowed, limit).checkLimit(limit)), 0)
	assert.Equal(t, len(atEngine(allowed+1, limit).checkLimit(limit)), 1)
}

// Faults of a link must apply to connections that are already open, and must end when cleared.
func TestLinkFaultsAffectOpenConnections(t *testing.T) {
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := standin.NewLink(server.Addr().String())
	assert.NilError(t, err)
	defer p.Close()
	c, err := net.Dial("tcp4", p.Address())
	assert.NilError(t, err)
	defer c.Close()
	echo := func(what string) {
		_, err := c.Write([]byte(what))
		assert.NilError(t, err)
		buffer := make([]byte, len(what))
		_, err = io.ReadFull(c, buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer), what)
	}
	echo("one")
	p.DropResponses()
	_, err = c.Write([]byte("lost"))
	assert.NilError(t, err)
	for p.DroppedBytes() < int64(len("lost")) {
		time.Sleep(time.Millisecond)
	}
	p.ClearFaults()
	// A connection that lost data is not used any more: what follows must not look like its rest.
	if _, err = c.Write([]byte("two")); err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	assert.Assert(t, err != nil, "data follows after a gap")
	c, err = net.Dial("tcp4", p.Address())
	assert.NilError(t, err)
	defer c.Close()
	echo("three")
	p.Reset()
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// Guards against two runs on one machine whose instances join the same fleet: with equal fleet
// names, engines of one run read prompts of the other.
func TestFleetNamesAreUniquePerProcess(t *testing.T) {
	i, err := newInstance("i0", "127.0.0.1:1", true)
	assert.NilError(t, err)
	defer i.storeProxy.Close()
	assert.Assert(t, strings.Contains(i.settings.FleetName(), strconv.Itoa(os.Getpid())), i.settings.FleetName())
}

// Guards against a check that misses callers who are not served by instances that reach no engine.
func TestCheckFindsCallersNotServedWhilePartitioned(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	record := func(servedByCut, servedByOthers int) *ledger {
		l := newLedger(2)
		l.addPartition("i0", start, start.Add(20*time.Second))
		const requests = 40
		for n := range requests {
			for instance, served := range map[string]int{"i0": servedByCut, "i1": servedByOthers} {
				s := &request{organisation: unlimitedOrganisation, instance: instance, sentAt: start.Add(partitionGrace + time.Second), status: 503}
				if n < served {
					s.status = 200
				}
				s.endedAt = s.sentAt.Add(time.Second)
				l.addRequest(fmt.Sprint(instance, n), s)
			}
		}
		return l
	}
	assert.Equal(t, len(record(0, 40).checkPartitions()), 1)
	assert.Equal(t, len(record(20, 40).checkPartitions()), 1)
	assert.Equal(t, len(record(30, 40).checkPartitions()), 0, "within the slack")
	assert.Equal(t, len(record(10, 10).checkPartitions()), 0, "as often as others")
	l := record(0, 40)
	l.addFaultPeriod("i0", start.Add(partitionGrace), start.Add(partitionGrace+time.Second))
	assert.Equal(t, len(l.checkPartitions()), 0, "the instance was disturbed otherwise")
	l = record(0, 40)
	l.addPartition("i1", start.Add(partitionGrace), start.Add(partitionGrace+time.Second))
	assert.Equal(t, len(l.checkPartitions()), 0, "no instance reached the engines")
}

// Guards against checks that miss requests with a part that crashes engines, refused sound requests, and an instance
// that fails while it gets most requests.
func TestChecksFindCrashingPartsAndSkews(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	add := func(l *ledger, id, bad string, sent time.Time, status int, ran bool) {
		s := &request{kind: standin.Draft, instance: "i0", organisation: unlimitedOrganisation, badPart: bad, sentAt: sent, endedAt: sent, status: status}
		if status == http.StatusOK {
			s.answer, s.signature = standin.Answer(id, true), standin.Signature(id)
		}
		l.addRequest(id, s)
		if ran {
			l.addRun(standin.Run{ID: id, Engine: "e", Organisation: unlimitedOrganisation, Body: standin.Body(id), At: sent})
		}
	}
	part := func(late, served int) *ledger {
		l := newLedger(2)
		p := &crashingPart{part: "bad", start: at(10), end: at(30)}
		l.addCrashingPart(p)
		for n := range crashesToKnow {
			p.crashes = append(p.crashes, at(10.5+0.1*float64(n)))
		}
		for n := range late {
			add(l, fmt.Sprint("late", n), "bad", at(20), http.StatusBadGateway, true)
		}
		for n := range 2 * minCountedEach {
			add(l, fmt.Sprint("calm", n), "", at(8), http.StatusOK, true)
			status := http.StatusBadGateway
			if n < served {
				status = http.StatusOK
			}
			add(l, fmt.Sprint("sound", n), "", at(25), status, true)
		}
		return l
	}
	assert.Equal(t, len(part(maxSentLate, minCountedEach).check()), 0)
	assert.Equal(t, part(maxSentLate+1, minCountedEach).check()[0].Guarantee, "parts that crash engines")
	assert.Equal(t, part(0, minCountedEach-1).check()[0].Guarantee, "parts that crash engines")
	disturbed := part(maxSentLate+1, 0)
	disturbed.addFaultPeriod("i0", at(19), at(21))
	assert.Equal(t, len(disturbed.check()), 0)
	refused := part(0, 2*minCountedEach)
	refused.requests["calm0"].status, refused.requests["calm0"].answer = http.StatusServiceUnavailable, `{"detail":"a part of this prompt crashed 3 upstreams"}`
	delete(refused.runs, "calm0")
	assert.Equal(t, refused.check()[0].Guarantee, "sound parts")
	skewed := func(served int) *ledger {
		l := newLedger(2)
		l.addSkew(skew{"i0", at(10), at(20)})
		for n := range 2 * minCountedEach {
			add(l, fmt.Sprint("calm", n), "", at(8), http.StatusOK, true)
			status := http.StatusBadGateway
			if n < served {
				status = http.StatusOK
			}
			add(l, fmt.Sprint("most", n), "", at(15), status, true)
		}
		return l
	}
	assert.Equal(t, len(skewed(2*minCountedEach*3/4).check()), 0)
	assert.Equal(t, skewed(minCountedEach).check()[0].Guarantee, "most requests at one instance")
}

// Guards against a check that misses arrivals beyond the first of each request.
func TestCheckFindsRepeatedArrivals(t *testing.T) {
	start := time.Unix(100, 0)
	record := func(requests, prefillsEach, refusedEach, runsEach int) *ledger {
		l := newLedger(4)
		for n := range requests {
			id, at := strconv.Itoa(n), start.Add(time.Duration(n)*time.Millisecond)
			l.addRequest(id, &request{kind: standin.Resume, sentAt: at})
			add := func(count int, a standin.Arrival) {
				for range count {
					a.ID, a.Service, a.At = id, standin.ModelService, at
					l.addArrival(a)
				}
			}
			add(prefillsEach, standin.Arrival{Prefill: true})
			add(refusedEach, standin.Arrival{Prefill: true, Refused: true})
			add(runsEach, standin.Arrival{})
		}
		return l
	}
	const few = retrySlack
	assert.Equal(t, len(record(1000, 1, 0, 1).checkBudget(standin.ModelService)), 0)
	assert.Equal(t, len(record(few, 1, 0, 2).checkBudget(standin.ModelService)), 0)
	for _, l := range []*ledger{record(2*few, 1, 0, 2), record(2*few, 2, 0, 1), record(2*few, 0, 1, 1), record(few, 2, 0, 2)} {
		assert.Equal(t, len(l.checkBudget(standin.ModelService)), 1)
		assert.Equal(t, len(l.checkBudget(standin.PlainService)), 0)
	}
}

// Guards against a check that misses instances whose configuration has come back older.
func TestCheckFindsRefusedKeys(t *testing.T) {
	now := time.Now()
	record := func(after time.Duration) *ledger {
		l := newLedger(4)
		l.addedAt["k"] = now
		l.addRequest("a", &request{key: "k", instance: "i0", status: http.StatusUnauthorized, sentAt: now.Add(after), endedAt: now.Add(after)})
		return l
	}
	const late = maxApplyDelay + 2*clockSlack
	assert.Equal(t, len(record(maxApplyDelay).checkAddedKeys()), 0)
	assert.Equal(t, len(record(late).checkAddedKeys()), 1)
	disturbed := record(late)
	disturbed.addFaultPeriod(allInstances, now.Add(late-time.Second), now.Add(late))
	assert.Equal(t, len(disturbed.checkAddedKeys()), 0)
	withdrawn := record(late)
	withdrawn.withdrawnAt["k"] = now.Add(late - time.Second)
	assert.Equal(t, len(withdrawn.checkAddedKeys()), 0)
}

// Guards against a check of memory that reads nothing or misses a process over the limit.
func TestCheckFindsExceededMemory(t *testing.T) {
	self, err := os.FindProcess(os.Getpid())
	assert.NilError(t, err)
	i := &instance{cmd: &exec.Cmd{Process: self}}
	assert.Assert(t, i.anonymousMB() > 1)
	assert.Equal(t, (&instance{}).anonymousMB(), 0.0)
	l := newLedger(4)
	l.addMemoryExceeded("a", memoryMB+1, time.Now())
	findings := l.check()
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Guarantee, "memory")
}
