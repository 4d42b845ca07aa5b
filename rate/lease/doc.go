// Package lease decides which instance may spend from a shard of the fleet's token
// buckets. It is a state machine without I/O: messages, log records and clock readings
// are its inputs, and effects are its outputs.
//
// # Failure model
//
// Two instances that spend from one shard at the same time give an organisation more
// than its rate, which shows as spend above rate*w + burst over the fleet. The old home
// may be paused, cut off from the log, cut off from its peers, or all of these in turn,
// and none of them can be distinguished from a crash. The old home can therefore spend
// only for a bounded time after its last proof, and a successor first prevents further
// proofs and then waits for that time to pass.
//
// # Terms
//
// Each shard has a sequence of terms. The number of a term is the offset of its claim
// in the log. A claim at offset m states how far its writer had read (Seen). It is valid
// if no other claim for the shard, valid or not, lies in [Seen, m). All instances that
// have read that range agree on its validity, however much of the older log has expired.
//
// # When a holder may spend
//
// The holder of term k may spend at its clock reading now if it has begun to spend
// (below) and one of these conditions holds:
//
//	(a) a read of the log, begun at t0, reached the end of the log without a valid
//	    later claim, and now < t0 + T;
//	(b) a majority of the term's fence set F acknowledged an Extend of term k sent at
//	    t0, now < t0 + T, and now < (the t0 of its last such read) + L.
//
// The claim lists F: one, three or five runs of other instances. A member that has
// acknowledged a Fence of term k never acknowledges an Extend of it afterwards. A
// restarted member has another incarnation and acknowledges neither for its predecessor,
// with one exception: it answers a Fence sent to its predecessor's address, since two
// processes cannot listen on one address and the predecessor can therefore receive no
// further Extend.
//
// # When a successor begins to spend
//
// The holder of term m has confirmed its claim once it has read it back, at time c.
// Before it spends, every earlier unsettled term k must have ended in one of these ways:
//
//	(1) the holder of k reports that it has stopped for good (handover);
//	(2) a majority of the F of k had acknowledged Fence by time f, and the successor's
//	    clock has passed max(c, f) + W;
//	(3) the successor's clock has passed c + WL;
//	(4) an operator declared that the holder of k is no longer running.
//
// # Proof
//
// Clocks are monotonic and measure a second with an error below one in a thousand
// (drift), so W = T + T/400 on one clock is longer than T on any other, and WL is
// longer than L likewise. Let X hold k and Y hold m > k, and let Y spend at real time s.
// X does not spend at or after s:
//
// (a): a read begun after claim m was in the log would have returned that claim. So
// t0 <= c, and X stops spending before c + W <= s. The same holds in case (3), as WL > W.
//
// (b) against (2): two majorities of F share a member. It acknowledged X's Extend before
// Y's Fence, so X sent the Extend before f and stops spending before f + W <= s.
//
// (b) against (3): X's last read without a later claim began before c, so X stops
// spending before c + L on X's clock, which is before c + WL on Y's clock.
//
// A holder that learns of a later valid claim stops for good, which gives (1). A holder
// begins to spend only after all terms before its own have ended, so the handover of a
// holder that was spending settles those terms as well.
//
// A term is settled when its holder states in the log that all earlier terms have ended.
// Readers then forget the earlier terms. A reader whose log begins after the shard's
// last settlement does not know which terms are open, and only (3) or an operator lets
// it begin to spend.
//
// # The time of a spend
//
// Tokens are taken from the bucket with the same clock reading that was used to check
// whether the holder may spend. A pause after that reading delays the response but does
// not change the time of the spend: the tokens were taken while spending was allowed.
// The holder reads the clock again before it responds, and withdraws a grant if it may
// no longer spend. The requesting instance drops a grant that is older than the time
// limit for collecting tokens, so work starts at most that long after the spend. A later
// pause in the requesting instance delays the work of one admitted request and adds none.
package lease
