package gossip

import (
	"slices"
	"time"
)

// probeState is the state of the pending probe; a node has at most one.
type probeState struct {
	number   uint32
	target   string
	deadline time.Time
	indirect bool
	acked    bool
}

// relayedPing is a ping sent on behalf of another member, the requester. Its number is
// the requester's probe number.
type relayedPing struct {
	requester string
	number    uint32
	target    string
	expires   time.Time
}

// startProbeRound completes the previous probe and starts the next.
func (n *Node) startProbeRound(now time.Time) {
	n.nextProbeRound = now.Add(n.cfg.ProbeInterval)
	if n.probe.target != "" && !n.probe.acked {
		n.suspect(now, n.probe.target)
	}
	n.probe = probeState{}
	n.expireRelays(now)
	target, ok := n.nextProbeTarget()
	if !ok {
		return
	}
	n.probe = probeState{
		number:   n.nextProbeNumber(),
		target:   target.Name,
		deadline: now.Add(n.cfg.AckTimeout),
	}
	n.ping(now, target, n.probe.number)
}

func (n *Node) nextProbeNumber() uint32 {
	n.lastProbeNumber++
	return n.lastProbeNumber
}

// ping sends a ping with updates. A ping to a suspect always includes the suspicion, so
// that the suspect can refute it in its answer.
func (n *Node) ping(now time.Time, target *member, number uint32) {
	var records []Record
	if target.State != Alive {
		records = append(records, target.recordAt(now))
	}
	n.send(target.Address, Packet{Kind: Ping, Probe: number, Records: n.appendUpdates(now, records)})
}

// nextProbeTarget returns the next member of a round-robin order that is shuffled again
// after each pass, so that each member is pinged once in as many rounds as there are
// members. With random choice, some members would go without a ping for several times
// as long.
func (n *Node) nextProbeTarget() (*member, bool) {
	for range 2 {
		for len(n.probeOrder) > 0 {
			last := len(n.probeOrder) - 1
			name := n.probeOrder[last]
			n.probeOrder = n.probeOrder[:last]
			if m, ok := n.members[name]; ok && !m.State.Terminal() {
				return m, true
			}
		}
		n.probeOrder = slices.Clone(n.index().live)
		n.shuffle(n.probeOrder)
	}
	return nil, false
}

func (n *Node) shuffle(names []string) {
	n.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// checkProbeTimeout asks other members to ping a target that has not answered in time.
func (n *Node) checkProbeTimeout(now time.Time) {
	p := &n.probe
	if p.target == "" || p.acked || p.indirect || now.Before(p.deadline) {
		return
	}
	p.indirect = true
	target, ok := n.members[p.target]
	if !ok {
		return
	}
	for _, helper := range n.randomMembers(indirectProbes, p.target) {
		n.send(helper.Address, Packet{
			Kind: PingRequest, Probe: p.number,
			Target: target.Name, TargetAddress: target.Address,
		})
	}
}

// randomMembers returns up to count random live members other than the one named except.
func (n *Node) randomMembers(count int, except string) []*member {
	names := slices.Clone(n.index().live)
	names = slices.DeleteFunc(names, func(name string) bool { return name == except })
	n.shuffle(names)
	if len(names) > count {
		names = names[:count]
	}
	picked := make([]*member, 0, len(names))
	for _, name := range names {
		picked = append(picked, n.members[name])
	}
	return picked
}

// handlePing answers a ping. If this node's record of the sender is suspect or terminal,
// the answer includes that record. If the ping contains a record of this instance, a
// suspicion or a death, the answer includes this instance's own record.
func (n *Node) handlePing(now time.Time, from string, p Packet) {
	var records []Record
	if m, ok := n.members[p.From]; ok && m.Incarnation >= p.Incarnation && m.State != Alive {
		records = append(records, m.recordAt(now))
	}
	if n.self.State == Left {
		return
	}
	if containsRecord(p.Records, n.self.Name) {
		records = append(records, n.self)
	}
	n.send(from, Packet{Kind: Ack, Probe: p.Probe, Records: n.appendUpdates(now, records)})
}

func containsRecord(records []Record, name string) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.Name == name })
}

