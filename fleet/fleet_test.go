package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/length"
	"github.com/cairnworks/cairnworks/decision/split"
	"github.com/cairnworks/cairnworks/follow"
	fleetv1 "github.com/cairnworks/cairnworks/gen/cairnworks/fleet/v1"
	"github.com/cairnworks/cairnworks/port"
)

func TestReportSurvivesTheWire(t *testing.T) {
	r := &Report{
		Instance: "a", Incarnation: 3, Sequence: 4,
		Spends: map[Hash]Spend{1: {Tokens: -6, Level: 0.5}}, Loads: map[Hash]Load{2: {Requests: 7, Tokens: 8}},
		Heard: []Heard{{9, 11 * time.Millisecond, 15}, {10, 0, 1}}, Crashes: []Crash{{12, 13, 14 * time.Millisecond}},
		Works: map[Hash]Work{22: {
			Split:   split.View{Samples: 23, Prompts: 24, Prompt: 25, Speed: 26, Decode: 0.5},
			Lengths: length.Sums{N: 27, X: 28, Y: 29, XX: 30, XY: 31, YY: 32},
		}},
		Notes: []follow.Note{{
			Topic: port.TopicUpstreams, Mark: 16, Next: 17, Age: 18 * time.Millisecond, From: 19,
			Records: []port.KeyedRecord{{Key: "k", Value: []byte("v"), Offset: 20}, {Key: "dropped", Offset: 21}},
		}},
	}
	data, err := r.marshal()
	assert.NilError(t, err)
	got, err := unmarshal(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, r)
	_, err = unmarshal([]byte("not a report"))
	assert.Assert(t, err != nil)
}

// Each report goes to every instance, and in a large fleet most of it is whom its sender
// hears. At 62 instances on links of 10 Mbit/s reports of 2.9 KB took 4 of them.
func TestReportOfALargeFleetIsSmall(t *testing.T) {
	r := &Report{Instance: "edge-split-a-17", Incarnation: 1 << 60, Sequence: 3000, Spends: map[Hash]Spend{}, Loads: map[Hash]Load{}}
	for i := range 62 {
		r.Heard = append(r.Heard, Heard{RunOf(fmt.Sprint("edge-", i), 1<<60), 700 * time.Millisecond, 3000})
	}
	data, err := r.marshal()
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 9*62, "%d bytes", len(data))
}

// taker notes the reports that it takes.
type taker struct {
	mu    sync.Mutex
	taken []*Report
	got   chan struct{}
}

func (k *taker) Fill(_ time.Duration, r *Report) { r.Spends = map[Hash]Spend{1: {Tokens: 1}} }

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
	b.OnReport(func(name string, _ uint64, address string) { introduced <- name + address })
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
	x.sequence = 7
	x.number(5*time.Second, &Report{Sequence: 7})
	heard := func(h Heard) time.Duration { return x.earliest(&Report{Instance: "b", Heard: []Heard{h}}) }
	assert.Equal(t, heard(Heard{RunOf("a", 1), 300 * time.Millisecond, 7}), 5300*time.Millisecond)
	assert.Equal(t, heard(Heard{RunOf("a", 2), 0, 7}), time.Duration(0), "another run of this instance")
	assert.Equal(t, heard(Heard{RunOf("a", 1), 0, 8}), time.Duration(0), "a report that was never made")
	assert.Equal(t, heard(Heard{RunOf("c", 1), 0, 7}), time.Duration(0))
	x.sequence = 7 + sentKept
	assert.Equal(t, heard(Heard{RunOf("a", 1), 0, 7}), time.Duration(0), "forgotten")
}

// A report's age and its number are told together, from one moment.
func TestHeardReportsAreNumbered(t *testing.T) {
	x, _ := newExchange(t, "a")
	defer x.conn.Close()
	x.awake = time.Second
	assert.Assert(t, x.accept(time.Second, &Report{Instance: "b", Incarnation: 1, Sequence: 9}))
	r := &Report{Sequence: 1, Heard: []Heard{{RunOf("b", 1), time.Hour, 0}, {RunOf("c", 1), time.Hour, 0}}}
	x.number(1200*time.Millisecond, r)
	assert.DeepEqual(t, r.Heard, []Heard{{RunOf("b", 1), 200 * time.Millisecond, 9}, {RunOf("c", 1), time.Hour, 0}})
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
	m.Proven(0)
	assert.Equal(t, len(last), 2)
	old := m.others["b"]
	old.changed -= Lapse + time.Second
	m.others["b"] = old
	m.Lost()
	m.Proven(0)
	assert.Equal(t, len(last), 2)
	old.changed = boottime.Now() - Lapse - time.Second
	m.others["b"] = old
	m.Proven(0)
	assert.Equal(t, len(last), 1)
	m.Add(port.KeyedRecord{Key: "c"})
	m.Proven(0)
	assert.Equal(t, len(last), 0)
}

