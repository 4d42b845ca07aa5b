package routed

import (
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/follow"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

// How often the store is asked, all calls being paid for.
const (
	// applyShare is the part of the time in which a new configuration must be in force
	// that a call waits at the store for one. A proof counts from the start of its call
	// and holds until the next one's end, so that it is up to twice the wait and the gap
	// old, still less than the bound.
	applyShare = 0.4
	configGap  = 50 * time.Millisecond
	// memberGap: instances seldom come and go, and most are known by their reports
	// before their entry is read.
	memberGap = 1500 * time.Millisecond
)

// configPace is how the configuration is followed: it seldom changes, and each call
// proves that it has not.
func (i *Instance) configPace() follow.Pace {
	return follow.Pace{Wait: time.Duration(applyShare*float64(i.settings.ApplyMS)) * time.Millisecond, Gap: configGap}
}

// leavingShare is the part of the time in which a leaving upstream may still get work
// that passes between two reads of the list. Prompts that are just being read take
// some of the rest.
const leavingShare = 0.4

// upstreamPace is how often the list of upstreams is read; they renew their entries
// all the time, so that a waiting call would return with each of them.
func (i *Instance) upstreamPace() follow.Pace {
	return follow.Pace{Gap: time.Duration(leavingShare*float64(i.settings.LeaveMS)) * time.Millisecond}
}

// configReader takes in configurations.
type configReader struct{ instance *Instance }

// Replace implements follow.Reader.
func (r *configReader) Replace(records []port.KeyedRecord) {
	for _, record := range records {
		r.Add(record)
	}
}

// Add implements follow.Reader.
func (r *configReader) Add(record port.KeyedRecord) {
	i := r.instance
	c, ok, err := i.outside.Configuration(record)
	if err != nil {
		i.log.Error("configuration not readable; the one before stays in force", zap.Error(err))
		return
	}
	if !ok {
		return
	}
	for _, fault := range object.Check(c.Set) {
		i.log.Warn("configuration has a fault", zap.Uint64("version", c.Version), zap.Stringer("fault", fault))
	}
	index := object.NewIndex(c.Set, c.Version)
	if !i.state.Apply(index) {
		return
	}
	i.quotas.SetLimits(index)
	i.mu.Lock()
	if c.Intake.HeaderBytes > 0 {
		i.intake = c.Intake
	}
	i.mu.Unlock()
	i.settledOnce.Do(func() { close(i.settled) })
	i.log.Info("configuration applied", zap.Uint64("version", c.Version), zap.Uint64("offset", record.Offset),
		zap.Int("routes", len(c.Set.Routes)), zap.Int("keys", len(c.Set.Keys)))
}

// Proven implements follow.Reader.
func (r *configReader) Proven(begun time.Duration) {
	if r.instance.state.Index() != nil {
		r.instance.state.Prove(begun)
	}
}

// Lost implements follow.Reader.
func (r *configReader) Lost() {}

// upstreamReader takes in upstreams' entries.
type upstreamReader struct {
	instance *Instance
	// lost tells that the last call failed; holdUntil is the time up to which removed
	// entries stay: those that lapsed while the store was away come back.
	lost      bool
	holdUntil time.Duration
	removed   map[string]bool
}

// returnTime is how long after the store's return the entries of living upstreams
// may still be missing.
const returnTime = 2200 * time.Millisecond

// Replace implements follow.Reader.
func (r *upstreamReader) Replace(records []port.KeyedRecord) {
	r.returned()
	named := make(map[string]bool, len(records))
	for _, record := range records {
		named[record.Key] = record.Value != nil
		r.Add(record)
	}
	if boottime.Now() < r.holdUntil {
		return
	}
	for _, id := range r.instance.state.Directory.Keep(named) {
		r.instance.log.Info("upstream gone", zap.String("upstream", id))
	}
}

// Add implements follow.Reader.
func (r *upstreamReader) Add(record port.KeyedRecord) {
	r.returned()
	i := r.instance
	if record.Value == nil {
		r.remove(record.Key)
		return
	}
	entry, err := i.outside.Entry(record)
	if err != nil {
		i.log.Debug("entry names no upstream", zap.String("key", record.Key), zap.Error(err))
		return
	}
	delete(r.removed, record.Key)
	if i.state.Directory.Put(entry) {
		i.log.Info("upstream changed", zap.String("upstream", entry.ID), zap.String("service", entry.Service), zap.String("address", entry.Address),
			zap.Stringer("role", entry.Role), zap.Bool("leaving", entry.Leaving), zap.Uint64("offset", record.Offset))
	}
}

// remove drops an entry, or notes that it is to be dropped once the store has been
// back for long enough.
func (r *upstreamReader) remove(id string) {
	if boottime.Now() < r.holdUntil {
		if r.removed == nil {
			r.removed = make(map[string]bool)
		}
		r.removed[id] = true
		return
	}
	if r.instance.state.Directory.Remove(id) {
		r.instance.log.Info("upstream gone", zap.String("upstream", id))
	}
}

// returned notes the store's return.
func (r *upstreamReader) returned() {
	if r.lost {
		r.lost = false
		r.holdUntil = boottime.Now() + returnTime
	}
}

// Proven implements follow.Reader.
func (r *upstreamReader) Proven(time.Duration) {
	r.returned()
	if len(r.removed) == 0 || boottime.Now() < r.holdUntil {
		return
	}
	for id := range r.removed {
		if r.instance.state.Directory.Remove(id) {
			r.instance.log.Info("upstream gone", zap.String("upstream", id))
		}
	}
	r.removed = nil
}

// Lost implements follow.Reader.
func (r *upstreamReader) Lost() { r.lost = true }
