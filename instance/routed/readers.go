package routed

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/follow"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

// How often the store is asked, all calls being paid for. The shares are of the time in
// which a change must be known everywhere: a new configuration in force, a leaving
// upstream given no more work.
const (
	// waitShare is how long a call waits at the store for a new configuration. A proof
	// counts from the start of its call and holds until the next one's end, so that it is
	// up to twice as old.
	waitShare = 0.2
	configGap = 50 * time.Millisecond
	// leavingShare passes between two reads of the list of upstreams. They renew their
	// entries all the time, so that a waiting call would return with each of them.
	leavingShare = 0.25
	// spareShare is the age of a proof from which others read too. It is above what two
	// regular readers and a lost report make of it, and leaves a third of the bound for
	// the read, the report and the others' reads.
	spareShare = 0.6
	// staggerShare spreads the reads of all others, so that the first of them spare the
	// rest theirs.
	staggerShare = 0.15
	// memberGap: instances seldom come and go, and are known by their reports before
	// their entry is read. An entry holds for three times as long.
	memberGap = 4 * time.Second
)

// How often the list of instances is read.
const (
	// calmReads is how much more seldom the list of instances is read while others are
	// heard, aloneReads how much more often while nobody is, and firstReads until it is known
	// who is in the fleet.
	calmReads, aloneReads, firstReads = 15, 0.4, 0.1
)

// unlisted reports whether this instance needs no entry: who starts must find the hubs of a
// large fleet only, and hubs hear of the others by their reports.
func (i *Instance) unlisted() bool {
	return i.fleetSize().Large() && !i.exchange.IsHub()
}

// readSlowly is how much more seldom than in a small fleet the list of instances is read.
func (i *Instance) readSlowly() float64 {
	switch {
	case !i.members.Settled():
		return firstReads
	case i.exchange.Alone():
		return aloneReads
	case i.fleetSize().Large():
		return calmReads
	default:
		return 1
	}
}

// follower returns a follower of a topic of which every instance must know a change
// within a time.
func (i *Instance) follower(topic port.Topic, within time.Duration, reader follow.Handler) *follow.Follower {
	part := func(share float64) time.Duration { return time.Duration(share * float64(within)) }
	pace := follow.PollTiming{TakeoverAge: part(spareShare), Stagger: part(staggerShare) / maxStagger}
	if topic == port.TopicConfiguration {
		pace.Wait, pace.Gap = part(waitShare), configGap
	} else {
		pace.Gap = part(leavingShare)
	}
	f := follow.NewFollower(topic, pace, reader)
	f.Rank = func() int { return min(i.exchange.Rank(topic.String()), maxStagger) }
	f.Announce = func() { i.exchange.Announce() }
	return f
}

// maxStagger is the number of instances over which reads are spread.
const maxStagger = 16

// Fill implements fleet.Handler.
func (i *Instance) Fill(now time.Duration, r *fleet.Report) {
	i.gateway.FillReport(now, r)
	r.Known = make(map[port.Topic]uint64, len(i.shared))
	for _, f := range i.shared {
		if n, ok := f.Note(now); ok {
			r.Notes = append(r.Notes, n)
		}
		if known := f.NextOffset(); known > 0 {
			r.Known[f.Topic] = known
		}
	}
}

// FillFor implements fleet.Handler.
func (i *Instance) FillFor(now time.Duration, to fleet.Run, r *fleet.Report) {
	i.gateway.FillReportFor(now, to, r)
}

// Answer implements fleet.Handler.
func (i *Instance) Answer(now time.Duration, poll, r *fleet.Report) {
	i.gateway.FillPollAnswer(now, poll, r)
	for _, f := range i.shared {
		known, told := poll.Known[f.Topic]
		if !told {
			known = math.MaxUint64
		}
		if n, ok := f.NoteFor(now, known); ok {
			r.Notes = append(r.Notes, n)
		}
	}
}

// Asked implements fleet.Handler.
func (i *Instance) Asked(now time.Duration, _ fleet.Run, a fleet.Ask) fleet.Grant {
	return i.quotas.HandleAsk(now, a)
}

// Claimed implements fleet.Handler.
func (i *Instance) Claimed(now time.Duration, instance string, c fleet.Claim, answer func(fleet.Place)) {
	i.gateway.HandleClaim(now, instance, c, answer)
}

// TakeLoads implements fleet.Handler.
func (i *Instance) TakeLoads(now time.Duration, instance string, loads map[fleet.Hash]fleet.Load) {
	i.gateway.ApplyLoads(now, instance, loads)
}

// Take implements fleet.Handler.
func (i *Instance) Take(now time.Duration, r *fleet.Report) {
	i.gateway.ApplyReport(now, r)
	for _, n := range r.Notes {
		for _, f := range i.shared {
			if f.Topic == n.Topic {
				f.Receive(n, r.Earliest)
			}
		}
	}
}

