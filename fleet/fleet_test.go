package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/hub"
	"github.com/cairnworks/cairnworks/decision/length"
	"github.com/cairnworks/cairnworks/decision/split"
	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/follow"
	fleetv1 "github.com/cairnworks/cairnworks/gen/cairnworks/fleet/v1"
	"github.com/cairnworks/cairnworks/port"
)

func TestReportSurvivesTheWire(t *testing.T) {
	r := &Report{
		Instance: "a", Incarnation: 3, Sequence: 4,
		Machine: Machine{DataCentre: "z", Millicores: 800}, Instances: 5, Leaving: true, Made: 6 * time.Microsecond, Whole: true, Answer: true,
		Poll: &Poll{Whole: true, Hubs: 33}, Shares: map[int]time.Duration{3: 34, 4: 35}, Bills: []Bill{{1, -6}}, Short: []Hash{36},
		Hubs: []Member{{Name: "b", Incarnation: 37, Address: "1.2.3.4:5", Machine: Machine{DataCentre: "y"}}},
		Ask:  &Ask{ID: 38, Organisation: 39, Tokens: 40}, Grant: &Grant{ID: 41, Granted: true, Unknown: true, Retry: 42 * time.Millisecond, Level: -43, Part: 0.5},
		Claim: &Claim{
			ID: 45, Service: 46, Prefill: true, Organisation: 47, Priority: 3, Tokens: 48, Waited: 49 * time.Millisecond, Objective: 50 * time.Millisecond,
			Left: 51 * time.Millisecond, Point: 52, Except: []Hash{53}, Avoid: []Hash{54, 55}, Full: []Hash{56}, Over: true,
		},
		Place: &Place{ID: 57, State: PlaceGiven, Upstream: 58, Retry: 59 * time.Millisecond}, Partial: true,
		Loads: map[Hash]Load{2: {Requests: 7, Tokens: 8}}, Heard: Heard{9, 11 * time.Millisecond, 15 * time.Microsecond}, Crashes: []Crash{{12, 13, 14 * time.Millisecond}},
		Works: map[Hash]Work{22: {
			Split:   split.Stats{Samples: 23, PromptCount: 24, MeanPrompt: 25, PrefillSpeed: 26, MeanDecodeWork: 0.5},
			Lengths: length.Sums{N: 27, X: 28, Y: 29, XX: 30, XY: 31, YY: 32},
		}},
		Known: map[port.Topic]uint64{port.TopicUpstreams: 44},
		Notes: []follow.Note{{
			Topic: port.TopicUpstreams, Mark: 16, Next: 17, Age: 18 * time.Millisecond, From: 19,
			Records: []port.KeyedRecord{{Key: "k", Value: []byte("v"), Offset: 20}, {Key: "dropped", Offset: 21}},
		}},
	}
	data, err := r.marshal()
	assert.NilError(t, err)
	got, err := unmarshal(data)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(got, r), "%+v", got)
	_, err = unmarshal([]byte("not a report"))
	assert.Assert(t, err != nil)
}

// Guards against control traffic that fills the links of a large fleet: what an instance of 295
// sends and takes in a second stays under 4 KB.
func TestTrafficOfALargeFleetIsSmall(t *testing.T) {
	const second = 1.0
	polls := hub.Hubs * second / pollInterval.Seconds()
	size := func(r *Report) float64 {
		data, err := r.marshal()
		assert.NilError(t, err)
		return float64(len(data))
	}
	notes := []follow.Note{{Topic: port.TopicConfiguration, Mark: 3000, Next: 3000, Age: time.Second}, {Topic: port.TopicUpstreams, Mark: 3000, Next: 3000, Age: time.Second}}
	poll := &Report{
		Instance: "edge-dubrovnik-e-17", Incarnation: 1 << 60, Sequence: 30_000, Fleet: fleetid.Identity{ID: 1 << 60}, Instances: 295, Made: time.Hour,
		Machine: Machine{DataCentre: "dubrovnik-e", Millicores: 192}, Heard: Heard{1 << 30, 500 * time.Millisecond, time.Hour}, Poll: &Poll{Hubs: 1 << 60},
		Known: map[port.Topic]uint64{port.TopicUpstreams: 3000, port.TopicConfiguration: 3000},
		Notes: notes, Loads: map[Hash]Load{1 << 30: {1, 12_000}, 1 << 31: {1, 12_000}},
		Shares: map[int]time.Duration{1: time.Minute, 2: time.Minute, 3: time.Minute, 4: time.Minute},
	}
	answer := &Report{
		Instance: poll.Instance, Incarnation: poll.Incarnation, Sequence: poll.Sequence, Fleet: poll.Fleet, Instances: 295, Made: time.Hour,
		Heard: poll.Heard, Answer: true, Notes: notes, Loads: map[Hash]Load{},
	}
	short := size(answer)
	for i := range Hash(82) {
		answer.Loads[1<<31+i] = Load{5, 60_000}
	}
	sent, taken := polls*size(poll), polls*short+(size(answer)-short)/pollInterval.Seconds()
	t.Logf("%.0f B/s sent, %.0f taken", sent, taken)
	assert.Assert(t, sent < 4096 && taken < 4096, "%.0f B/s sent, %.0f taken", sent, taken)
}

