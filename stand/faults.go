package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// Faults is the body of POST /faults. It replaces the active faults, except that Crash
// takes effect once; {} disables all faults.
type Faults struct {
	// Crash immediately drops all connections and all state.
	Crash bool `json:"crash,omitempty"`
	// CrashOnText crashes an engine when it runs a prompt with this text in its first
	// or last 512 bytes.
	CrashOnText string `json:"crash_on_text,omitempty"`
	// Freeze suspends all calls and streams until it is disabled.
	Freeze bool `json:"freeze,omitempty"`
	// Down breaks all connections: open ones immediately, and new ones before the call
	// has any effect. State is kept, as in a network failure.
	Down bool `json:"down,omitempty"`
	// Refuse responds to every call with a 503 that says "not_run".
	Refuse bool `json:"refuse,omitempty"`
	// SlowFactor multiplies all processing times; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// DelayMS delays each call before it has any effect, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LoseAnswers breaks the connections of the next calls, up to this number, after the
	// calls have taken effect.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// TruncateAfter ends each decode stream without a terminator after this many tokens;
	// 0 means never.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// Leaving makes the stand-in report that it is leaving. It still accepts work, and
	// counts it.
	Leaving bool `json:"leaving,omitempty"`
}

// SeenCall is a received call.
type SeenCall struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header http.Header `json:"header"`
}

// maxSeenCalls is how many of the most recent calls are recorded.
const maxSeenCalls = 512

// faultInjector wraps a stand-in's handler. It injects the faults that are common to all
// stand-ins and records the most recent calls.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	seen   []SeenCall
	// unfrozen is closed unless Freeze is active.
	unfrozen chan struct{}
	// lifetime is cancelled when all connections are dropped.
	lifetime    context.Context
	endLifetime context.CancelFunc
	// reset clears the stand-in's state after a crash.
	reset func()
	// onCrash, if set, is called instead of reset, and may exit the process.
	onCrash func()
}

func newFaultInjector(reset, onCrash func()) *faultInjector {
	f := &faultInjector{reset: reset, onCrash: onCrash, unfrozen: make(chan struct{})}
	close(f.unfrozen)
	f.lifetime, f.endLifetime = context.WithCancel(context.Background())
	return f
}

// handler adds the faults and stats endpoints to next and injects faults into it.
func (f *faultInjector) handler(next http.Handler, stats func() any) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if !readJSON(w, r, &faults) {
			return
		}
		writeJSON(w, struct{}{})
		f.set(faults)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, stats()) })
	mux.Handle("/", f.inject(next))
	return mux
}

func (f *faultInjector) set(faults Faults) {
	crash := faults.Crash
	faults.Crash = false
	f.mu.Lock()
	if f.faults.Freeze && !faults.Freeze {
		close(f.unfrozen)
	}
	if !f.faults.Freeze && faults.Freeze {
		f.unfrozen = make(chan struct{})
	}
	if faults.Down && !f.faults.Down {
		f.dropConnections()
	}
	f.faults = faults
	f.mu.Unlock()
	if crash {
		f.crash()
	}
}

// dropConnections breaks all connections. The caller must hold mu.
func (f *faultInjector) dropConnections() {
	f.endLifetime()
	f.lifetime, f.endLifetime = context.WithCancel(context.Background())
}

// close permanently breaks all connections.
func (f *faultInjector) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endLifetime()
}

// crash aborts all calls in progress and clears the stand-in's state, or calls onCrash.
func (f *faultInjector) crash() {
	if f.onCrash != nil {
		f.onCrash()
		return
	}
	f.mu.Lock()
	f.dropConnections()
	f.mu.Unlock()
	f.reset()
}

func (f *faultInjector) current() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultInjector) seenCalls() []SeenCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]SeenCall(nil), f.seen...)
}

// slowed returns d multiplied by the active slow factor.
func (f *faultInjector) slowed(d time.Duration) time.Duration {
	if factor := f.current().SlowFactor; factor > 0 {
		return time.Duration(float64(d) * factor)
	}
	return d
}

// inject runs next with the active faults. A panic with http.ErrAbortHandler breaks the
// connection without a response, like a crashed process.
func (f *faultInjector) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults, unfrozen, lifetime := f.recordCall(r)
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(lifetime, cancel)()
		select {
		case <-unfrozen:
		case <-ctx.Done():
		}
		sleep(ctx, time.Duration(faults.DelayMS)*time.Millisecond)
		if faults.Down || ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if faults.Refuse {
			writeError(w, http.StatusServiceUnavailable, wire.CodeUnavailable, "the refuse fault is active")
			return
		}
		next.ServeHTTP(w, r.WithContext(ctx))
		if lifetime.Err() != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

func (f *faultInjector) recordCall(r *http.Request) (Faults, <-chan struct{}, context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.seen) == maxSeenCalls {
		f.seen = f.seen[1:]
	}
	f.seen = append(f.seen, SeenCall{Method: r.Method, Path: r.URL.Path, Header: r.Header.Clone()})
	return f.faults, f.unfrozen, f.lifetime
}

// respond writes the response v, or breaks the connection if LoseAnswers is active. It
// must be called after the call has taken effect.
func (f *faultInjector) respond(w http.ResponseWriter, v any) {
	f.loseAnswer()
	writeJSON(w, v)
}

func (f *faultInjector) loseAnswer() {
	f.mu.Lock()
	lose := f.faults.LoseAnswers > 0
	if lose {
		f.faults.LoseAnswers--
	}
	f.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

// sleep waits for d or until ctx is done, and reports whether ctx is not done yet.
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

// writeError writes an error response that says "not_run". It must only be used if no
// part of the call has run.
func writeError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := wire.ErrorBody{Error: wire.Error{Code: code, Message: message, Ran: "not_run"}}
	_ = json.NewEncoder(w).Encode(body)
}
