package fleet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/quota"
	"github.com/cairnworks/cairnworks/fleetid"
)

// Figures of the exchange of reports.
const (
	// reportInterval is the longest time between two reports.
	reportInterval = 200 * time.Millisecond
	// reportSpacing is the least time between two reports; what changes within it is
	// told by one.
	reportSpacing = 15 * time.Millisecond
	// confirmDelay is how long reports of others are gathered before one confirms them.
	confirmDelay = 80 * time.Millisecond
	// stallGap is the pause of the sending loop from which the process counts as
	// having stood still. Reports that waited in the socket meanwhile are as old as
	// the pause, though they arrive now.
	stallGap = 700 * time.Millisecond
	// stallDrop is how long reports are dropped after it; what waits in the socket is
	// read in far less.
	stallDrop = 30 * time.Millisecond
	// maxDatagram bounds a report in bytes.
	maxDatagram = 60 << 10
)

// partialGap is the silence after which an instance is taken in again only by a report that
// is not partial. It is the silence after which quotas count what it has left anew.
var partialGap = quota.DefaultConfig().Silence

// Handler fills and takes reports.
type Handler interface {
	// Fill completes a report that is about to be sent.
	Fill(now time.Duration, r *Report)
	// Take takes in a report that has just arrived.
	Take(now time.Duration, r *Report)
}

// Exchange sends this instance's reports to all others and takes theirs.
type Exchange struct {
	self    Member
	conn    *net.UDPConn
	handler Handler
	logger  *zap.Logger
	kick    chan struct{}
	// introduce is told of every report's sender, if set.
	introduce func(name string, incarnation uint64, address string)
	// current tells whether a run is the one that holds an instance's name, if set.
	current func(name string, incarnation uint64) bool
	// fleet is nil where every report is taken.
	fleet *fleetid.Keeper

	mu      sync.Mutex
	targets map[string]target
	// last is the newest sequence taken from each run of an instance.
	last map[Run]lastReport
	// sentAt is when the last reports were made, by their number modulo its length.
	sentAt [sentKept]time.Duration
	// awake is when the sending loop last ran, dropUntil the end of a stall's reports.
	awake, dropUntil time.Duration
	sequence         uint64
	// confirming tells that a report is due that confirms those of others.
	confirming bool
	// outline belongs to the sending loop.
	outline outline
	// fullDue is how many further reports are not partial, since instances have come that
	// know nothing yet.
	fullDue int
}

// target is an instance that reports go to.
type target struct {
	address netip.AddrPort
	run     Run
}

// lastReport is what is remembered of an instance's newest report.
type lastReport struct {
	sequence uint64
	// at is when it arrived.
	at time.Duration
	// total is all that it has spent.
	total int64
	// full tells that a report that is not partial has been taken.
	full bool
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
		self: self, conn: conn, handler: handler, logger: logger, kick: make(chan struct{}, 1),
		targets: make(map[string]target), last: make(map[Run]lastReport), awake: boottime.Now(),
	}, nil
}

// SetMembers names the instances that reports go to.
func (x *Exchange) SetMembers(members []Member) {
	targets := make(map[string]target, len(members))
	listed := make(map[Run]bool, len(members))
	for _, m := range members {
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			x.logger.Warn("unreadable address of an instance", zap.String("peer", m.Name), zap.Error(err))
			continue
		}
		run := RunOf(m.Name, m.Incarnation)
		targets[m.Name] = target{address, run}
		listed[run] = true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.greet(targets)
	x.targets = targets
	for run := range x.last {
		if !listed[run] {
			delete(x.last, run)
		}
	}
}

// greet sees to whole reports where an instance has come that was not there before; the lock
// is held.
func (x *Exchange) greet(targets map[string]target) {
	for name, to := range targets {
		if x.targets[name].run != to.run {
			x.fullDue = greetings
			return
		}
	}
}

// partial decides whether the next report is, and counts it; the lock is held.
func (x *Exchange) partial() bool {
	if x.fullDue > 0 {
		x.fullDue--
		return false
	}
	return x.stretch() > 1 && x.sequence%fullEvery != 0
}

// Kick asks for a report soon, since something changed.
func (x *Exchange) Kick() {
	select {
	case x.kick <- struct{}{}:
	default:
	}
}

// Run sends and takes reports until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer stop()
	go x.receive(ctx)
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-x.kick:
		}
		stretch := x.send()
		time.Sleep(scaled(reportSpacing, stretch*stretch))
		timer.Reset(scaled(reportInterval, stretch))
	}
}

// scaled returns a time multiplied by a factor.
func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// stretch is by how much the pace of reports is slowed down; the lock is held.
func (x *Exchange) stretch() float64 { return quota.Stretch(len(x.targets) + 1) }

// send tells all members what holds now, and returns by how much the pace is slowed
// down.
func (x *Exchange) send() float64 {
	now := x.wake()
	x.mu.Lock()
	x.sequence++
	x.confirming = false
	r := &Report{Instance: x.self.Name, Incarnation: x.self.Incarnation, Sequence: x.sequence, Partial: x.partial(), Fleet: x.identity()}
	targets, stretch := x.targets, x.stretch()
	x.mu.Unlock()
	x.handler.Fill(now, r)
	x.number(now, r)
	x.outline.trim(r)
	if err := x.sendTo(targets, r); err != nil {
		x.logger.Error("report not sent", zap.Error(err))
	}
	return stretch
}

