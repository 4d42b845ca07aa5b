package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tableDigest is an incremental digest of all records. It excludes suspicions, which come
// and go with lost packets and end by themselves.
type tableDigest struct {
	hash uint64
}

// add and remove are the same operation because the digest is an exclusive or.
func (d *tableDigest) add(r Record)    { d.hash ^= recordHash(r) }
func (d *tableDigest) remove(r Record) { d.add(r) }

func (d *tableDigest) value() uint32 { return uint32(d.hash>>32) ^ uint32(d.hash) }

// recordHash returns a hash that is the same for records neither of which supersedes the
// other, suspicion aside.
func recordHash(r Record) uint64 {
	h := mix(xxhash.Sum64String(r.Name), r.Incarnation)
	if r.State.Terminal() {
		return mix(h, uint64(r.State))
	}
	return mix(h, uint64(r.Seq)<<8)
}

// mix combines two words and applies the SplitMix64 finaliser.
func mix(h, v uint64) uint64 {
	h ^= v + 0x9e3779b97f4a7c15
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}

type syncState struct {
	lastChange time.Time
	lastMatch  time.Time
	lastSync   time.Time
	// bulk is set while sync pages contain many new records.
	bulk   bool
	budget tokenBucket
}

func newSyncState(now time.Time) syncState {
	return syncState{lastChange: now, lastMatch: now, budget: newTokenBucket(now, syncBytesPerSecond, syncBurstBytes)}
}

// maybeRequestSync requests the records that this node is missing from a peer with a
// different digest. Comparing digests costs four bytes a packet, and only records that
// differ are sent again.
func (n *Node) maybeRequestSync(now time.Time, from string, p Packet) {
	if p.Digest == n.digest.value() {
		n.sync.lastMatch = now
		n.sync.bulk = false
		return
	}
	if p.Kind == SyncRequest || n.self.State.Terminal() {
		return
	}
	incomplete := 4*(len(n.members)+1) < 3*int(p.Count)
	if !n.syncDue(now, incomplete) {
		return
	}
	salt := n.nextProbeNumber()
	held := n.heldFilter(salt)
	if !n.sync.budget.take(now, len(held)+syncRequestOverhead) {
		return
	}
	n.sync.lastSync = now
	n.send(from, Packet{Kind: SyncRequest, Probe: salt, Filter: held})
}

func (n *Node) syncDue(now time.Time, incomplete bool) bool {
	waited := now.Sub(n.sync.lastSync)
	if incomplete || n.sync.bulk {
		return waited >= bulkSyncInterval
	}
	quiet := now.Sub(n.sync.lastChange) >= syncQuietPeriod
	diverged := now.Sub(n.sync.lastMatch) >= maxSyncDelay
	return waited >= syncInterval && (quiet || diverged)
}

// handleSyncRequest sends one page of the records that the requester does not have.
func (n *Node) handleSyncRequest(now time.Time, from string, p Packet) {
	page := n.missingRecords(now, p.Filter, p.Probe)
	if len(page) == 0 || !n.sync.budget.take(now, recordsSize(page)) {
		return
	}
	n.send(from, Packet{Kind: SyncPage, Records: page})
}

// missingRecords collects a page of records that the filter does not contain. It starts
// at a random position in the table, so that pages from several peers seldom contain the
// same records. Live records come first: after a partition, the requester has newer
// records of most of the dead.
func (n *Node) missingRecords(now time.Time, f filter, salt uint32) []Record {
	live, terminal := n.recordsByLiveness()
	var page []Record
	size := 0
	for _, r := range append(n.rotated(live), n.rotated(terminal)...) {
		if f.mayContain(recordHash(r), salt) {
			continue
		}
		r = n.withAge(now, r)
		if size += r.Size(); size > maxPageBytes {
			break
		}
		page = append(page, r)
	}
	return page
}

// recordsByLiveness returns the live and the terminal records, each sorted by name except
// that live begins with this node's own.
func (n *Node) recordsByLiveness() (live, terminal []Record) {
	live = append(live, n.self)
	for _, name := range n.index().names {
		m := n.members[name]
		if m.State.Terminal() {
			terminal = append(terminal, m.Record)
		} else {
			live = append(live, m.Record)
		}
	}
	return live, terminal
}

// rotated returns the records rotated to start at a random one.
func (n *Node) rotated(records []Record) []Record {
	if len(records) == 0 {
		return nil
	}
	start := n.rng.IntN(len(records))
	return slices.Concat(records[start:], records[:start])
}

// withAge returns the record to send at now, with its age if the state is terminal.
func (n *Node) withAge(now time.Time, r Record) Record {
	if m, ok := n.members[r.Name]; ok {
		return m.recordAt(now)
	}
	return r
}

// heldFilter returns a filter of all records of this node.
func (n *Node) heldFilter(salt uint32) filter {
	f := newFilter(len(n.members) + 1)
	f.add(recordHash(n.self), salt)
	for _, m := range n.members {
		f.add(recordHash(m.Record), salt)
	}
	return f
}
