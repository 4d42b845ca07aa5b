package routed

import (
	"errors"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/follow"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/upstream"
)

// Intervals of store calls, each of which is billed. The fractions are relative to the time
// within which all instances must apply a change: activate a new configuration, or assign no more
// work to a leaving upstream.
const (
	// configWaitFraction is how long a call waits at the store for a new configuration. The as-of
	// time of a read is the start of its call and is used until the next call ends, so its age can
	// become twice as long.
	configWaitFraction = 0.2
	// configReadGap is the pause between two calls for the configuration.
	configReadGap = 50 * time.Millisecond
	// upstreamGapFraction is the pause between two reads of the list of upstreams. Upstreams renew
	// their entries continuously, so a waiting call would return for every renewal.
	upstreamGapFraction = 0.25
	// takeoverAgeFraction is the age of the as-of time from which standby instances read as well. It
	// exceeds the age that results from two active readers and one lost report, and leaves a third
	// of the bound for the read, the report and the reads of the others.
	takeoverAgeFraction = 0.6
	// staggerFraction is the time over which the reads of all standby instances are spread, so that
	// the first reads make the remaining ones unnecessary.
	staggerFraction = 0.15
	// memberReadGap is the pause between two reads of the list of instances. It is long because
	// instances rarely start or stop, and their reports arrive before their entries are read. An
	// entry is valid for three times as long.
	memberReadGap = 4 * time.Second
)

// Factors of memberReadGap.
const (
	// largeFleetGapFactor applies in a large fleet while other instances report, isolatedGapFactor
	// while none does, and initialGapFactor until the members of the fleet are known.
	largeFleetGapFactor, isolatedGapFactor, initialGapFactor = 15, 0.4, 0.1
)

// skipsEntry reports whether this instance needs no entry in the list of instances. In a large fleet,
// a starting instance only needs to find the hubs, and the hubs learn of the others from their
// reports.
func (i *Instance) skipsEntry() bool {
	return i.fleetSize().Large() && !i.exchange.IsHub()
}

// memberGapFactor returns the current factor of memberReadGap, relative to a small fleet.
func (i *Instance) memberGapFactor() float64 {
	switch {
	case !i.members.HasSynced():
		return initialGapFactor
	case i.exchange.Isolated():
		return isolatedGapFactor
	case i.fleetSize().Large():
		return largeFleetGapFactor
	default:
		return 1
	}
}

// newSharedFollower returns a follower of a topic whose changes all instances must know within the
// given time.
func (i *Instance) newSharedFollower(topic port.Topic, within time.Duration, reader follow.Handler) *follow.Follower {
	fractionOf := func(fraction float64) time.Duration { return time.Duration(fraction * float64(within)) }
	timing := follow.PollTiming{TakeoverAge: fractionOf(takeoverAgeFraction), Stagger: fractionOf(staggerFraction) / maxStaggerRank}
	if topic == port.TopicConfiguration {
		timing.Wait, timing.Gap = fractionOf(configWaitFraction), configReadGap
	} else {
		timing.Gap = fractionOf(upstreamGapFraction)
	}
	f := follow.NewFollower(topic, timing, reader)
	f.Rank = func() int { return min(i.exchange.Rank(topic.String()), maxStaggerRank) }
	f.Announce = func() { i.exchange.Announce() }
	f.OnEra = func(era uint64) { go i.handleEra(era) }
	if topic == port.TopicConfiguration {
		f.Carries, f.AwaitsPeers = true, i.awaitsPeers
	}
	return f
}

// maxStaggerRank is the number of instances over which reads are spread.
const maxStaggerRank = 16

