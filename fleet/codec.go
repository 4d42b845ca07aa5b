package fleet

import (
	"errors"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cairnworks/cairnworks/decision/length"
	"github.com/cairnworks/cairnworks/decision/split"
	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/follow"
	fleetv1 "github.com/cairnworks/cairnworks/gen/cairnworks/fleet/v1"
	"github.com/cairnworks/cairnworks/port"
)

// partUnit is the resolution of Grant.Part in the wire format.
const partUnit = 1000

func (r *Report) marshal() ([]byte, error) {
	m := &fleetv1.Report{
		Instance: r.Instance, Incarnation: r.Incarnation, Sequence: r.Sequence, FleetId: uint64(r.Fleet.ID), FleetName: r.Fleet.Name,
		Machine: marshalMachine(r.Machine), Instances: uint32(max(r.Instances, 0)), Leaving: r.Leaving, MadeUs: uint64(r.Made.Microseconds()),
		Heard: marshalHeard(r.Heard), Answer: r.Answer, Whole: r.Whole, Shares: marshalShares(r.Shares),
		Claim: marshalClaim(r.Claim), Place: marshalPlace(r.Place), Partial: r.Partial, Features: uint32(r.Features), To: uint32(r.To),
	}
	if r.Poll != nil {
		m.Poll = &fleetv1.Poll{Whole: r.Poll.Whole, Hubs: r.Poll.Hubs}
	}
	for upstream, l := range r.Loads {
		m.Loads = append(m.Loads, marshalLoad(upstream, l))
		if r.Answer {
			m.SlownessTenths = append(m.SlownessTenths, uint32(math.Round(max(l.Slowness, 0)*slownessUnit)))
		}
		if l.Ejected {
			m.Ejected = append(m.Ejected, uint32(upstream))
		}
	}
	r.marshalCrashes(m)
	for _, n := range r.Notes {
		m.Notes = append(m.Notes, marshalNote(n, marshalRecord))
	}
	for topic, offset := range r.Known {
		if m.Known == nil {
			m.Known, m.KnownEras = make(map[uint32]uint64, len(r.Known)), make(map[uint32]uint32)
		}
		m.Known[uint32(topic)] = port.OffsetOf(offset)
		if era := port.EraOf(offset); era > 0 {
			m.KnownEras[uint32(topic)] = uint32(era)
		}
	}
	for service, v := range r.Works {
		m.Works = append(m.Works, marshalWork(service, v))
	}
	for _, b := range r.Bills {
		m.Bills = append(m.Bills, &fleetv1.Bill{Organisation: uint64(b.Organisation), Tokens: b.Tokens})
	}
	for _, organisation := range r.Short {
		m.Short = append(m.Short, uint64(organisation))
	}
	for _, l := range r.Limits {
		m.Limits = append(m.Limits, marshalLimit(l))
	}
	for _, upstream := range r.LeavingUpstreams {
		m.LeavingUpstreams = append(m.LeavingUpstreams, uint64(upstream))
	}
	for _, h := range r.Hubs {
		m.Hubs = append(m.Hubs, &fleetv1.Peer{Instance: h.Name, Incarnation: h.Incarnation, Address: h.Address, Machine: marshalMachine(h.Machine)})
	}
	if a := r.Ask; a != nil {
		m.Ask = &fleetv1.Ask{Id: a.ID, Organisation: uint64(a.Organisation), Tokens: a.Tokens, Priority: uint32(max(a.Priority, 0)), LeftMs: milliseconds(a.Left), RepeatKey: a.RepeatKey}
		if a.Upstream {
			m.Ask.PerSecond = &a.PerSecond
		}
	}
	if g := r.Grant; g != nil {
		m.Grant = &fleetv1.Grant{
			Id: g.ID, Granted: g.Granted, Unknown: g.Unknown, RetryMs: uint32(g.Retry.Milliseconds()),
			Level: int64(g.Level), Part: uint32(g.Part * partUnit),
		}
	}
	return proto.Marshal(m)
}

