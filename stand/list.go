package stand

import (
	"net/http"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// ListConfig configures the platform's instance list.
type ListConfig struct {
	// Lag is the time until a change becomes visible; default 2 s.
	Lag time.Duration
	// Instances and Upstreams are the initial entries, visible immediately.
	Instances []wire.Listed
	Upstreams []wire.Listed
}

// ListStats is the response of GET /stats of the list.
type ListStats struct {
	Reads int        `json:"reads"`
	Seen  []SeenCall `json:"seen"`
}

// List is a stand-in for the platform's eventually consistent instance list. Changes
// made by PUT are visible to GET after Lag.
type List struct {
	cfg       ListConfig
	faults    *faultInjector
	mu        sync.Mutex
	instances delayedList
	upstreams delayedList
	reads     int
}

// delayedList holds the versions of a list, oldest first. The first one is visible, the
// others become visible in order.
type delayedList struct{ versions []listVersion }

type listVersion struct {
	visibleAt time.Time
	listed    []wire.Listed
}

func newDelayedList(listed []wire.Listed) delayedList {
	if listed == nil {
		listed = []wire.Listed{}
	}
	return delayedList{versions: []listVersion{{listed: listed}}}
}

func (d *delayedList) set(listed []wire.Listed, visibleAt time.Time) {
	d.versions = append(d.versions, listVersion{visibleAt, listed})
}

func (d *delayedList) at(now time.Time) []wire.Listed {
	for len(d.versions) > 1 && !d.versions[1].visibleAt.After(now) {
		d.versions = d.versions[1:]
	}
	return d.versions[0].listed
}

// NewList returns a list with the entries of the configuration.
func NewList(cfg ListConfig) *List {
	setDefault(&cfg.Lag, 2*time.Second)
	l := &List{cfg: cfg, instances: newDelayedList(cfg.Instances), upstreams: newDelayedList(cfg.Upstreams)}
	l.faults = newFaultInjector(func() {}, nil)
	return l
}

// Close does nothing. It exists for consistency with the other stand-ins.
func (l *List) Close() {}

// SetInstances replaces the listed instances. The change is visible after Lag.
func (l *List) SetInstances(listed []wire.Listed) { l.set(&l.instances, listed) }

// SetUpstreams replaces the listed upstreams. The change is visible after Lag.
func (l *List) SetUpstreams(listed []wire.Listed) { l.set(&l.upstreams, listed) }

func (l *List) set(list *delayedList, listed []wire.Listed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list.set(listed, time.Now().Add(l.cfg.Lag))
}

// Handler returns the handler for the list, its faults and its statistics.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	l.serve(mux, "/v1/instances", &l.instances)
	l.serve(mux, "/v1/upstreams", &l.upstreams)
	return l.faults.handler(mux, func() any {
		l.mu.Lock()
		defer l.mu.Unlock()
		return ListStats{Reads: l.reads, Seen: l.faults.seenCalls()}
	})
}

func (l *List) serve(mux *http.ServeMux, path string, list *delayedList) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		l.reads++
		listed := list.at(time.Now())
		l.mu.Unlock()
		l.faults.respond(w, listed)
	})
	mux.HandleFunc("PUT "+path, func(w http.ResponseWriter, r *http.Request) {
		var listed []wire.Listed
		if !readJSON(w, r, &listed) {
			return
		}
		l.set(list, listed)
		l.faults.respond(w, struct{}{})
	})
}