var errLargeReport = errors.New("the report is larger than a datagram")

// sendTo sends a report to all targets. A partial one tells each whether it is heard itself.
func (x *Exchange) sendTo(targets map[string]target, r *Report) error {
	heard := make(map[Run]Heard, len(r.Heard))
	if r.Partial {
		for _, h := range r.Heard {
			heard[h.Run] = h
		}
		r.Heard = nil
	}
	common, err := r.marshal()
	if err != nil {
		return err
	}
	if len(common) > maxDatagram {
		return errLargeReport
	}
	for name, to := range targets {
		data := common
		if h, hears := heard[to.run]; hears {
			if data, err = appendHeard(common[:len(common):len(common)], []Heard{h}); err != nil {
				return err
			}
		}
		if _, err := x.conn.WriteToUDPAddrPort(data, to.address); err != nil {
			x.logger.Debug("report not sent", zap.String("peer", name), zap.Error(err))
		}
	}
	return nil
}

// wake notes that the process runs, and whether it stood still before.
func (x *Exchange) wake() time.Duration {
	now := boottime.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if now-x.awake > scaled(stallGap, x.stretch()) {
		x.dropUntil = now + stallDrop
		x.logger.Warn("process stood still", zap.Duration("gap", now-x.awake))
	}
	x.awake = now
	return now
}

// receive takes reports until the socket is closed.
func (x *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := x.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				x.logger.Error("reports not received", zap.Error(err))
			}
			return
		}
		r, err := unmarshal(buffer[:n])
		if err != nil {
			x.logger.Warn("unreadable report", zap.Error(err))
			continue
		}
		now := boottime.Now()
		if !x.ownFleet(r, from) || !x.accept(now, r) {
			continue
		}
		r.Earliest = x.earliest(r)
		if x.introduce != nil {
			x.introduce(r.Instance, r.Incarnation, from.String())
		}
		if x.current != nil && !x.current(r.Instance, r.Incarnation) {
			continue
		}
		x.handler.Take(now, r)
		if x.spent(r) {
			x.confirm()
		}
	}
}

// spent reports whether an instance has spent something since its last report.
func (x *Exchange) spent(r *Report) bool {
	var total int64
	for _, s := range r.Spends {
		total += s.Tokens
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if r.Partial {
		// It tells of nothing but what was spent lately.
		return len(r.Spends) > 0
	}
	last := x.last[RunOf(r.Instance, r.Incarnation)]
	changed := last.total != total
	last.total = total
	x.last[RunOf(r.Instance, r.Incarnation)] = last
	return changed
}

// confirm sees to a report soon, which tells the others that theirs were heard. What
// they have spent and nobody has confirmed holds them back.
func (x *Exchange) confirm() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.confirming {
		return
	}
	x.confirming = true
	time.AfterFunc(scaled(confirmDelay, x.stretch()), x.Kick)
}

// OnReport sets what is told of every report's sender. It must be called before Run.
func (x *Exchange) OnReport(introduce func(name string, incarnation uint64, address string)) {
	x.introduce = introduce
}

// OnlyFrom sets what tells whether a run is the one that holds an instance's name; reports of
// others are dropped. It must be called before Run.
func (x *Exchange) OnlyFrom(current func(name string, incarnation uint64) bool) {
	x.current = current
}

// sentKept is how many of its reports an instance remembers: at the fastest pace, what
// it sends in four seconds.
const sentKept = 256

// number notes when a report was made, and completes in it which reports of others were
// heard. Both of one instance's figures are set together: an older report's age with a
// newer one's number would make what is told look newer than it is.
func (x *Exchange) number(now time.Duration, r *Report) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sentAt[r.Sequence%sentKept] = now
	for i := range r.Heard {
		h := &r.Heard[i]
		if last, known := x.last[h.Run]; known && last.at <= now {
			h.Sequence, h.Age = last.sequence, now-last.at
		}
	}
}

// earliest is the earliest time at which a report can have been made: its sender had
// heard a report of this instance before, and tells how long ago. Clocks are not
// compared, and a report that waited on its way only looks older.
func (x *Exchange) earliest(r *Report) time.Duration {
	self := RunOf(x.self.Name, x.self.Incarnation)
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, h := range r.Heard {
		if h.Run != self || h.Sequence == 0 {
			continue
		}
		if h.Sequence > x.sequence || x.sequence-h.Sequence >= sentKept {
			return 0
		}
		return x.sentAt[h.Sequence%sentKept] + h.Age
	}
	return 0
}

// accept drops reports that were overtaken by newer ones, and those that waited while
// the process stood still.
func (x *Exchange) accept(now time.Duration, r *Report) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if now < x.dropUntil || now-x.awake > scaled(stallGap, x.stretch()) {
		return false
	}
	last := x.last[RunOf(r.Instance, r.Incarnation)]
	if r.Sequence <= last.sequence || !last.whole(now, r, scaled(partialGap, x.stretch())) {
		return false
	}
	last.sequence, last.at, last.full = r.Sequence, now, true
	x.last[RunOf(r.Instance, r.Incarnation)] = last
	return true
}
