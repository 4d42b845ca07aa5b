package once

import (
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/once/protocol"
)

// claim replies from the index if the key is already decided and queues the intent if the key is
// free.
func (p *partition) claim(msg claimMsg) {
	if !p.ready {
		p.deferClaim(msg)
		return
	}
	rec := msg.req.rec
	if reply, decided := p.winnerReply(rec); decided {
		// A repeated request for an intent that won; the first reply was lost.
		msg.reply <- reply
		return
	}
	if reply, taken := p.holderReply(rec); taken {
		msg.reply <- reply
		return
	}
	if p.index.Reflects(rec) {
		// The intent is already void: the requester has given up.
		msg.reply <- claimReply{state: stateUnavailable, retryAfter: logRetryAfter}
		return
	}
	if wait := p.incompleteUntil.Sub(p.now()); wait > 0 {
		msg.reply <- claimReply{state: stateIncomplete, notAppended: true, retryAfter: wait}
		return
	}
	if p.index.Len() >= p.cfg.MaxKeys {
		msg.reply <- claimReply{state: stateFull, notAppended: true, retryAfter: expiryInterval}
		return
	}
	if msg.req.lookupOnly {
		msg.reply <- claimReply{state: stateFree, notAppended: true}
		return
	}
	p.enqueueClaim(msg)
}

// deferClaim keeps a claim until the stream has been read to its end. An index that lacks records
// would treat a used key as free.
func (p *partition) deferClaim(msg claimMsg) {
	if p.readErr != nil {
		msg.reply <- claimReply{state: stateUnavailable, notAppended: true, retryAfter: logRetryAfter}
		return
	}
	p.deferredClaims = append(p.deferredClaims, msg)
}

func (p *partition) enqueueClaim(msg claimMsg) {
	rec := msg.req.rec
	if pc := p.pending[rec.ID]; pc != nil {
		pc.replies = append(pc.replies, msg.reply)
		return
	}
	wait := p.committer.refuseClaimsUntil.Sub(p.now())
	if wait > 0 || p.committer.bytes > maxQueuedClaimBytes {
		msg.reply <- claimReply{state: stateUnavailable, notAppended: true, retryAfter: max(wait, logRetryAfter)}
		return
	}
	entry, err := entryOf(msg.req.intent, rec)
	if err != nil {
		msg.reply <- claimReply{state: stateUnavailable, notAppended: true}
		return
	}
	p.pending[rec.ID] = &pendingClaim{rec: rec, replies: []chan claimReply{msg.reply}}
	p.committer.push(queuedRecord{entry: entry, rec: rec})
	p.startNextAppend()
}

// holderReply returns the reply for a key that is held by an intent, and false if the key is free.
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
	reply.stale = reply.state == stateClaimed && (p.readErr != nil || p.appendsFailing.Load())
	return reply, true
}

// winnerReply returns the reply for an intent that has won, and false for any other intent.
func (p *partition) winnerReply(rec protocol.Record) (claimReply, bool) {
	decision, offset := p.index.Decision(rec.Key, rec.ID)
	if decision != protocol.DecisionWon {
		return claimReply{}, false
	}
	if wait := p.incompleteUntil.Sub(p.now()); wait > 0 {
		// The intent won in an index that lacks records; an earlier intent may be among them.
		return claimReply{state: stateIncomplete, retryAfter: wait}, true
	}
	return claimReply{state: stateWon, offset: offset}, true
}

// resolvePendingClaim replies to the pending claim of an intent that was just read.
func (p *partition) resolvePendingClaim(rec protocol.Record) {
	if p.pending[rec.ID] == nil {
		return
	}
	reply, won := p.winnerReply(rec)
	if !won {
		var taken bool
		if reply, taken = p.holderReply(rec); !taken {
			// The intent was void before it was read: the requester has given up.
			reply = claimReply{state: stateUnavailable, retryAfter: inProgressRetryAfter}
		}
	}
	p.replyPending(rec.ID, reply)
}

// replyPending replies to all requests that wait for the intent and removes its claim.
func (p *partition) replyPending(id protocol.IntentID, reply claimReply) {
	pc := p.pending[id]
	if pc == nil {
		return
	}
	delete(p.pending, id)
	for _, ch := range pc.replies {
		ch <- reply
	}
}

// processDeferredClaims processes the claims that waited for the index. They are refused if the
// stream cannot be read.
func (p *partition) processDeferredClaims() {
	waiting := p.deferredClaims
	p.deferredClaims = nil
	for _, msg := range waiting {
		p.claim(msg)
	}
}

// enqueueRecord queues an outcome or a void. A void also cancels its intent if that has not been
// sent.
func (p *partition) enqueueRecord(msg appendMsg) {
	entry, err := entryOf(msg.record, msg.rec)
	if err != nil {
		msg.done <- err
		return
	}
	if p.ready && p.index.Reflects(msg.rec) {
		msg.done <- nil
		return
	}
	if p.committer.bytes+len(entry.Data) > maxQueuedBytes {
		p.metrics.queueFull.Inc(1)
		msg.done <- errQueueFull
		return
	}
	if msg.rec.Kind == protocol.KindVoid {
		p.cancelIntent(msg.rec.ID)
	}
	p.committer.pushRecord(queuedRecord{entry: entry, rec: msg.rec}, msg.done)
	p.startNextAppend()
}

// cancelIntent removes a withdrawn claim.
func (p *partition) cancelIntent(id protocol.IntentID) {
	p.deferredClaims = slices.DeleteFunc(p.deferredClaims, func(msg claimMsg) bool { return msg.req.rec.ID == id })
	p.committer.removeIntent(id)
	p.replyPending(id, claimReply{state: stateUnavailable, retryAfter: logRetryAfter})
}

// Retry times returned with refusals.
const (
	// logRetryAfter is returned when the log fails. It is long enough that many retrying callers
	// do not increase the load on the log, and short enough for an interactive user.
	logRetryAfter = 2 * time.Second
	// inProgressRetryAfter is returned while a call may still be running.
	inProgressRetryAfter = time.Second
)