func TestIntroducedRunReplacesTheOlder(t *testing.T) {
	var last []Member
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { last = list })
	m.Add(record("b", 1, 1))
	m.Introduce("b", 2, "1.2.3.4:6")
	assert.Equal(t, len(last), 1)
	assert.Equal(t, last[0].Incarnation, uint64(2))
	m.Introduce("a", 9, "1.2.3.4:7")
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

// In a fleet of eighty each report goes to everyone over links that bookings share. What has
// not changed is told by every fourth report only, and whom the sender hears to those alone
// whom it concerns.
func TestPartialReportsAreSmall(t *testing.T) {
	var o outline
	size := func(sequence uint64, partial bool) int {
		r := &Report{Instance: "edge-split-a-17", Incarnation: 1 << 60, Sequence: sequence, Partial: partial, Spends: map[Hash]Spend{}}
		for i := range 16 {
			r.Spends[HashOf(fmt.Sprint("organisation-", i))] = Spend{Tokens: 100_000, Level: 0.5}
		}
		o.trim(r)
		if !partial {
			for i := range 78 {
				r.Heard = append(r.Heard, Heard{RunOf(fmt.Sprint("edge-", i), 1<<60), 700 * time.Millisecond, 3000})
			}
		}
		data, err := r.marshal()
		assert.NilError(t, err)
		data, err = appendHeard(data, []Heard{{RunOf("b", 1), 700 * time.Millisecond, 3000}})
		assert.NilError(t, err)
		return len(data)
	}
	whole := size(4, false)
	partial := size(toldFor+5, true)
	t.Logf("%d bytes, partial %d", whole, partial)
	assert.Assert(t, partial < whole/8, "%d of %d bytes", partial, whole)
}

// Three of four reports are lost on a bad link. Had a spend been told once, those who missed
// it would let the organisation spend the same tokens again.
func TestSpendsAreToldUntilAllHaveHeard(t *testing.T) {
	var o outline
	told := 0
	for sequence := uint64(1); sequence <= 4*toldFor; sequence++ {
		r := &Report{Sequence: sequence, Partial: true, Spends: map[Hash]Spend{1: {Tokens: 5}, 2: {Tokens: 7}}}
		if sequence > toldFor {
			r.Spends[1] = Spend{Tokens: 6}
		}
		o.trim(r)
		if r.Spends[1].Tokens == 6 {
			told++
		}
	}
	assert.Equal(t, told, toldFor)
}

// An instance has just started, or has not heard another for a while, and the first report
// that it gets names only what was spent lately. Taken by itself it would say that nothing
// else was: what the other has left of its quotas would be counted as none, and what it
// spends next would not be counted at all.
func TestPartialReportNeedsAWholeOne(t *testing.T) {
	x, _ := newExchange(t, "a")
	report := func(sequence uint64, partial bool) *Report {
		return &Report{Instance: "b", Incarnation: 1, Sequence: sequence, Partial: partial}
	}
	now := boottime.Now()
	assert.Assert(t, !x.accept(now, report(1, true)), "nothing whole was heard")
	assert.Assert(t, x.accept(now, report(2, false)))
	x.awake = now + partialGap
	assert.Assert(t, x.accept(now+partialGap, report(3, true)))
	x.awake = now + 3*partialGap
	assert.Assert(t, !x.accept(now+3*partialGap, report(4, true)), "it was not heard for a while")
	assert.Assert(t, x.accept(now+3*partialGap, report(5, false)))
	assert.Assert(t, x.accept(now+3*partialGap, report(6, true)))
}

// All instances of a large fleet have lost power and start together. Each takes nothing from
// another before a report that is not partial: were the first reports partial, every instance
// would hold itself for cut off and refuse nearly all requests for some seconds more.
func TestNewInstancesAreGreetedWithWholeReports(t *testing.T) {
	x, _ := newExchange(t, "a")
	var members []Member
	for i := range 100 {
		members = append(members, Member{Name: fmt.Sprint("b", i), Incarnation: 1, Address: "127.0.0.1:9"})
	}
	partial := func() bool {
		x.sequence++
		return x.partial()
	}
	x.SetMembers(members)
	x.sequence = fullEvery
	for range greetings {
		assert.Assert(t, !partial())
	}
	assert.Assert(t, partial())
	x.SetMembers(members)
	x.sequence = fullEvery
	assert.Assert(t, partial(), "nobody has come")
	members[7].Incarnation = 2
	x.SetMembers(members)
	assert.Assert(t, !partial(), "an instance has started again")
}
