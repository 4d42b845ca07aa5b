package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// partitionKinds cut the links of instances to all engines. They are drawn separately, like delayKinds.
var partitionKinds = []faultKind{
	{"engines silent", 2, func(r *run, f fault) { r.partition(f, 1, (*standin.Link).Partition) }},
	{"engines reset", 2, func(r *run, f fault) { r.partition(f, 1, (*standin.Link).Sever) }},
	{"engines refuse", 1, func(r *run, f fault) { r.partition(f, 1, (*standin.Link).RefuseConnections) }},
	{"engines silent for most", 1, func(r *run, f fault) { r.partition(f, len(r.instances)-1, (*standin.Link).Partition) }},
	{"engines reset for most", 1, func(r *run, f fault) { r.partition(f, len(r.instances)-1, (*standin.Link).Sever) }},
}

const (
	// meanPartitionGap is the mean time between two faults of partitionKinds.
	meanPartitionGap = 4500 * time.Millisecond
	// minPartition is added to the duration of a partition, so that callers are checked in most of them.
	minPartition = 4 * time.Second
)

// partition cuts the links of some instances to all engines.
func (r *run) partition(f fault, count int, cutLink func(*standin.Link) error) {
	var cut sync.WaitGroup
	for n := range max(count, 1) {
		i := r.instances[(f.Target+n)%len(r.instances)]
		cut.Go(func() {
			start := time.Now()
			must(i.engineLinks.Partition(cutLink))
			time.Sleep(minPartition + f.Duration)
			must(i.engineLinks.Heal())
			r.ledger.addPartition(i.name, start, time.Now())
		})
	}
	cut.Wait()
}

// must panics if a link cannot be partitioned or healed, which ends the run.
func must(err error) {
	if err != nil {
		panic(fmt.Sprintf("partitioning links: %v", err))
	}
}

// Bounds on the requests at partitioned instances, from partitionGrace after the start of a partition on:
// they must be served partitionShare times as often as those at other instances at the same time, unless at
// most partitionSlack and one in partitionSlackShare of them are not served.
const (
	partitionGrace      = 3 * time.Second
	partitionShare      = 2.0 / 3
	partitionSlack      = 10
	partitionSlackShare = 50
)

// tally counts requests and those that were served.
type tally struct{ sent, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// checkPartitions compares how often partitioned instances served callers and how often others did.
func (l *ledger) checkPartitions() []Finding {
	var cut, others tally
	for _, s := range l.requests {
		if s.badPart != "" || s.organisation != unlimitedOrganisation || s.status == 401 || !l.probeStart.IsZero() && s.sentAt.After(l.probeStart) || s.endedAt.IsZero() {
			continue
		}
		partitioned, during := l.partitionState(s)
		if !during || !l.undisturbed(s.instance, s.sentAt, s.endedAt) {
			continue
		}
		counted := &others
		if partitioned {
			counted = &cut
		}
		counted.sent++
		if s.status == 200 && !s.truncated {
			counted.served++
		}
	}
	failed := cut.sent - cut.served
	if failed <= partitionSlack+cut.sent/partitionSlackShare || cut.share() >= partitionShare*others.share() {
		return nil
	}
	return []Finding{{"served while partitioned", "", fmt.Sprintf("%d of %d requests at instances that reached no engine, %d of %d at others",
		cut.served, cut.sent, others.served, others.sent), time.Time{}}}
}

// partitionState reports whether a request was sent to a partitioned instance, and whether it counts: at
// least one instance was partitioned from partitionGrace before the request to its end, and at least one
// other was not partitioned at all, nor disturbed otherwise, from undisturbedTime before the request on.
func (l *ledger) partitionState(s *request) (partitioned, during bool) {
	partitionedInstances := make(map[string]bool)
	for _, p := range l.partitions {
		if p.start.Add(partitionGrace).Before(s.sentAt) && p.end.After(s.endedAt) {
			partitionedInstances[p.instance] = true
		}
		if p.instance == s.instance && p.start.Before(s.endedAt) && !p.start.Add(partitionGrace).Before(s.sentAt) && p.end.After(s.sentAt) {
			return false, false // The partition has just begun or ends.
		}
	}
	return partitionedInstances[s.instance], len(partitionedInstances) > 0 && l.someInstanceReaches(s)
}

// someInstanceReaches reports whether an instance was neither partitioned nor disturbed from undisturbedTime
// before a request to its end.
func (l *ledger) someInstanceReaches(s *request) bool {
	for n := range l.instances {
		name := instanceName(n)
		partitioned := slices.ContainsFunc(l.partitions, func(p faultPeriod) bool {
			return p.instance == name && p.start.Before(s.endedAt) && p.end.After(s.sentAt.Add(-undisturbedTime))
		})
		if !partitioned && l.undisturbed(name, s.sentAt, s.endedAt) {
			return true
		}
	}
	return false
}

// instanceName returns the name of the instance with a number.
func instanceName(n int) string { return fmt.Sprint("i", n) }

func (l *ledger) addPartition(instance string, start, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitions = append(l.partitions, faultPeriod{instance, start, end})
}