// Fill implements fleet.Handler.
func (i *Instance) Fill(now time.Duration, r *fleet.Report) {
	i.gateway.FillReport(now, r)
	r.Known = make(map[port.Topic]uint64, len(i.sharedFollowers))
	for _, f := range i.sharedFollowers {
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

// FillAnswer implements fleet.Handler.
func (i *Instance) FillAnswer(now time.Duration, poll, r *fleet.Report) {
	i.gateway.FillPollAnswer(now, poll, r)
	for _, f := range i.sharedFollowers {
		known, present := poll.Known[f.Topic]
		if !present {
			known = math.MaxUint64
		}
		if n, ok := f.NoteFor(now, known); ok {
			r.Notes = append(r.Notes, n)
		}
	}
}

// HandleAsk implements fleet.Handler.
func (i *Instance) HandleAsk(now time.Duration, _ fleet.Run, a fleet.Ask) fleet.Grant {
	return i.quotas.HandleAsk(now, a)
}

// HandleClaim implements fleet.Handler.
func (i *Instance) HandleClaim(now time.Duration, instance string, c fleet.Claim, answer func(fleet.Place)) {
	i.gateway.HandleClaim(now, instance, c, answer)
}

// HandleLoads implements fleet.Handler.
func (i *Instance) HandleLoads(now time.Duration, instance string, loads map[fleet.Hash]fleet.Load) {
	i.gateway.ApplyLoads(now, instance, loads)
}

var errUnknownTopic = errors.New("the topic is not shared")

// ServeRecords implements fleet.Handler.
func (i *Instance) ServeRecords(now time.Duration, topic port.Topic, from uint64) (follow.Note, error) {
	for _, f := range i.sharedFollowers {
		if f.Topic == topic {
			return f.Serve(now, from)
		}
	}
	return follow.Note{}, errUnknownTopic
}

// HandleReport implements fleet.Handler.
func (i *Instance) HandleReport(now time.Duration, r *fleet.Report) {
	i.gateway.ApplyReport(now, r)
	for _, n := range r.Notes {
		for _, f := range i.sharedFollowers {
			if f.Topic == n.Topic {
				n.Sender = r.Sender
				f.Receive(n, r.Earliest)
			}
		}
	}
}

// configReader applies the records that operators write: configurations and evacuations of data
// centres.
type configReader struct{ instance *Instance }

// Replace implements follow.Handler.
func (r *configReader) Replace(records []port.KeyedRecord) bool {
	changed := r.liftMissingEvacuations(records)
	for _, record := range records {
		changed = r.apply(record) || changed
	}
	return changed
}

// Merge implements follow.Handler. It is given what is not known to be of the copy only, so that nothing is ended for
// being absent.
func (r *configReader) Merge(records []port.KeyedRecord) bool {
	changed := false
	for _, record := range records {
		changed = r.Add(record) || changed
	}
	return changed
}

// liftMissingEvacuations ends the evacuation of data centres that a full read no longer names.
func (r *configReader) liftMissingEvacuations(records []port.KeyedRecord) bool {
	named := make(map[string]bool)
	for _, record := range records {
		if dataCentre, evacuated, ok := r.instance.adapters.Evacuation(record); ok && evacuated {
			named[dataCentre] = true
		}
	}
	changed := false
	for _, dataCentre := range r.instance.state.Directory.Evacuated() {
		if !named[dataCentre] {
			changed = r.setEvacuated(dataCentre, false) || changed
		}
	}
	return changed
}

func (r *configReader) setEvacuated(dataCentre string, evacuated bool) bool {
	if !r.instance.state.Directory.Evacuate(dataCentre, evacuated) {
		return false
	}
	r.instance.log.Info("data centre evacuation changed", zap.String("data_centre", dataCentre), zap.Bool("evacuated", evacuated))
	return true
}

// Add implements follow.Handler.
func (r *configReader) Add(record port.KeyedRecord) bool {
	// A full read also has the records of earlier orders, which do not concern later quarantines.
	if attribute, ok := r.instance.adapters.Lift(record); ok {
		return r.instance.gateway.LiftQuarantine(attribute)
	}
	return r.apply(record)
}

// apply applies a record that is in force until it is replaced.
func (r *configReader) apply(record port.KeyedRecord) bool {
	i := r.instance
	if dataCentre, evacuated, ok := i.adapters.Evacuation(record); ok {
		return r.setEvacuated(dataCentre, evacuated)
	}
	start := boottime.Now()
	c, ok, err := i.adapters.Configuration(record)
	if err != nil {
		i.log.Error("invalid configuration; keeping the previous one", zap.Error(err))
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
	limits := c.Limits.withDefaults()
	i.callers.setLimits(limits)
	i.log.Info("configuration applied", zap.Uint64("version", c.Version), zap.Uint64("offset", port.OffsetOf(record.Offset)),
		zap.Int("routes", len(c.Set.Routes)), zap.Int("keys", len(c.Set.Keys)), zap.Int("bytes", len(record.Value)),
		zap.Int("header_bytes", limits.HeaderBytes), zap.Duration("header_timeout", limits.HeaderTimeout), zap.Duration("idle_timeout", limits.IdleTimeout), zap.Duration("took", boottime.Now()-start))
	return true
}

// CaughtUp implements follow.Handler.
func (r *configReader) CaughtUp(start time.Duration) {
	if r.instance.state.Index() != nil {
		r.instance.state.ConfirmCurrent(start)
	}
}

// ReadFailed implements follow.Handler.
func (r *configReader) ReadFailed() {}

// upstreamReader applies the entries of upstreams.
type upstreamReader struct {
	instance *Instance
	removals upstream.Removals
}

func newUpstreamReader(i *Instance) *upstreamReader {
	return &upstreamReader{instance: i, removals: upstream.Removals{RenewInterval: time.Duration(i.settings.RenewMS) * time.Millisecond}}
}

// Replace implements follow.Handler.
func (r *upstreamReader) Replace(records []port.KeyedRecord) bool {
	r.removals.Reachable(boottime.Now())
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

// Merge implements follow.Handler. Upstreams that the copy lacks are dropped only if they do not write their entries
// again.
func (r *upstreamReader) Merge(records []port.KeyedRecord) bool {
	r.removals.StoreReplaced(boottime.Now())
	return r.Replace(records)
}

// Add implements follow.Handler.
func (r *upstreamReader) Add(record port.KeyedRecord) bool {
	r.removals.Reachable(boottime.Now())
	i := r.instance
	if record.Value == nil {
		r.remove(record.Key)
		return true
	}
	entry, err := i.adapters.Entry(record)
	if err != nil {
		i.log.Debug("entry does not describe an upstream", zap.String("key", record.Key), zap.Error(err))
		return false
	}
	wasPending := r.removals.Restore(record.Key)
	changed := i.state.Directory.Put(entry)
	if logChange := i.changeLogger(); changed {
		logChange("upstream changed", zap.String("upstream", entry.ID), zap.String("service", entry.Service), zap.String("address", entry.Address),
			zap.Stringer("role", entry.Role), zap.Bool("leaving", entry.Leaving), zap.Uint64("offset", port.OffsetOf(record.Offset)))
	}
	return changed || wasPending
}

// remove removes an entry, unless its removal is postponed.
func (r *upstreamReader) remove(id string) {
	if r.removals.Remove(boottime.Now(), id) {
		r.drop(id)
	}
}

func (r *upstreamReader) drop(id string) {
	if logChange := r.instance.changeLogger(); r.instance.state.Directory.Remove(id) {
		logChange("upstream removed", zap.String("upstream", id))
	}
}

// CaughtUp implements follow.Handler.
func (r *upstreamReader) CaughtUp(asOf time.Duration) {
	r.instance.state.UpstreamsRead()
	for _, id := range r.removals.CaughtUp(boottime.Now(), asOf) {
		r.drop(id)
	}
}

// ReadFailed implements follow.Handler.
func (r *upstreamReader) ReadFailed() { r.removals.ReadFailed() }
