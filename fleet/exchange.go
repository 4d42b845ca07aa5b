package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/hub"
	"github.com/cairnworks/cairnworks/fleetid"
)

// Figures of the exchange of reports.
const (
	// reportInterval is the longest time between two reports in a small fleet.
	reportInterval = 200 * time.Millisecond
	// reportSpacing is the least time between two reports there; what changes within it is
	// told by one.
	reportSpacing = 15 * time.Millisecond
	// pollInterval is the time between two polls of one hub in a large fleet. The polls of
	// the hubs are spread over it.
	pollInterval = 500 * time.Millisecond
	// compareInterval is how often the instances of a small fleet compare whom they know.
	compareInterval = 2 * time.Second
	// expireInterval is how often instances that give no sign of life are looked for.
	expireInterval = time.Second
	// stallGap is the pause of the sending loop from which the process counts as
	// having stood still. Reports that waited in the socket meanwhile are as old as
	// the pause, though they arrive now.
	stallGap = 700 * time.Millisecond
	// stallDrop is how long reports are dropped after it; what waits in the socket is
	// read in far less.
	stallDrop = 30 * time.Millisecond
	// maxDatagram bounds a report in bytes.
	maxDatagram = 60 << 10
	// nameEvery is how many reports there are to one that tells the fleet's name. Instances
	// that know the fleet's id need none.
	nameEvery = 8
)

// Handler fills and takes reports.
type Handler interface {
	// Fill completes a report that is about to be sent, by what is for all receivers.
	Fill(now time.Duration, r *Report)
	// FillFor completes a report by what is for one receiver.
	FillFor(now time.Duration, to Run, r *Report)
	// FillAnswer completes the answer to a poll.
	FillAnswer(now time.Duration, poll, r *Report)
	// HandleReport takes in a report that has just arrived.
	HandleReport(now time.Duration, r *Report)
	// HandleAsk answers an ask.
	HandleAsk(now time.Duration, from Run, a Ask) Grant
	// HandleClaim takes in another instance's claim, and answers it now or later.
	HandleClaim(now time.Duration, instance string, c Claim, answer func(Place))
	// HandleLoads takes in what has just changed of what another instance has placed.
	HandleLoads(now time.Duration, instance string, loads map[Hash]Load)
}

// Exchange sends this instance's reports and takes those of others.
type Exchange struct {
	self    Member
	conn    *net.UDPConn
	handler Handler
	logger  *zap.Logger
	kick    chan struct{}
	news    chan struct{}
	// introduce is told of every report's sender, if set, and vouched of instances that a
	// hub names.
	introduce, vouched func(Member)
	// current tells whether a run is the one that holds an instance's name, if set.
	current func(name string, incarnation uint64) bool
	// expire is told from time to time to drop instances that are gone, if set.
	expire func()
	// listRead tells whether the list of instances has been read, if set.
	listRead func() bool
	// fleet is nil where every report is taken.
	fleet *fleetid.Verifier

	mu    sync.Mutex
	peers map[string]*peer
	// last is the newest report taken from each run of an instance.
	last map[Run]lastReport
	// awake is when the sending loop last ran, dropUntil the end of a stall's reports.
	awake, dropUntil time.Duration
	sequence         uint64
	leaving          bool
	// told is the size of the fleet by the words of hubs, and when each came; toldSize is the
	// largest of the last words.
	told     map[string]toldSize
	toldSize int
	// compared is when others were last asked whom they know.
	compared time.Duration
	// wholeAt is when a whole answer was last asked for, turn which hub is polled next.
	wholeAt time.Duration
	turn    int
	chosen  choice
	pending map[uint64]chan Grant
	claims  map[uint64]chan Place
}

// peer is another instance.
type peer struct {
	Member
	address netip.AddrPort
	run     Run
	// unanswered is when the first report was sent to it since it was last heard, 0 if none.
	unanswered time.Duration
	// suspect is until when it counts as silent.
	suspect time.Duration
	leaving bool
}

