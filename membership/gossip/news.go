package gossip

import (
	"slices"
	"strings"
	"time"
)

// news are the records that are still being spread and the bytes they may cost.
type news struct {
	sent  map[string]int
	bytes bucket
	// urgent is set while a record changed that owners act on, urgentVersion
	// while a higher configuration version has just become known.
	urgent        bool
	urgentVersion bool
}

func newNews(now time.Time) news {
	return news{sent: make(map[string]int), bytes: newBucket(now, newsRate, newsBurst)}
}

// announce starts or restarts the spreading of a member's record.
func (n *Node) announce(name string) { n.news.sent[name] = 0 }

// announceUrgent also tells a few members with the next tick.
func (n *Node) announceUrgent(name string) {
	n.announce(name)
	n.news.urgent = true
}

// pushUrgent tells a few members at once of what owners act on. Left to the pings,
// a new configuration or a death takes half a second for each doubling of those
// that know it.
func (n *Node) pushUrgent(now time.Time) {
	urgent, version := n.news.urgent, n.news.urgentVersion
	n.news.urgent, n.news.urgentVersion = false, false
	if !urgent && !version {
		return
	}
	for _, m := range n.pick(urgentFanout, "") {
		records := n.withNews(now, nil)
		if len(records) > 0 || version {
			n.send(m.Address, Packet{Kind: Push, Records: records})
		}
	}
}

// noteChange notes that the table changed.
func (n *Node) noteChange(now time.Time) {
	n.sync.lastChange = now
	n.touch()
}

// withNews appends to records the news least often sent, as far as the packet and
// the byte budget allow.
func (n *Node) withNews(now time.Time, records []Record) []Record {
	if len(n.news.sent) == 0 {
		return records
	}
	limit := transmitLimit(n.liveCount() + 1)
	size := recordsSize(records)
	for _, name := range n.newsOrder() {
		r, ok := n.record(now, name)
		if !ok {
			delete(n.news.sent, name)
			continue
		}
		if slices.ContainsFunc(records, func(have Record) bool { return have.Name == name }) {
			continue
		}
		cost := r.Size()
		if size+cost > newsBytes || !n.news.bytes.take(now, cost) {
			break
		}
		size += cost
		records = append(records, r)
		n.countSent(name, limit)
	}
	return records
}

func (n *Node) countSent(name string, limit int) {
	n.news.sent[name]++
	if n.news.sent[name] >= limit {
		delete(n.news.sent, name)
	}
}

// newsOrder lists news by how seldom it was sent, so that the newest goes first
// and an old item cannot crowd it out.
func (n *Node) newsOrder() []string {
	names := make([]string, 0, len(n.news.sent))
	for name := range n.news.sent {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if d := n.news.sent[a] - n.news.sent[b]; d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	return names
}

func (n *Node) record(now time.Time, name string) (Record, bool) {
	if name == n.self.Name {
		return n.self, true
	}
	m, ok := n.members[name]
	if !ok {
		return Record{}, false
	}
	return m.wire(now), true
}

// Size estimates the encoded size of the record in bytes: strings, two packed
// addresses, three numbers and the field tags.
func (r Record) Size() int {
	const fixed = 2 + 2*8 + 8 + 2 + 2 + 5 + 4 + 2 + 2
	return fixed + len(r.Name) + len(r.DataCentre)
}

func recordsSize(records []Record) int {
	size := 0
	for _, r := range records {
		size += r.Size()
	}
	return size
}

// bucket is a token bucket of bytes.
type bucket struct {
	rate, burst float64
	level       float64
	last        time.Time
}

func newBucket(now time.Time, rate, burst float64) bucket {
	return bucket{rate: rate, burst: burst, level: burst, last: now}
}

func (b *bucket) take(now time.Time, bytes int) bool {
	b.level = min(b.burst, b.level+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	if b.level < float64(bytes) {
		return false
	}
	b.level -= float64(bytes)
	return true
}
