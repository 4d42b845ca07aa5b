package gossip

import (
	"slices"
	"strings"
	"time"
)

// updateQueue holds the updates that this member still has to send and their byte
// budget.
type updateQueue struct {
	// transmissions counts how often the record of each queued member was sent.
	transmissions map[string]int
	budget        tokenBucket
	// urgent is set after a change that the application acts on, and urgentVersion after a
	// higher configuration version became known, until the next pushUrgentUpdates.
	urgent        bool
	urgentVersion bool
}

func newUpdateQueue(now time.Time) updateQueue {
	return updateQueue{transmissions: make(map[string]int), budget: newTokenBucket(now, updateBytesPerSecond, updateBurstBytes)}
}

// queueUpdate queues a member's record for sending and resets its count.
func (n *Node) queueUpdate(name string) { n.updates.transmissions[name] = 0 }

// queueUrgentUpdate queues a member's record and has the next tick push it to a few
// members.
func (n *Node) queueUrgentUpdate(name string) {
	n.queueUpdate(name)
	n.updates.urgent = true
}

// pushUrgentUpdates immediately pushes changes that matter to the application to a few
// members.
// If only pings carried them, a new configuration or a death would take half a second
// to double the number of members that know of it.
func (n *Node) pushUrgentUpdates(now time.Time) {
	urgent, version := n.updates.urgent, n.updates.urgentVersion
	n.updates.urgent, n.updates.urgentVersion = false, false
	if !urgent && !version {
		return
	}
	for _, m := range n.randomMembers(urgentFanout, "") {
		records := n.appendUpdates(now, nil)
		if len(records) > 0 || version {
			n.send(m.Address, Packet{Kind: Push, Records: records})
		}
	}
}

// markTableChanged records that the table changed at now.
func (n *Node) markTableChanged(now time.Time) {
	n.sync.lastChange = now
	n.markUpdated()
}

// appendUpdates appends to records the queued updates that were sent least often, as
// many as the packet and the byte budget allow.
func (n *Node) appendUpdates(now time.Time, records []Record) []Record {
	if len(n.updates.transmissions) == 0 {
		return records
	}
	limit := transmitLimit(n.liveCount() + 1)
	size := recordsSize(records)
	for _, name := range n.updatesInOrder() {
		r, ok := n.recordByName(now, name)
		if !ok {
			delete(n.updates.transmissions, name)
			continue
		}
		if slices.ContainsFunc(records, func(have Record) bool { return have.Name == name }) {
			continue
		}
		cost := r.Size()
		if size+cost > maxPiggybackBytes || !n.updates.budget.take(now, cost) {
			break
		}
		size += cost
		records = append(records, r)
		n.countTransmission(name, limit)
	}
	return records
}

// countTransmission counts one transmission of an update and removes the update from
// the queue once the limit is reached.
func (n *Node) countTransmission(name string, limit int) {
	n.updates.transmissions[name]++
	if n.updates.transmissions[name] >= limit {
		delete(n.updates.transmissions, name)
	}
}

// updatesInOrder returns the members with queued updates, those sent least often
// first, so that old updates cannot crowd out new ones.
func (n *Node) updatesInOrder() []string {
	names := make([]string, 0, len(n.updates.transmissions))
	for name := range n.updates.transmissions {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if d := n.updates.transmissions[a] - n.updates.transmissions[b]; d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	return names
}

func (n *Node) recordByName(now time.Time, name string) (Record, bool) {
	if name == n.self.Name {
		return n.self, true
	}
	m, ok := n.members[name]
	if !ok {
		return Record{}, false
	}
	return m.recordAt(now), true
}

// Size returns the estimated encoded size of the record in bytes: strings, two binary
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

// tokenBucket is a token bucket that counts bytes.
type tokenBucket struct {
	rate, burst float64
	level       float64
	last        time.Time
}

func newTokenBucket(now time.Time, rate, burst float64) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, level: burst, last: now}
}

func (b *tokenBucket) take(now time.Time, bytes int) bool {
	b.level = min(b.burst, b.level+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	if b.level < float64(bytes) {
		return false
	}
	b.level -= float64(bytes)
	return true
}
