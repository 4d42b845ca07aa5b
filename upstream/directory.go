// Package upstream keeps the upstreams that have registered themselves: which
// there are, in which run, and whether they take new work.
package upstream

import (
	"maps"
	"slices"
	"sync"
)

// Role is what an upstream does.
type Role uint8

const (
	// Plain upstreams answer whole calls.
	Plain Role = iota
	// Prefill engines compute the KV cache of prompts.
	Prefill
	// Decode engines generate tokens.
	Decode
)

// String returns the name used in logs and metrics.
func (r Role) String() string {
	switch r {
	case Prefill:
		return "prefill"
	case Decode:
		return "decode"
	default:
		return "plain"
	}
}

// Entry is what an upstream says of itself.
type Entry struct {
	// ID names one run of the upstream, or at times several runs one after the
	// other; Started tells them apart.
	ID string
	// Started is when the run began, in Unix milliseconds of the upstream's clock.
	Started int64
	// Sequence grows with each change that the run tells.
	Sequence   int64
	Service    string
	Address    string
	DataCentre string
	Role       Role
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving upstreams take no new work.
	Leaving bool
}

// unnumbered is the entry without what changes with every renewal.
func (e Entry) unnumbered() Entry {
	e.Sequence = 0
	return e
}

// Directory holds the newest entry of each upstream. It is safe for concurrent use.
type Directory struct {
	mu      sync.RWMutex
	entries map[string]Entry
	// gone are ids that refused work as another run, or were told to be leaving by
	// the upstream itself, with the entry that this was learnt about.
	gone map[string]Entry
	// evacuated are data centres whose upstreams take no new work by the operators' word.
	evacuated map[string]bool
	// byService is rebuilt when it is first read after changes, as a read of the store brings
	// thousands at once; readers share it. stale tells that it is to be.
	byService map[string][]Entry
	stale     bool
	version   uint64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{entries: make(map[string]Entry), gone: make(map[string]Entry), evacuated: make(map[string]bool), byService: make(map[string][]Entry)}
}

// Put takes in an entry. An older one of the same id than is known is ignored: a
// write whose answer was lost may take effect seconds late, after newer ones, and
// would bring a leaving upstream back. It reports whether anything but the
// sequence changed.
func (d *Directory) Put(e Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.entries[e.ID]
	if known && (e.Started < old.Started || e.Started == old.Started && e.Sequence < old.Sequence) {
		return false
	}
	d.entries[e.ID] = e
	if known && e.unnumbered() == old.unnumbered() {
		return false
	}
	d.change()
	return true
}

// Remove drops an entry. It reports whether there was one.
func (d *Directory) Remove(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.entries[id]; !known {
		return false
	}
	delete(d.entries, id)
	d.change()
	return true
}

// Missing lists the upstreams that are not among ids.
func (d *Directory) Missing(ids map[string]bool) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var missing []string
	for id := range d.entries {
		if !ids[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// MarkGone takes an upstream out until its entry shows another run or a newer
// state: it said itself that it is leaving, or something else has its address.
func (d *Directory) MarkGone(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gone[e.ID] = e.unnumbered()
	d.change()
}

// Evacuate sets whether the upstreams of a data centre are to get no new work. It reports
// whether that is new.
//
// Operators empty a data centre before they take it away. Its upstreams do not know of it and
// go on saying that they are ready, so that requests sent there by their word alone end with
// the power; they count as leaving here.
func (d *Directory) Evacuate(dataCentre string, evacuated bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.evacuated[dataCentre] == evacuated {
		return false
	}
	if evacuated {
		d.evacuated[dataCentre] = true
	} else {
		delete(d.evacuated, dataCentre)
	}
	d.change()
	return true
}

// Evacuated lists the data centres that are evacuated.
func (d *Directory) Evacuated() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Sorted(maps.Keys(d.evacuated))
}

// change notes that the lists have changed; the lock is held.
func (d *Directory) change() {
	d.version++
	d.stale = true
}

// rebuild makes the lists anew; the lock is held.
func (d *Directory) rebuild() {
	d.stale = false
	d.byService = make(map[string][]Entry)
	for id, e := range d.entries {
		if g, marked := d.gone[id]; marked {
			if g == e.unnumbered() {
				continue
			}
			delete(d.gone, id)
		}
		e.Leaving = e.Leaving || d.evacuated[e.DataCentre]
		d.byService[e.Service] = append(d.byService[e.Service], e)
	}
	for _, list := range d.byService {
		slices.SortFunc(list, func(a, b Entry) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
}

// Service lists the upstreams of a service by id, leaving ones included. The list
// is shared and must not be changed.
func (d *Directory) Service(name string) []Entry {
	d.mu.RLock()
	list, stale := d.byService[name], d.stale
	d.mu.RUnlock()
	if !stale {
		return list
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stale {
		d.rebuild()
	}
	return d.byService[name]
}

// Current returns the entry of an id if its upstream may be given work.
func (d *Directory) Current(id string) (Entry, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.entries[id]
	if g, marked := d.gone[id]; marked && g == e.unnumbered() {
		return Entry{}, false
	}
	return e, ok && !e.Leaving && !d.evacuated[e.DataCentre]
}

// Version grows with each change of the lists.
func (d *Directory) Version() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.version
}

// Len is the number of entries.
func (d *Directory) Len() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.entries)
}
