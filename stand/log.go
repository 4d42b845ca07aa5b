package stand

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// LogConfig sets a log service up.
type LogConfig struct {
	// AppendsPerSecond bounds append calls over all streams; 400.
	AppendsPerSecond int
	// Retention is how long records are kept; 1 h.
	Retention time.Duration
	// AppendTime is the time of an append; 2 ms.
	AppendTime time.Duration
	// MaxWait bounds the wait of a read; 30 s.
	MaxWait time.Duration
	// OnCrash, if set, is called in place of doing nothing: records survive.
	OnCrash func()
}

// LogStats answers GET /stats of the log.
type LogStats struct {
	Appends        int            `json:"appends"`
	AppendsRefused int            `json:"appends_refused"`
	Reads          int            `json:"reads"`
	Records        map[string]int `json:"records"`
	Seen           []SeenCall     `json:"seen"`
}

// Log is a stand-in of the platform's append-only log.
type Log struct {
	cfg     LogConfig
	gate    *gate
	mu      sync.Mutex
	streams map[string]*logStream
	// allowance of appends and when it was last filled.
	allowance float64
	filled    time.Time
	stats     LogStats
}

type logStream struct {
	records []wire.Record
	next    uint64
	// grown is closed and replaced at each append.
	grown chan struct{}
}

// NewLog returns an empty log.
func NewLog(cfg LogConfig) *Log {
	setDefault(&cfg.AppendsPerSecond, 400)
	setDefault(&cfg.Retention, time.Hour)
	setDefault(&cfg.AppendTime, 2*time.Millisecond)
	setDefault(&cfg.MaxWait, 30*time.Second)
	l := &Log{cfg: cfg, streams: map[string]*logStream{}, filled: time.Now()}
	l.allowance = float64(cfg.AppendsPerSecond)
	l.gate = newGate(func() {}, cfg.OnCrash)
	return l
}

// Close ends every read that waits, by breaking its connection.
func (l *Log) Close() { l.gate.close() }

// Handler serves the log, its faults and its stats.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.handleAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.handleRead)
	return l.gate.handler(mux, func() any { return l.Stats() })
}

// Stats returns a copy of what the log counted.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.stats
	out.Records = make(map[string]int, len(l.streams))
	for name, s := range l.streams {
		out.Records[name] = len(s.records)
	}
	out.Seen = l.gate.headers()
	return out
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	var req wire.AppendRequest
	if !readJSON(w, r, &req) {
		return
	}
	if !l.allowed(time.Now()) {
		writeError(w, http.StatusTooManyRequests, wire.CodeTooManyAppends, "append rate exceeded")
		return
	}
	// The append is durable once the whole call was read: a writer that goes away
	// while it waits finds its entries in the log.
	first := l.append(r.PathValue("stream"), req.Entries, time.Now())
	sleep(r.Context(), l.gate.slowed(l.cfg.AppendTime))
	l.gate.answer(w, wire.AppendResult{First: first})
}

// allowed takes one append from the allowance, which holds one second's worth.
func (l *Log) allowed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := float64(l.cfg.AppendsPerSecond)
	l.allowance = min(rate, l.allowance+now.Sub(l.filled).Seconds()*rate)
	l.filled = now
	if l.allowance < 1 {
		l.stats.AppendsRefused++
		return false
	}
	l.allowance--
	return true
}

func (l *Log) append(name string, entries []wire.Entry, now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.next
	for _, entry := range entries {
		s.records = append(s.records, wire.Record{Offset: s.next, ID: entry.ID, Data: entry.Data, Appended: now})
		s.next++
	}
	l.stats.Appends++
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

func (l *Log) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{next: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
	limit, _ := strconv.Atoi(r.FormValue("max"))
	waitMS, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	wait := min(time.Duration(waitMS)*time.Millisecond, l.cfg.MaxWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		page, grown := l.read(r.PathValue("stream"), from, limit, time.Now())
		if len(page.Records) > 0 || ctx.Err() != nil {
			l.gate.answer(w, page)
			return
		}
		select {
		case <-grown:
		case <-ctx.Done():
		}
	}
}

func (l *Log) read(name string, from uint64, limit int, now time.Time) (wire.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Reads++
	s := l.stream(name)
	for len(s.records) > 0 && now.Sub(s.records[0].Appended) > l.cfg.Retention {
		s.records = s.records[1:]
	}
	first := s.next - uint64(len(s.records))
	page := wire.Page{First: first, Next: s.next, Records: []wire.Record{}}
	at := max(from, first)
	if at >= s.next {
		return page, s.grown
	}
	rest := s.records[at-first:]
	if limit > 0 && len(rest) > limit {
		rest = rest[:limit]
	}
	page.Records = append(page.Records, rest...)
	return page, s.grown
}
