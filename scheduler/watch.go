package scheduler

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

const (
	// pollInterval is the interval between polls of an upstream. Reports are always out of date, so
	// free capacity is computed from grants and not from reports. With 600 upstreams and 400
	// instances, this is 1.5 polls per second per instance.
	pollInterval = time.Second
	// pollTimeout is the timeout of one poll.
	pollTimeout = time.Second
	// pollsPerList is the number of polls per poll that requests the stream list. A list takes 188
	// bytes per stream, a load report about 260 bytes in total. If the reports count more streams
	// than are known here, the list is requested earlier.
	pollsPerList = 10
)

// startPollers polls every upstream of a model service until ctx is done. The first poll is sent
// immediately, because a scheduler that takes over learns from it which streams are running.
func (s *Server) startPollers(ctx context.Context, pid *actor.PID, service *object.Service, upstreams []*object.Upstream) {
	if service.Kind == object.KindPlain {
		return
	}
	for _, u := range upstreams {
		p := &upstreamPoller{
			server: s, pid: pid, upstream: u, engine: s.cfg.Engines(u.Address), listRequested: make(chan struct{}, 1),
		}
		go p.run(ctx)
	}
}

type upstreamPoller struct {
	server   *Server
	pid      *actor.PID
	upstream *object.Upstream
	engine   port.Engine
	// listRequested triggers an immediate poll that includes the stream list.
	listRequested chan struct{}
	// lastCacheSeq is the sequence number of the last cache event read, and processStart identifies
	// the engine process that it came from.
	lastCacheSeq uint64
	processStart string
}

func (p *upstreamPoller) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		p.poll(ctx, n%pollsPerList == 0)
		select {
		case <-ctx.Done():
			return
		case <-p.listRequested:
			p.poll(ctx, true)
		case <-ticker.C:
		}
	}
}

// poll requests the load and, if withStreams is set, the stream list.
func (p *upstreamPoller) poll(ctx context.Context, withStreams bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	msg := reportMsg{upstream: p.upstream.Name, requestedAt: time.Now(), hasStreams: withStreams, requestList: p.listRequested}
	var err error
	if msg.load, err = p.engine.Load(ctx); err == nil && withStreams {
		msg.streams, err = p.engine.Streams(ctx)
	}
	if err != nil {
		p.send(unreachableMsg{p.upstream.Name})
		return
	}
	p.send(msg)
	if p.upstream.Role == object.RolePrefill {
		p.pollCache(ctx, msg.load.Start)
	}
}

// pollCache reads the events of the prefix cache. After a gap or a restart of the engine, the known
// cache contents are discarded and rebuilt from new events.
func (p *upstreamPoller) pollCache(ctx context.Context, start string) {
	msg := cacheEventsMsg{upstream: p.upstream.Name}
	if start != p.processStart {
		p.processStart, p.lastCacheSeq, msg.reset = start, 0, true
	}
	events, err := p.engine.CacheEvents(ctx, p.lastCacheSeq)
	if err != nil {
		return
	}
	for _, e := range events {
		if p.lastCacheSeq != 0 && e.Seq != p.lastCacheSeq+1 {
			msg.reset = true
			msg.events = msg.events[:0]
		}
		p.lastCacheSeq = e.Seq
		msg.events = append(msg.events, e)
	}
	p.send(msg)
}

func (p *upstreamPoller) send(msg any) { p.server.system.Root.Send(p.pid, msg) }
