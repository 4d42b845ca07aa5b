//go:build review

package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// quota: one tenant, whose requests are all small, sends many times its usual.
func quota(w *world) (int, error) {
	const (
		usual      = 40
		hot        = 7.5
		hotFor     = 11 * time.Second
		plain      = 200
		rate       = 1.8 * usual * plain
		burst      = 2 * rate
		window     = 8 * time.Second
		over       = 0.1
		slack      = 72000
		calmBefore = 4 * time.Second
	)
	c := configuration(2, 16384)
	tenant := c["tenants"].([]object)[0]
	tenant["rate-per-s"], tenant["burst"] = rate, burst
	w.publish(c)
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	var ran []time.Time
	for n := range 6 {
		e, err := newEngine(fmt.Sprintf("i-%d", n+1), "dezurstva", "", w.store, w.rec)
		if err != nil {
			return failed, err
		}
		e.slots, e.work = 6, 20*time.Millisecond
		e.onRun = func(_ *engine, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			ran = append(ran, sent[r.Header.Get("X-Request-Id")])
		}
	}
	if err := w.addDaemons(3); err != nil {
		return failed, err
	}
	client := newCaller(w.rec)
	answers := make(map[string]int)
	var sending sync.WaitGroup
	send := func(perSecond float64, length time.Duration) {
		start := time.Now()
		for n := 0; time.Since(start) < length; n++ {
			time.Sleep(time.Until(start.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))))
			to := w.daemons[n%len(w.daemons)].callers
			sending.Go(func() {
				id := client.id("r")
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				r := client.send(to, http.MethodGet, readPath+"2f", id, 4*time.Second, nil, "")
				mu.Lock()
				defer mu.Unlock()
				answers[fmt.Sprint(r.status)]++
			})
		}
	}
	send(usual, calmBefore)
	if w.trouble {
		w.rec.say("the tenant sends %.1f times its usual", hot)
		send(usual*hot, hotFor)
	} else {
		send(usual, hotFor)
	}
	sending.Wait()
	mu.Lock()
	defer mu.Unlock()
	sort.Slice(ran, func(i, j int) bool { return ran[i].Before(ran[j]) })
	most, first := 0, 0
	for n, at := range ran {
		for at.Sub(ran[first]) > window {
			first++
		}
		most = max(most, n-first+1)
	}
	allowed := (rate*window.Seconds()+burst)*(1+over) + slack
	w.rec.say("answers %v; in some 8 s requests of %d tokens ran; (%.0f x 8 + %.0f) x 1.1 + %d = %.0f are allowed", answers, most*plain, float64(rate), float64(burst), slack, allowed)
	if float64(most*plain) > allowed {
		w.rec.say("QUOTA is broken")
		return broken, nil
	}
	return held, nil
}
