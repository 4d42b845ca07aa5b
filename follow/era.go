package follow

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/port"
)

// isOfEarlierEra reports whether a position is of an earlier era than what is known. f.mu must be held.
func (f *Follower) isOfEarlierEra(position uint64) bool {
	return f.known && port.EraOf(position) < port.EraOf(f.next)
}

// beginEra records that the store has come back from a copy: what is known of the topic holds no longer than until
// then, and the topic must be read anew. next is the position at which the copy ends, or up to which another instance
// knows the topic. f.mu must be held.
func (f *Follower) beginEra(next uint64, source string) {
	f.Logger.Warn("store came back from a copy", zap.Stringer("topic", f.Topic), zap.Uint64("era", port.EraOf(next)), zap.Uint64("before", port.EraOf(f.next)),
		zap.Uint64("known", port.OffsetOf(f.next)), zap.Uint64("end", port.OffsetOf(next)), zap.String("source", source))
	f.rejoining = true
	f.next, f.mark, f.relay = port.EraStart(next), port.EraStart(next), relay{}
	f.history.reset(f.next)
	f.behind, f.behindMark, f.sources, f.failedFetches = false, 0, nil, 0
	if f.OnEra != nil {
		f.OnEra(port.EraOf(next))
	}
}

// rejoin processes the newest record of each key in a new era, which ends at next. f.mu must be held.
func (f *Follower) rejoin(records []port.KeyedRecord, next uint64) {
	f.rejoining = false
	fresh := records
	if f.Carries {
		fresh = f.carried.rejoin(records, port.EraStart(next))
		for _, record := range fresh {
			if !f.carried.add(record, f.Handler.Merge([]port.KeyedRecord{record})) {
				f.carried.carryLatest(record)
			}
		}
	} else {
		f.Handler.Merge(records)
	}
	for _, record := range slices.SortedFunc(slices.Values(records), byOffset) {
		f.history.add(record)
	}
	f.next = next
	f.Logger.Info("topic read anew", zap.Stringer("topic", f.Topic), zap.Uint64("era", port.EraOf(next)), zap.Uint64("next", port.OffsetOf(next)),
		zap.Int("records", len(records)), zap.Int("of_copy", len(records)-len(fresh)), zap.Int("carried", len(f.carried.records)))
}

func byOffset(a, b port.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) }

// add processes one further record and reports whether it changed anything. f.mu must be held.
func (f *Follower) add(record port.KeyedRecord) bool {
	changed := f.Handler.Add(record)
	if f.Carries {
		f.carried.add(record, changed)
	}
	return changed
}

// replace processes the newest record of each key in the same era. f.mu must be held.
func (f *Follower) replace(records []port.KeyedRecord) (changed bool) {
	if !f.Carries {
		return f.Handler.Replace(records)
	}
	records = f.carried.overlay(records)
	changed = f.Handler.Replace(records)
	for _, record := range records {
		if kept, isCarried := f.carried.records[record.Key]; !isCarried || kept.Offset != record.Offset {
			f.carried.add(record, true)
		}
	}
	return changed
}

// applyCarried applies the records of a note that the topic lacks. f.mu must be held.
func (f *Follower) applyCarried(n Note) {
	if !f.lacksCarried(n) || len(n.Carried) == 0 {
		return
	}
	for _, record := range n.Carried {
		if f.carried.lacks(record, port.EraOf(f.next)) && f.Handler.Add(record.KeyedRecord) {
			f.carried.carry(record)
		}
	}
	f.carried.see(n.CarriedDigest)
}

// lacksCarried reports whether a note's sender has records that the topic lacks and that were not looked at here. f.mu
// must be held.
func (f *Follower) lacksCarried(n Note) bool {
	return f.Carries && n.CarriedDigest != 0 && n.CarriedDigest != f.carried.digest() && !f.carried.hasSeen(n.CarriedDigest)
}

// mustAwaitPeers reports whether this instance must still hear of another one before it counts as caught up. f.mu must
// be held.
func (f *Follower) mustAwaitPeers(now time.Duration) bool {
	return !f.markKnown && f.AwaitsPeers != nil && now-f.knownSince <= markTimeout && f.AwaitsPeers()
}

// endGate reports that this instance is caught up, if it no longer has to wait for others. f.mu must be held.
func (f *Follower) endGate(now time.Duration) {
	if f.gated && !f.mustAwaitPeers(now) {
		f.gated = false
		f.Handler.CaughtUp(f.asOf)
	}
}
