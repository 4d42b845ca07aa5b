// Package lease decides who may spend from a shard of the fleet's token buckets.
// It is a state machine: messages, log records and clock readings come in,
// effects go out, and nothing here does I/O.
//
// # What can go wrong
//
// Two instances that spend from one shard at the same time give an organisation
// more than its rate. The old home may be paused, cut off from the log, cut off
// from its peers, or all in turn, and nobody can tell it from a dead one. One
// would notice as spend above rate*w + burst over the fleet. Here the old home can
// only spend for a bounded time after its last proof, and a successor first makes
// further proofs impossible and then waits that time out.
//
// # Terms
//
// Each shard has a sequence of terms; a term's number is the offset of its claim in
// the log. A claim at offset m names how far its writer had read (Seen) and is valid
// if no other claim for the shard, valid or not, lies in [Seen, m). Everybody who has
// read that range agrees on it, however much of the older log has expired.
//
// # When a holder may spend
//
// The holder of term k may spend at its clock reading now if it has begun to spend
// (below) and one of these holds:
//
//	(a) a read of the log, begun at t0, came to the log's end without a valid later
//	    claim, and now < t0 + T;
//	(b) a majority of the term's fence set F acknowledged an Extend of term k sent at
//	    t0, now < t0 + T, and now < (the t0 of its last such read) + L.
//
// F is named in the claim: one, three or five runs of other instances. A member that
// acknowledged a Fence of term k never acknowledges an Extend of it afterwards; a
// restarted member has another incarnation and acknowledges neither, but answers
// Fence at its predecessor's address, since two processes cannot both listen there
// and the predecessor can therefore receive no further Extend.
//
// # When a successor begins to spend
//
// The holder of term m has confirmed its claim when it has read it back, at c. Every
// earlier unsettled term k must be out first, by one of these:
//
//	(1) its holder says that it has stopped for good (hand over);
//	(2) a majority of its F had acknowledged Fence by time f, and the successor's clock
//	    has passed max(c, f) + W;
//	(3) the successor's clock has passed c + WL;
//	(4) an operator vouched that the holder does not run any more.
//
// # Proof
//
// Clocks count a second with an error below one in a thousand (drift) and never run
// backwards, so W = T + T/400 on one clock is longer than T on any other, and WL is
// longer than L likewise. Let X hold k and Y hold m > k, and let Y spend at real time s.
// X does not spend at or after s:
//
// By (a): a read that began after the claim m stood in the log would have shown it, so
// t0 <= c and X's right ended before c + W <= s. In case (3) likewise, as WL > W.
//
// By (b) against (2): two majorities of F share a member. It acknowledged X's Extend
// before Y's Fence, so X sent it before f and X's right ended before f + W <= s.
//
// By (b) against (3): X's last clean read began before c, so X's right ended before
// c + L in X's time, which is before c + WL in Y's.
//
// A holder that learns of a later valid claim stops for good, which gives (1). A holder
// hands over as spending only after all terms before its own were out, so its hand
// over settles those as well.
//
// A term is settled by its holder's statement in the log that all earlier terms are
// out; readers then forget the earlier ones. A reader whose log begins after the
// shard's last settlement does not know which terms are open, and only (3) or an
// operator lets it begin.
//
// # The moment of a spend
//
// A spend is stamped with the clock reading of the check, and tokens come out of the
// bucket with the same reading. A pause after that reading delays the answer but does
// not move the stamp: the tokens were taken within the right to spend. The holder
// reads the clock again before it answers and withdraws an answer whose right has
// ended meanwhile; an asker drops an answer older than its gathering time, so that
// work starts at most that long after the stamp. A pause after that, in the asker
// itself, delays the work of one admitted request and adds none.
package lease
