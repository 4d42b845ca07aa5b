package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// Faults is the body of POST /faults. It replaces the faults in force, but for
// Crash, which happens once; {} switches everything off.
type Faults struct {
	// Crash drops every connection and everything held, now.
	Crash bool `json:"crash,omitempty"`
	// CrashOnText crashes the engine that runs a prompt with this text in its
	// first or last 512 bytes.
	CrashOnText string `json:"crash_on_text,omitempty"`
	// Freeze holds every call back, and every stream still, until it is switched off.
	Freeze bool `json:"freeze,omitempty"`
	// Down breaks every connection, the open ones now and each new one before
	// anything is done. What is held stays held, as behind a broken network.
	Down bool `json:"down,omitempty"`
	// Refuse answers every call with a 503 that says "not_run".
	Refuse bool `json:"refuse,omitempty"`
	// SlowFactor multiplies the time of work; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// DelayMS is added to each call before anything is done, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LoseAnswers breaks the connection of this many calls after their effect.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// TruncateAfter ends each decode stream after this many tokens without a
	// terminator; 0 means never.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// Leaving makes the stand-in say that it is going. It still works, and counts
	// the work it is given.
	Leaving bool `json:"leaving,omitempty"`
}

// SeenCall is one call as it arrived.
type SeenCall struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header http.Header `json:"header"`
}

// seenKept is how many of the last calls keep their headers for stats.
const seenKept = 512

// gate stands before a stand-in's handlers. It applies the faults that all
// stand-ins share and remembers the headers of the last calls.
type gate struct {
	mu     sync.Mutex
	faults Faults
	seen   []SeenCall
	// thaw is closed unless frozen.
	thaw chan struct{}
	// life ends at the next crash.
	life context.Context
	die  context.CancelFunc
	// reset empties the stand-in after a crash.
	reset func()
	// onCrash, if set, is called in place of reset; a process exits in it.
	onCrash func()
}

func newGate(reset, onCrash func()) *gate {
	g := &gate{reset: reset, onCrash: onCrash, thaw: make(chan struct{})}
	close(g.thaw)
	g.life, g.die = context.WithCancel(context.Background())
	return g
}

// handler serves faults and stats ahead of next.
func (g *gate) handler(next http.Handler, stats func() any) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if !readJSON(w, r, &faults) {
			return
		}
		writeJSON(w, struct{}{})
		g.set(faults)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, stats()) })
	mux.Handle("/", g.guard(next))
	return mux
}

func (g *gate) set(faults Faults) {
	crash := faults.Crash
	faults.Crash = false
	g.mu.Lock()
	if g.faults.Freeze && !faults.Freeze {
		close(g.thaw)
	}
	if !g.faults.Freeze && faults.Freeze {
		g.thaw = make(chan struct{})
	}
	if faults.Down && !g.faults.Down {
		g.newLife()
	}
	g.faults = faults
	g.mu.Unlock()
	if crash {
		g.crash()
	}
}

// newLife breaks every connection; the caller holds mu.
func (g *gate) newLife() {
	g.die()
	g.life, g.die = context.WithCancel(context.Background())
}

// close breaks every connection for good.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.die()
}

// crash ends every call in progress and empties the stand-in.
func (g *gate) crash() {
	if g.onCrash != nil {
		g.onCrash()
		return
	}
	g.mu.Lock()
	g.newLife()
	g.mu.Unlock()
	g.reset()
}

func (g *gate) current() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

func (g *gate) headers() []SeenCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]SeenCall(nil), g.seen...)
}

// slowed returns d under the slow factor in force.
func (g *gate) slowed(d time.Duration) time.Duration {
	if factor := g.current().SlowFactor; factor > 0 {
		return time.Duration(float64(d) * factor)
	}
	return d
}

// guard runs next under the faults in force. A panic with http.ErrAbortHandler
// breaks the connection without an answer, which is how a dead process looks.
func (g *gate) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults, thaw, life := g.arrive(r)
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(life, cancel)()
		select {
		case <-thaw:
		case <-ctx.Done():
		}
		sleep(ctx, time.Duration(faults.DelayMS)*time.Millisecond)
		if faults.Down || ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if faults.Refuse {
			writeError(w, http.StatusServiceUnavailable, wire.CodeUnavailable, "refusing by order")
			return
		}
		next.ServeHTTP(w, r.WithContext(ctx))
		if life.Err() != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

func (g *gate) arrive(r *http.Request) (Faults, <-chan struct{}, context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.seen) == seenKept {
		g.seen = g.seen[1:]
	}
	g.seen = append(g.seen, SeenCall{Method: r.Method, Path: r.URL.Path, Header: r.Header.Clone()})
	return g.faults, g.thaw, g.life
}

// answer writes v, or loses it when a fault says so. It is called after the
// effect of a call.
func (g *gate) answer(w http.ResponseWriter, v any) {
	g.maybeLose()
	writeJSON(w, v)
}

func (g *gate) maybeLose() {
	g.mu.Lock()
	lose := g.faults.LoseAnswers > 0
	if lose {
		g.faults.LoseAnswers--
	}
	g.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

// sleep waits for d and reports whether ctx still lives.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, wire.CodeInvalid, err.Error())
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeError refuses a call of which nothing has run.
func writeError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := wire.ErrorBody{Error: wire.Error{Code: code, Message: message, Ran: "not_run"}}
	_ = json.NewEncoder(w).Encode(body)
}
