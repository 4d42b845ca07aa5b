// Package upstream maintains the directory of registered upstreams: which ones exist, which
// run of each is current, and whether they accept new requests.
package upstream

import (
	"maps"
	"slices"
	"sync"
)

// Role is the role of an upstream.
type Role uint8

const (
	// Plain upstreams handle complete calls.
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

// Entry is the state that an upstream publishes about itself.
type Entry struct {
	// ID identifies one run of the upstream. Successive runs may share an ID; Started
	// distinguishes them.
	ID string
	// Started is the start time of the run, in Unix milliseconds of the upstream's clock.
	Started int64
	// Sequence increases with each entry that the run publishes.
	Sequence   int64
	Service    string
	Address    string
	DataCentre string
	Role       Role
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Leaving reports whether the upstream is shutting down and accepts no new requests.
	Leaving bool
}

// withoutSequence returns the entry without the sequence, which changes with every renewal.
func (e Entry) withoutSequence() Entry {
	e.Sequence = 0
	return e
}

// isBefore reports whether an entry with the same ID was published before another.
func (e Entry) isBefore(other Entry) bool {
	return e.Started < other.Started || e.Started == other.Started && e.Sequence < other.Sequence
}

// Directory holds the newest entry of each upstream. It is safe for concurrent use.
type Directory struct {
	mu      sync.RWMutex
	entries map[string]Entry
	// gone holds the upstreams passed to MarkGone by id, with the entry that was current then.
	gone map[string]Entry
	// leaving holds the start times of the runs passed to MarkLeaving, by id.
	leaving map[string]int64
	// evacuated holds the data centres whose upstreams get no new requests on the operators'
	// instruction.
	evacuated map[string]bool
	// byService is shared by all readers. It is rebuilt when it is first read after a change and
	// not with each change, because reading the store adds thousands of entries at once. stale
	// is set while it is out of date.
	byService map[string][]Entry
	stale     bool
	version   uint64
	// removed holds the last entries of removed upstreams by id, and removedOrder their ids, oldest first.
	removed      map[string]Entry
	removedOrder []string
}

// maxRemoved is the number of removed upstreams that are remembered.
const maxRemoved = 1024

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{entries: make(map[string]Entry), gone: make(map[string]Entry), leaving: make(map[string]int64), evacuated: make(map[string]bool), removed: make(map[string]Entry), byService: make(map[string][]Entry)}
}

// Put stores an entry, unless a newer one with the same id is known or was removed: a write whose response was
// lost may take effect seconds later, after newer writes, and a store may come back from a copy. Either would make an
// upstream available again that leaves or has ended. It reports whether anything other than the sequence changed.
func (d *Directory) Put(e Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.entries[e.ID]
	if known && e.isBefore(old) {
		return false
	}
	if gone, removed := d.removed[e.ID]; removed && !known && gone.Started > 0 && !gone.isBefore(e) {
		return false
	}
	d.entries[e.ID] = e
	if known && e.withoutSequence() == old.withoutSequence() {
		return false
	}
	d.markChanged()
	return true
}

// Remove deletes an entry. It reports whether there was one.
func (d *Directory) Remove(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.entries[id]
	if !known {
		return false
	}
	if _, again := d.removed[id]; !again {
		d.removedOrder = append(d.removedOrder, id)
	}
	d.removed[id] = e
	if len(d.removedOrder) > maxRemoved {
		delete(d.removed, d.removedOrder[0])
		d.removedOrder = d.removedOrder[1:]
	}
	delete(d.entries, id)
	d.markChanged()
	return true
}

// Missing lists the ids of the known upstreams that are not in ids.
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

// MarkGone excludes an upstream until its entry changes in more than the sequence, such as by a
// new run. It is called when the upstream itself reports that it is leaving, or when another run
// or another upstream responds at its address.
func (d *Directory) MarkGone(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gone[e.ID] = e.withoutSequence()
	d.markChanged()
}

// MarkLeaving makes a run of an upstream count as leaving for as long as it exists, whatever its entry says. It
// is called when an answer of that run says so, which the store may not know yet. It reports whether this is a
// change.
func (d *Directory) MarkLeaving(e Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if started, marked := d.leaving[e.ID]; marked && started >= e.Started {
		return false
	}
	d.leaving[e.ID] = e.Started
	d.markChanged()
	return true
}

// RetainLeaving drops the marks of MarkLeaving for which keep returns false.
func (d *Directory) RetainLeaving(keep func(id string, started int64) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, started := range d.leaving {
		if !keep(id, started) {
			delete(d.leaving, id)
			d.markChanged()
		}
	}
}

// isLeaving reports whether an upstream accepts no new requests. The caller holds the lock.
func (d *Directory) isLeaving(e Entry) bool {
	started, marked := d.leaving[e.ID]
	return e.Leaving || d.evacuated[e.DataCentre] || marked && started == e.Started
}

// Evacuate sets whether the upstreams of a data centre are excluded from new requests. It
// reports whether this is a change.
//
// Operators evacuate a data centre before they shut it down. Its upstreams do not know about it
// and still report that they are ready, and requests sent to them would be lost when the power
// is cut. The directory therefore treats them as leaving.
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
	d.markChanged()
	return true
}

// Evacuated lists the evacuated data centres in sorted order.
func (d *Directory) Evacuated() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Sorted(maps.Keys(d.evacuated))
}

// markChanged increases the version and marks byService as stale. The caller holds the lock.
func (d *Directory) markChanged() {
	d.version++
	d.stale = true
}

// rebuild recomputes byService and deletes outdated entries from gone. The caller holds the lock.
func (d *Directory) rebuild() {
	d.stale = false
	d.byService = make(map[string][]Entry)
	for id, e := range d.entries {
		if g, marked := d.gone[id]; marked {
			if g == e.withoutSequence() {
				continue
			}
			delete(d.gone, id)
		}
		e.Leaving = d.isLeaving(e)
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

// Service lists the upstreams of a service sorted by id, including leaving ones. The list is
// shared and must not be modified.
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

// All lists the entries of all upstreams in no particular order.
func (d *Directory) All() []Entry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Collect(maps.Values(d.entries))
}

// Current returns the entry of an upstream that may be sent requests.
func (d *Directory) Current(id string) (Entry, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.entries[id]
	if g, marked := d.gone[id]; marked && g == e.withoutSequence() {
		return Entry{}, false
	}
	return e, ok && !d.isLeaving(e)
}

// Version increases with each change of the directory that can affect Service or Current.
func (d *Directory) Version() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.version
}

// Len returns the number of entries.
func (d *Directory) Len() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.entries)
}
