package fleet

import (
	"math"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/hub"
)

// Parameters of hub selection.
const (
	// peerTimeout is how long an instance may leave reports unanswered before it counts as silent
	// in a small fleet. With a loss rate of one in forty, three reports in a row are lost once
	// in 64,000.
	peerTimeout = 700 * time.Millisecond
	// hubTimeout is the same for a large fleet, where each hub is polled less often.
	hubTimeout = pollInterval*2 + 300*time.Millisecond
	// suspectDuration is how long a hub that did not answer asks counts as silent.
	suspectDuration = time.Second
	// mentionRetryDelay is the minimum silence of a hub before it is retried because another
	// instance still lists it.
	mentionRetryDelay = hubTimeout + 3*time.Second
	// selectionMaxAge is how long a selection is reused if no received report changes it.
	selectionMaxAge = 100 * time.Millisecond
	// reportedSizeMaxAge is how long a fleet size reported by a hub is valid.
	reportedSizeMaxAge = 2 * time.Second
	// settleTime is how long an instance that started after the others is not selected as a hub
	// if there is an equivalent one. It is longer than a rolling restart takes.
	settleTime = 5 * time.Minute
	// startWindow is the time within which instances count as started together.
	startWindow = 5 * time.Second
)

// Hub is an instance to which others send their reports.
type Hub struct {
	Name string
	Run  Run
}

// hubSelection is the result of the last hub selection.
type hubSelection struct {
	at   time.Duration
	hubs []Member
	size Size
}

// Hubs returns the instances to which this one sends its reports, including itself if it is a hub.
// It returns none while the size of the fleet is unknown.
func (x *Exchange) Hubs() []Hub {
	chosen := x.currentSelection(boottime.Now()).hubs
	out := make([]Hub, len(chosen))
	for i, m := range chosen {
		out[i] = Hub{m.Name, RunOf(m.Name, m.Incarnation)}
	}
	return out
}

// Size returns the size of the fleet.
func (x *Exchange) Size() Size { return x.currentSelection(boottime.Now()).size }

func (x *Exchange) large() bool { return x.Size().Large() }

// Isolated reports whether no report of another instance was received recently.
func (x *Exchange) Isolated() bool { return !x.hasRecentReports(boottime.Now()) }

// hasRecentReports reports whether a report of any other instance was received recently.
func (x *Exchange) hasRecentReports(now time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, last := range x.last {
		if now-last.at <= hubTimeout {
			return true
		}
	}
	return false
}

// Rank returns the number of instances that precede this one in an order that depends on subject;
// hubs come first. While the size of the fleet is unknown, this instance is last.
func (x *Exchange) Rank(subject string) int {
	own := HashOf(subject + x.self.Name)
	before, isHub := 0, false
	hubs := x.Hubs()
	if len(hubs) == 0 {
		return math.MaxInt
	}
	for _, h := range hubs {
		if h.Name == x.self.Name {
			isHub = true
		} else if HashOf(subject+h.Name) < own {
			before++
		}
	}
	if isHub {
		return before
	}
	return len(hubs) + int(own%hub.Hubs)
}

// IsHub reports whether this instance is a hub.
func (x *Exchange) IsHub() bool {
	for _, h := range x.Hubs() {
		if h.Name == x.self.Name {
			return true
		}
	}
	return false
}

// Knows reports whether a run is known to this instance.
func (x *Exchange) Knows(run Run) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		if p.run == run {
			return true
		}
	}
	return false
}

// MarkSuspect marks a hub as silent for suspectDuration because it did not answer.
func (x *Exchange) MarkSuspect(name string) {
	now := boottime.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if p, known := x.peers[name]; known {
		p.suspectUntil = now + suspectDuration
		x.selection.at = 0
	}
}

// currentSelection returns the cached selection, or makes a new one if it is outdated.
func (x *Exchange) currentSelection(now time.Duration) hubSelection {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.selection.at > 0 && now-x.selection.at < selectionMaxAge {
		return x.selection
	}
	x.selection.size = x.fleetSize(now)
	x.selection.hubs = nil
	if n, known := x.selection.size.Instances(); known {
		x.selection.hubs = x.pickHubs(x.hubCandidates(now), n, hub.Hubs)
	}
	x.selection.at = now
	return x.selection
}