// slownessUnit is the resolution of Load.Slowness in the wire format.
const slownessUnit = 10

func marshalLoad(upstream Hash, l Load) *fleetv1.Load {
	return &fleetv1.Load{
		Upstream: uint32(upstream), Requests: uint32(max(l.Requests, 0)), Tokens: uint32(max(l.Tokens, 0)),
		Confirmed: l.Confirmed, Ended: l.Totals.Ended, Failed: l.Totals.Failed, Work: l.Totals.Work, BusyUs: uint64(max(l.Totals.Busy, 0).Microseconds()),
	}
}

func unmarshalLoad(m *fleetv1.Load) Load {
	return Load{
		Requests: int(m.Requests), Tokens: int(m.Tokens), Confirmed: m.Confirmed,
		Totals: Totals{Ended: m.Ended, Failed: min(m.Failed, m.Ended), Work: m.Work, Busy: time.Duration(min(m.BusyUs, maxBusyUs)) * time.Microsecond},
	}
}

// maxBusyUs is the longest time, in microseconds, that fits a time.Duration.
const maxBusyUs = uint64(math.MaxInt64 / int64(time.Microsecond))

func marshalMachine(m Machine) *fleetv1.Machine {
	if m == (Machine{}) {
		return nil
	}
	return &fleetv1.Machine{DataCentre: m.DataCentre, Millicores: uint32(max(m.Millicores, 0))}
}

func marshalHeard(h Heard) *fleetv1.Heard {
	if h.Run == 0 {
		return nil
	}
	return &fleetv1.Heard{Run: uint32(h.Run), AgeMs: uint32(h.Age.Milliseconds()), MadeUs: uint64(h.Made.Microseconds())}
}

func marshalShares(shares map[int]time.Duration) *fleetv1.Shares {
	if len(shares) == 0 {
		return nil
	}
	m := &fleetv1.Shares{}
	for shard, total := range shares {
		m.Shards = append(m.Shards, uint32(shard))
		m.Times = append(m.Times, uint64(total))
	}
	return m
}

// appendTo appends the receiver-specific part of a report to the encoded common part. Concatenated
// protobuf messages decode as one, so that the common part is encoded once for all receivers.
func (r *Report) appendTo(common []byte) ([]byte, error) {
	one, err := r.marshal()
	if err != nil {
		return nil, err
	}
	return append(common[:len(common):len(common)], one...), nil
}

func unmarshal(data []byte) (*Report, error) {
	var m fleetv1.Report
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, err
	}
	r := &Report{
		Instance: m.Instance, Incarnation: m.Incarnation, Sequence: m.Sequence, Fleet: fleetid.Identity{ID: fleetid.ID(m.FleetId), Name: m.FleetName},
		Machine: unmarshalMachine(m.Machine), Instances: int(m.Instances), Leaving: m.Leaving, Made: time.Duration(m.MadeUs) * time.Microsecond,
		Answer: m.Answer, Whole: m.Whole, Shares: unmarshalShares(m.Shares), Claim: unmarshalClaim(m.Claim), Place: unmarshalPlace(m.Place), Partial: m.Partial, Features: Features(m.Features), To: Run(m.To),
		Loads: make(map[Hash]Load, len(m.Loads)), Works: make(map[Hash]Work, len(m.Works)),
	}
	if h := m.Heard; h != nil {
		r.Heard = Heard{Run(h.Run), time.Duration(h.AgeMs) * time.Millisecond, time.Duration(h.MadeUs) * time.Microsecond}
	}
	if m.Poll != nil {
		r.Poll = &Poll{Whole: m.Poll.Whole, Hubs: m.Poll.Hubs}
	}
	for n, l := range m.Loads {
		load := unmarshalLoad(l)
		load.Ejected = slices.Contains(m.Ejected, l.Upstream)
		if n < len(m.SlownessTenths) {
			load.Slowness = float64(m.SlownessTenths[n]) / slownessUnit
		}
		r.Loads[Hash(l.Upstream)] = load
	}
	r.unmarshalCrashes(&m)
	for _, n := range m.Notes {
		note, err := unmarshalNote(n)
		if err != nil {
			return nil, err
		}
		r.Notes = append(r.Notes, note)
	}
	for topic, offset := range m.Known {
		if r.Known == nil {
			r.Known = make(map[port.Topic]uint64, len(m.Known))
		}
		position, err := unmarshalPosition(m.KnownEras[topic], offset)
		if err != nil {
			return nil, err
		}
		r.Known[port.Topic(topic)] = position
	}
	for _, w := range m.Works {
		r.Works[Hash(w.Service)] = unmarshalWork(w)
	}
	r.unmarshalQuotas(&m)
	for _, l := range m.Limits {
		r.Limits = append(r.Limits, unmarshalLimit(l))
	}
	for _, upstream := range m.LeavingUpstreams {
		r.LeavingUpstreams = append(r.LeavingUpstreams, Hash(upstream))
	}
	for _, h := range m.Hubs {
		r.Hubs = append(r.Hubs, Member{Name: h.Instance, Incarnation: h.Incarnation, Address: h.Address, Machine: unmarshalMachine(h.Machine)})
	}
	return r, nil
}

