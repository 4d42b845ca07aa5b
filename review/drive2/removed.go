//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// topicInstances is the topic in which daemons write their entries.
const topicInstances = "keyed.instances"

// removed: machines that were removed for good over time have left their entries in the store, and all processes are killed.
func removed(w *world) (int, error) {
	const (
		machines  = 80
		perSecond = 10
		settle    = 40 * time.Second
		before    = 10 * time.Second
		down      = 900 * time.Millisecond
		recovery  = 12 * time.Second
		measured  = 12 * time.Second
		// A draft counts 5,330 tokens; quota_x of the site is 1.8.
		rate = 1.8 * perSecond * 5330
	)
	// ONLY=kill leaves out the entries of removed machines, ONLY=entries the kill.
	only := os.Getenv("ONLY")
	c := configuration(2, 16384)
	tenant := c["tenants"].([]object)[0]
	tenant["rate-per-s"], tenant["burst"] = rate, 2*rate
	w.publish(c)
	for n := range 6 {
		stage := "prefill"
		if n > 2 {
			stage = "decode"
		}
		if _, err := newEngine(fmt.Sprintf("i-%d", n+1), "pisar", stage, w.store, w.rec); err != nil {
			return failed, err
		}
	}
	if err := w.addDaemons(3); err != nil {
		return failed, err
	}
	w.rec.say("3 daemons are ready")
	if w.trouble && only != "kill" {
		if err := w.leaveEntries(machines); err != nil {
			return failed, err
		}
		time.Sleep(settle)
	}
	l := startLoad(w, perSecond)
	time.Sleep(before)
	fault := time.Now()
	if w.trouble && only != "entries" {
		w.rec.say("all daemons are killed")
		for _, d := range w.daemons {
			d.kill()
		}
		time.Sleep(down)
		for _, d := range w.daemons {
			if err := d.start(false); err != nil {
				return failed, err
			}
		}
	}
	back := time.Now()
	w.rec.say("all daemons run")
	time.Sleep(recovery + measured)
	return l.judgeRecovery(fault, back.Add(recovery))
}

// leaveEntries writes the entries that removed machines have left: those of the running daemons, as they wrote them, with the
// names, addresses and earlier start times of others.
func (w *world) leaveEntries(n int) error {
	var own map[string]any
	for end := time.Now().Add(10 * time.Second); own == nil; time.Sleep(100 * time.Millisecond) {
		w.store.mu.Lock()
		for _, e := range w.store.topics[topicInstances] {
			if strings.HasPrefix(e.key, "edge-") && len(e.value) > 0 {
				if err := json.Unmarshal(e.value, &own); err != nil {
					w.store.mu.Unlock()
					return err
				}
			}
		}
		w.store.mu.Unlock()
		if time.Now().After(end) {
			return fmt.Errorf("no daemon has written its entry")
		}
	}
	for i := range n {
		started := time.Now().Add(-time.Duration(i+1) * time.Hour)
		own["address"], own["incarnation"] = w.ports.take(), uint64(started.UnixMilli())<<20|uint64(i)
		data, err := json.Marshal(own)
		if err != nil {
			return err
		}
		w.store.put(topicInstances, fmt.Sprintf("edge-split-a-%d", 100+i), data)
	}
	w.rec.say("the store has the entries of %d machines that were removed without SIGTERM, as they left them", n)
	return nil
}

// load sends drafts to the daemons in turn until its results are judged.
type load struct {
	w       *world
	stop    chan struct{}
	sending sync.WaitGroup
	mu      sync.Mutex
	results []result
}

func startLoad(w *world, perSecond int) *load {
	l := &load{w: w, stop: make(chan struct{})}
	c := newCaller(w.rec)
	go func() {
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-time.After(time.Second / time.Duration(perSecond)):
			}
			to := w.daemons[n%len(w.daemons)].callers
			l.sending.Go(func() {
				r := c.draft(to, 10)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.results = append(l.results, r)
			})
		}
	}()
	return l
}

// judgeRecovery ends the load and checks RECOVER: fault is the time of the final fault, from that from which requests count.
func (l *load) judgeRecovery(fault, from time.Time) (int, error) {
	close(l.stop)
	l.sending.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	var early, earlyOK, late, lateOK int
	answers := make(map[string]int)
	for _, r := range l.results {
		switch {
		case r.sent.Before(fault):
			early++
			if r.ok() {
				earlyOK++
			}
		case r.sent.After(from):
			late++
			if r.ok() {
				lateOK++
			}
			kind := fmt.Sprint(r.status)
			var own struct {
				Code string `json:"code"`
			}
			if r.own && json.Unmarshal([]byte(r.body), &own) == nil {
				kind += " " + own.Code
			}
			answers[kind]++
		}
	}
	l.w.rec.say("before the final fault %d of %d requests were served; later than 12 s after the machines were back %d of %d: %v", earlyOK, early, lateOK, late, answers)
	if early == 0 || late == 0 || 4*earlyOK < early {
		return failed, fmt.Errorf("too little was served before the fault")
	}
	if 4*lateOK < late {
		l.w.rec.say("RECOVER is broken")
		return broken, nil
	}
	return held, nil
}