type toldSize struct {
	instances int
	at        time.Duration
}

// lastReport is what is remembered of an instance's newest report.
type lastReport struct {
	sequence uint64
	// at is when it arrived, made when it was made by its sender's clock.
	at, made time.Duration
}

// Listen opens the address for reports.
func Listen(self Member, handler Handler, logger *zap.Logger) (*Exchange, error) {
	address, err := net.ResolveUDPAddr("udp4", self.Address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	return &Exchange{
		self: self, conn: conn, handler: handler, logger: logger, kick: make(chan struct{}, 1), news: make(chan struct{}, 1),
		peers: make(map[string]*peer), last: make(map[Run]lastReport), awake: boottime.Now(),
		turn: rand.IntN(hub.Hubs), told: make(map[string]toldSize), pending: make(map[uint64]chan Grant), claims: make(map[uint64]chan Place),
	}, nil
}

// SetMembers names the other instances that are known.
func (x *Exchange) SetMembers(members []Member) {
	peers := make(map[string]*peer, len(members))
	listed := make(map[Run]bool, len(members))
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, m := range members {
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			x.logger.Warn("unreadable address of an instance", zap.String("peer", m.Name), zap.Error(err))
			continue
		}
		run := RunOf(m.Name, m.Incarnation)
		listed[run] = true
		if old, known := x.peers[m.Name]; known && old.run == run {
			old.Member, old.address = m, address
			peers[m.Name] = old
			continue
		}
		peers[m.Name] = &peer{Member: m, address: address, run: run}
	}
	x.peers = peers
	x.chosen.at = 0
	for run := range x.last {
		if !listed[run] {
			delete(x.last, run)
		}
	}
}

// TriggerReport asks for a report soon, since something changed. In a large fleet the next poll tells
// it.
func (x *Exchange) TriggerReport() { signal(x.kick) }

// Announce asks for a report to all who pass things on, since there is something that every
// instance waits for.
func (x *Exchange) Announce() { signal(x.news) }

func signal(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// Leave makes others look for another hub.
func (x *Exchange) Leave() {
	x.mu.Lock()
	x.leaving, x.chosen.at = true, 0
	x.mu.Unlock()
	x.Announce()
}

// OnReport sets what is told of every report's sender. It must be called before Run.
func (x *Exchange) OnReport(introduce func(Member)) { x.introduce = introduce }

// OnMention sets what is told of instances that hubs name. It must be called before Run.
func (x *Exchange) OnMention(vouched func(Member)) { x.vouched = vouched }

// SetRunFilter sets what tells whether a run is the one that holds an instance's name; reports of
// others are dropped. It must be called before Run.
func (x *Exchange) SetRunFilter(current func(name string, incarnation uint64) bool) {
	x.current = current
}

// OnExpire sets what drops instances that are gone. It must be called before Run.
func (x *Exchange) OnExpire(expire func()) { x.expire = expire }

// SetHasSynced sets what tells whether the list of instances has been read. The size of the fleet is
// not known before that. It must be called before Run.
func (x *Exchange) SetHasSynced(listRead func() bool) { x.listRead = listRead }

// Run sends and takes reports until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer stop()
	go x.receive(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var expired time.Duration
	for {
		kick := x.kick
		if x.large() {
			kick = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			timer.Reset(x.send(false))
		case <-kick:
			timer.Reset(x.send(true))
		case <-x.news:
			timer.Reset(x.send(true))
		}
		if now := boottime.Now(); x.expire != nil && now-expired > expireInterval && x.hears(now) {
			expired = now
			x.expire()
		}
	}
}

// send reports, and returns the time until the next report is due at the latest.
func (x *Exchange) send(toAll bool) time.Duration {
	now := x.wake()
	size := x.Size()
	if _, known := size.Instances(); !known {
		// It is not known whom to tell.
		return reportInterval
	}
	if !size.Large() {
		x.report(now, x.everyone(), false)
		time.Sleep(reportSpacing)
		return reportInterval
	}
	hubs := x.others(x.choose(now).hubs)
	if len(hubs) == 0 {
		x.forgive()
		return pollInterval
	}
	if !toAll {
		hubs = x.next(hubs)
	}
	x.report(now, hubs, true)
	return pollInterval / time.Duration(max(len(x.choose(now).hubs), 1))
}

// next is the hub whose turn it is.
func (x *Exchange) next(hubs []*peer) []*peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.turn++
	return hubs[x.turn%len(hubs):][:1]
}

