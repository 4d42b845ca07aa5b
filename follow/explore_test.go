package follow

import (
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

// modelInstance is one instance of the model. It keeps the offset of the newest record of each
// key and the time as of which it claims to be caught up.
type modelInstance struct {
	follower *Follower
	known    map[string]uint64
	asOf     time.Duration
}

func (e *modelInstance) Replace(records []port.KeyedRecord) bool {
	e.known = make(map[string]uint64)
	for _, r := range records {
		e.Add(r)
	}
	return true
}

func (e *modelInstance) Add(r port.KeyedRecord) bool {
	if r.Key == "heartbeat" {
		return false
	}
	e.known[r.Key] = max(e.known[r.Key], r.Offset)
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
	now       time.Duration
	records   []port.KeyedRecord
	written   []time.Duration
	instances []*modelInstance
	reads     []pendingRead
	notes     []pendingNote
	// value is the value of further records.
	value []byte
}

func (x *model) restart(i int) {
	e := &modelInstance{known: make(map[string]uint64)}
	e.follower = NewFollower(port.TopicConfiguration, testTiming, e)
	e.follower.Rank = func() int { return i }
	e.follower.Now = func() time.Duration { return x.now }
	e.follower.Logger = zap.NewNop()
	x.instances[i] = e
}

func (x *model) write(key string) {
	x.records = append(x.records, port.KeyedRecord{Key: key, Value: x.value, Offset: uint64(len(x.records))})
	x.written = append(x.written, x.now)
}

// read produces the store's response to one instance; finish delivers it later.
func (x *model) read(i int, snapshot bool) {
	e := x.instances[i]
	e.follower.mu.Lock()
	next, known := e.follower.next, e.follower.known
	e.follower.mu.Unlock()
	p := pendingRead{instance: e, next: uint64(len(x.records)), started: x.now, snapshot: snapshot || !known}
	if p.snapshot {
		newest := make(map[string]port.KeyedRecord)
		for _, r := range x.records {
			newest[r.Key] = r
		}
		for _, r := range newest {
			p.records = append(p.records, r)
		}
	} else if int(next) <= len(x.records) {
		p.records = x.records[next:]
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

// check fails if an instance claims to be caught up as of a time but lacks a record written
// before it.
func (x *model) check(t *rapid.T) {
	newest := make(map[string]uint64)
	for i, e := range x.instances {
		clear(newest)
		for offset, r := range x.records {
			if x.written[offset] < e.asOf && r.Key != "heartbeat" {
				newest[r.Key] = uint64(offset)
			}
		}
		for key, offset := range newest {
			assert.Assert(t, e.known[key] >= offset, "at %v instance %d is caught up as of %v but knows %s only up to record %d, not %d", x.now, i, e.asOf, key, e.known[key], offset)
		}
	}
}

// Records of any size are written and read by any instance at any time, and relayed in notes or
// fetched from other instances. Notes and fetched records are lost, repeated, reordered or
// delayed; instances restart and read a snapshot. Whatever the
// order, an instance that is caught up as of a time must know everything written before that
// time. Otherwise it would accept a withdrawn key, or use an engine that has left, while it
// believes itself up to date.
func TestCaughtUpImpliesAllRecordsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		x := &model{now: time.Second, instances: make([]*modelInstance, instances)}
		for i := range instances {
			x.restart(i)
		}
		x.write("a")
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		for range 120 {
			x.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			switch step := rapid.IntRange(0, 13).Draw(t, "step"); {
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
