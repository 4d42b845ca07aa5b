package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// table is the digest of all records, by bucket. Suspicions are left out: they
// come and go with lost packets and end by themselves.
type table struct {
	buckets [bucketCount]uint32
}

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % bucketCount)
}

func recordHash(r Record) uint32 {
	h := xxhash.Sum64String(r.Name)
	h = mix(h, r.Incarnation)
	if r.State.Terminal() {
		return uint32(mix(h, uint64(r.State)) >> 32)
	}
	return uint32(mix(h, uint64(r.Seq)<<8) >> 32)
}

// mix is the finaliser of SplitMix64 over a combination of two words.
func mix(h, v uint64) uint64 {
	h ^= v + 0x9e3779b97f4a7c15
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}

// add and remove are the same operation: the digest is an exclusive or.
func (t *table) add(r Record)    { t.buckets[bucketOf(r.Name)] ^= recordHash(r) }
func (t *table) remove(r Record) { t.add(r) }

func (t *table) digest() uint32 {
	var d uint64
	for _, b := range t.buckets {
		d = mix(d, uint64(b))
	}
	return uint32(d >> 32)
}

type syncState struct {
	lastChange time.Time
	lastSync   time.Time
	bytes      bucket
}

func newSyncState(now time.Time) syncState {
	return syncState{lastChange: now, bytes: newBucket(now, syncRate, syncBurst)}
}

// considerSync asks a peer for the records that differ. Equal digests cost four
// bytes a packet; only what differs is ever sent again.
func (n *Node) considerSync(now time.Time, from string, p Packet) {
	if p.Kind == SyncRequest || p.Digest == n.table.digest() || n.self.State.Terminal() {
		return
	}
	joining := 2*(len(n.members)+1) < int(p.Count)
	if !n.syncDue(now, joining) {
		return
	}
	n.sync.lastSync = now
	n.send(from, Packet{Kind: SyncRequest, Buckets: append([]uint32(nil), n.table.buckets[:]...)})
}

func (n *Node) syncDue(now time.Time, joining bool) bool {
	waited := now.Sub(n.sync.lastSync)
	if joining {
		return waited >= joinSyncInterval
	}
	quiet := now.Sub(n.sync.lastChange) >= syncQuiet
	return waited >= syncInterval && (quiet || waited >= syncPatience)
}

// answerSync pushes one page of records from the buckets that differ, starting at
// a random one so that repeated pages bring the rest.
func (n *Node) answerSync(now time.Time, from string, p Packet) {
	if len(p.Buckets) != bucketCount {
		return
	}
	page := n.differing(now, p.Buckets)
	if len(page) == 0 || !n.sync.bytes.take(now, recordsSize(page)) {
		return
	}
	n.send(from, Packet{Kind: Push, Records: page})
}

func (n *Node) differing(now time.Time, theirs []uint32) []Record {
	byBucket := make(map[int][]Record)
	for _, name := range append(n.names(), n.self.Name) {
		b := bucketOf(name)
		if n.table.buckets[b] == theirs[b] {
			continue
		}
		r, _ := n.record(now, name)
		byBucket[b] = append(byBucket[b], r)
	}
	var page []Record
	size := 0
	start := n.rng.IntN(bucketCount)
	for i := range bucketCount {
		for _, r := range byBucket[(start+i)%bucketCount] {
			if size += r.Size(); size > pageBytes {
				return page
			}
			page = append(page, r)
		}
	}
	return page
}
