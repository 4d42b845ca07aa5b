package fleet

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
)

// receive reads and dispatches datagrams until the socket is closed.
func (x *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := x.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				x.logger.Error("cannot receive reports", zap.Error(err))
			}
			return
		}
		r, err := unmarshal(buffer[:n])
		if err != nil {
			x.logger.Warn("invalid report", zap.Error(err))
			continue
		}
		now := boottime.Now()
		if !x.inOwnFleet(r, from) {
			continue
		}
		switch {
		case r.Ask != nil:
			x.answerAsk(now, r, from)
		case r.Grant != nil:
			x.deliverGrant(*r.Grant)
		case r.Claim != nil:
			x.handleClaim(now, r, from)
		case r.Place != nil:
			x.deliverPlace(*r.Place)
		case r.Partial:
			x.handleLoads(now, r)
		default:
			x.handleReport(now, r, from)
		}
	}
}

// handleReport processes a report and, if it is a poll, answers it.
func (x *Exchange) handleReport(now time.Duration, r *Report, from netip.AddrPort) {
	if x.stalled(now) {
		return
	}
	if x.onReport != nil {
		x.onReport(Member{Name: r.Instance, Incarnation: r.Incarnation, Address: from.String(), Machine: r.Machine})
	}
	if x.isCurrent != nil && !x.isCurrent(r.Instance, r.Incarnation) {
		return
	}
	if !x.accept(now, r) {
		return
	}
	r.Earliest, r.Sender = x.earliestMade(now, r), from.String()
	x.recordFleetState(now, r)
	x.handler.HandleReport(now, r)
	if r.Poll != nil {
		x.answerPoll(now, r, from)
	}
}

// answerPoll answers a poll.
func (x *Exchange) answerPoll(now time.Duration, poll *Report, to netip.AddrPort) {
	r := x.newReport(now)
	r.Answer, r.Whole, r.Heard = true, poll.Poll.Whole, x.lastHeard(now, poll.run())
	if poll.Heard.Run == 0 {
		// The sender of the poll does not know this run yet.
		r.Machine = x.self.Machine
	}
	x.handler.FillAnswer(now, poll, r)
	if best := x.currentSelection(now).hubs; membersDigest(best) != poll.Poll.Hubs {
		r.Hubs = best
	}
	data, err := r.marshal()
	if err == nil && len(data) > maxDatagramBytes {
		err = errReportTooLarge
	}
	if err != nil {
		x.logger.Error("cannot send poll answer", zap.Error(err))
		return
	}
	if _, err := x.conn.WriteToUDPAddrPort(data, to); err != nil {
		x.logger.Debug("cannot send poll answer", zap.String("peer", poll.Instance), zap.Error(err))
	}
}

// stalled reports whether a datagram that is read now may have been queued while the process stalled.
func (x *Exchange) stalled(now time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return now < x.dropUntil || now-x.lastWake > stallThreshold
}

// accept records a report as the newest of its run. It rejects reports that were overtaken by newer
// ones or may have been queued while the process stalled.
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

// earliestMade returns the earliest time at which a report can have been made, or 0 if that is unknown.
// The report contains the creation time of the last report that its sender had received from this
// instance, and the age of that report. No clocks are compared, and a report that was delayed in
// transit only appears older.
func (x *Exchange) earliestMade(now time.Duration, r *Report) time.Duration {
	self := RunOf(x.self.Name, x.self.Incarnation)
	if r.Heard.Run != self || r.Heard.Made <= 0 || r.Heard.Made+r.Heard.Age > now {
		return 0
	}
	return r.Heard.Made + r.Heard.Age
}

// recordFleetState updates the sender's state and processes what a report says about the fleet.
func (x *Exchange) recordFleetState(now time.Duration, r *Report) {
	x.mu.Lock()
	if p, known := x.peers[r.Instance]; known {
		if x.isSilent(now, p) || p.leaving != r.Leaving {
			x.selection.at = 0
		}
		p.unansweredSince, p.suspectUntil, p.leaving, p.features = 0, 0, r.Leaving, r.Features
	}
	if r.Answer && r.Instances > 0 {
		x.reportedSizes[r.Instance] = reportedSize{r.Instances, now}
	}
	x.mu.Unlock()
	if x.onMention == nil {
		return
	}
	for _, m := range r.Hubs {
		if m.Name != x.self.Name {
			x.onMention(m)
			x.retryMentioned(now, m)
		}
	}
}

// retryMentioned makes a silent instance a candidate again because another instance still lists it.
func (x *Exchange) retryMentioned(now time.Duration, m Member) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p, known := x.peers[m.Name]; known && p.unansweredSince > 0 && now-p.unansweredSince > mentionRetryDelay {
		p.unansweredSince = 0
		x.selection.at = 0
	}
}
