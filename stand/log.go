package stand

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// LogConfig configures a log service. Zero fields take the defaults.
type LogConfig struct {
	// AppendsPerSecond limits the rate of append calls over all streams; default 400.
	AppendsPerSecond int
	// Retention is how long records are retained; default 1 h.
	Retention time.Duration
	// AppendTime is how long an append takes; default 2 ms.
	AppendTime time.Duration
	// MaxWait limits the wait time of a read; default 30 s.
	MaxWait time.Duration
	// OnCrash, if set, is called on a crash. Otherwise a crash only drops connections;
	// records are kept.
	OnCrash func()
}

// LogStats is the response of GET /stats of the log.
type LogStats struct {
	Appends        int            `json:"appends"`
	AppendsRefused int            `json:"appends_refused"`
	Reads          int            `json:"reads"`
	Records        map[string]int `json:"records"`
	Seen           []SeenCall     `json:"seen"`
}

// Log is a stand-in for the platform's append-only log.
type Log struct {
	cfg     LogConfig
	faults  *faultInjector
	mu      sync.Mutex
	streams map[string]*logStream
	// appendTokens is the token bucket for append calls, last refilled at the time
	// refilled.
	appendTokens float64
	refilled     time.Time
	stats        LogStats
}

type logStream struct {
	records []wire.Record
	next    uint64
	// appended is closed and replaced on each append.
	appended chan struct{}
}

// NewLog returns an empty log.
func NewLog(cfg LogConfig) *Log {
	setDefault(&cfg.AppendsPerSecond, 400)
	setDefault(&cfg.Retention, time.Hour)
	setDefault(&cfg.AppendTime, 2*time.Millisecond)
	setDefault(&cfg.MaxWait, 30*time.Second)
	l := &Log{cfg: cfg, streams: map[string]*logStream{}, refilled: time.Now()}
	l.appendTokens = float64(cfg.AppendsPerSecond)
	l.faults = newFaultInjector(func() {}, cfg.OnCrash)
	return l
}

// Close breaks all connections, which ends waiting reads.
func (l *Log) Close() { l.faults.close() }

// Handler returns the handler for the log, its faults and its statistics.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.handleAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.handleRead)
	return l.faults.handler(mux, func() any { return l.Stats() })
}

// Stats returns a copy of the log's statistics.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.stats
	out.Records = make(map[string]int, len(l.streams))
	for name, s := range l.streams {
		out.Records[name] = len(s.records)
	}
	out.Seen = l.faults.seenCalls()
	return out
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	var req wire.AppendRequest
	if !readJSON(w, r, &req) {
		return
	}
	if !l.allowAppend(time.Now()) {
		writeError(w, http.StatusTooManyRequests, wire.CodeTooManyAppends, "append rate limit exceeded")
		return
	}
	// The append is durable once the whole request has been read, even if the writer
	// disconnects while it waits for the response.
	first := l.append(r.PathValue("stream"), req.Entries, time.Now())
	sleep(r.Context(), l.faults.slowed(l.cfg.AppendTime))
	l.faults.respond(w, wire.AppendResult{First: first})
}

// allowAppend takes a token from the bucket, whose capacity is one second of appends, and
// reports whether there was one.
func (l *Log) allowAppend(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := float64(l.cfg.AppendsPerSecond)
	l.appendTokens = min(rate, l.appendTokens+now.Sub(l.refilled).Seconds()*rate)
	l.refilled = now
	if l.appendTokens < 1 {
		l.stats.AppendsRefused++
		return false
	}
	l.appendTokens--
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
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

func (l *Log) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{next: 1, appended: make(chan struct{})}
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
		page, appended := l.read(r.PathValue("stream"), from, limit, time.Now())
		if len(page.Records) > 0 || ctx.Err() != nil {
			l.faults.respond(w, page)
			return
		}
		select {
		case <-appended:
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
		return page, s.appended
	}
	rest := s.records[at-first:]
	if limit > 0 && len(rest) > limit {
		rest = rest[:limit]
	}
	page.Records = append(page.Records, rest...)
	return page, s.appended
}
