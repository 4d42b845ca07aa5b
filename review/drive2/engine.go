//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the engines.
const (
	heartbeat = 1200 * time.Millisecond
	// silentHeartbeats is the number of missed heartbeats after which the store removes an entry.
	silentHeartbeats = 3
	// roleSwitch is how long an engine is away after an order, and handleLife how long it keeps the memory of a prompt.
	roleSwitch = time.Second
	handleLife = 4 * time.Second
	// memoryTokens is the memory of a model engine.
	memoryTokens = 107196
)

// engine is a server of a service: a plain one without a stage, or a model engine.
type engine struct {
	id, service, address string
	born                 int64
	slots                int
	store                *store
	rec                  *record
	listener             net.Listener
	server               *http.Server
	// prefill is how long a prompt takes, work how long a plain request takes.
	prefill, work time.Duration
	// events is the number of events of a stream, and gap the time between two.
	events int
	gap    time.Duration
	// unframed selects the requests that are answered without a length; size is the size of plain answers.
	unframed func(id string) bool
	size     int
	onRun    func(e *engine, r *http.Request)

	prompt sync.Mutex
	mu     sync.Mutex
	stage  string
	state  string
	seq    int
	busy   bool
	orders int64
	token  int64
	holds  map[string]time.Time
	made   int
	// handles maps the memory of prompts to their requests.
	handles map[string]string
	running int
	gone    bool
	conns   map[net.Conn]bool
}

// newEngine starts an engine and lets it write its entry.
func newEngine(id, service, stage string, s *store, rec *record) (*engine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, service: service, stage: stage, state: "ready", address: l.Addr().String(), born: time.Now().UnixMilli(), slots: 48, store: s, rec: rec, listener: l,
		prefill: 95 * time.Millisecond, work: 60 * time.Millisecond, events: 10, gap: 10 * time.Millisecond, size: 800,
		holds: make(map[string]time.Time), handles: make(map[string]string), conns: make(map[net.Conn]bool),
	}
	e.server = &http.Server{Handler: e, ConnState: e.track}
	go func() { _ = e.server.Serve(l) }()
	e.register()
	go e.beat()
	return e, nil
}

func (e *engine) track(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(e.conns, c)
		return
	}
	e.conns[c] = true
}

func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return
	}
	e.seq++
	value := map[string]any{
		"service": e.service, "address": e.address, "zone": "split-a", "version": 1, "slots": e.slots, "state": e.state, "cold-left-ms": 0, "seq": e.seq, "born": e.born,
	}
	if e.stage != "" {
		value["stage"] = e.stage
		value["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	data, _ := json.Marshal(value)
	e.store.put(topicServers, e.id, data)
}

func (e *engine) beat() {
	for {
		time.Sleep(heartbeat)
		e.mu.Lock()
		gone := e.gone
		e.mu.Unlock()
		if gone {
			return
		}
		e.register()
	}
}

// lose ends the engine for good: its process ends without a word, and the store removes its entry after three heartbeats.
func (e *engine) lose() {
	e.mu.Lock()
	e.gone = true
	var open []net.Conn
	for c := range e.conns {
		open = append(open, c)
	}
	e.mu.Unlock()
	_ = e.listener.Close()
	for _, c := range open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	time.AfterFunc(silentHeartbeats*heartbeat, func() { e.store.put(topicServers, e.id, nil) })
}

func refuseNotRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	w.Header().Set("Keep-Alive", "timeout=15")
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		refuseNotRun(w, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/api/hold-take":
		e.serveHold(w, r)
	case r.URL.Path == "/api/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": e.stage, "busy": e.busy, "seq": e.orders, "queued": 0, "running": e.running, "born": e.born})
	case r.URL.Path == "/api/order":
		e.serveOrder(w, r)
	case strings.HasPrefix(r.URL.Path, "/api/kv-handle/"):
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.handles, strings.TrimPrefix(r.URL.Path, "/api/kv-handle/"))
	case strings.HasPrefix(r.URL.Path, "/api/hold-drop/"):
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.holds, strings.TrimPrefix(r.URL.Path, "/api/hold-drop/"))
	case r.Header.Get("X-Stage") == "prefill":
		e.servePrompt(w, r, id)
	default:
		e.serveRequest(w, r, id)
	}
}

func (e *engine) serveHold(w http.ResponseWriter, r *http.Request) {
	var hold struct {
		Tokens int `json:"tokens"`
	}
	if err := json.NewDecoder(r.Body).Decode(&hold); err != nil || hold.Tokens > memoryTokens {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.made++
	name := fmt.Sprintf("%s-hold-%d", e.id, e.made)
	e.holds[name] = time.Now()
	_ = json.NewEncoder(w).Encode(map[string]string{"hold": name})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op     string `json:"op"`
		Stage  string `json:"stage"`
		Holder string `json:"holder"`
		Token  int64  `json:"fencing-token"`
		Expect *int64 `json:"expect"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 || o.Op != "stage" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case o.Token < e.token:
		status = http.StatusPreconditionFailed
	case e.busy || o.Expect != nil && *o.Expect != e.orders:
		status = http.StatusConflict
	case o.Stage == e.stage:
		status = http.StatusOK
	}
	e.rec.say("order of %s to %s: stage %s, token %d: %d", o.Holder, e.id, o.Stage, o.Token, status)
	if status == http.StatusAccepted {
		e.token, e.busy = o.Token, true
		e.orders++
		time.AfterFunc(roleSwitch, func() {
			e.mu.Lock()
			e.stage, e.busy = o.Stage, false
			e.mu.Unlock()
			e.register()
		})
	}
	w.WriteHeader(status)
}

// blocked reports whether a request is refused, and with which status.
func (e *engine) blocked(stage string) (status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.stage != stage:
		return http.StatusMisdirectedRequest
	case e.busy:
		return http.StatusServiceUnavailable
	}
	return 0
}

func (e *engine) servePrompt(w http.ResponseWriter, r *http.Request, id string) {
	_, _ = io.Copy(io.Discard, r.Body)
	if status := e.blocked("prefill"); status != 0 {
		refuseNotRun(w, status)
		return
	}
	e.prompt.Lock()
	time.Sleep(e.prefill)
	e.prompt.Unlock()
	e.mu.Lock()
	e.made++
	handle := fmt.Sprintf("%s%d", e.id, e.made)
	e.handles[handle] = id
	e.mu.Unlock()
	time.AfterFunc(handleLife, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.handles, handle)
	})
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"kv-handle":%q,"tokens":5200,"version":1}`, handle)
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request, id string) {
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	stage := e.stage
	e.mu.Unlock()
	want := ""
	if stage != "" {
		want = "decode"
	}
	if status := e.blocked(want); status != 0 {
		refuseNotRun(w, status)
		return
	}
	e.mu.Lock()
	full := e.running >= e.slots
	if !full {
		e.running++
	}
	e.mu.Unlock()
	if full {
		refuseNotRun(w, http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.rec.add("run %s at %s", id, e.id)
	if e.onRun != nil {
		e.onRun(e, r)
	}
	w.Header().Set("X-Response-Signature", "signed."+id)
	if stage == "decode" {
		e.stream(w, r, id)
		return
	}
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	if e.unframed != nil && e.unframed(id) {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	_, _ = io.WriteString(w, answerOf(id, e.size))
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first; n < e.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.gap):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s part %d\n\n", n+1, id, n)
		w.(http.Flusher).Flush()
	}
}

// answerOf is the whole answer of a plain engine to a request.
func answerOf(id string, size int) string {
	line := "answer to " + id + "\n"
	return strings.Repeat(line, size/len(line)+1)
}
