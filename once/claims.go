package once

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/once/protocol"
)

// claim answers from the index what the log has decided already and queues the
// intent of a free key.
func (p *partition) claim(msg claimMsg) {
	if !p.ready {
		p.claimUnready(msg)
		return
	}
	rec := msg.req.rec
	if reply, decided := p.decided(rec); decided {
		// Asked again about an intent that won: the first reply was lost.
		msg.reply <- reply
		return
	}
	if reply, taken := p.holderReply(rec); taken {
		msg.reply <- reply
		return
	}
	if p.index.Reflects(rec) {
		// Void already: whoever asked has given up.
		msg.reply <- claimReply{state: stateUnavailable, retryAfter: logRetryAfter}
		return
	}
	if wait := p.vouchFrom.Sub(p.now()); wait > 0 {
		msg.reply <- claimReply{state: stateCannotVouch, notAppended: true, retryAfter: wait}
		return
	}
	if p.index.Len() >= p.cfg.MaxKeys {
		msg.reply <- claimReply{state: stateFull, notAppended: true, retryAfter: forgetInterval}
		return
	}
	if msg.req.lookupOnly {
		msg.reply <- claimReply{state: stateFree, notAppended: true}
		return
	}
	p.enqueueClaim(msg)
}

// claimUnready keeps a claim until the stream was read to its end. An index that
// lacks records would take a key that was used before for a free one.
func (p *partition) claimUnready(msg claimMsg) {
	if p.readErr != nil {
		msg.reply <- claimReply{state: stateUnavailable, notAppended: true, retryAfter: logRetryAfter}
		return
	}
	p.unready = append(p.unready, msg)
}

func (p *partition) enqueueClaim(msg claimMsg) {
	rec := msg.req.rec
	if pc := p.pending[rec.ID]; pc != nil {
		pc.replies = append(pc.replies, msg.reply)
		return
	}
	wait := p.commit.downUntil.Sub(p.now())
	if wait > 0 || p.commit.bytes > maxQueuedClaimBytes {
		msg.reply <- claimReply{state: stateUnavailable, notAppended: true, retryAfter: max(wait, logRetryAfter)}
		return
	}
	entry, err := entryOf(msg.req.intent, rec)
	if err != nil {
		msg.reply <- claimReply{state: stateUnavailable, notAppended: true}
		return
	}
	p.pending[rec.ID] = &pendingClaim{rec: rec, replies: []chan claimReply{msg.reply}}
	p.commit.push(queued{entry: entry, rec: rec})
	p.pump()
}

// holderReply tells what holds the record's key, if anything does.
func (p *partition) holderReply(rec protocol.Record) (claimReply, bool) {
	state, holder := p.index.Lookup(rec.Key)
	if state == protocol.StateFree {
		return claimReply{}, false
	}
	reply := claimReply{state: stateClaimed, holder: holder}
	if state == protocol.StateDone {
		reply.state = stateDone
	}
	if holder.Body != rec.Body {
		reply.state = stateKeyReused
	}
	reply.stale = reply.state == stateClaimed && (p.readErr != nil || p.failing.Load())
	return reply, true
}

// decided returns the reply for an intent that the stream holds as the winner.
func (p *partition) decided(rec protocol.Record) (claimReply, bool) {
	fate, offset := p.index.Decision(rec.Key, rec.ID)
	if fate != protocol.DecisionWon {
		return claimReply{}, false
	}
	if wait := p.vouchFrom.Sub(p.now()); wait > 0 {
		// It won on an index that lacks records; an earlier intent may be among them.
		return claimReply{state: stateCannotVouch, retryAfter: wait}, true
	}
	return claimReply{state: stateWon, offset: offset}, true
}

// decide answers the pending claim of an intent that was just read.
func (p *partition) decide(rec protocol.Record) {
	if p.pending[rec.ID] == nil {
		return
	}
	reply, won := p.decided(rec)
	if !won {
		var taken bool
		if reply, taken = p.holderReply(rec); !taken {
			// Void before it was read; whoever asked has given up.
			reply = claimReply{state: stateUnavailable, retryAfter: inProgressRetryAfter}
		}
	}
	p.answer(rec.ID, reply)
}

// answer replies to everyone who waits for the intent and forgets the claim.
func (p *partition) answer(id protocol.IntentID, reply claimReply) {
	pc := p.pending[id]
	if pc == nil {
		return
	}
	delete(p.pending, id)
	for _, ch := range pc.replies {
		ch <- reply
	}
}

// answerUnready hands on or refuses the claims that waited for the index.
func (p *partition) answerUnready() {
	waiting := p.unready
	p.unready = nil
	for _, msg := range waiting {
		p.claim(msg)
	}
}

// record queues an outcome or a void. A void also takes back an intent that has
// not been sent.
func (p *partition) record(msg recordMsg) {
	entry, err := entryOf(msg.record, msg.rec)
	if err != nil {
		msg.done <- err
		return
	}
	if p.ready && p.index.Reflects(msg.rec) {
		msg.done <- nil
		return
	}
	if p.commit.bytes+len(entry.Data) > maxQueuedBytes {
		p.meters.queueFull.Inc(1)
		msg.done <- errQueueFull
		return
	}
	if msg.rec.Kind == protocol.KindVoid {
		p.dropIntent(msg.rec.ID)
	}
	p.commit.pushRecord(queued{entry: entry, rec: msg.rec}, msg.done)
	p.pump()
}

// dropIntent forgets a claim that was given up.
func (p *partition) dropIntent(id protocol.IntentID) {
	p.unready = slices.DeleteFunc(p.unready, func(msg claimMsg) bool { return msg.req.rec.ID == id })
	p.commit.removeIntent(id)
	p.answer(id, claimReply{state: stateUnavailable, retryAfter: logRetryAfter})
}

// Retry advice.
const (
	// logRetryAfter is advised when the log fails: long enough that a fleet of
	// callers does not add to its trouble, short enough for a waiting keeper.
	logRetryAfter = 2 * time.Second
	// inProgressRetryAfter is advised while a call may still be running.
	inProgressRetryAfter = time.Second
)