// handleAck handles the answer to a ping of this node or to one that it relayed.
func (n *Node) handleAck(now time.Time, p Packet) {
	if r, ok := n.relays[p.Probe]; ok {
		delete(n.relays, p.Probe)
		if p.From == r.target {
			n.send(r.requester, Packet{Kind: RelayedAck, Probe: r.number, Target: r.target, Records: senderRecord(p)})
		}
		return
	}
	if n.probe.target == "" || p.Probe != n.probe.number {
		return
	}
	m, ok := n.members[n.probe.target]
	if !ok {
		return
	}
	if p.From == m.Name && p.Incarnation >= m.Incarnation {
		n.probe.acked = true
		return
	}
	// Another instance or an older run of the target answered at the target's
	// address. An address is served by one process, so the target is gone.
	if p.From != m.Name && !m.State.Terminal() {
		n.declareDead(now, m)
	}
}

// senderRecord returns the sender's own record if the packet contains it.
func senderRecord(p Packet) []Record {
	for _, r := range p.Records {
		if r.Name == p.From {
			return []Record{r}
		}
	}
	return nil
}

func (n *Node) handleRelayedAck(_ time.Time, p Packet) {
	if n.probe.target == p.Target && n.probe.number == p.Probe {
		n.probe.acked = true
	}
}

// handlePingRequest pings a target on behalf of a member that got no answer from it.
func (n *Node) handlePingRequest(now time.Time, from string, p Packet) {
	if p.Target == n.self.Name {
		n.send(from, Packet{Kind: RelayedAck, Probe: p.Probe, Target: p.Target})
		return
	}
	number := n.nextProbeNumber()
	n.relays[number] = relayedPing{
		requester: from, number: p.Probe, target: p.Target,
		expires: now.Add(n.cfg.ProbeInterval),
	}
	var records []Record
	if m, ok := n.members[p.Target]; ok && m.State != Alive {
		records = append(records, m.recordAt(now))
	}
	n.send(p.TargetAddress, Packet{Kind: Ping, Probe: number, Records: records})
}

func (n *Node) expireRelays(now time.Time) {
	for number, r := range n.relays {
		if now.After(r.expires) {
			delete(n.relays, number)
		}
	}
}

// reconnect pings an address that belongs to no live member: a seed, an instance of the
// platform's list or a dead member. Without it, the two sides of a partition, which
// declared each other dead, would never exchange packets again after it healed.
func (n *Node) reconnect(now time.Time) {
	if now.Before(n.nextReconnect) {
		return
	}
	n.nextReconnect = now.Add(n.reconnectDelay(now))
	candidates := n.reconnectAddresses()
	if len(candidates) == 0 {
		return
	}
	address := candidates[n.rng.IntN(len(candidates))]
	records := []Record{n.self}
	for _, name := range n.index().names {
		if m := n.members[name]; m.Address == address && m.State == Dead {
			records = append(records, m.recordAt(now))
		}
	}
	n.send(address, Packet{Kind: Ping, Probe: n.nextProbeNumber(), Records: records})
}

func (n *Node) reconnectDelay(now time.Time) time.Duration {
	if n.liveCount() == 0 || now.Sub(n.lastMemberLoss) < stableAfter {
		return reconnectInterval
	}
	return stableReconnectInterval
}

// reconnectAddresses returns the seeds, hints and addresses of dead members that belong
// to no live member.
func (n *Node) reconnectAddresses() []string {
	candidates := slices.Concat(n.cfg.Seeds, n.hints)
	liveAddresses := map[string]bool{n.self.Address: true}
	for _, m := range n.members {
		switch {
		case m.State == Dead:
			candidates = append(candidates, m.Address)
		case !m.State.Terminal():
			liveAddresses[m.Address] = true
		}
	}
	candidates = slices.DeleteFunc(candidates, func(a string) bool { return liveAddresses[a] })
	slices.Sort(candidates)
	return slices.Compact(candidates)
}
