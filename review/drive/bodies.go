//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of large bodies. The burst is that of the site's entry { kind = "burst", x = 2.2, for_s = 4.0 }: 2.2
// times as many users as the site has clients come at once. They send fewer requests than the usual rate and the burst
// allow in that time.
const (
	bodiesDaemons  = 3
	bodiesEngines  = 3
	bodiesClients  = 47
	bodiesUsers    = bodiesClients * 22 / 10
	bodiesFor      = 4 * time.Second
	bodiesArrivals = 200 * time.Millisecond
	bodiesBursts   = 5
	bodiesPause    = 8 * time.Second
	bodiesDeadline = 4 * time.Second
	// bodiesBytes is the size of the bodies of the additional users, below the 4,194,304 that the configuration allows,
	// and bodiesTime the time in which they send one. They use less than two thirds of a daemon's link.
	bodiesBytes = 4_000_000
	bodiesTime  = 1800 * time.Millisecond
	bodiesChunk = 32 << 10
	chunkTime   = bodiesTime * bodiesChunk / bodiesBytes
	// usualUploads is the rate of large bodies outside of bursts.
	usualUploads = 2.0
	// memoryProbe is how often the platform looks at the memory of a process.
	memoryProbe = 5 * time.Millisecond
	// maxEnds and endingDaemons are the bounds of the rule: processes end by themselves three times on two machines.
	maxEnds, endingDaemons = 3, 2
	// swapsPerSecond is the usual rate of requests.
	swapsPerSecond = 36.1
	// maxLost is the bound of the rule LOST.
	maxLost = 3
)

// limitMemory kills the process of a daemon that exceeds its memory, as the platform does, until stop is closed.
// It returns the number of times.
func (d *daemon) limitMemory(stop <-chan struct{}) (killed int, peak float64) {
	starts := 0
	for {
		select {
		case <-stop:
			return killed, peak
		case <-time.After(memoryProbe):
		}
		used := d.memoryMB()
		peak = max(peak, used)
		d.mu.Lock()
		isNew := d.starts > starts
		d.mu.Unlock()
		if used <= memoryMB || !isNew {
			continue
		}
		d.mu.Lock()
		starts = d.starts
		d.mu.Unlock()
		killed++
		d.fleet.addf("memory %s uses %.1f MB of %d", d.name, used, memoryMB)
		d.signal(syscall.SIGKILL)
	}
}

// playBodies sends bodies of the largest allowed size in chunks, many at once.
func playBodies(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	o := &outcomes{record: r, statuses: make(map[int]int), refused: make(map[string]int), runs: make(map[string][]string)}
	for range bodiesEngines {
		if _, err := f.startEngine(plainService, "", func(e *engine) { e.onRun = o.run }); err != nil {
			return false, err
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
	var uploads sync.WaitGroup
	id := 0
	upload := func(after time.Duration) {
		id++
		n := id
		uploads.Go(func() {
			time.Sleep(after)
			o.upload(f.daemons[n%bodiesDaemons], fmt.Sprintf("u%06x", n), lost)
		})
	}
	for range bodiesBursts {
		for until := time.Now().Add(bodiesPause); time.Now().Before(until); {
			upload(0)
			time.Sleep(time.Duration(float64(time.Second) / usualUploads))
		}
		if trouble {
			o.addf("burst of %d users", bodiesUsers)
			for range bodiesUsers {
				upload(rand.N(bodiesArrivals))
			}
		}
		time.Sleep(bodiesFor)
	}
	uploads.Wait()
	end()
	usual.Wait()
	close(stop)
	watches.Wait()
	close(lost)
	count, ending := 0, 0
	for id := range lost {
		if len(o.runs[id]) > 0 {
			count++
			o.addf("lost: %s ran and its kept connection was closed without an answer", id)
		}
	}
	for n, d := range f.daemons {
		o.addf("%s: ended %d times by its memory, peak %.1f MB", d.name, killed[n], peaks[n])
		if killed[n] >= maxEnds {
			ending++
		}
	}
	o.addf("answers by status: %v; requests lost: %d", o.statuses, count)
	if o.statuses[http.StatusOK] == 0 {
		return false, errors.New("no request was served")
	}
	return ending >= endingDaemons || count > maxLost, nil
}

// confirm sends small requests at the usual rate on a kept connection until ctx ends.
func (o *outcomes) confirm(ctx context.Context, d *daemon, client int, lost chan<- string) {
	for n := 0; pause(ctx, 0); {
		c, err := o.dial(d)
		if err != nil {
			pause(ctx, time.Second)
			continue
		}
		for open := true; open && pause(ctx, time.Duration(rand.ExpFloat64()*float64(bodiesClients)/swapsPerSecond*float64(time.Second))); n++ {
			open = o.exchange(c, request{
				id: fmt.Sprintf("c%02x%04x", client, n), method: http.MethodPost, path: swapPath + "1", body: make([]byte, 600), deadline: bodiesDeadline,
			}, lost)
		}
		_ = c.Close()
	}
}

// upload sends a request with a large body.
func (o *outcomes) upload(d *daemon, id string, lost chan<- string) {
	c, err := o.dial(d)
	if err != nil {
		o.addf("error %s %v", id, err)
		return
	}
	defer func() { _ = c.Close() }()
	o.exchange(c, request{id: id, method: http.MethodPost, path: swapPath + "1", body: make([]byte, bodiesBytes), chunked: true, pace: chunkTime, deadline: bodiesDeadline}, lost)
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	// kept is set once a request has been answered on the connection.
	kept bool
}

func (o *outcomes) dial(d *daemon) (*clientConn, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp4", d.callers)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// exchange sends a request and records its answer. It reports whether the connection can be used further. If the
// connection was kept and is closed without an answer, the request goes to lost.
func (o *outcomes) exchange(c *clientConn, q request, lost chan<- string) (open bool) {
	r, err := q.encode()
	if err != nil {
		o.addf("error %v", err)
		return false
	}
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	o.addf("sent %s", q.id)
	go func() {
		// If the daemon has closed the connection, the answer is missing as well.
		_ = r.Write(c)
	}()
	resp, err := http.ReadResponse(c.reader, r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		o.addf("closed %s %v", q.id, err)
		var timeout net.Error
		if !(errors.As(err, &timeout) && timeout.Timeout()) && c.kept {
			lost <- q.id
		}
		return false
	}
	c.kept = true
	o.answered(q.id, resp.StatusCode)
	return !resp.Close
}