// unmarshalQuotas decodes the parts of a datagram that concern organisations' buckets.
func (r *Report) unmarshalQuotas(m *fleetv1.Report) {
	for _, b := range m.Bills {
		r.Bills = append(r.Bills, Bill{Hash(b.Organisation), b.Tokens})
	}
	for _, organisation := range m.Short {
		r.Short = append(r.Short, Hash(organisation))
	}
	if a := m.Ask; a != nil {
		r.Ask = &Ask{
			ID: a.Id, Organisation: Hash(a.Organisation), Tokens: a.Tokens, Upstream: a.PerSecond != nil, PerSecond: finiteRate(a.GetPerSecond()),
			Priority: int(a.Priority), Left: time.Duration(a.LeftMs) * time.Millisecond, RepeatKey: a.RepeatKey,
		}
	}
	if g := m.Grant; g != nil {
		r.Grant = &Grant{
			ID: g.Id, Granted: g.Granted, Unknown: g.Unknown, Retry: time.Duration(g.RetryMs) * time.Millisecond,
			Level: float64(g.Level), Part: float64(g.Part) / partUnit,
		}
	}
}

func unmarshalMachine(m *fleetv1.Machine) Machine {
	return Machine{DataCentre: m.GetDataCentre(), Millicores: int(m.GetMillicores())}
}

// unmarshalShares decodes two parallel lists. Surplus elements of the longer one are ignored.
func unmarshalShares(m *fleetv1.Shares) map[int]time.Duration {
	n := min(len(m.GetShards()), len(m.GetTimes()))
	if n == 0 {
		return nil
	}
	shares := make(map[int]time.Duration, n)
	for i := range n {
		shares[int(m.Shards[i])] = time.Duration(m.Times[i])
	}
	return shares
}

func marshalLimit(l UpstreamLimit) *fleetv1.UpstreamLimit {
	m := &fleetv1.UpstreamLimit{Upstream: uint64(l.Upstream), AgeMs: milliseconds(l.Age + time.Millisecond - 1)}
	if l.Limited {
		m.PerSecond = &l.PerSecond
	}
	return m
}

func unmarshalLimit(m *fleetv1.UpstreamLimit) UpstreamLimit {
	return UpstreamLimit{
		Upstream: Hash(m.Upstream), Limited: m.PerSecond != nil, PerSecond: finiteRate(m.GetPerSecond()), Age: time.Duration(m.AgeMs) * time.Millisecond,
	}
}

// finiteRate returns a received rate, or 0 if it is not a valid one.
func finiteRate(perSecond float64) float64 {
	if perSecond >= 0 && perSecond <= math.MaxFloat32 {
		return perSecond
	}
	return 0
}