var errLargeReport = errors.New("the report is larger than a datagram")

// report tells some instances what holds now.
func (x *Exchange) report(now time.Duration, to []*peer, poll bool) {
	r := x.begin(now)
	r.Machine = x.self.Machine
	x.handler.Fill(now, r)
	common, err := r.marshal()
	if err == nil && len(common) > maxDatagram {
		err = errLargeReport
	}
	if err != nil {
		x.logger.Error("report not sent", zap.Error(err))
		return
	}
	compare := x.compare(now)
	for _, p := range to {
		one := &Report{Heard: x.heardOf(now, p.run)}
		if poll || compare || one.Heard.Run == 0 {
			one.Poll = x.poll(now, poll)
		}
		x.handler.FillFor(now, p.run, one)
		data, err := one.appendTo(common)
		if err != nil {
			x.logger.Error("report not sent", zap.Error(err))
			return
		}
		x.write(now, p, data)
	}
}

// compare reports whether it is time to ask others which hubs they know. In a small fleet two
// that both know a third would not hear of one another otherwise.
func (x *Exchange) compare(now time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if now-x.compared < compareInterval {
		return false
	}
	x.compared = now
	return true
}

// begin returns a report that tells who makes it, and when.
func (x *Exchange) begin(now time.Duration) *Report {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence++
	r := &Report{
		Instance: x.self.Name, Incarnation: x.self.Incarnation, Sequence: x.sequence, Made: now, Leaving: x.leaving,
		Fleet: x.identity(),
	}
	if x.settled() {
		r.Instances = len(x.peers) + 1
	}
	if r.Fleet.ID != 0 && x.sequence%nameEvery != 0 {
		r.Fleet.Name = ""
	}
	return r
}

// poll asks for a whole answer once in each round, if there is to be one. A hub hears all by
// itself.
func (x *Exchange) poll(now time.Duration, whole bool) *Poll {
	hubs := x.choose(now).hubs
	x.mu.Lock()
	defer x.mu.Unlock()
	p := &Poll{Hubs: digest(hubs)}
	p.Whole = whole && now-x.wholeAt >= pollInterval*9/10 && !slices.Contains(names(hubs), x.self.Name)
	if p.Whole {
		x.wholeAt = now
	}
	return p
}

// heardOf tells when a run was last heard.
func (x *Exchange) heardOf(now time.Duration, run Run) Heard {
	x.mu.Lock()
	defer x.mu.Unlock()
	last, known := x.last[run]
	if !known || last.at > now {
		return Heard{}
	}
	return Heard{Run: run, Age: now - last.at, Made: last.made}
}

// write sends a datagram to an instance.
func (x *Exchange) write(now time.Duration, p *peer, data []byte) {
	x.mu.Lock()
	if p.unanswered == 0 {
		p.unanswered = now
	}
	address := p.address
	x.mu.Unlock()
	if _, err := x.conn.WriteToUDPAddrPort(data, address); err != nil {
		x.logger.Debug("report not sent", zap.String("peer", p.Name), zap.Error(err))
	}
}

// wake notes that the process runs, and whether it stood still before.
func (x *Exchange) wake() time.Duration {
	now := boottime.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if now-x.awake > stallGap {
		x.dropUntil = now + stallDrop
		x.logger.Warn("process stood still", zap.Duration("gap", now-x.awake))
	}
	x.awake = now
	return now
}