// configReader takes in what operators write: configurations, and which data centres are
// evacuated.
type configReader struct{ instance *Instance }

// Replace implements follow.Handler.
func (r *configReader) Replace(records []port.KeyedRecord) bool {
	changed := r.keepEvacuated(records)
	for _, record := range records {
		changed = r.Add(record) || changed
	}
	return changed
}

// keepEvacuated gives back the data centres that a whole read no longer names.
func (r *configReader) keepEvacuated(records []port.KeyedRecord) bool {
	named := make(map[string]bool)
	for _, record := range records {
		if dataCentre, evacuated, ok := r.instance.outside.Evacuation(record); ok && evacuated {
			named[dataCentre] = true
		}
	}
	changed := false
	for _, dataCentre := range r.instance.state.Directory.Evacuated() {
		if !named[dataCentre] {
			changed = r.evacuate(dataCentre, false) || changed
		}
	}
	return changed
}

func (r *configReader) evacuate(dataCentre string, evacuated bool) bool {
	if !r.instance.state.Directory.Evacuate(dataCentre, evacuated) {
		return false
	}
	r.instance.log.Info("data centre evacuated", zap.String("data_centre", dataCentre), zap.Bool("evacuated", evacuated))
	return true
}

// Add implements follow.Handler.
func (r *configReader) Add(record port.KeyedRecord) bool {
	i := r.instance
	if dataCentre, evacuated, ok := i.outside.Evacuation(record); ok {
		return r.evacuate(dataCentre, evacuated)
	}
	c, ok, err := i.outside.Configuration(record)
	if err != nil {
		i.log.Error("configuration not readable; the one before stays in force", zap.Error(err))
		return false
	}
	if !ok {
		return false
	}
	for _, fault := range object.Check(c.Set) {
		i.log.Warn("configuration has a fault", zap.Uint64("version", c.Version), zap.Stringer("fault", fault))
	}
	index := object.NewIndex(c.Set, c.Version)
	if !i.state.Apply(index) {
		return false
	}
	i.quotas.SetLimits(index)
	i.mu.Lock()
	if c.Intake.HeaderBytes > 0 {
		i.intake = c.Intake
	}
	i.mu.Unlock()
	i.log.Info("configuration applied", zap.Uint64("version", c.Version), zap.Uint64("offset", record.Offset),
		zap.Int("routes", len(c.Set.Routes)), zap.Int("keys", len(c.Set.Keys)))
	return true
}

// CaughtUp implements follow.Handler.
func (r *configReader) CaughtUp(begun time.Duration) {
	if r.instance.state.Index() != nil {
		r.instance.state.ConfirmCurrent(begun)
	}
}

// ReadFailed implements follow.Handler.
func (r *configReader) ReadFailed() {}

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

// Replace implements follow.Handler.
func (r *upstreamReader) Replace(records []port.KeyedRecord) bool {
	r.returned()
	changed := false
	named := make(map[string]bool, len(records))
	for _, record := range records {
		named[record.Key] = record.Value != nil
		changed = r.Add(record) || changed
	}
	for _, id := range r.instance.state.Directory.Missing(named) {
		r.remove(id)
		changed = true
	}
	return changed
}

// Add implements follow.Handler.
func (r *upstreamReader) Add(record port.KeyedRecord) bool {
	r.returned()
	i := r.instance
	if record.Value == nil {
		r.remove(record.Key)
		return true
	}
	entry, err := i.outside.Entry(record)
	if err != nil {
		i.log.Debug("entry names no upstream", zap.String("key", record.Key), zap.Error(err))
		return false
	}
	held := r.removed[record.Key]
	delete(r.removed, record.Key)
	changed := i.state.Directory.Put(entry)
	if tell := i.informs(); changed {
		tell("upstream changed", zap.String("upstream", entry.ID), zap.String("service", entry.Service), zap.String("address", entry.Address),
			zap.Stringer("role", entry.Role), zap.Bool("leaving", entry.Leaving), zap.Uint64("offset", record.Offset))
	}
	return changed || held
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
	r.drop(id)
}

func (r *upstreamReader) drop(id string) {
	if tell := r.instance.informs(); r.instance.state.Directory.Remove(id) {
		tell("upstream gone", zap.String("upstream", id))
	}
}

// returned notes the store's return.
func (r *upstreamReader) returned() {
	if r.lost {
		r.lost = false
		r.holdUntil = boottime.Now() + returnTime
	}
}

// CaughtUp implements follow.Handler.
func (r *upstreamReader) CaughtUp(time.Duration) {
	r.instance.state.UpstreamsRead()
	r.returned()
	if len(r.removed) == 0 || boottime.Now() < r.holdUntil {
		return
	}
	for id := range r.removed {
		r.drop(id)
	}
	r.removed = nil
}

// ReadFailed implements follow.Handler.
func (r *upstreamReader) ReadFailed() { r.lost = true }
