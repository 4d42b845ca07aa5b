package stand

import (
	"net/http"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// ListConfig sets the platform's list up.
type ListConfig struct {
	// Lag is the age of what the list shows; 2 s.
	Lag time.Duration
	// Instances and Upstreams are shown from the start.
	Instances []wire.Listed
	Upstreams []wire.Listed
}

// ListStats answers GET /stats of the list.
type ListStats struct {
	Reads int        `json:"reads"`
	Seen  []SeenCall `json:"seen"`
}

// List is a stand-in of the platform's lagging list. PUT changes the truth, GET
// shows it Lag later.
type List struct {
	cfg       ListConfig
	gate      *gate
	mu        sync.Mutex
	instances lagging
	upstreams lagging
	reads     int
}

// lagging is a value with its past, oldest first. The first entry is in force.
type lagging struct{ versions []listVersion }

type listVersion struct {
	shown  time.Time
	listed []wire.Listed
}

func newLagging(listed []wire.Listed) lagging {
	if listed == nil {
		listed = []wire.Listed{}
	}
	return lagging{versions: []listVersion{{listed: listed}}}
}

func (g *lagging) set(listed []wire.Listed, shown time.Time) {
	g.versions = append(g.versions, listVersion{shown, listed})
}

func (g *lagging) at(now time.Time) []wire.Listed {
	for len(g.versions) > 1 && !g.versions[1].shown.After(now) {
		g.versions = g.versions[1:]
	}
	return g.versions[0].listed
}

// NewList returns a list.
func NewList(cfg ListConfig) *List {
	setDefault(&cfg.Lag, 2*time.Second)
	l := &List{cfg: cfg, instances: newLagging(cfg.Instances), upstreams: newLagging(cfg.Upstreams)}
	l.gate = newGate(func() {}, nil)
	return l
}

// Close does nothing; it is there for symmetry with the other stand-ins.
func (l *List) Close() {}

// SetInstances changes the listed instances, shown Lag later.
func (l *List) SetInstances(listed []wire.Listed) { l.set(&l.instances, listed) }

// SetUpstreams changes the listed upstreams, shown Lag later.
func (l *List) SetUpstreams(listed []wire.Listed) { l.set(&l.upstreams, listed) }

func (l *List) set(which *lagging, listed []wire.Listed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	which.set(listed, time.Now().Add(l.cfg.Lag))
}

// Handler serves the list, its faults and its stats.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	l.serve(mux, "/v1/instances", &l.instances)
	l.serve(mux, "/v1/upstreams", &l.upstreams)
	return l.gate.handler(mux, func() any {
		l.mu.Lock()
		defer l.mu.Unlock()
		return ListStats{Reads: l.reads, Seen: l.gate.headers()}
	})
}

func (l *List) serve(mux *http.ServeMux, path string, which *lagging) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		l.reads++
		listed := which.at(time.Now())
		l.mu.Unlock()
		l.gate.answer(w, listed)
	})
	mux.HandleFunc("PUT "+path, func(w http.ResponseWriter, r *http.Request) {
		var listed []wire.Listed
		if !readJSON(w, r, &listed) {
			return
		}
		l.set(which, listed)
		l.gate.answer(w, struct{}{})
	})
}
