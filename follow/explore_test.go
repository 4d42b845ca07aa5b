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

// explored is one instance of the exploration, which keeps the newest record of each key
// and what it holds for proven.
type explored struct {
	follower *Follower
	known    map[string]uint64
	proof    time.Duration
}

func (e *explored) Replace(records []port.KeyedRecord) bool {
	e.known = make(map[string]uint64)
	for _, r := range records {
		e.Add(r)
	}
	return true
}

func (e *explored) Add(r port.KeyedRecord) bool {
	if r.Key == "beat" {
		return false
	}
	e.known[r.Key] = max(e.known[r.Key], r.Offset)
	return true
}

func (e *explored) CaughtUp(begun time.Duration) { e.proof = max(e.proof, begun) }
func (e *explored) ReadFailed()                  {}

// pendingRead is a read whose answer has been made and is still on its way.
type pendingRead struct {
	reader  *explored
	records []port.KeyedRecord
	next    uint64
	begun   time.Duration
	whole   bool
}

type pendingNote struct {
	to       int
	note     Note
	earliest time.Duration
}

// exploration is a fleet and its topic, one step at a time.
type exploration struct {
	now       time.Duration
	records   []port.KeyedRecord
	written   []time.Duration
	instances []*explored
	reads     []pendingRead
	notes     []pendingNote
}

func (x *exploration) restart(i int) {
	e := &explored{known: make(map[string]uint64)}
	e.follower = NewFollower(port.TopicConfiguration, testPace, e)
	e.follower.Rank = func() int { return i }
	e.follower.Now = func() time.Duration { return x.now }
	e.follower.Logger = zap.NewNop()
	x.instances[i] = e
}

func (x *exploration) write(key string) {
	x.records = append(x.records, port.KeyedRecord{Key: key, Value: []byte(key), Offset: uint64(len(x.records))})
	x.written = append(x.written, x.now)
}

// read makes the store's answer to one instance, which arrives later.
func (x *exploration) read(i int, whole bool) {
	e := x.instances[i]
	e.follower.mu.Lock()
	next, known := e.follower.next, e.follower.known
	e.follower.mu.Unlock()
	p := pendingRead{reader: e, next: uint64(len(x.records)), begun: x.now, whole: whole || !known}
	if p.whole {
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

// finish lets a read's answer arrive, as Run does.
func (x *exploration) finish(p pendingRead) {
	if !p.whole {
		p.reader.follower.add(p.records, p.next, p.begun)
		return
	}
	f := p.reader.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takeWhole(p.records, p.next, p.begun)
}

// check finds an instance that holds for proven what it does not know.
func (x *exploration) check(t *rapid.T) {
	newest := make(map[string]uint64)
	for i, e := range x.instances {
		clear(newest)
		for offset, r := range x.records {
			if x.written[offset] < e.proof && r.Key != "beat" {
				newest[r.Key] = uint64(offset)
			}
		}
		for key, offset := range newest {
			assert.Assert(t, e.known[key] >= offset, "at %v instance %d has a proof from %v and knows %s only up to record %d, not %d", x.now, i, e.proof, key, e.known[key], offset)
		}
	}
}

// Records are written, read by any instance at any time, told on in notes that are lost,
// repeated, overtaken or held up; instances restart and read the topic whole. Whatever
// the order, an instance that holds a time for proven knows all that was written before
// it. Otherwise it would serve a withdrawn key, or an engine that has left, in good faith.
func TestNothingUnknownIsProven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		x := &exploration{now: time.Second, instances: make([]*explored, instances)}
		for i := range instances {
			x.restart(i)
		}
		x.write("a")
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		for range 120 {
			x.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			switch step := rapid.IntRange(0, 11).Draw(t, "step"); {
			case step == 0:
				x.write([]string{"a", "b"}[pick(2)])
			case step == 1:
				x.write("beat")
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
					// It is heard by the others at times of their own, or never.
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
			}
			for _, e := range x.instances {
				e.follower.mu.Lock()
				e.follower.mustMark(x.now)
				e.follower.mu.Unlock()
			}
			x.check(t)
		}
	})
}
