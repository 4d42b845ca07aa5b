package protocol

import (
	"slices"
	"time"
)

// ClaimID is the unique id of a claim.
type ClaimID [16]byte

// Claim is a request, appended to the log, for the right to send one order to one
// upstream.
type Claim struct {
	ID       ClaimID
	Upstream string
	// Kind and Name have the values of the same fields of port.Order.
	Kind string
	Name string
	// BaseOffset is the log offset of the state that the operator saw.
	BaseOffset uint64
	Lease      time.Duration
	// Instance and Incarnation identify the holder.
	Instance    string
	Incarnation uint64
	Operator    string
}

// Result records the outcome of an order and releases its claim.
type Result struct {
	// ClaimOffset is the log offset of the claim.
	ClaimOffset uint64
	Upstream    string
	// Ran is the numeric value of a verdict.Ran.
	Ran uint8
	// Confirmed is set if the upstream's state showed the order's effect.
	Confirmed bool
}

// Status is what a reader of the stream can conclude about a claim.
type Status uint8

const (
	// Rejected claims were based on a state that was no longer current.
	Rejected Status = iota
	// Accepted claims were based on the current state.
	Accepted
	// Undetermined claims depend on records that the log had dropped before this
	// reader started. The reader must not send an order under such a claim, and treats
	// the claims of others as accepted; the worst case is a needless wait and a
	// conflict that requires a new view.
	Undetermined
)

// Entry is a claim that was not rejected, together with its result.
type Entry struct {
	Offset uint64
	Claim  Claim
	Status Status
	// Result is nil until one is recorded.
	Result *Result
	readAt time.Time
}

// leaseExpiresAt returns the time, on the reader's clock, from which the claim's holder
// can no longer send: the end of the lease plus Margin, or the zero time once a result
// is recorded.
func (e Entry) leaseExpiresAt() time.Time {
	if e.Result != nil {
		return time.Time{}
	}
	return e.readAt.Add(e.Claim.Lease + Margin(e.Claim.Lease))
}

// ClaimTable holds the claims of every upstream after a prefix of the stream has been
// applied.
type ClaimTable struct {
	// start is the offset of the first record of the unbroken range that ends before
	// next.
	start, next uint64
	// upstreams maps each upstream to its claims that were not rejected and are still
	// needed, in log order.
	upstreams map[string][]Entry
}

// NewClaimTable returns an empty table whose next record is the first of the stream.
func NewClaimTable() *ClaimTable {
	return &ClaimTable{start: 1, next: 1, upstreams: make(map[string][]Entry)}
}

// Next returns the offset of the next record to apply.
func (t *ClaimTable) Next() uint64 { return t.next }

// CompleteSince reports whether the table has applied every record after offset.
func (t *ClaimTable) CompleteSince(offset uint64) bool { return offset+1 >= t.start }

// SkipTo advances the table to next, past records that the log has dropped. The table
// is incomplete for the offsets before next.
func (t *ClaimTable) SkipTo(next uint64) {
	if next > t.next {
		t.start = next
		t.next = next
	}
}

// SkipRecord advances the table past a record that cannot be decoded.
func (t *ClaimTable) SkipRecord(offset uint64) { t.next = offset + 1 }

// ApplyClaim applies the claim at offset; now is the time on the reader's clock at which
// it was read.
func (t *ClaimTable) ApplyClaim(offset uint64, c Claim, now time.Time) Status {
	t.next = offset + 1
	status := t.classify(c)
	if status == Rejected {
		return Rejected
	}
	entry := Entry{Offset: offset, Claim: c, Status: status, readAt: now}
	t.upstreams[c.Upstream] = append(t.upstreams[c.Upstream], entry)
	t.prune(c.Upstream, now)
	return status
}

// classify compares a claim with the earlier claims for the same upstream. All readers
// that determine a status agree on it: a claim is rejected only because of one that is
// known to be accepted, and accepted only if no conflicting claim can have been.
func (t *ClaimTable) classify(c Claim) Status {
	status := Accepted
	if !t.CompleteSince(c.BaseOffset) {
		status = Undetermined
	}
	for _, e := range t.upstreams[c.Upstream] {
		switch {
		case e.Offset <= c.BaseOffset:
		case e.Status == Accepted:
			return Rejected
		default:
			status = Undetermined
		}
	}
	return status
}

// ApplyResult applies the result at offset and releases the claim that it refers to.
func (t *ClaimTable) ApplyResult(offset uint64, r Result) {
	t.next = offset + 1
	entries := t.upstreams[r.Upstream]
	for i := range entries {
		if entries[i].Offset == r.ClaimOffset {
			entries[i].Result = &r
		}
	}
}

// Latest returns an upstream's last claim that was not rejected.
func (t *ClaimTable) Latest(upstream string) (Entry, bool) {
	entries := t.upstreams[upstream]
	if len(entries) == 0 {
		return Entry{}, false
	}
	return entries[len(entries)-1], true
}

// LeasesExpireAt returns the time, on the reader's clock, from which no holder of a
// recorded claim can send to the upstream. It is the zero time if every claim has a
// result.
func (t *ClaimTable) LeasesExpireAt(upstream string) time.Time {
	var latest time.Time
	for _, e := range t.upstreams[upstream] {
		if expiry := e.leaseExpiresAt(); expiry.After(latest) {
			latest = expiry
		}
	}
	return latest
}

// prune drops an upstream's claims whose leases have expired. It keeps the latest claim
// and the latest accepted one, against which later claims are classified.
func (t *ClaimTable) prune(upstream string, now time.Time) {
	var lastAccepted uint64
	for _, e := range t.upstreams[upstream] {
		if e.Status == Accepted {
			lastAccepted = e.Offset
		}
	}
	latest, _ := t.Latest(upstream)
	t.upstreams[upstream] = slices.DeleteFunc(t.upstreams[upstream], func(e Entry) bool {
		needed := e.Offset == latest.Offset || e.Offset == lastAccepted
		return !needed && !e.leaseExpiresAt().After(now)
	})
}
