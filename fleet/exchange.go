package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/hub"
	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/follow"
	"github.com/cairnworks/cairnworks/port"
)

// Parameters of the report exchange.
const (
	// reportInterval is the maximum time between two reports in a small fleet.
	reportInterval = 200 * time.Millisecond
	// minReportInterval is the minimum time between two reports in a small fleet; changes
	// within it are sent in one report.
	minReportInterval = 15 * time.Millisecond
	// pollInterval is the time between two polls of the same hub in a large fleet. The polls
	// of the different hubs are spread over it.
	pollInterval = 500 * time.Millisecond
	// compareInterval is how often the instances of a small fleet compare their hub lists.
	compareInterval = 2 * time.Second
	// expireInterval is how often instances that no longer report are removed.
	expireInterval = time.Second
	// stallThreshold is the gap between two iterations of the send loop from which the process
	// counts as stalled. Reports that were queued in the socket during a stall may be as old as
	// the gap, although they are read only now.
	stallThreshold = 700 * time.Millisecond
	// stallDropWindow is how long reports are dropped after a stall; reading what is queued in
	// the socket takes far less.
	stallDropWindow = 30 * time.Millisecond
	// maxDatagramBytes is the maximum size of a report.
	maxDatagramBytes = 60 << 10
	// reportsPerFleetName is the number of reports of which one contains the fleet name.
	// Instances that know the fleet ID do not need it.
	reportsPerFleetName = 8
)

// Handler fills in outgoing reports and processes incoming ones.
type Handler interface {
	// Fill adds the parts of a report that are the same for all receivers.
	Fill(now time.Duration, r *Report)
	// FillFor adds the parts of a report that are specific to one receiver.
	FillFor(now time.Duration, to Run, r *Report)
	// FillAnswer fills in the answer to a poll.
	FillAnswer(now time.Duration, poll, r *Report)
	// HandleReport processes a received report.
	HandleReport(now time.Duration, r *Report)
	// HandleAsk returns the grant for an ask.
	HandleAsk(now time.Duration, from Run, a Ask) Grant
	// HandleClaim processes another instance's claim and answers it immediately or later.
	HandleClaim(now time.Duration, instance string, c Claim, answer func(Place))
	// ServeRecords returns a note with the records of a topic from an offset on, whatever their size.
	ServeRecords(now time.Duration, topic port.Topic, from uint64) (follow.Note, error)
	// HandleLoads processes the changed loads of another instance.
	HandleLoads(now time.Duration, instance string, loads map[Hash]Load)
}

// Exchange sends this instance's reports and receives those of other instances.
type Exchange struct {
	self Member
	conn *net.UDPConn
	// records accepts connections on the TCP port with the same number. handlers serves further calls
	// there, by path.
	records  net.Listener
	handlers map[string]http.Handler
	handler  Handler
	logger   *zap.Logger
	trigger  chan struct{}
	announce chan struct{}
	// onReport, if set, is called with the sender of every report; onMention, if set, is called
	// with each instance that a received report lists as a hub.
	onReport, onMention func(Member)
	// isCurrent, if set, reports whether a run is the current one of the named instance.
	isCurrent func(name string, incarnation uint64) bool
	// onExpire, if set, is called periodically to remove instances that no longer report.
	onExpire func()
	// hasSynced, if set, reports whether the list of instances has been read.
	hasSynced func() bool
	// verifier is nil if reports of any fleet are accepted.
	verifier *fleetid.Verifier

	mu    sync.Mutex
	peers map[string]*peer
	// last is the newest accepted report of each run of an instance.
	last map[Run]lastReport
	// lastWake is when the send loop last ran; until dropUntil, reports are dropped after a stall.
	lastWake, dropUntil time.Duration
	sequence            uint64
	leaving             bool
	// reportedSizes is the fleet size reported by each hub and when it was reported.
	// maxReportedSize is the largest of the most recent ones.
	reportedSizes   map[string]reportedSize
	maxReportedSize int
	// lastCompare is when the other instances were last polled to compare hub lists.
	lastCompare time.Duration
	// lastWholePoll is when a whole answer was last requested; pollIndex selects the next hub
	// to poll.
	lastWholePoll time.Duration
	pollIndex     int
	selection     hubSelection
	pendingAsks   map[uint64]chan Grant
	pendingClaims map[uint64]chan Place
}

