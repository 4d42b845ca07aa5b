//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// unframed: engines answer without a length, and the process that forwards the answers to slow clients is killed.
func unframed(w *world) (int, error) {
	const (
		size    = 250_000
		clients = 24
		chunk   = 500
		pause   = 10 * time.Millisecond
		killAt  = 300 * time.Millisecond
	)
	signal := syscall.SIGKILL
	if os.Getenv("ONLY") == "term" {
		signal = syscall.SIGTERM
	}
	w.publish(configuration(2, 16384))
	for n := range 3 {
		e, err := newEngine(fmt.Sprintf("i-%d", n+1), "dezurstva", "", w.store, w.rec)
		if err != nil {
			return failed, err
		}
		e.size = size
		e.unframed = func(string) bool { return true }
	}
	if err := w.addDaemons(3); err != nil {
		return failed, err
	}
	var mu sync.Mutex
	var reading sync.WaitGroup
	counts := make(map[string]int)
	for n := range clients {
		reading.Go(func() {
			id := fmt.Sprintf("r%06d", n)
			end := readSlowly(w.daemons[0].callers, id, size, chunk, pause)
			w.rec.add("client of %s: %s", id, end)
			mu.Lock()
			defer mu.Unlock()
			counts[strings.SplitN(end, ":", 2)[0]]++
		})
	}
	if w.trouble {
		time.Sleep(killAt)
		w.rec.say("%s to %s", signal, w.daemons[0].name)
		w.daemons[0].signal(signal)
	}
	reading.Wait()
	w.rec.say("answers: %v", counts)
	if counts["whole"]+counts["cut, and seen to be"]+counts["cut, looks complete"] < clients/2 {
		return failed, fmt.Errorf("too few answers")
	}
	if counts["cut, looks complete"] > 0 {
		w.rec.say("MIXED is broken")
		return broken, nil
	}
	return held, nil
}

// small makes the connection of a client like one over a network with small windows.
func small(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8192)
		if failure == nil {
			failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		}
	})
	if err != nil {
		return err
	}
	return failure
}

// readSlowly sends a request, reads its answer at the speed of a slow link, and tells how it ended.
func readSlowly(to, id string, size, chunk int, pause time.Duration) string {
	dialer := net.Dialer{Timeout: time.Second, Control: small}
	conn, err := dialer.Dial("tcp4", to)
	if err != nil {
		return "failed: " + err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	_, err = fmt.Fprintf(conn, "GET %s2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: 20000\r\nAuthorization: Bearer %s\r\n\r\n", readPath, host, id, tenantKey)
	if err != nil {
		return "failed: " + err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 1024), &http.Request{Method: http.MethodGet})
	if err != nil {
		return "failed: " + err.Error()
	}
	if resp.StatusCode != http.StatusOK || resp.Header.Get("X-Response-Signature") != "signed."+id {
		return fmt.Sprintf("failed: status %d", resp.StatusCode)
	}
	var body strings.Builder
	for {
		_, err = io.CopyN(&body, resp.Body, int64(chunk))
		if err != nil {
			break
		}
		time.Sleep(pause)
	}
	whole := body.String() == answerOf(id, size)
	framing := fmt.Sprintf("Content-Length %d, Transfer-Encoding %v", resp.ContentLength, resp.TransferEncoding)
	switch {
	case whole && err == io.EOF:
		return "whole: " + framing
	case err == io.EOF:
		return fmt.Sprintf("cut, looks complete: %d of %d bytes, then the orderly end of the answer (%s)", body.Len(), len(answerOf(id, size)), framing)
	default:
		return fmt.Sprintf("cut, and seen to be: %d bytes, then %v (%s)", body.Len(), err, framing)
	}
}
