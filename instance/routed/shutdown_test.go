package routed_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/verdict"
)

// heldRequests makes the engine of an instance hold requests until release is closed. entered counts them.
type heldRequests struct {
	held    atomic.Bool
	entered atomic.Int32
	release chan struct{}
}

func startHolding(t *testing.T) (*fixture, *heldRequests) {
	t.Helper()
	h := &heldRequests{release: make(chan struct{})}
	f := prepare(t, "a", func(w http.ResponseWriter, r *http.Request) {
		if h.held.Load() {
			h.entered.Add(1)
			<-h.release
		}
		respondSigned(w, r)
	})
	f.settings.GraceS = 4
	f.runUntilServing(t)
	h.held.Store(true)
	return f, h
}

// connect opens a connection to an instance and sends the begin of a request.
func (f *fixture) connect(t *testing.T, begin string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", f.settings.Callers)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, begin)
	assert.NilError(t, err)
	return conn
}

// stopAccepting stops the instance and waits until it accepts no connections any more.
func (f *fixture) stopAccepting(t *testing.T) {
	t.Helper()
	f.stop()
	f.eventually(t, func() bool {
		probe, err := net.Dial("tcp4", f.settings.Callers)
		if err == nil {
			_ = probe.Close()
		}
		return err != nil
	})
}

const lateHead = "POST /x/late HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: late\r\nAuthorization: Bearer k\r\nContent-Length: 2\r\n\r\n"

// Guards against a request that arrives late in a shutdown, is passed on and cut off at the end of the grace period.
func TestRequestLateInShutdownIsNotPassedOn(t *testing.T) {
	f, h := startHolding(t)
	defer close(h.release)
	conn := f.connect(t, "")
	f.stopAccepting(t)
	// The connection is closed once a request is read from it.
	_, err := io.WriteString(conn, lateHead+"ab")
	assert.NilError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	assert.Assert(t, err != nil)
	assert.NilError(t, <-f.done)
	assert.Equal(t, h.entered.Load(), int32(0))
}

// Guards against a request that is read to its end late in a shutdown, passed on and cut off at the end of the grace period.
func TestRequestReadLateInShutdownIsRefused(t *testing.T) {
	f, h := startHolding(t)
	defer close(h.release)
	conn := f.connect(t, lateHead+"a")
	f.stopAccepting(t)
	_, err := io.WriteString(conn, "b")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	var refusal struct{ Code, Ran string }
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&refusal))
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, refusal.Code, string(verdict.ReasonStopping))
	assert.Equal(t, refusal.Ran, verdict.NotRun.String())
	assert.Assert(t, resp.Header.Get("Retry-After") != "" && resp.Close)
	assert.NilError(t, <-f.done)
	assert.Equal(t, h.entered.Load(), int32(0))
}

// Guards against a request that is cut off without an answer at the end of the grace period, since its engine is still at work.
func TestRequestOpenAtTheEndOfShutdownIsAnswered(t *testing.T) {
	f, h := startHolding(t)
	answered := make(chan error, 2)
	send := func() {
		status, _, err := f.request("k")
		if err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			err = fmt.Errorf("status %d", status)
		}
		answered <- err
	}
	go send()
	f.eventually(t, func() bool { return h.entered.Load() == 1 })
	f.stop()
	f.eventually(t, func() bool { return !f.ready() })
	go send()
	assert.NilError(t, <-f.done)
	// The process would have ended here, and with it all connections.
	close(h.release)
	assert.NilError(t, <-answered)
	assert.NilError(t, <-answered)
}
