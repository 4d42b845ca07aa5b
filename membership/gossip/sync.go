package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// table is the digest of all records. Suspicions are left out: they come and go
// with lost packets and end by themselves.
type table struct {
	sum uint64
}

// add and remove are the same operation: the digest is an exclusive or.
func (t *table) add(r Record)    { t.sum ^= recordHash(r) }
func (t *table) remove(r Record) { t.add(r) }

func (t *table) digest() uint32 { return uint32(t.sum>>32) ^ uint32(t.sum) }

// recordHash is equal for records that no merge tells apart.
func recordHash(r Record) uint64 {
	h := mix(xxhash.Sum64String(r.Name), r.Incarnation)
	if r.State.Terminal() {
		return mix(h, uint64(r.State))
	}
	return mix(h, uint64(r.Seq)<<8)
}

// mix is the finaliser of SplitMix64 over a combination of two words.
func mix(h, v uint64) uint64 {
	h ^= v + 0x9e3779b97f4a7c15
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}

type syncState struct {
	lastChange time.Time
	lastAgreed time.Time
	lastSync   time.Time
	// bulk is set while pages bring many records.
	bulk  bool
	bytes bucket
}

func newSyncState(now time.Time) syncState {
	return syncState{lastChange: now, lastAgreed: now, bytes: newBucket(now, syncRate, syncBurst)}
}

// considerSync asks a peer for the records that differ. Equal digests cost four
// bytes a packet; only what differs is ever sent again.
func (n *Node) considerSync(now time.Time, from string, p Packet) {
	if p.Digest == n.table.digest() {
		n.sync.lastAgreed = now
		n.sync.bulk = false
		return
	}
	if p.Kind == SyncRequest || n.self.State.Terminal() {
		return
	}
	joining := 4*(len(n.members)+1) < 3*int(p.Count)
	if !n.syncDue(now, joining) {
		return
	}
	salt := n.probeNumber()
	held := n.held(salt)
	if !n.sync.bytes.take(now, len(held)+requestOverhead) {
		return
	}
	n.sync.lastSync = now
	n.send(from, Packet{Kind: SyncRequest, Probe: salt, Filter: held})
}

func (n *Node) syncDue(now time.Time, joining bool) bool {
	waited := now.Sub(n.sync.lastSync)
	if joining || n.sync.bulk {
		return waited >= bulkSyncInterval
	}
	quiet := now.Sub(n.sync.lastChange) >= syncQuiet
	apart := now.Sub(n.sync.lastAgreed) >= syncPatience
	return waited >= syncInterval && (quiet || apart)
}

// answerSync sends one page of the records that the asker does not hold.
func (n *Node) answerSync(now time.Time, from string, p Packet) {
	page := n.missing(now, p.Filter, p.Probe)
	if len(page) == 0 || !n.sync.bytes.take(now, recordsSize(page)) {
		return
	}
	n.send(from, Packet{Kind: SyncPage, Records: page})
}

// missing collects a page from a random place of the table on, so that the pages
// of several peers seldom bring the same. Live records go first: after a partition
// the asker holds newer ones in place of most of the dead.
func (n *Node) missing(now time.Time, f filter, salt uint32) []Record {
	live, ended := n.split()
	var page []Record
	size := 0
	for _, r := range append(n.rotate(live), n.rotate(ended)...) {
		if f.has(recordHash(r), salt) {
			continue
		}
		r = n.aged(now, r)
		if size += r.Size(); size > pageBytes {
			break
		}
		page = append(page, r)
	}
	return page
}

// split returns all records by whether they are live, each in order of names.
func (n *Node) split() (live, ended []Record) {
	live = append(live, n.self)
	for _, name := range n.index().names {
		m := n.members[name]
		if m.State.Terminal() {
			ended = append(ended, m.Record)
		} else {
			live = append(live, m.Record)
		}
	}
	return live, ended
}

// rotate starts the records at a random one.
func (n *Node) rotate(records []Record) []Record {
	if len(records) == 0 {
		return nil
	}
	start := n.rng.IntN(len(records))
	return slices.Concat(records[start:], records[:start])
}

// aged is the record as it is sent at now.
func (n *Node) aged(now time.Time, r Record) Record {
	if m, ok := n.members[r.Name]; ok {
		return m.wire(now)
	}
	return r
}

// held is the filter of this node's own records.
func (n *Node) held(salt uint32) filter {
	f := newFilter(len(n.members) + 1)
	f.add(recordHash(n.self), salt)
	for _, m := range n.members {
		f.add(recordHash(m.Record), salt)
	}
	return f
}
