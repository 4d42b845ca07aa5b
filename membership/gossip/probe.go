package gossip

import (
	"slices"
	"time"
)

// probeState is the one ping under way.
type probeState struct {
	number   uint32
	target   string
	deadline time.Time
	indirect bool
	acked    bool
}

// relay is a ping sent for somebody else.
type relay struct {
	requester string
	number    uint32
	target    string
	expires   time.Time
}

// startRound closes the last ping and starts the next.
func (n *Node) startRound(now time.Time) {
	n.nextRound = now.Add(n.cfg.ProbeInterval)
	if n.probe.target != "" && !n.probe.acked {
		n.doubt(now, n.probe.target)
	}
	n.probe = probeState{}
	n.expireRelays(now)
	target, ok := n.nextTarget()
	if !ok {
		return
	}
	n.probe = probeState{
		number:   n.probeNumber(),
		target:   target.Name,
		deadline: now.Add(n.cfg.AckTimeout),
	}
	n.ping(now, target, n.probe.number)
}

func (n *Node) probeNumber() uint32 {
	n.nextProbe++
	return n.nextProbe
}

// ping sends a ping with news. A suspect is always told of the suspicion, so that
// it can refute it with its answer.
func (n *Node) ping(now time.Time, target *member, number uint32) {
	var told []Record
	if target.State != Alive {
		told = append(told, target.wire(now))
	}
	n.send(target.Address, Packet{Kind: Ping, Probe: number, Records: n.withNews(now, told)})
}

// nextTarget walks all members in an order that is shuffled anew each time round,
// so that each is pinged once in as many rounds as there are members. Picking at
// random would leave some unpinged for several times that.
func (n *Node) nextTarget() (*member, bool) {
	for range 2 {
		for len(n.rotation) > 0 {
			last := len(n.rotation) - 1
			name := n.rotation[last]
			n.rotation = n.rotation[:last]
			if m, ok := n.members[name]; ok && !m.State.Terminal() {
				return m, true
			}
		}
		n.rotation = slices.Clone(n.index().live)
		n.shuffle(n.rotation)
	}
	return nil, false
}

func (n *Node) shuffle(names []string) {
	n.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// expireProbe asks others to ping a target that has not answered in time.
func (n *Node) expireProbe(now time.Time) {
	p := &n.probe
	if p.target == "" || p.acked || p.indirect || now.Before(p.deadline) {
		return
	}
	p.indirect = true
	target, ok := n.members[p.target]
	if !ok {
		return
	}
	for _, helper := range n.pick(indirectProbes, p.target) {
		n.send(helper.Address, Packet{
			Kind: PingRequest, Probe: p.number,
			Target: target.Name, TargetAddress: target.Address,
		})
	}
}

// pick returns up to count random live members other than the excluded one.
func (n *Node) pick(count int, except string) []*member {
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

// reply answers a ping. A sender that is dead here is told so, and so are all
// pinging members whose record here is a suspicion.
func (n *Node) reply(now time.Time, from string, p Packet) {
	var told []Record
	if m, ok := n.members[p.From]; ok && m.Incarnation >= p.Incarnation && m.State != Alive {
		told = append(told, m.wire(now))
	}
	if n.self.State == Left {
		return
	}
	if suspected(p.Records, n.self.Name) {
		told = append(told, n.self)
	}
	n.send(from, Packet{Kind: Ack, Probe: p.Probe, Records: n.withNews(now, told)})
}

func suspected(records []Record, name string) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.Name == name })
}

// acknowledge handles the answer to a ping of this node's own or of a relay.
func (n *Node) acknowledge(now time.Time, p Packet) {
	if r, ok := n.relays[p.Probe]; ok {
		delete(n.relays, p.Probe)
		if p.From == r.target {
			n.send(r.requester, Packet{Kind: RelayedAck, Probe: r.number, Target: r.target, Records: ownRecord(p)})
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
	// Another instance answers at the target's address, or an older run of the
	// target: an address is served by one process, so that the target is gone.
	if p.From != m.Name && !m.State.Terminal() {
		n.declareDead(now, m)
	}
}

// ownRecord is what the sender of a packet said of itself, if anything.
func ownRecord(p Packet) []Record {
	for _, r := range p.Records {
		if r.Name == p.From {
			return []Record{r}
		}
	}
	return nil
}

func (n *Node) acknowledgeRelayed(_ time.Time, p Packet) {
	if n.probe.target == p.Target && n.probe.number == p.Probe {
		n.probe.acked = true
	}
}

// relay pings a target for somebody who got no answer from it.
func (n *Node) relay(now time.Time, from string, p Packet) {
	if p.Target == n.self.Name {
		n.send(from, Packet{Kind: RelayedAck, Probe: p.Probe, Target: p.Target})
		return
	}
	number := n.probeNumber()
	n.relays[number] = relay{
		requester: from, number: p.Probe, target: p.Target,
		expires: now.Add(n.cfg.ProbeInterval),
	}
	var told []Record
	if m, ok := n.members[p.Target]; ok && m.State != Alive {
		told = append(told, m.wire(now))
	}
	n.send(p.TargetAddress, Packet{Kind: Ping, Probe: number, Records: told})
}

func (n *Node) expireRelays(now time.Time) {
	for number, r := range n.relays {
		if now.After(r.expires) {
			delete(n.relays, number)
		}
	}
}

// contact pings an address that is not a live member: a seed, an instance of the
// platform's list or a dead member. Without it, two sides of a healed partition,
// each of which declared the other dead, would never speak again.
func (n *Node) contact(now time.Time) {
	if now.Before(n.nextContact) {
		return
	}
	n.nextContact = now.Add(n.contactInterval(now))
	candidates := n.strangers()
	if len(candidates) == 0 {
		return
	}
	address := candidates[n.rng.IntN(len(candidates))]
	told := []Record{n.self}
	for _, name := range n.index().names {
		if m := n.members[name]; m.Address == address && m.State == Dead {
			told = append(told, m.wire(now))
		}
	}
	n.send(address, Packet{Kind: Ping, Probe: n.probeNumber(), Records: told})
}

func (n *Node) contactInterval(now time.Time) time.Duration {
	if n.liveCount() == 0 || now.Sub(n.lastLoss) < calmAfter {
		return reconnectInterval
	}
	return calmInterval
}

// strangers are the addresses worth a ping that no live member has.
func (n *Node) strangers() []string {
	candidates := slices.Concat(n.cfg.Seeds, n.hints)
	taken := map[string]bool{n.self.Address: true}
	for _, m := range n.members {
		switch {
		case m.State == Dead:
			candidates = append(candidates, m.Address)
		case !m.State.Terminal():
			taken[m.Address] = true
		}
	}
	candidates = slices.DeleteFunc(candidates, func(a string) bool { return taken[a] })
	slices.Sort(candidates)
	return slices.Compact(candidates)
}
