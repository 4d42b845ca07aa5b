package follow

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cairnworks/cairnworks/port"
)

const (
	// maxCarriedBytes limits the carried records in a report. Larger ones are fetched from its sender.
	maxCarriedBytes = maxRelayBytes / 2
	// maxSeenPerKey is the number of records of each key that are told from those of a copy.
	maxSeenPerKey = 32
	// maxSeenDigests is the number of sets of carried records of others that are remembered.
	maxSeenDigests = 64
)

// CarriedRecord is a record that was applied and that the topic lacks since the store came back from a copy.
type CarriedRecord struct {
	// KeyedRecord has the position at which the record was read.
	port.KeyedRecord
	// NewerFrom is the position in the era from which records with the same key are newer: that after the record of the
	// copy, or the start of the era if the copy has none.
	NewerFrom uint64
}

// carried keeps the records of a topic that were applied, tells those of a copy from those that were written after it,
// and holds what the topic lacks.
type carried struct {
	// latest is the record in effect for each key. seen are the last records of each key.
	latest map[string]port.KeyedRecord
	seen   map[string][]seenRecord
	// records are what the topic lacks, by key.
	records map[string]CarriedRecord
	// digests identify the sets of other instances that were processed.
	digests []uint64
}

func newCarried() carried {
	return carried{latest: make(map[string]port.KeyedRecord), seen: make(map[string][]seenRecord), records: make(map[string]CarriedRecord)}
}

// seenRecord identifies a record by its offset, without the era, and its value.
type seenRecord struct{ offset, hash uint64 }

func identify(r port.KeyedRecord) seenRecord {
	return seenRecord{port.OffsetOf(r.Offset), xxhash.Sum64(r.Value)}
}

func sameValue(a, b port.KeyedRecord) bool { return xxhash.Sum64(a.Value) == xxhash.Sum64(b.Value) }

// add keeps a record of the topic. applied is set if it has taken effect. It reports whether the record is in effect: one
// that is not is older than what was applied, or invalid.
func (c *carried) add(r port.KeyedRecord, applied bool) (inEffect bool) {
	seen := append(c.seen[r.Key], identify(r))
	c.seen[r.Key] = seen[max(len(seen)-maxSeenPerKey, 0):]
	latest, known := c.latest[r.Key]
	if !applied && !(known && sameValue(r, latest)) {
		return false
	}
	c.latest[r.Key] = r
	delete(c.records, r.Key)
	return true
}

// overlay returns the newest record of each key with the carried ones in place of those of the copy.
func (c *carried) overlay(records []port.KeyedRecord) []port.KeyedRecord {
	if len(c.records) == 0 {
		return records
	}
	var out []port.KeyedRecord
	for _, r := range records {
		if kept, ok := c.records[r.Key]; !ok || r.Offset >= kept.NewerFrom {
			out = append(out, r)
		}
	}
	for _, kept := range c.list() {
		if !slices.ContainsFunc(out, func(r port.KeyedRecord) bool { return r.Key == kept.Key }) {
			out = append(out, kept.KeyedRecord)
		}
	}
	return out
}

// isOfCopy reports whether a record in a new era was known before, at the same offset.
func (c *carried) isOfCopy(r port.KeyedRecord) bool {
	_, known := c.latest[r.Key]
	return known && slices.Contains(c.seen[r.Key], identify(r))
}

// rejoin starts a new era with what the topic has in it: what was applied and is missing there, or is older there, is
// carried. fresh are the records that are not known to be of the copy.
func (c *carried) rejoin(records []port.KeyedRecord, eraStart uint64) (fresh []port.KeyedRecord) {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
		switch {
		case !c.isOfCopy(r):
			fresh = append(fresh, r)
		case sameValue(r, c.latest[r.Key]):
			delete(c.records, r.Key)
		default:
			c.carryLatest(r)
		}
	}
	for key, latest := range c.latest {
		if !present[key] && latest.Value != nil {
			c.records[key] = CarriedRecord{latest, eraStart}
		}
	}
	return fresh
}

// carryLatest carries what is in effect for the key of a record that is not.
func (c *carried) carryLatest(r port.KeyedRecord) {
	if latest, known := c.latest[r.Key]; known {
		c.records[r.Key] = CarriedRecord{latest, r.Offset + 1}
	}
}

// lacks reports whether a carried record of another instance is newer than what is in effect here, as far as positions
// tell: in the era in which it is carried, only what the copy has gives way to it.
func (c *carried) lacks(r CarriedRecord, era uint64) bool {
	latest, known := c.latest[r.Key]
	switch {
	case !known:
		return true
	case sameValue(r.KeyedRecord, latest):
		return false
	case port.EraOf(latest.Offset) == era:
		return latest.Offset < r.NewerFrom
	default:
		return latest.Offset < r.Offset
	}
}

// carry keeps a record that another instance carries.
func (c *carried) carry(r CarriedRecord) {
	c.latest[r.Key], c.records[r.Key] = r.KeyedRecord, r
}

// see remembers a set of carried records of another instance.
func (c *carried) see(digest uint64) {
	if len(c.digests) == maxSeenDigests {
		c.digests = slices.Delete(c.digests, 0, 1)
	}
	c.digests = append(c.digests, digest)
}

func (c *carried) hasSeen(digest uint64) bool { return slices.Contains(c.digests, digest) }

// list returns the carried records in the order of their keys.
func (c *carried) list() []CarriedRecord {
	return slices.SortedFunc(maps.Values(c.records), func(a, b CarriedRecord) int { return cmp.Compare(a.Key, b.Key) })
}

// size returns the size of the carried records in bytes.
func (c *carried) size() int {
	total := 0
	for _, r := range c.records {
		total += r.Size()
	}
	return total
}

// digest identifies the carried records, or is 0 if there are none.
func (c *carried) digest() uint64 {
	var sum uint64
	for key, r := range c.records {
		sum += xxhash.Sum64String(key)*31 ^ xxhash.Sum64(r.Value) ^ r.NewerFrom
	}
	return sum
}
