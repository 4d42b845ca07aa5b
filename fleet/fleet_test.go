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
	"github.com/cairnworks/cairnworks/decision/quarantine"
	"github.com/cairnworks/cairnworks/decision/split"
	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/follow"
	fleetv1 "github.com/cairnworks/cairnworks/gen/cairnworks/fleet/v1"
	"github.com/cairnworks/cairnworks/port"
)

func TestReportRoundTrip(t *testing.T) {
	r := &Report{
		Instance: "a", Incarnation: 3, Sequence: 4,
		Machine: Machine{DataCentre: "z", Millicores: 800}, Instances: 5, Leaving: true, Made: 6 * time.Microsecond, Whole: true, Answer: true,
		Poll: &Poll{Whole: true, Hubs: 33}, Shares: map[int]time.Duration{3: 34, 4: 35}, Bills: []Bill{{1, -6}}, To: 37, Short: []Hash{36},
		Hubs:   []Member{{Name: "b", Incarnation: 37, Address: "1.2.3.4:5", Machine: Machine{DataCentre: "y"}}},
		Limits: []UpstreamLimit{{Upstream: 60, Limited: true, PerSecond: 4.9, Age: 61 * time.Millisecond}, {Upstream: 62}},
		Ask:    &Ask{ID: 38, Organisation: 39, Tokens: 40, Upstream: true, PerSecond: 0.5, Priority: 2, Left: 63 * time.Millisecond, RepeatKey: 64}, Grant: &Grant{ID: 41, Granted: true, Unknown: true, Retry: 42 * time.Millisecond, Level: -43, Part: 0.5},
		Claim: &Claim{
			ID: 45, Service: 46, Prefill: true, Organisation: 47, Priority: 3, Tokens: 48, Waited: 49 * time.Millisecond, Objective: 50 * time.Millisecond,
			Left: 51 * time.Millisecond, Point: 52, Except: []Hash{53}, Avoid: []Hash{54, 55}, Full: []Hash{56}, Over: true, RepeatKey: 65, Repeatable: true,
		},
		Place: &Place{ID: 57, State: PlaceGiven, Upstream: 58, Retry: 59 * time.Millisecond}, Partial: true,
		Features: PlainPlaces, Loads: map[Hash]Load{2: {Requests: 7, Tokens: 8, Confirmed: []uint64{66}, Totals: Totals{Ended: 9, Failed: 2, Work: 10, Busy: 11 * time.Microsecond}, Slowness: 1.2, Ejected: true}}, Heard: Heard{9, 11 * time.Millisecond, 15 * time.Microsecond}, Crashes: []Crash{{12, 13, 14 * time.Millisecond, []quarantine.Attribute{15, 16}}},
		Answered: []Answered{{17, 18 * time.Millisecond}}, Quarantines: []Quarantine{{19, true, 3, 20 * time.Millisecond, 21 * time.Millisecond}},
		Works: map[Hash]Work{22: {
			Split:   split.Stats{Samples: 23, PromptCount: 24, MeanPrompt: 25, PrefillSpeed: 26, MeanDecodeWork: 0.5},
			Lengths: length.Sums{N: 27, X: 28, Y: 29, XX: 30, XY: 31, YY: 32},
		}},
		Known: map[port.Topic]uint64{port.TopicUpstreams: 44},
		Notes: []follow.Note{{
			Topic: port.TopicUpstreams, Mark: 16, Next: 17, Age: 18 * time.Millisecond, From: 19,
			Records: []port.KeyedRecord{{Key: "k", Value: []byte("v"), Offset: 20}, {Key: "dropped", Offset: 21}}, Large: true,
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

// Guards against control traffic that saturates the links of a large fleet: in a fleet of 295, an
// instance must send and receive less than 4 KB per second each.
func TestLargeFleetTrafficIsBounded(t *testing.T) {
	const second = 1.0
	polls := hub.Hubs * second / pollInterval.Seconds()
	size := func(r *Report) float64 {
		data, err := r.marshal()
		assert.NilError(t, err)
		return float64(len(data))
	}
	notes := []follow.Note{{Topic: port.TopicConfiguration, Mark: 3000, Next: 3000, Age: time.Second}, {Topic: port.TopicUpstreams, Mark: 3000, Next: 3000, Age: time.Second}}
	busy := Load{Requests: 1, Tokens: 12_000, Totals: Totals{Ended: 3000, Failed: 100, Work: 2_000_000, Busy: time.Hour}}
	poll := &Report{
		Instance: "edge-dubrovnik-e-17", Incarnation: 1 << 60, Sequence: 30_000, Fleet: fleetid.Identity{ID: 1 << 60}, Instances: 295, Made: time.Hour,
		Machine: Machine{DataCentre: "dubrovnik-e", Millicores: 192}, Heard: Heard{1 << 30, 500 * time.Millisecond, time.Hour}, To: 1 << 30, Poll: &Poll{Hubs: 1 << 60},
		Known: map[port.Topic]uint64{port.TopicUpstreams: 3000, port.TopicConfiguration: 3000},
		Notes: notes, Loads: map[Hash]Load{1 << 30: busy, 1 << 31: busy},
		Shares: map[int]time.Duration{1: time.Minute, 2: time.Minute, 3: time.Minute, 4: time.Minute},
	}
	answer := &Report{
		Instance: poll.Instance, Incarnation: poll.Incarnation, Sequence: poll.Sequence, Fleet: poll.Fleet, Instances: 295, Made: time.Hour,
		Heard: poll.Heard, Answer: true, Notes: notes, Loads: map[Hash]Load{},
	}
	short := size(answer)
	for i := range Hash(82) {
		answer.Loads[1<<31+i] = Load{Requests: 5, Tokens: 60_000, Slowness: 1.5}
	}
	// The speeds of idle upstreams, four in each of three pools.
	for i := range Hash(12) {
		answer.Loads[1<<30+i] = Load{Slowness: 2.4}
	}
	sent, received := polls*size(poll), polls*short+(size(answer)-short)/pollInterval.Seconds()
	t.Logf("%.0f B/s sent, %.0f received", sent, received)
	assert.Assert(t, sent < 4096 && received < 4096, "%.0f B/s sent, %.0f received", sent, received)
}

// fakeHandler records the reports, asks, claims and loads that it receives.
type fakeHandler struct {
	mu      sync.Mutex
	reports []*Report
	asks    int
	// onClaim, if set, answers claims; loads are those of partial reports.
	onClaim  func(c Claim, answer func(Place))
	claims   []Claim
	loads    []map[Hash]Load
	received chan struct{}
}

func (h *fakeHandler) Fill(_ time.Duration, r *Report) { r.Loads = map[Hash]Load{1: {Tokens: 1}} }

func (h *fakeHandler) FillFor(_ time.Duration, to Run, r *Report) { r.Bills = []Bill{{1, int64(to)}} }

func (h *fakeHandler) FillAnswer(_ time.Duration, _, r *Report) {
	r.Loads = map[Hash]Load{2: {Tokens: 2}}
}

func (h *fakeHandler) HandleAsk(_ time.Duration, _ Run, a Ask) Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asks++
	return Grant{ID: a.ID, Granted: true, Level: float64(a.Tokens)}
}

func (h *fakeHandler) HandleClaim(_ time.Duration, _ string, c Claim, answer func(Place)) {
	h.mu.Lock()
	h.claims = append(h.claims, c)
	h.mu.Unlock()
	if h.onClaim != nil {
		h.onClaim(c, answer)
	}
}

func (h *fakeHandler) ServeRecords(_ time.Duration, topic port.Topic, from uint64) (follow.Note, error) {
	return follow.Note{Topic: topic, From: from}, nil
}

func (h *fakeHandler) HandleLoads(_ time.Duration, _ string, loads map[Hash]Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loads = append(h.loads, loads)
}

func (h *fakeHandler) HandleReport(_ time.Duration, r *Report) {
	h.mu.Lock()
	h.reports = append(h.reports, r)
	h.mu.Unlock()
	select {
	case h.received <- struct{}{}:
	default:
	}
}

func newExchange(t *testing.T, name string) (*Exchange, *fakeHandler) {
	t.Helper()
	h := &fakeHandler{received: make(chan struct{}, 1)}
	x, err := Listen(Member{Name: name, Incarnation: 1, Address: "127.0.0.1:0"}, h, zap.NewNop())
	assert.NilError(t, err)
	x.self.Address = x.conn.LocalAddr().String()
	return x, h
}

// An instance that has just started reports to others that have not read its entry yet. They must
// record it immediately because its usage counts.
func TestReportsIntroduceSenders(t *testing.T) {
	a, _ := newExchange(t, "a")
	b, handler := newExchange(t, "b")
	introduced := make(chan string, 10)
	b.OnReport(func(m Member) { introduced <- m.Name + m.Address })
	a.SetMembers([]Member{{Name: "b", Address: b.self.Address}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = a.Run(ctx) }()
	go func() { _ = b.Run(ctx) }()
	<-handler.received
	assert.Equal(t, <-introduced, "a"+a.self.Address)
}

// A report may be overtaken by the next, or be queued in the socket while the machine is suspended.
// Its figures are then outdated, and its sender may be gone.
func TestOldReportsAreDropped(t *testing.T) {
	x, _ := newExchange(t, "a")
	defer x.conn.Close()
	now := boottime.Now()
	x.lastWake = now
	assert.Assert(t, x.accept(now, &Report{Instance: "b", Incarnation: 1, Sequence: 2}))
	assert.Assert(t, !x.accept(now, &Report{Instance: "b", Incarnation: 1, Sequence: 1}))
	assert.Assert(t, x.accept(now, &Report{Instance: "b", Incarnation: 2, Sequence: 1}))
	late := now + stallThreshold + time.Millisecond
	assert.Assert(t, !x.accept(late, &Report{Instance: "b", Incarnation: 2, Sequence: 2}), "the process stalled")
	x.lastWake = now - stallThreshold - time.Second
	x.checkStall()
	assert.Assert(t, !x.accept(x.lastWake+stallDropWindow/2, &Report{Instance: "b", Incarnation: 2, Sequence: 3}))
	assert.Assert(t, x.accept(x.lastWake+stallDropWindow, &Report{Instance: "b", Incarnation: 2, Sequence: 4}))
}

// A report may be delayed for seconds, in the sender's machine or in transit, and then arrive as if it
// were new. Its as-of times are older by that delay; without this check, a withdrawn key would still be
// accepted.
func TestEarliestReportTime(t *testing.T) {
	x, _ := newExchange(t, "a")
	defer x.conn.Close()
	now := 10 * time.Second
	heard := func(h Heard) time.Duration { return x.earliestMade(now, &Report{Instance: "b", Heard: h}) }
	assert.Equal(t, heard(Heard{RunOf("a", 1), 300 * time.Millisecond, 5 * time.Second}), 5300*time.Millisecond)
	assert.Equal(t, heard(Heard{RunOf("a", 2), 0, 5 * time.Second}), time.Duration(0), "another run of this instance")
	assert.Equal(t, heard(Heard{RunOf("a", 1), 0, now + 1}), time.Duration(0), "a report from the future")
	assert.Equal(t, heard(Heard{RunOf("a", 1), time.Second, now - 1}), time.Duration(0), "an impossible age")
	assert.Equal(t, heard(Heard{RunOf("c", 1), 0, 5 * time.Second}), time.Duration(0))
	assert.Equal(t, heard(Heard{}), time.Duration(0))
}

// The age and the creation time of the last report must be consistent with each other.
func TestHeardHasAgeAndTime(t *testing.T) {
	x, _ := newExchange(t, "a")
	defer x.conn.Close()
	x.lastWake = time.Second
	assert.Assert(t, x.accept(time.Second, &Report{Instance: "b", Incarnation: 1, Sequence: 9, Made: 42}))
	assert.Equal(t, x.lastHeard(1200*time.Millisecond, RunOf("b", 1)), Heard{RunOf("b", 1), 200 * time.Millisecond, 42})
	assert.Equal(t, x.lastHeard(1200*time.Millisecond, RunOf("c", 1)), Heard{})
}

func record(name string, incarnation, renewals uint64) port.KeyedRecord {
	value, _ := json.Marshal(Member{Incarnation: incarnation, Address: "1.2.3.4:5", Renewals: renewals})
	return port.KeyedRecord{Key: name, Value: value}
}

// During a store outage of a minute no instance can renew its entry. If all entries expired when the
// store returns, each instance would conclude that it is alone.
func TestEntriesSurviveStoreOutage(t *testing.T) {
	var last []Member
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { last = list })
	m.Replace([]port.KeyedRecord{record("a", 1, 1), record("b", 1, 1), record("c", 1, 1), {Key: "d", Value: []byte("{")}})
	m.CaughtUp(0)
	assert.Equal(t, len(last), 2)
	old := m.others["b"]
	old.lastChanged -= EntryTTL + time.Second
	m.others["b"] = old
	m.ReadFailed()
	m.CaughtUp(0)
	assert.Equal(t, len(last), 2)
	old.lastChanged = boottime.Now() - EntryTTL - time.Second
	m.others["b"] = old
	m.CaughtUp(0)
	assert.Equal(t, len(last), 1)
	m.Add(port.KeyedRecord{Key: "c"})
	m.CaughtUp(0)
	assert.Equal(t, len(last), 0)
}

func TestReportedRunReplacesOlderRun(t *testing.T) {
	var last []Member
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { last = list })
	m.Add(record("b", 1, 1))
	m.RecordReport(Member{Name: "b", Incarnation: 2, Address: "1.2.3.4:6"})
	assert.Equal(t, len(last), 1)
	assert.Equal(t, last[0].Incarnation, uint64(2))
	m.RecordReport(Member{Name: "a", Incarnation: 9, Address: "1.2.3.4:7"})
	assert.Equal(t, len(last), 1)
}

func TestListenRejectsBadAddress(t *testing.T) {
	_, err := Listen(Member{Address: "nowhere"}, nil, zap.NewNop())
	assert.Assert(t, err != nil)
	occupied, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer occupied.Close()
	_, err = Listen(Member{Address: occupied.LocalAddr().String()}, nil, zap.NewNop())
	assert.Assert(t, err != nil)
}

// A configuration of a few thousand bytes, which is highly repetitive, is sent to every instance.
// Uncompressed, it would occupy a small instance's link for half a second and delay quota updates.
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

// A forged report may contain a few kilobytes that decompress to gigabytes.
func TestCompressedRecordsAreBounded(t *testing.T) {
	packed, err := deflate(make([]byte, maxValueBytes+1))
	assert.NilError(t, err)
	_, err = unmarshalRecord(&fleetv1.Record{Key: "config", Value: packed, Deflated: true})
	assert.ErrorIs(t, err, errRecordTooLarge)
	_, err = unmarshalRecord(&fleetv1.Record{Key: "config", Value: packed[:len(packed)/2], Deflated: true})
	assert.Assert(t, err != nil, "cut off")
}
