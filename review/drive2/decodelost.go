//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// decodeLost: of four model engines, the daemons' orders have left one to decode. It is lost for good, and all daemons are killed
// before they have ordered another one to decode.
func decodeLost(w *world) (int, error) {
	const (
		engines   = 4
		perSecond = 10
		before    = 16 * time.Second
		crashLead = 700 * time.Millisecond
		down      = 900 * time.Millisecond
		recovery  = 12 * time.Second
		measured  = 15 * time.Second
	)
	// ONLY=crash and ONLY=kill show that each half of the disruption alone is recovered from.
	only := os.Getenv("ONLY")
	w.publish(configuration(2, 16384))
	var all []*engine
	for n := range engines {
		stage := "prefill"
		if n < 2 {
			stage = "decode"
		}
		e, err := newEngine(fmt.Sprintf("i-%d", n+1), "pisar", stage, w.store, w.rec)
		if err != nil {
			return failed, err
		}
		all = append(all, e)
	}
	p, err := newEngine("i-9", "dezurstva", "", w.store, w.rec)
	if err != nil {
		return failed, err
	}
	p.slots = 6
	if err := w.addDaemons(3); err != nil {
		return failed, err
	}
	w.rec.say("3 daemons are ready")

	l := startLoad(w, perSecond)
	time.Sleep(before)
	fault := time.Now()
	decoding := inStage(all, "decode")
	if len(decoding) != 1 {
		return failed, fmt.Errorf("%d of the engines decode; the case is about one", len(decoding))
	}
	if w.trouble && only != "kill" {
		w.rec.say("engine %s, the one that decodes, is lost for good", decoding[0].id)
		decoding[0].lose()
		time.Sleep(crashLead)
	}
	if w.trouble && only != "crash" {
		fault = time.Now()
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
	for _, e := range all {
		e.mu.Lock()
		w.rec.say("engine %s: stage %s, lost: %v, orders accepted: %d", e.id, e.stage, e.gone, e.orders)
		e.mu.Unlock()
	}
	return l.judgeRecovery(fault, back.Add(recovery))
}

// inStage returns the engines that are in a stage.
func inStage(all []*engine, stage string) (out []*engine) {
	for _, e := range all {
		e.mu.Lock()
		if e.stage == stage && !e.gone {
			out = append(out, e)
		}
		e.mu.Unlock()
	}
	return out
}
