package fleet

import (
	"math"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/hub"
)

// Figures of hubs.
const (
	// silence is how long an instance that reports are sent to may be silent in a small
	// fleet: three lost reports in a row are one in 64,000 where one in forty is lost.
	silence = 700 * time.Millisecond
	// hubSilence is the same in a large one, where each hub is polled less often.
	hubSilence = pollInterval*2 + 300*time.Millisecond
	// suspectTime is how long a hub that leaves asks unanswered counts as silent.
	suspectTime = time.Second
	// vouchAfter is how long a hub that is silent here is left alone though others hear it.
	vouchAfter = hubSilence + 3*time.Second
	// choiceAge is how long a choice holds while nothing is heard that changes it.
	choiceAge = 100 * time.Millisecond
	// toldAge is how long a hub's word on the size of the fleet holds.
	toldAge = 2 * time.Second
	// youngTime is how long an instance that has started after the others is no hub where
	// there is another like it: longer than a rolling restart takes.
	youngTime = 5 * time.Minute
	// together is the time within which instances count as started together.
	together = 5 * time.Second
)

// Hub is an instance that others report to.
type Hub struct {
	Name string
	Run  Run
}

// choice is what was chosen last.
type choice struct {
	at   time.Duration
	hubs []Member
	size Size
}

// Hubs are the instances that this one reports to, itself included if it is one. There are none
// while the size of the fleet is not known.
func (x *Exchange) Hubs() []Hub {
	chosen := x.choose(boottime.Now()).hubs
	out := make([]Hub, len(chosen))
	for i, m := range chosen {
		out[i] = Hub{m.Name, RunOf(m.Name, m.Incarnation)}
	}
	return out
}

// Size is the size of the fleet.
func (x *Exchange) Size() Size { return x.choose(boottime.Now()).size }

func (x *Exchange) large() bool { return x.Size().Large() }

// Isolated reports whether no other instance is heard.
func (x *Exchange) Isolated() bool { return !x.hears(boottime.Now()) }

// hears reports whether any other instance was heard lately.
func (x *Exchange) hears(now time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, last := range x.last {
		if now-last.at <= hubSilence {
			return true
		}
	}
	return false
}

// Rank is the number of instances that come before this one, in an order that depends on a
// subject: hubs first. While the size of the fleet is not known, this one comes last.
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

// Knows reports whether a run is known here.
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

// Suspect makes a hub count as silent for a moment, since it does not answer.
func (x *Exchange) Suspect(name string) {
	now := boottime.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if p, known := x.peers[name]; known {
		p.suspect = now + suspectTime
		x.chosen.at = 0
	}
}

// choose returns the hubs, as few times anew as possible.
func (x *Exchange) choose(now time.Duration) choice {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.chosen.at > 0 && now-x.chosen.at < choiceAge {
		return x.chosen
	}
	x.chosen.size = x.size(now)
	x.chosen.hubs = nil
	if n, known := x.chosen.size.Instances(); known {
		x.chosen.hubs = x.pick(x.candidates(now), n, hub.Hubs)
	}
	x.chosen.at = now
	return x.chosen
}

// size is the size of the fleet; the lock is held. An instance that is no hub does not hear of
// most others, and goes by the hubs' word. While it hears nobody the last word holds.
func (x *Exchange) size(now time.Duration) Size {
	if !x.settled() {
		return Size{}
	}
	recent, heard := 0, false
	for name, told := range x.told {
		if now-told.at > toldAge {
			delete(x.told, name)
			continue
		}
		recent = max(recent, told.instances)
	}
	for _, last := range x.last {
		heard = heard || now-last.at <= hubSilence
	}
	if recent > 0 || heard {
		x.toldSize = recent
	}
	return SizeOf(max(len(x.peers)+1, x.toldSize))
}

// settled reports whether it is known who is in the fleet.
func (x *Exchange) settled() bool { return x.listRead == nil || x.listRead() }

// silent reports whether an instance has left reports unanswered for long; the lock is held.
func (x *Exchange) silent(now time.Duration, p *peer) bool {
	limit := silence
	if x.chosen.size.Large() {
		limit = hubSilence
	}
	return p.unanswered > 0 && now-p.unanswered > limit || p.suspect > now
}

// candidates are the instances that may be hubs; the lock is held.
func (x *Exchange) candidates(now time.Duration) []Member {
	var out []Member
	if !x.leaving {
		out = append(out, x.self)
	}
	for _, p := range x.peers {
		if !p.leaving && !x.silent(now, p) {
			out = append(out, p.Member)
		}
	}
	return out
}

// forgive gives all instances another chance, since none is heard.
func (x *Exchange) forgive() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		p.unanswered, p.suspect = 0, 0
	}
	x.chosen = choice{size: x.chosen.size}
}

// pick chooses hubs among members. Of one that has not been heard it is not known whether the run
// that is listed still is the one at work: after all have lost power, none is.
func (x *Exchange) pick(members []Member, size, count int) []Member {
	byName := make(map[string]Member, len(members))
	first := started(x.self)
	for _, m := range members {
		byName[m.Name] = m
		if x.everHeard(m) {
			first = min(first, started(m))
		}
	}
	now := time.Duration(time.Now().UnixNano())
	candidates := make([]hub.Candidate, 0, len(members))
	for _, m := range members {
		settled := !x.everHeard(m) || started(m) <= first+together || now-started(m) > youngTime
		candidates = append(candidates, hub.Candidate{Name: m.Name, Hash: uint64(HashOf(m.Name)), DataCentre: m.Machine.DataCentre, Millicores: m.Machine.Millicores, Settled: settled})
	}
	var out []Member
	for _, name := range hub.Choose(candidates, size, count) {
		out = append(out, byName[name])
	}
	return out
}

// everHeard reports whether a run has been heard here; the lock is held.
func (x *Exchange) everHeard(m Member) bool {
	_, heard := x.last[RunOf(m.Name, m.Incarnation)]
	return heard || m.Name == x.self.Name
}

// started is when a run began, by its machine's time of day.
func started(m Member) time.Duration {
	return time.Duration(m.Incarnation>>incarnationNoise) * time.Millisecond
}

// everyone are all other instances.
func (x *Exchange) everyone() []*peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]*peer, 0, len(x.peers))
	for _, p := range x.peers {
		out = append(out, p)
	}
	return out
}

// others are some hubs without this instance.
func (x *Exchange) others(hubs []Member) []*peer {
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

// digest is the same for the same set of members.
func digest(members []Member) uint64 {
	var sum uint64
	for _, m := range members {
		sum += uint64(HashOf(m.Name))
	}
	return sum
}

func names(members []Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Name
	}
	return out
}
