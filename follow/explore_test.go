package follow

import (
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/propertyseed"
)

func TestMain(m *testing.M) { os.Exit(propertyseed.Run(m)) }

// modelInstance is one instance of the model. It keeps the number of the newest record of each
// key and the time as of which it claims to be caught up.
type modelInstance struct {
	model    *model
	follower *Follower
	known    map[string]int
	asOf     time.Duration
}

// Merge keeps newer records that the copy lacks.
func (e *modelInstance) Merge(records []port.KeyedRecord) bool {
	changed := false
	for _, r := range records {
		changed = e.Add(r) || changed
	}
	return changed
}

func (e *modelInstance) Replace(records []port.KeyedRecord) bool {
	e.known = make(map[string]int)
	for _, r := range records {
		e.Add(r)
	}
	return true
}

func (e *modelInstance) Add(r port.KeyedRecord) bool {
	if r.Key == "heartbeat" {
		return false
	}
	// Like a configuration, a record has a number that its writer gives it.
	number := e.model.numbers[r.Offset]
	if before, known := e.known[r.Key]; known && before >= number {
		return false
	}
	e.known[r.Key] = number
	return true
}

func (e *modelInstance) CaughtUp(asOf time.Duration) { e.asOf = max(e.asOf, asOf) }
func (e *modelInstance) ReadFailed()                 {}

// pendingRead is a read whose response has been produced but not delivered.
type pendingRead struct {
	instance *modelInstance
	records  []port.KeyedRecord
	next     uint64
	started  time.Duration
	snapshot bool
}

type pendingNote struct {
	to       int
	note     Note
	earliest time.Duration
}

// model is a fleet and its topic, advanced one step at a time.
type model struct {
	now     time.Duration
	records []port.KeyedRecord
	written []time.Duration
	// era is that of the store. numbers are the numbers of all records that were ever written, by position.
	era       uint64
	numbers   map[uint64]int
	last      int
	instances []*modelInstance
	reads     []pendingRead
	notes     []pendingNote
	// value is the value of further records.
	value []byte
}

func (x *model) restart(i int) {
	e := &modelInstance{model: x, known: make(map[string]int)}
	e.follower = NewFollower(port.TopicConfiguration, testTiming, e)
	e.follower.Rank = func() int { return i }
	e.follower.Now = func() time.Duration { return x.now }
	e.follower.Logger = zap.NewNop()
	e.follower.Carries = true
	x.instances[i] = e
}

func (x *model) write(key string) {
	x.last++
	// The first bytes make the value unique.
	value := append([]byte(fmt.Sprint(x.last, " ")), x.value...)
	x.records = append(x.records, port.KeyedRecord{Key: key, Value: value, Offset: x.end()})
	x.numbers[x.records[len(x.records)-1].Offset] = x.last
	x.written = append(x.written, x.now)
}

func (x *model) end() uint64 { return port.Position(x.era, uint64(len(x.records))) }

// goBack makes the store come back from a copy with the first n records.
func (x *model) goBack(n int) {
	x.era++
	kept := x.records[:n]
	x.records, x.written = nil, x.written[:n:n]
	for _, r := range kept {
		number := x.numbers[r.Offset]
		r.Offset = port.Position(x.era, port.OffsetOf(r.Offset))
		x.numbers[r.Offset] = number
		x.records = append(x.records, r)
	}
}

// read produces the store's response to one instance; finish delivers it later.
func (x *model) read(i int, snapshot bool) {
	e := x.instances[i]
	e.follower.mu.Lock()
	next, known := e.follower.next, e.follower.known && !e.follower.rejoining
	e.follower.mu.Unlock()
	// A position of an earlier era makes an instance read a snapshot.
	p := pendingRead{instance: e, next: x.end(), started: x.now, snapshot: snapshot || !known || port.EraOf(next) != x.era}
	if p.snapshot {
		newest := make(map[string]port.KeyedRecord)
		for _, r := range x.records {
			newest[r.Key] = r
		}
		for _, r := range newest {
			p.records = append(p.records, r)
		}
	} else if offset := port.OffsetOf(next); int(offset) <= len(x.records) {
		p.records = x.records[offset:]
	}
	x.reads = append(x.reads, p)
}

