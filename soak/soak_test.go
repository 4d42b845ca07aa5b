package soak

import (
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

// Three instances are killed, paused, stopped and cut off for some seconds, by a schedule
// that a seed fixes. No promise to callers may break. How fast they are served depends on
// the machine and is left to the command.
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	daemon := filepath.Join(dir, "cairnworksd")
	out, err := exec.Command("go", "build", "-o", daemon, "../cmd/cairnworksd").CombinedOutput()
	assert.NilError(t, err, string(out))
	report, err := Run(t.Context(), Options{Seed: 7, Length: 5 * time.Second, Instances: 3, Callers: 6, Daemon: daemon, Dir: filepath.Join(dir, "out"), Progress: io.Discard})
	assert.NilError(t, err)
	for _, f := range report.Findings {
		assert.Equal(t, f.Promise, "recovers", "%+v", f)
	}
	assert.Assert(t, report.Runs > 0)
	assert.NilError(t, report.Write(io.Discard))
}

func TestScheduleFollowsItsSeed(t *testing.T) {
	first := schedule(3, time.Minute, 4, 8)
	assert.DeepEqual(t, first, schedule(3, time.Minute, 4, 8))
	assert.Assert(t, len(first) > 30)
	assert.Assert(t, !cmp.DeepEqual(first, schedule(4, time.Minute, 4, 8))().Success())
}

// ledgerOf returns a ledger with one request and the runs that engines tell of.
func ledgerOf(s sent, runs ...standin.Run) *ledger {
	l := newLedger()
	s.organisation, s.at = open, time.Now()
	l.send("a", &s)
	for _, r := range runs {
		r.ID, r.Body = "a", standin.Body("a")
		if r.Organisation == "" {
			r.Organisation = open
		}
		l.ran(r)
	}
	return l
}

// Each check must find what it is for, or a soak without findings tells nothing.
func TestChecksFindBrokenPromises(t *testing.T) {
	whole := sent{kind: standin.Book, status: http.StatusOK, answer: standin.Answer("a", false), sign: standin.Signature("a")}
	ran := standin.Run{Engine: "e", At: time.Now()}
	cut := whole
	cut.answer = cut.answer[:10]
	foreign := whole
	foreign.sign = standin.Signature("b")
	late := ledgerOf(sent{kind: standin.Book, key: "k", status: http.StatusOK, answer: whole.answer, sign: whole.sign}, standin.Run{At: time.Now().Add(time.Hour)})
	late.withdraw("k")
	atLeaving := func(after time.Duration) *ledger {
		l := ledgerOf(sent{kind: standin.Book, instance: "i0", status: http.StatusOK, answer: whole.answer, sign: whole.sign},
			standin.Run{Engine: "e", At: time.Now().Add(after)})
		l.leaves("e")
		return l
	}
	soon, tooLate, excused := atLeaving(leaveBound), atLeaving(time.Minute), atLeaving(time.Minute)
	tooLate.disturbed("i1", time.Now(), time.Now().Add(time.Second))
	excused.disturbed("i0", time.Now(), time.Now().Add(time.Second))
	ordered := func(holders ...string) *ledger {
		l := newLedger()
		for _, holder := range holders {
			l.ordered(standin.Order{Engine: "e", Holder: holder, Token: 7})
		}
		return l
	}
	unasked := newLedger()
	unasked.ran(standin.Run{ID: "x"})
	for _, c := range []struct {
		name    string
		ledger  *ledger
		promise string
	}{
		{"nothing wrong", ledgerOf(whole, ran), ""},
		{"two runs", ledgerOf(whole, ran, ran), "at most one run"},
		{"a refusal that ran", ledgerOf(sent{kind: standin.Book, status: http.StatusServiceUnavailable}, ran), "true refusals"},
		{"a cut answer", ledgerOf(cut, ran), "whole answer to the right caller"},
		{"a foreign answer", ledgerOf(foreign, ran), "whole answer to the right caller"},
		{"nobody ran it", ledgerOf(whole), "whole answer to the right caller"},
		{"a denial", ledgerOf(sent{kind: standin.Read, status: http.StatusNotFound}), "no proper request is denied"},
		{"another organisation", ledgerOf(whole, standin.Run{Organisation: "other"}), "nothing unasked"},
		{"nobody asked", unasked, "nothing unasked"},
		{"another prompt", ledgerOf(whole, standin.Run{WrongPrompt: true}), "its own prompt"},
		{"a withdrawn key", late, "withdrawn keys"},
		{"just after an engine has said that it leaves", soon, ""},
		{"long after an engine has said that it leaves", tooLate, "leaving engines"},
		{"from an instance that could not know", excused, ""},
		{"one holder's token", ordered("i0", "i0"), ""},
		{"a token of two holders", ordered("i0", "i1"), "one holder of orders"},
	} {
		findings := c.ledger.check()
		if c.promise == "" {
			assert.Equal(t, len(findings), 0, c.name)
			continue
		}
		assert.Equal(t, len(findings), 1, c.name)
		assert.Equal(t, findings[0].Promise, c.promise, c.name)
	}
}

func TestQuotaIsChecked(t *testing.T) {
	l := newLedger()
	allowed := int(((quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack) / standin.DraftTokens)
	add := func(n int) {
		id := string(rune('a' + n))
		l.send(id, &sent{kind: standin.Draft, organisation: limited})
		l.ran(standin.Run{ID: id, Organisation: limited, Body: standin.Body(id), At: time.Unix(100, int64(n))})
	}
	for n := range allowed {
		add(n)
	}
	assert.Equal(t, len(l.checkQuota()), 0)
	add(allowed)
	assert.Equal(t, len(l.checkQuota()), 1)
}

// A proxy's disturbances concern connections that are open already, and end.
func TestProxyDisturbsOpenConnections(t *testing.T) {
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
	p, err := newProxy(server.Addr().String())
	assert.NilError(t, err)
	defer p.close()
	c, err := net.Dial("tcp4", p.address())
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
	p.oneWay.Store(true)
	_, err = c.Write([]byte("lost"))
	assert.NilError(t, err)
	for p.swallowed.Load() < int64(len("lost")) {
		time.Sleep(time.Millisecond)
	}
	p.calm()
	echo("two")
	p.reset()
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// Guards against two runs on one machine whose instances take one another for members: prompts of
// the one were read by engines of the other.
func TestRunsHaveFleetsOfTheirOwn(t *testing.T) {
	i, err := newInstance("i0", "127.0.0.1:1", true)
	assert.NilError(t, err)
	defer i.store.close()
	assert.Assert(t, strings.Contains(i.settings.FleetName(), strconv.Itoa(os.Getpid())), i.settings.FleetName())
}
