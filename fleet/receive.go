package fleet

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
)

// receive takes datagrams until the socket is closed.
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
		if !x.ownFleet(r, from) {
			continue
		}
		switch {
		case r.Ask != nil:
			x.grant(now, r, from)
		case r.Grant != nil:
			x.granted(*r.Grant)
		case r.Claim != nil:
			x.claimed(now, r, from)
		case r.Place != nil:
			x.placed(*r.Place)
		case r.Partial:
			x.takeLoads(now, r)
		default:
			x.take(now, r, from)
		}
	}
}

// take takes in a report and answers it if it is a poll.
func (x *Exchange) take(now time.Duration, r *Report, from netip.AddrPort) {
	if x.stalled(now) {
		return
	}
	if x.introduce != nil {
		x.introduce(Member{Name: r.Instance, Incarnation: r.Incarnation, Address: from.String(), Machine: r.Machine})
	}
	if x.current != nil && !x.current(r.Instance, r.Incarnation) {
		return
	}
	if !x.accept(now, r) {
		return
	}
	r.Earliest = x.earliest(now, r)
	x.note(now, r)
	x.handler.HandleReport(now, r)
	if r.Poll != nil {
		x.answer(now, r, from)
	}
}

// answer answers a poll.
func (x *Exchange) answer(now time.Duration, poll *Report, to netip.AddrPort) {
	r := x.begin(now)
	r.Answer, r.Whole, r.Heard = true, poll.Poll.Whole, x.heardOf(now, poll.run())
	if poll.Heard.Run == 0 {
		// The poller does not know this run yet.
		r.Machine = x.self.Machine
	}
	x.handler.FillAnswer(now, poll, r)
	if best := x.choose(now).hubs; digest(best) != poll.Poll.Hubs {
		r.Hubs = best
	}
	data, err := r.marshal()
	if err == nil && len(data) > maxDatagram {
		err = errLargeReport
	}
	if err != nil {
		x.logger.Error("answer not sent", zap.Error(err))
		return
	}
	if _, err := x.conn.WriteToUDPAddrPort(data, to); err != nil {
		x.logger.Debug("answer not sent", zap.String("peer", poll.Instance), zap.Error(err))
	}
}

// stalled reports whether what arrives now may have waited while the process stood still.
func (x *Exchange) stalled(now time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return now < x.dropUntil || now-x.awake > stallGap
}

// accept drops reports that were overtaken by newer ones, and those that waited while
// the process stood still.
func (x *Exchange) accept(now time.Duration, r *Report) bool {
	if x.stalled(now) {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if r.Sequence <= x.last[r.run()].sequence {
		return false
	}
	x.last[r.run()] = lastReport{r.Sequence, now, r.Made}
	return true
}

// earliest is the earliest time at which a report can have been made: its sender tells which
// report of this instance it had heard, by the time that stood in it, and how long ago. Clocks
// are not compared, and a report that waited on its way only looks older.
func (x *Exchange) earliest(now time.Duration, r *Report) time.Duration {
	self := RunOf(x.self.Name, x.self.Incarnation)
	if r.Heard.Run != self || r.Heard.Made <= 0 || r.Heard.Made+r.Heard.Age > now {
		return 0
	}
	return r.Heard.Made + r.Heard.Age
}

// note takes in what a report tells of the fleet.
func (x *Exchange) note(now time.Duration, r *Report) {
	x.mu.Lock()
	if p, known := x.peers[r.Instance]; known {
		if x.silent(now, p) || p.leaving != r.Leaving {
			x.chosen.at = 0
		}
		p.unanswered, p.suspect, p.leaving = 0, 0, r.Leaving
	}
	if r.Answer && r.Instances > 0 {
		x.told[r.Instance] = toldSize{r.Instances, now}
	}
	x.mu.Unlock()
	if x.vouched == nil {
		return
	}
	for _, m := range r.Hubs {
		if m.Name != x.self.Name {
			x.vouched(m)
			x.vouch(now, m)
		}
	}
}

// vouch gives an instance that was silent here another chance, since a hub hears it.
func (x *Exchange) vouch(now time.Duration, m Member) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p, known := x.peers[m.Name]; known && p.unanswered > 0 && now-p.unanswered > vouchAfter {
		p.unanswered = 0
		x.chosen.at = 0
	}
}