// finish delivers the response of a read, as Run does.
func (x *model) finish(p pendingRead) {
	if !p.snapshot {
		p.instance.follower.applyRecords(p.records, p.next, p.started)
		return
	}
	f := p.instance.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applySnapshot(p.records, p.next, p.started)
}

// knownNumbers returns what each instance knows.
func (x *model) knownNumbers() []map[string]int {
	var out []map[string]int
	for _, e := range x.instances {
		out = append(out, maps.Clone(e.known))
	}
	return out
}

// checkNothingForgotten reads the topic at each instance, and fails if one has gone back with the store.
func (x *model) checkNothingForgotten(t *rapid.T, before []map[string]int) {
	for i, e := range x.instances {
		x.read(i, false)
		x.finish(x.reads[len(x.reads)-1])
		x.reads = x.reads[:len(x.reads)-1]
		for key, number := range before[i] {
			assert.Assert(t, e.known[key] >= number, "instance %d knew record %d of %s, and now only %d", i, number, key, e.known[key])
		}
	}
}

// check fails if an instance claims to be caught up as of a time but lacks a record written
// before it.
func (x *model) check(t *rapid.T) {
	newest := make(map[string]int)
	for i, e := range x.instances {
		clear(newest)
		for offset, r := range x.records {
			if x.written[offset] < e.asOf && r.Key != "heartbeat" {
				newest[r.Key] = x.numbers[r.Offset]
			}
		}
		for key, number := range newest {
			assert.Assert(t, e.known[key] >= number, "at %v instance %d is caught up as of %v but knows %s only up to record %d, not %d", x.now, i, e.asOf, key, e.known[key], number)
		}
	}
}

// Records of any size are written and read by any instance at any time, and relayed in notes or
// fetched from other instances. Notes and fetched records are lost, repeated, reordered or
// delayed; instances restart and read a snapshot; the store comes back from copies. Whatever the
// order, an instance that is caught up as of a time must know everything written before that
// time. Otherwise it would accept a withdrawn key, or use an engine that has left, while it
// believes itself up to date.
func TestCaughtUpImpliesAllRecordsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		x := &model{now: time.Second, instances: make([]*modelInstance, instances), numbers: make(map[uint64]int)}
		for i := range instances {
			x.restart(i)
		}
		x.write("a")
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		for range 120 {
			x.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			switch step := rapid.IntRange(0, 14).Draw(t, "step"); {
			case step == 0:
				x.write([]string{"a", "b"}[pick(2)])
			case step == 1:
				x.write("heartbeat")
			case step <= 3:
				x.read(pick(instances), false)
			case step == 4 && pick(4) == 0:
				x.read(pick(instances), true)
			case step <= 6 && len(x.reads) > 0:
				n := pick(len(x.reads))
				p := x.reads[n]
				x.reads = append(x.reads[:n:n], x.reads[n+1:]...)
				x.finish(p)
			case step <= 9:
				from := pick(instances)
				if note, ok := x.instances[from].follower.Note(x.now); ok {
					// Each of the others receives it at a different time, or never.
					for to := range instances {
						if to != from {
							x.notes = append(x.notes, pendingNote{to, note, x.now})
						}
					}
				}
			case step == 10 && len(x.notes) > 0:
				n := x.notes[pick(len(x.notes))]
				x.instances[n.to].follower.Receive(n.note, n.earliest)
			case step == 11 && pick(10) == 0:
				x.restart(pick(instances))
			case step == 12:
				from, to := pick(instances), pick(instances)
				if note, err := x.instances[from].follower.Serve(x.now, x.instances[to].follower.NextOffset()); err == nil && from != to {
					x.notes = append(x.notes, pendingNote{to, note, x.now})
				}
			case step == 13:
				x.value = make([]byte, pick(2)*(maxRelayBytes+1))
			case step == 14 && pick(3) == 0:
				before := x.knownNumbers()
				x.goBack(rapid.IntRange(0, len(x.records)).Draw(t, "kept"))
				x.checkNothingForgotten(t, before)
			}
			for _, e := range x.instances {
				e.follower.mu.Lock()
				e.follower.defaultMark(x.now)
				e.follower.mu.Unlock()
			}
			x.check(t)
		}
	})
}
