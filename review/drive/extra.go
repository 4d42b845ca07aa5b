//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of the case of second answers. extraShare, extraFor and the number of engines are those of the site's entry
// { kind = "garble", how = "extra late", share = 0.6, x = 0.03, for_s = 5.0 }.
const (
	extraDaemons  = 3
	extraPrefill  = 3
	extraDecode   = 4
	extraEngines  = 4
	extraShare    = 0.03
	extraFor      = 5 * time.Second
	extraPause    = time.Second
	extraWindows  = 17
	extraClients  = 170
	extraDeadline = 14 * time.Second
	promptTokens  = 2000
	outputTokens  = 14 * eventTokens
)

// outcomes are what clients were answered and what engines have run.
type outcomes struct {
	*record
	mu       sync.Mutex
	statuses map[int]int
	refused  map[string]int
	runs     map[string][]string
}

func (o *outcomes) run(e *engine, id string) {
	o.addf("run %s at %s", id, e.id)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[id] = append(o.runs[id], e.id)
}

func (o *outcomes) answered(id string, status int) {
	o.addf("answered %s %d", id, status)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.statuses[status]++
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		o.refused[id] = status
	}
}

// falseRefusals returns the number of requests that were refused as not run and have run, and that of requests that
// ran twice.
func (o *outcomes) falseRefusals() (ran, twice int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, status := range o.refused {
		if at := o.runs[id]; len(at) > 0 {
			ran++
			// The last two digits of an id number the attempts.
			again := id[:len(id)-2] + "01"
			o.addf("broken: %s was answered %d and ran at %v; the attempt that followed, %s, ran at %v", id, status, at, again, o.runs[again])
		}
	}
	for id, at := range o.runs {
		if len(at) > 1 {
			twice++
			o.addf("broken: %s ran at %v", id, at)
		}
	}
	o.addf("answers by status: %v; refused and run: %d; run twice: %d", o.statuses, ran, twice)
	return ran, twice
}

// playExtra sends drafts, which may run once at most, to engines of which some answer twice.
func playExtra(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	o := &outcomes{record: r, statuses: make(map[int]int), refused: make(map[string]int), runs: make(map[string][]string)}
	var decoders []*engine
	for n := range extraPrefill + extraDecode {
		stage := "prefill"
		if n >= extraPrefill {
			stage = "decode"
		}
		e, err := f.startEngine(modelService, stage, func(e *engine) { e.onRun = o.run })
		if err != nil {
			return false, err
		}
		if stage == "decode" {
			decoders = append(decoders, e)
		}
	}
	if err := f.startDaemons(extraDaemons); err != nil {
		return false, err
	}
	ctx, end := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for n := range extraClients {
		clients.Go(func() { o.draft(ctx, f.daemons[n%len(f.daemons)], n) })
	}
	for range extraWindows {
		time.Sleep(extraPause)
		if trouble {
			for _, e := range decoders[:extraEngines] {
				e.setExtra(extraShare)
			}
		}
		time.Sleep(extraFor)
		for _, e := range decoders {
			e.setExtra(0)
		}
	}
	end()
	clients.Wait()
	ran, twice := o.falseRefusals()
	if o.statuses[http.StatusOK] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return ran+twice > 0, nil
}

// draft sends requests one after the other until ctx ends. A refused one comes again once, as told.
func (o *outcomes) draft(ctx context.Context, d *daemon, client int) {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", d.callers)
	}, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		for attempt := range 2 {
			retry, again := o.send(transport, request{
				id: fmt.Sprintf("%02x%04x%02x", client, n, attempt), method: http.MethodPost, path: draftPath + "2f", body: make([]byte, 5000),
				deadline: extraDeadline, prompt: promptTokens, output: outputTokens,
			})
			if !again || !pause(ctx, retry) {
				break
			}
		}
		pause(ctx, time.Duration(rand.ExpFloat64()*float64(400*time.Millisecond)))
	}
}

// pause waits and reports whether ctx has not ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends a request and records its answer. again is set if it may be sent again.
func (o *outcomes) send(transport http.RoundTripper, q request) (retry time.Duration, again bool) {
	r, err := q.encode()
	if err != nil {
		o.addf("error %v", err)
		return 0, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	o.addf("sent %s", q.id)
	resp, err := transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		o.addf("closed %s %v", q.id, err)
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		o.addf("broken off %s %d %v", q.id, resp.StatusCode, err)
		return 0, false
	}
	o.answered(q.id, resp.StatusCode)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return time.Duration(seconds * float64(time.Second)), refused
}