// fleetSize returns the size of the fleet. x.mu must be held. An instance that is not a hub receives no
// reports from most others and relies on the size that the hubs report. While it receives no reports at
// all, the last reported size remains valid.
func (x *Exchange) fleetSize(now time.Duration) Size {
	if !x.synced() {
		return Size{}
	}
	recent, heard := 0, false
	for name, reported := range x.reportedSizes {
		if now-reported.at > reportedSizeMaxAge {
			delete(x.reportedSizes, name)
			continue
		}
		recent = max(recent, reported.instances)
	}
	for _, last := range x.last {
		heard = heard || now-last.at <= hubTimeout
	}
	if recent > 0 || heard {
		x.maxReportedSize = recent
	}
	return SizeOf(max(len(x.peers)+1, x.maxReportedSize))
}

// synced reports whether the members of the fleet are known.
func (x *Exchange) synced() bool { return x.hasSynced == nil || x.hasSynced() }

// isSilent reports whether an instance is suspected or has not reported since a report was sent to it
// for longer than the timeout. x.mu must be held.
func (x *Exchange) isSilent(now time.Duration, p *peer) bool {
	limit := peerTimeout
	if x.selection.size.Large() {
		limit = hubTimeout
	}
	return p.unansweredSince > 0 && now-p.unansweredSince > limit || p.suspectUntil > now
}

// hubCandidates returns the instances that can be hubs. x.mu must be held.
func (x *Exchange) hubCandidates(now time.Duration) []Member {
	var out []Member
	if !x.leaving {
		out = append(out, x.self)
	}
	for _, p := range x.peers {
		if !p.leaving && !x.isSilent(now, p) {
			out = append(out, p.Member)
		}
	}
	return out
}

// resetSilence makes all instances count as responsive, so that they are retried when none reports.
func (x *Exchange) resetSilence() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		p.unansweredSince, p.suspectUntil = 0, 0
	}
	x.selection = hubSelection{size: x.selection.size}
}

// pickHubs selects hubs from members. If a member has not reported yet, the listed run may have ended,
// so its start time is ignored: after a power loss of the whole fleet, no listed run is still active.
func (x *Exchange) pickHubs(members []Member, size, count int) []Member {
	byName := make(map[string]Member, len(members))
	first := startTime(x.self)
	for _, m := range members {
		byName[m.Name] = m
		if x.hasReported(m) {
			first = min(first, startTime(m))
		}
	}
	now := time.Duration(time.Now().UnixNano())
	candidates := make([]hub.Candidate, 0, len(members))
	for _, m := range members {
		settled := !x.hasReported(m) || startTime(m) <= first+startWindow || now-startTime(m) > settleTime
		candidates = append(candidates, hub.Candidate{Name: m.Name, Hash: uint64(HashOf(m.Name)), DataCentre: m.Machine.DataCentre, Millicores: m.Machine.Millicores, Settled: settled})
	}
	var out []Member
	for _, name := range hub.Choose(candidates, size, count) {
		out = append(out, byName[name])
	}
	return out
}

// hasReported reports whether this instance has received a report of a run, or is that run. x.mu must
// be held.
func (x *Exchange) hasReported(m Member) bool {
	_, heard := x.last[RunOf(m.Name, m.Incarnation)]
	return heard || m.Name == x.self.Name
}

// startTime returns when a run started, by the wall clock of its machine.
func startTime(m Member) time.Duration {
	return time.Duration(m.Incarnation>>incarnationRandomBits) * time.Millisecond
}

// allPeers returns all other instances.
func (x *Exchange) allPeers() []*peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]*peer, 0, len(x.peers))
	for _, p := range x.peers {
		out = append(out, p)
	}
	return out
}

// KnowsOthers reports whether any other instance is known.
func (x *Exchange) KnowsOthers() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.peers) > 0
}

// Working returns the other known instances that accept work and are not silent.
func (x *Exchange) Working() []Member {
	now := boottime.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]Member, 0, len(x.peers))
	for _, p := range x.peers {
		if !p.leaving && !x.isSilent(now, p) {
			out = append(out, p.Member)
		}
	}
	return out
}

// peersAmong returns the peers of hubs, which excludes this instance.
func (x *Exchange) peersAmong(hubs []Member) []*peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []*peer
	for _, m := range hubs {
		if p, known := x.peers[m.Name]; known {
			out = append(out, p)
		}
	}
	return out
}

// membersDigest returns a digest of the set of members that does not depend on their order.
func membersDigest(members []Member) uint64 {
	var sum uint64
	for _, m := range members {
		sum += uint64(HashOf(m.Name))
	}
	return sum
}

func memberNames(members []Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Name
	}
	return out
}