func marshalWork(service Hash, w Work) *fleetv1.Work {
	v, l := w.Split, w.Lengths
	return &fleetv1.Work{
		Service: uint64(service), Samples: uint32(v.Samples), PromptTokens: uint32(v.MeanPrompt), DecodeUs: uint64(v.MeanDecodeWork * 1e6),
		Prompts: uint32(v.PromptCount), TokensPerS: uint32(v.PrefillSpeed), Lengths: []float64{l.N, l.X, l.Y, l.XX, l.XY, l.YY},
	}
}

func unmarshalWork(m *fleetv1.Work) Work {
	w := Work{Split: split.Stats{
		Samples: float64(m.Samples), MeanPrompt: float64(m.PromptTokens), MeanDecodeWork: float64(m.DecodeUs) / 1e6,
		PromptCount: float64(m.Prompts), PrefillSpeed: float64(m.TokensPerS),
	}}
	if l := m.Lengths; len(l) == 6 {
		w.Lengths = length.Sums{N: l[0], X: l[1], Y: l[2], XX: l[3], XY: l[4], YY: l[5]}
	}
	return w
}

func marshalNote(n follow.Note, marshal func(port.KeyedRecord) *fleetv1.Record) *fleetv1.Note {
	// Ages are rounded up so that the sender's as-of time never appears later than it is.
	age := uint32((n.Age + time.Millisecond - 1).Milliseconds())
	m := &fleetv1.Note{
		Topic: uint32(n.Topic), Era: uint32(port.EraOf(n.Next)), Mark: port.OffsetOf(n.Mark), Next: port.OffsetOf(n.Next), AgeMs: age,
		From: port.OffsetOf(n.From), Large: n.Large, CarriedDigest: n.CarriedDigest,
	}
	for _, record := range n.Records {
		encoded := marshal(record)
		m.Records = append(m.Records, &fleetv1.Record{Key: encoded.Key, Value: encoded.Value, Offset: port.OffsetOf(record.Offset), Deflated: encoded.Deflated})
	}
	for _, record := range n.Carried {
		m.Carried = append(m.Carried, &fleetv1.CarriedRecord{Record: marshal(record.KeyedRecord), NewerFrom: record.NewerFrom})
	}
	return m
}

// unmarshalPosition decodes a position of which the era and the offset are sent separately.
func unmarshalPosition(era uint32, offset uint64) (uint64, error) {
	if uint64(era) > port.MaxEra || offset > port.MaxOffset {
		return 0, errPosition
	}
	return port.Position(uint64(era), offset), nil
}

var (
	errPosition = errors.New("position out of range")
	errNoRecord = errors.New("carried record without a record")
)

func unmarshalNote(m *fleetv1.Note) (follow.Note, error) {
	n := follow.Note{
		Topic: port.Topic(m.GetTopic()), Age: time.Duration(m.GetAgeMs()) * time.Millisecond, Large: m.GetLarge(), CarriedDigest: m.GetCarriedDigest(),
	}
	for to, offset := range map[*uint64]uint64{&n.Mark: m.GetMark(), &n.Next: m.GetNext(), &n.From: m.GetFrom()} {
		position, err := unmarshalPosition(m.GetEra(), offset)
		if err != nil {
			return follow.Note{}, err
		}
		*to = position
	}
	for _, record := range m.GetRecords() {
		read, err := unmarshalRecord(record)
		if err != nil {
			return follow.Note{}, err
		}
		if read.Offset, err = unmarshalPosition(m.GetEra(), read.Offset); err != nil {
			return follow.Note{}, err
		}
		n.Records = append(n.Records, read)
	}
	for _, record := range m.GetCarried() {
		if record.GetRecord() == nil {
			return follow.Note{}, errNoRecord
		}
		read, err := unmarshalRecord(record.GetRecord())
		if err != nil {
			return follow.Note{}, err
		}
		n.Carried = append(n.Carried, follow.CarriedRecord{KeyedRecord: read, NewerFrom: record.GetNewerFrom()})
	}
	return n, nil
}