// peer is another instance.
type peer struct {
	Member
	address netip.AddrPort
	run     Run
	// unansweredSince is when the first report was sent to the peer since it last reported, or 0 if
	// none was sent.
	unansweredSince time.Duration
	// suspectUntil is the time until which the peer counts as silent.
	suspectUntil time.Duration
	leaving      bool
	// features are those announced by the last report of this run.
	features Features
}

type reportedSize struct {
	instances int
	at        time.Duration
}

// lastReport describes the newest accepted report of a run.
type lastReport struct {
	sequence uint64
	// at is when the report arrived; made is when it was created, by its sender's clock.
	at, made time.Duration
}

// Listen opens the UDP socket for reports and the TCP socket for records at self.Address.
func Listen(self Member, handler Handler, logger *zap.Logger) (*Exchange, error) {
	address, err := net.ResolveUDPAddr("udp4", self.Address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	records, err := net.Listen("tcp4", self.Address)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Exchange{
		handlers: make(map[string]http.Handler),
		self:     self, conn: conn, records: records, handler: handler, logger: logger, trigger: make(chan struct{}, 1), announce: make(chan struct{}, 1),
		peers: make(map[string]*peer), last: make(map[Run]lastReport), lastWake: boottime.Now(),
		pollIndex: rand.IntN(hub.Hubs), reportedSizes: make(map[string]reportedSize), pendingAsks: make(map[uint64]chan Grant), pendingClaims: make(map[uint64]chan Place),
	}, nil
}

// SetMembers sets the other known instances.
func (x *Exchange) SetMembers(members []Member) {
	peers := make(map[string]*peer, len(members))
	listed := make(map[Run]bool, len(members))
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, m := range members {
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			x.logger.Warn("invalid instance address", zap.String("peer", m.Name), zap.Error(err))
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
	x.selection.at = 0
	for run := range x.last {
		if !listed[run] {
			delete(x.last, run)
		}
	}
}

// TriggerReport requests a report soon because something changed. In a large fleet it has no
// effect; the next poll contains the change.
func (x *Exchange) TriggerReport() { notify(x.trigger) }

// Announce requests an immediate report to all hubs, or to all instances in a small fleet, because
// something changed that every instance is waiting for.
func (x *Exchange) Announce() { notify(x.announce) }

func notify(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// Leave reports that this instance is about to stop, so that the others select another hub.
func (x *Exchange) Leave() {
	x.mu.Lock()
	x.leaving, x.selection.at = true, 0
	x.mu.Unlock()
	x.Announce()
}

// Handle registers a handler of calls from other instances. It must be called before Run.
func (x *Exchange) Handle(path string, handler http.Handler) { x.handlers[path] = handler }

// OnReport sets the function that is called with the sender of every report. It must be called
// before Run.
func (x *Exchange) OnReport(handle func(Member)) { x.onReport = handle }

// OnMention sets the function that is called with each instance that a received report lists as a
// hub. It must be called before Run.
func (x *Exchange) OnMention(handle func(Member)) { x.onMention = handle }

// SetRunFilter sets the function that reports whether a run is the current one of the named
// instance; reports of other runs are dropped. It must be called before Run.
func (x *Exchange) SetRunFilter(isCurrent func(name string, incarnation uint64) bool) {
	x.isCurrent = isCurrent
}

// OnExpire sets the function that removes instances that no longer report. It must be called before
// Run.
func (x *Exchange) OnExpire(expire func()) { x.onExpire = expire }

// SetHasSynced sets the function that reports whether the list of instances has been read. Until
// then the size of the fleet is unknown. It must be called before Run.
func (x *Exchange) SetHasSynced(hasSynced func() bool) { x.hasSynced = hasSynced }

// Run sends and receives reports until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer stop()
	go x.receive(ctx)
	go newRecordService(x).serve(ctx, x.records)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var expired time.Duration
	for {
		trigger := x.trigger
		if x.large() {
			trigger = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			timer.Reset(x.send(false))
		case <-trigger:
			timer.Reset(x.send(true))
		case <-x.announce:
			timer.Reset(x.send(true))
		}
		if now := boottime.Now(); x.onExpire != nil && now-expired > expireInterval && x.hasRecentReports(now) {
			expired = now
			x.onExpire()
		}
	}
}

// send sends reports and returns the maximum time until the next call.
func (x *Exchange) send(toAll bool) time.Duration {
	now := x.checkStall()
	size := x.Size()
	if _, known := size.Instances(); !known {
		// The receivers are not known yet.
		return reportInterval
	}
	if !size.Large() {
		x.sendReports(now, x.allPeers(), false)
		time.Sleep(minReportInterval)
		return reportInterval
	}
	hubs := x.peersAmong(x.currentSelection(now).hubs)
	if len(hubs) == 0 {
		x.resetSilence()
		return pollInterval
	}
	if !toAll {
		hubs = x.nextHub(hubs)
	}
	x.sendReports(now, hubs, true)
	return pollInterval / time.Duration(max(len(x.currentSelection(now).hubs), 1))
}

// nextHub returns the next hub to poll, round robin.
func (x *Exchange) nextHub(hubs []*peer) []*peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pollIndex++
	return hubs[x.pollIndex%len(hubs):][:1]
}

var errReportTooLarge = errors.New("report exceeds the maximum datagram size")

// sendReports sends a report of the current state to each of the given peers.
func (x *Exchange) sendReports(now time.Duration, to []*peer, poll bool) {
	r := x.newReport(now)
	r.Machine = x.self.Machine
	x.handler.Fill(now, r)
	common, err := r.marshal()
	if err == nil && len(common) > maxDatagramBytes {
		err = errReportTooLarge
	}
	if err != nil {
		x.logger.Error("cannot send report", zap.Error(err))
		return
	}
	compare := x.compareDue(now)
	for _, p := range to {
		one := &Report{Heard: x.lastHeard(now, p.run), To: p.run}
		if poll || compare || one.Heard.Run == 0 {
			one.Poll = x.newPoll(now, poll)
		}
		x.handler.FillFor(now, p.run, one)
		data, err := one.appendTo(common)
		if err != nil {
			x.logger.Error("cannot send report", zap.Error(err))
			return
		}
		x.writeReport(now, p, data)
	}
}

// compareDue reports whether to poll the others for their hub lists now, and records the time if so.
// In a small fleet, two instances that both know only a third would not learn of each other otherwise.
func (x *Exchange) compareDue(now time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if now-x.lastCompare < compareInterval {
		return false
	}
	x.lastCompare = now
	return true
}

// newReport returns a report with its sender, sequence number and creation time.
func (x *Exchange) newReport(now time.Duration) *Report {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence++
	r := &Report{
		Instance: x.self.Name, Incarnation: x.self.Incarnation, Sequence: x.sequence, Made: now, Leaving: x.leaving,
		Fleet: x.Identity(),
	}
	if x.synced() {
		r.Instances = len(x.peers) + 1
	}
	if r.Fleet.ID != 0 && x.sequence%reportsPerFleetName != 0 {
		r.Fleet.Name = ""
	}
	return r
}

// newPoll returns a poll. If whole is set, it requests a whole answer once per round of polls, except
// on a hub, which receives every instance's reports itself.
func (x *Exchange) newPoll(now time.Duration, whole bool) *Poll {
	hubs := x.currentSelection(now).hubs
	x.mu.Lock()
	defer x.mu.Unlock()
	p := &Poll{Hubs: membersDigest(hubs)}
	p.Whole = whole && now-x.lastWholePoll >= pollInterval*9/10 && !slices.Contains(memberNames(hubs), x.self.Name)
	if p.Whole {
		x.lastWholePoll = now
	}
	return p
}

// lastHeard describes the last report received from a run.
func (x *Exchange) lastHeard(now time.Duration, run Run) Heard {
	x.mu.Lock()
	defer x.mu.Unlock()
	last, known := x.last[run]
	if !known || last.at > now {
		return Heard{}
	}
	return Heard{Run: run, Age: now - last.at, Made: last.made}
}

// writeReport sends a datagram to a peer.
func (x *Exchange) writeReport(now time.Duration, p *peer, data []byte) {
	x.mu.Lock()
	if p.unansweredSince == 0 {
		p.unansweredSince = now
	}
	address := p.address
	x.mu.Unlock()
	if _, err := x.conn.WriteToUDPAddrPort(data, address); err != nil {
		x.logger.Debug("cannot send report", zap.String("peer", p.Name), zap.Error(err))
	}
}

// checkStall records that the send loop runs, detects whether the process stalled before and returns
// the current time.
func (x *Exchange) checkStall() time.Duration {
	now := boottime.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if now-x.lastWake > stallThreshold {
		x.dropUntil = now + stallDropWindow
		x.logger.Warn("process stalled", zap.Duration("gap", now-x.lastWake))
	}
	x.lastWake = now
	return now
}
