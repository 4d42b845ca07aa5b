//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The names of the deployment.
const (
	host       = "ficu95.example"
	draftPath  = "/lohu930/"
	plainPath  = "/pule252/"
	readPath   = "/rapu33/"
	tenantKey  = "3d3zji9n73hh2b9wu3fe"
	tenantName = "huka270"
)

// result is what a client saw of one attempt.
type result struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int
	// own is set if the answer is the daemon's own, without an engine's signature.
	own  bool
	body string
	err  error
}

func (r result) ok() bool { return r.err == nil && r.status == http.StatusOK && !r.own }

func (r result) String() string {
	if r.err != nil {
		return "no whole answer: " + shorten(r.err.Error())
	}
	text := fmt.Sprintf("%d", r.status)
	if r.own {
		text += " of its own: " + shorten(r.body)
	}
	return text
}

func shorten(text string) string {
	text = strings.ReplaceAll(strings.TrimSpace(text), "\n", " ")
	if len(text) > 120 {
		return text[:120]
	}
	return text
}

// caller sends requests over kept connections.
type caller struct {
	http *http.Client
	rec  *record
	mu   sync.Mutex
	next int
}

func newCaller(rec *record) *caller {
	return &caller{rec: rec, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second, DisableCompression: true,
	}}}
}

func (c *caller) id(kind string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("%s%06d", kind, c.next)
}

// send sends one attempt and reads its answer.
func (c *caller) send(to, method, path, id string, deadline time.Duration, header map[string]string, body string) result {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+to+path, strings.NewReader(body))
	if err != nil {
		return result{id: id, err: err}
	}
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+tenantKey)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	out := result{id: id, sent: time.Now()}
	resp, err := c.http.Do(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out.status, out.body, out.own = resp.StatusCode, string(data), resp.Header.Get("X-Response-Signature") == ""
	}
	out.err, out.took = err, time.Since(out.sent)
	if errors.Is(err, context.DeadlineExceeded) {
		out.err = errors.New("no answer before the deadline")
	}
	c.rec.add("sent %s %s to %s at %.3f: %v after %d ms", id, path, to, out.sent.Sub(c.rec.start).Seconds(), out, out.took.Milliseconds())
	return out
}

// draft sends a request to the model service and checks that its stream is whole.
func (c *caller) draft(to string, events int) result {
	id := c.id("d")
	out := c.send(to, http.MethodPost, draftPath+"2f", id, 14*time.Second, map[string]string{
		"X-Model": "m", "X-Token-Counts": "5200,130", "X-Prompt-Prefix": "5c1e07a2:200,91bd" + fmt.Sprintf("%08x", len(id)+c.next) + ":5000", "X-Length-Hint": "70",
	}, "draft "+id)
	if out.ok() && strings.Count(out.body, "data: "+id+" part ") != events {
		out.err = errors.New("the stream is not whole")
	}
	return out
}
