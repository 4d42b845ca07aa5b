//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// limits: the operator raises max-header-bytes.
func limits(w *world) (int, error) {
	const (
		oldLimit, newLimit = 8192, 32768
		headerBytes        = 20000
		requests           = 200
	)
	start := newLimit
	if w.trouble {
		start = oldLimit
	}
	w.publish(configuration(2, start))
	for n := range 3 {
		e, err := newEngine(fmt.Sprintf("i-%d", n+1), "dezurstva", "", w.store, w.rec)
		if err != nil {
			return failed, err
		}
		e.slots, e.work = 6, 20*time.Millisecond
	}
	if err := w.addDaemons(3); err != nil {
		return failed, err
	}
	c := newCaller(w.rec)
	for n := range 30 {
		if r := c.send(w.daemons[n%3].callers, http.MethodGet, readPath+"2f", c.id("r"), 4*time.Second, nil, ""); !r.ok() {
			return failed, fmt.Errorf("a small request was not served: %v", r)
		}
	}
	if w.trouble {
		w.publish(configuration(5, newLimit))
	}
	time.Sleep(6 * time.Second)
	denied, served := 0, 0
	for n := range requests {
		r := c.send(w.daemons[n%3].callers, http.MethodGet, readPath+"2f", c.id("r"), 4*time.Second, map[string]string{"X-Notes": strings.Repeat("n", headerBytes)}, "")
		switch {
		case r.ok():
			served++
		case r.err == nil && r.own && r.status/100 == 4 && r.status != 408 && r.status != 421 && r.status != 429:
			denied++
		}
		if n == 0 {
			w.rec.say("the first request with %d bytes of headers: %v", headerBytes, r)
		}
	}
	w.rec.say("%d requests with %d bytes of headers, over 6 s after the limit of %d was acknowledged: %d served, %d denied", requests, headerBytes, newLimit, served, denied)
	if denied > 5+(requests+30)/500 {
		w.rec.say("DENIED is broken")
		return broken, nil
	}
	return held, nil
}