// taker notes the reports that it takes.
type taker struct {
	mu    sync.Mutex
	taken []*Report
	asked int
	// claim answers claims, if set; claims are those taken, loads the partial reports.
	claim  func(c Claim, answer func(Place))
	claims []Claim
	loads  []map[Hash]Load
	got    chan struct{}
}

func (k *taker) Fill(_ time.Duration, r *Report) { r.Loads = map[Hash]Load{1: {Tokens: 1}} }

func (k *taker) FillFor(_ time.Duration, to Run, r *Report) { r.Bills = []Bill{{1, int64(to)}} }

func (k *taker) Answer(_ time.Duration, _, r *Report) { r.Loads = map[Hash]Load{2: {Tokens: 2}} }

func (k *taker) Asked(_ time.Duration, _ Run, a Ask) Grant {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked++
	return Grant{ID: a.ID, Granted: true, Level: float64(a.Tokens)}
}

func (k *taker) Claimed(_ time.Duration, _ string, c Claim, answer func(Place)) {
	k.mu.Lock()
	k.claims = append(k.claims, c)
	k.mu.Unlock()
	if k.claim != nil {
		k.claim(c, answer)
	}
}

func (k *taker) TakeLoads(_ time.Duration, _ string, loads map[Hash]Load) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loads = append(k.loads, loads)
}

func (k *taker) Take(_ time.Duration, r *Report) {
	k.mu.Lock()
	k.taken = append(k.taken, r)
	k.mu.Unlock()
	select {
	case k.got <- struct{}{}:
	default:
	}
}

func newExchange(t *testing.T, name string) (*Exchange, *taker) {
	t.Helper()
	k := &taker{got: make(chan struct{}, 1)}
	x, err := Listen(Member{Name: name, Incarnation: 1, Address: "127.0.0.1:0"}, k, zap.NewNop())
	assert.NilError(t, err)
	x.self.Address = x.conn.LocalAddr().String()
	return x, k
}

