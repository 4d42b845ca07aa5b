package scheduler

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

const (
	// watchInterval is how often an upstream is asked for its load and streams.
	// Reports lag anyway; grants, not reports, say what is free. At 600 upstreams
	// over 400 instances this is 1.5 polls a second an instance.
	watchInterval = time.Second
	// watchTimeout bounds one poll.
	watchTimeout = time.Second
	// fullEvery is how many polls there are to one that lists the streams. A list
	// takes 188 bytes a stream, a load report some 260 in all; a report of more
	// streams than are known here asks for the list at once.
	fullEvery = 10
)

// watch polls every upstream of a model service until ctx ends. The first poll
// goes out at once: a scheduler that takes over learns from it what is running.
func (s *Server) watch(ctx context.Context, pid *actor.PID, service *object.Service, upstreams []*object.Upstream) {
	if service.Kind == object.KindPlain {
		return
	}
	for _, u := range upstreams {
		w := &upstreamWatch{
			server: s, pid: pid, upstream: u, engine: s.cfg.Engines(u.Address), listNow: make(chan struct{}, 1),
		}
		go w.run(ctx)
	}
}

type upstreamWatch struct {
	server   *Server
	pid      *actor.PID
	upstream *object.Upstream
	engine   port.Engine
	// listNow asks for the streams' list with the next poll, which it brings forward.
	listNow chan struct{}
	// cacheSeq is the last cache event seen; start is the engine's process.
	cacheSeq uint64
	start    string
}

func (w *upstreamWatch) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		w.poll(ctx, n%fullEvery == 0)
		select {
		case <-ctx.Done():
			return
		case <-w.listNow:
			w.poll(ctx, true)
		case <-ticker.C:
		}
	}
}

// poll asks for the load and, if full, for the streams.
func (w *upstreamWatch) poll(ctx context.Context, full bool) {
	ctx, stop := context.WithTimeout(ctx, watchTimeout)
	defer stop()
	msg := reportMsg{upstream: w.upstream.Name, asked: time.Now(), listed: full, listNow: w.listNow}
	var err error
	if msg.load, err = w.engine.Load(ctx); err == nil && full {
		msg.streams, err = w.engine.Streams(ctx)
	}
	if err != nil {
		w.send(unreachableMsg{w.upstream.Name})
		return
	}
	w.send(msg)
	if w.upstream.Role == object.RolePrefill {
		w.pollCache(ctx, msg.load.Start)
	}
}

// pollCache reads the prefix cache's events. After a gap or a restart nothing
// believed so far holds; the belief is dropped and grows anew.
func (w *upstreamWatch) pollCache(ctx context.Context, start string) {
	msg := cacheMsg{upstream: w.upstream.Name}
	if start != w.start {
		w.start, w.cacheSeq, msg.reset = start, 0, true
	}
	events, err := w.engine.CacheEvents(ctx, w.cacheSeq)
	if err != nil {
		return
	}
	for _, e := range events {
		if w.cacheSeq != 0 && e.Seq != w.cacheSeq+1 {
			msg.reset = true
			msg.events = msg.events[:0]
		}
		w.cacheSeq = e.Seq
		msg.events = append(msg.events, e)
	}
	w.send(msg)
}

func (w *upstreamWatch) send(msg any) { w.server.system.Root.Send(w.pid, msg) }
