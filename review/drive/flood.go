//go:build review

package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case of bytes that are no response. The shares of the answers and of the engines and the duration are
// those of the site's entry of garble with share = 0.35, x = 0.02 and for_s = 5.5, which means one engine of three.
const (
	floodEngines = 3
	floodShare   = 0.02
	floodFor     = 5500 * time.Millisecond
	floodPause   = 2 * time.Second
	floodWindows = 12
	// floodPiece is sent at a time, at the speed of a machine's link of 1,000 Mbit/s.
	floodPiece = 256 << 10
	floodTime  = time.Second * floodPiece / (1_000_000_000 / 8)
)

// playFlood sends usual requests to engines of which one sends bytes that are no response now and then.
func playFlood(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	o := &outcomes{record: r, statuses: make(map[int]int), refused: make(map[string]int), runs: make(map[string][]string)}
	var faulty atomic.Bool
	var faultyID string
	for n := range floodEngines {
		e, err := f.startEngine(plainService, "", func(e *engine) {
			e.onRun = o.run
			if n == 0 {
				e.answer = func(c *tee, r *http.Request) bool { return o.answerOrFlood(c, r, &faulty) }
			}
		})
		if err != nil {
			return false, err
		}
		if n == 0 {
			faultyID = e.id
		}
	}
	if err := f.startDaemons(bodiesDaemons); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	killed, peaks := make([]int, bodiesDaemons), make([]float64, bodiesDaemons)
	var watches sync.WaitGroup
	for n, d := range f.daemons {
		watches.Go(func() { killed[n], peaks[n] = d.limitMemory(stop) })
	}
	lost := make(chan string, 10000)
	ctx, end := context.WithCancel(context.Background())
	var usual sync.WaitGroup
	for n := range bodiesClients {
		usual.Go(func() { o.confirm(ctx, f.daemons[n%bodiesDaemons], n, lost) })
	}
	for range floodWindows {
		time.Sleep(floodPause)
		faulty.Store(trouble)
		time.Sleep(floodFor)
		faulty.Store(false)
	}
	end()
	usual.Wait()
	close(stop)
	watches.Wait()
	close(lost)
	count := o.lostAtSound(lost, faultyID)
	for n, d := range f.daemons {
		o.addf("%s: ended %d times by its memory, peak %.1f MB", d.name, killed[n], peaks[n])
	}
	o.addf("answers by status: %v; requests lost at sound engines: %d", o.statuses, count)
	if o.statuses[http.StatusOK] == 0 {
		return false, errors.New("no request was served")
	}
	return count > maxLost, nil
}

// answerOrFlood answers a request. While the engine is faulty, a share of the answers are bytes that are no response, until
// the daemon closes the connection.
func (o *outcomes) answerOrFlood(c *tee, r *http.Request, faulty *atomic.Bool) bool {
	time.Sleep(plainWork)
	id := r.Header.Get("X-Request-Id")
	if !faulty.Load() || rand.Float64() >= floodShare {
		return write(c, r, http.StatusOK, "X-Response-Signature: s."+id+"\r\n", strings.Repeat("y", 800))
	}
	o.addf("flood begins in place of the answer to %s", id)
	piece := make([]byte, floodPiece)
	sent := 0
	for next := time.Now(); ; next = next.Add(floodTime) {
		time.Sleep(time.Until(next))
		n, err := c.Conn.Write(piece)
		sent += n
		if err != nil {
			o.addf("flood ends in place of the answer to %s after %d bytes", id, sent)
			return false
		}
	}
}

// lostAtSound returns the number of lost requests that have run at sound engines.
func (o *outcomes) lostAtSound(lost <-chan string, faulty string) (count int) {
	for id := range lost {
		if at := o.runs[id]; len(at) > 0 && at[0] != faulty {
			count++
			o.addf("lost: %s ran at %s and its kept connection was closed without an answer", id, at[0])
		}
	}
	return count
}