// An instance that has just started reports to others that have not read its entry
// yet. They must know it at once: what it spends counts.
func TestInstancesLearnOfOneAnotherByReports(t *testing.T) {
	a, _ := newExchange(t, "a")
	b, taken := newExchange(t, "b")
	introduced := make(chan string, 10)
	b.OnReport(func(m Member) { introduced <- m.Name + m.Address })
	a.SetMembers([]Member{{Name: "b", Address: b.self.Address}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = a.Run(ctx) }()
	go func() { _ = b.Run(ctx) }()
	<-taken.got
	assert.Equal(t, <-introduced, "a"+a.self.Address)
}

// A report is overtaken by the next, or waits in the socket while the machine is
// suspended. Its figures are old, and its sender may be gone.
func TestOldReportsAreDropped(t *testing.T) {
	x, _ := newExchange(t, "a")
	defer x.conn.Close()
	now := boottime.Now()
	x.awake = now
	assert.Assert(t, x.accept(now, &Report{Instance: "b", Incarnation: 1, Sequence: 2}))
	assert.Assert(t, !x.accept(now, &Report{Instance: "b", Incarnation: 1, Sequence: 1}))
	assert.Assert(t, x.accept(now, &Report{Instance: "b", Incarnation: 2, Sequence: 1}))
	late := now + stallGap + time.Millisecond
	assert.Assert(t, !x.accept(late, &Report{Instance: "b", Incarnation: 2, Sequence: 2}), "the process stood still")
	x.awake = now - stallGap - time.Second
	x.wake()
	assert.Assert(t, !x.accept(x.awake+stallDrop/2, &Report{Instance: "b", Incarnation: 2, Sequence: 3}))
	assert.Assert(t, x.accept(x.awake+stallDrop, &Report{Instance: "b", Incarnation: 2, Sequence: 4}))
}

// A report waits for seconds, in the sender's machine or on its way, and then arrives as
// if it were new. What it proves of the configuration is older by the wait; a withdrawn
// key would be served on it.
func TestReportsAreDatedByWhatTheirSenderHeard(t *testing.T) {
	x, _ := newExchange(t, "a")
	defer x.conn.Close()
	now := 10 * time.Second
	heard := func(h Heard) time.Duration { return x.earliest(now, &Report{Instance: "b", Heard: h}) }
	assert.Equal(t, heard(Heard{RunOf("a", 1), 300 * time.Millisecond, 5 * time.Second}), 5300*time.Millisecond)
	assert.Equal(t, heard(Heard{RunOf("a", 2), 0, 5 * time.Second}), time.Duration(0), "another run of this instance")
	assert.Equal(t, heard(Heard{RunOf("a", 1), 0, now + 1}), time.Duration(0), "a report that was never made")
	assert.Equal(t, heard(Heard{RunOf("a", 1), time.Second, now - 1}), time.Duration(0), "an age that cannot be")
	assert.Equal(t, heard(Heard{RunOf("c", 1), 0, 5 * time.Second}), time.Duration(0))
	assert.Equal(t, heard(Heard{}), time.Duration(0))
}

// A report's age and when it was made are told together, from one moment.
func TestHeardReportsAreDated(t *testing.T) {
	x, _ := newExchange(t, "a")
	defer x.conn.Close()
	x.awake = time.Second
	assert.Assert(t, x.accept(time.Second, &Report{Instance: "b", Incarnation: 1, Sequence: 9, Made: 42}))
	assert.Equal(t, x.heardOf(1200*time.Millisecond, RunOf("b", 1)), Heard{RunOf("b", 1), 200 * time.Millisecond, 42})
	assert.Equal(t, x.heardOf(1200*time.Millisecond, RunOf("c", 1)), Heard{})
}

func record(name string, incarnation, beat uint64) port.KeyedRecord {
	value, _ := json.Marshal(Member{Incarnation: incarnation, Address: "1.2.3.4:5", Beat: beat})
	return port.KeyedRecord{Key: name, Value: value}
}

// The store was away for a minute and nobody could renew an entry. If all entries
// lapsed at its return, each instance would believe to be alone.
func TestEntriesOutlastAnOutage(t *testing.T) {
	var last []Member
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { last = list })
	m.Replace([]port.KeyedRecord{record("a", 1, 1), record("b", 1, 1), record("c", 1, 1), {Key: "d", Value: []byte("{")}})
	m.CaughtUp(0)
	assert.Equal(t, len(last), 2)
	old := m.others["b"]
	old.changed -= Lapse + time.Second
	m.others["b"] = old
	m.ReadFailed()
	m.CaughtUp(0)
	assert.Equal(t, len(last), 2)
	old.changed = boottime.Now() - Lapse - time.Second
	m.others["b"] = old
	m.CaughtUp(0)
	assert.Equal(t, len(last), 1)
	m.Add(port.KeyedRecord{Key: "c"})
	m.CaughtUp(0)
	assert.Equal(t, len(last), 0)
}

func TestIntroducedRunReplacesTheOlder(t *testing.T) {
	var last []Member
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { last = list })
	m.Add(record("b", 1, 1))
	m.Introduce(Member{Name: "b", Incarnation: 2, Address: "1.2.3.4:6"})
	assert.Equal(t, len(last), 1)
	assert.Equal(t, last[0].Incarnation, uint64(2))
	m.Introduce(Member{Name: "a", Incarnation: 9, Address: "1.2.3.4:7"})
	assert.Equal(t, len(last), 1)
}

func TestBadAddressIsRefused(t *testing.T) {
	_, err := Listen(Member{Address: "nowhere"}, nil, zap.NewNop())
	assert.Assert(t, err != nil)
	taken, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	_, err = Listen(Member{Address: taken.LocalAddr().String()}, nil, zap.NewNop())
	assert.Assert(t, err != nil)
}

// A configuration of some thousand bytes is told to every instance, most of it words that
// come again and again. Sent as it is, it holds up a small instance's link for half a second,
// and what is known of quotas is late meanwhile.
func TestLargeRecordsAreCompressed(t *testing.T) {
	value := bytes.Repeat([]byte(`{"name":"route","host":"a.example","service":"pisar"},`), 200)
	in := &Report{Instance: "a", Notes: []follow.Note{{Topic: port.TopicConfiguration, Mark: 2, Next: 2, From: 1,
		Records: []port.KeyedRecord{{Key: "config", Value: value, Offset: 1}, {Key: "gone", Offset: 2}}}}}
	data, err := in.marshal()
	assert.NilError(t, err)
	assert.Assert(t, len(data) < len(value)/5, "%d bytes of %d", len(data), len(value))
	out, err := unmarshal(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, out.Notes, in.Notes)
}

// A forged report holds a few kilobytes that would grow to gigabytes.
func TestCompressedRecordsAreBounded(t *testing.T) {
	packed, err := deflate(make([]byte, maxValue+1))
	assert.NilError(t, err)
	_, err = unmarshalRecord(&fleetv1.Record{Key: "config", Value: packed, Deflated: true})
	assert.ErrorIs(t, err, errLargeRecord)
	_, err = unmarshalRecord(&fleetv1.Record{Key: "config", Value: packed[:len(packed)/2], Deflated: true})
	assert.Assert(t, err != nil, "cut off")
}
